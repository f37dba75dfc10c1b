/** @file
    The admin server: health, metrics and the operators' API on an address of
    its own.  */
#ifndef LT_NODE_ADMIN_H
#define LT_NODE_ADMIN_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct json_t;
  struct lt_node;

  typedef struct lt_admin_request
  {
    struct lt_node *node;
    str_t method;
    str_t path;   /**< Whole path. */
    str_t suffix; /**< What follows the handler's prefix, without '/'. */
    str_t author; /**< X-Author header; "unknown" when absent. */
    str_t body;   /**< At most 32 MiB. */
    void *connection;
  } lt_admin_request_t;

  /** Returns the query parameter NAME, or an empty view with NULL data.  */
  str_t lt_admin_query (const lt_admin_request_t *request, const char *name);
  /** Answers with JSON (the reference is taken over).  Exactly one answer per
      request, at once or later; the request is gone afterwards.  */
  void lt_admin_respond_json (lt_admin_request_t *request, int status,
                              struct json_t *body);
  void lt_admin_respond_text (lt_admin_request_t *request, int status,
                              const char *content_type, str_t body);
  /** Answers with problem+json.  */
  void lt_admin_respond_problem (lt_admin_request_t *request, int status,
                                 const char *reason, const char *detail);

  /** One entry of the handler table.  A prefix that ends in '/' matches what
      follows it.  Handlers must answer the request, now or later.  */
  typedef struct lt_admin_handler
  {
    const char *method;
    const char *prefix;
    bool needs_operator; /**< Requires the operator key. */
    void (*handle) (lt_admin_request_t *request);
  } lt_admin_handler_t;

  typedef struct lt_admin lt_admin_t;
  /** Starts the server on the settings' admin address.  Returns 0 or a
     negative error number.  */
  int lt_admin_create (struct lt_node *node, lt_admin_t **admin);
  void lt_admin_destroy (lt_admin_t *admin);
  /** The bound port, for a listen port of 0.  */
  uint16_t lt_admin_port (const lt_admin_t *admin);
  /** Adds COUNT handlers from a static table.  */
  void lt_admin_add_handlers (lt_admin_t *admin,
                              const lt_admin_handler_t *handlers,
                              size_t count);

#ifdef __cplusplus
}
#endif

#endif
