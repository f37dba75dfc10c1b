/** @file
    The admin server: an HTTP server on a separate address for health checks,
    metrics and the operators' API.  */
#ifndef LT_NODE_ADMIN_H
#define LT_NODE_ADMIN_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct json_t;
  struct lt_node;

  /** A request to the admin server.  Texts are valid until the response.  */
  typedef struct lt_admin_request
  {
    struct lt_node *node;
    str_t method;
    str_t path;       /**< Without the query. */
    str_t suffix;     /**< The path after the handler's prefix. */
    str_t author;     /**< X-Author header; "unknown" when absent. */
    str_t body;       /**< At most 32 MiB. */
    void *connection; /**< Unused. */
  } lt_admin_request_t;

  /** Returns the query parameter NAME, or an empty view with NULL data.  */
  str_t lt_admin_query (const lt_admin_request_t *request, const char *name);
  /** Sends a JSON response and takes the reference to BODY.  Each request gets
      exactly one response, from within its handler or later; REQUEST must not
      be used after that.  */
  void lt_admin_respond_json (lt_admin_request_t *request, int status,
                              struct json_t *body);
  /** Sends a text response; copies BODY.  */
  void lt_admin_respond_text (lt_admin_request_t *request, int status,
                              const char *content_type, str_t body);
  /** Sends an application/problem+json response (RFC 9457).  */
  void lt_admin_respond_problem (lt_admin_request_t *request, int status,
                                 const char *reason, const char *detail);

  /** An entry of a handler table.  A prefix that ends in '/' matches all
      longer paths that start with it; any other prefix matches only the same
      path.  The handler must send a response, before it returns or later.  */
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
  /** Returns the bound port, which the system chooses for a listen port of 0.
   */
  uint16_t lt_admin_port (const lt_admin_t *admin);
  /** Adds a table of COUNT handlers, which must outlive ADMIN.  */
  void lt_admin_add_handlers (lt_admin_t *admin,
                              const lt_admin_handler_t *handlers,
                              size_t count);

#ifdef __cplusplus
}
#endif

#endif
