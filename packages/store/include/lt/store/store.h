/** @file
    Interfaces of the platform's services: a transactional table, an object
    store and a list of VMs.  All calls are asynchronous; completions run on
   the caller's loop, never inside the submitting call.  */
#ifndef LT_STORE_STORE_H
#define LT_STORE_STORE_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_outcome
  {
    LT_OUTCOME_DONE,    /**< Took effect, or was read. */
    LT_OUTCOME_REFUSED, /**< A condition failed; nothing changed. */
    LT_OUTCOME_UNKNOWN /**< May have taken effect or may still do so; read back
                          to find out.  With -LT_EUNAVAILABLE the request was
                          not accepted and takes no effect. */
  } lt_outcome_t;

/** Expected version of an item that must not exist.  */
#define LT_VERSION_ABSENT 0LL
/** No condition on the version.  */
#define LT_VERSION_ANY (-1LL)

  typedef enum lt_table_op_kind
  {
    LT_TABLE_GET,
    LT_TABLE_PUT, /**< The new version is new_version if that is positive,
                     else expected_version + 1. */
    LT_TABLE_DELETE
  } lt_table_op_kind_t;

  typedef struct lt_table_op
  {
    lt_table_op_kind_t kind;
    str_t key;
    int64_t expected_version; /**< Condition of put and delete. */
    int64_t new_version;      /**< Required with LT_VERSION_ANY; a unique one
                                 fences a writer whose item was deleted and
                                 created again. */
    str_t value;              /**< Bytes, at most 300 KiB. */
    int64_t expires_wall_s; /**< Unix time in seconds after which the table may
                               delete the item; 0: never. */
  } lt_table_op_t;

  typedef struct lt_table_item
  {
    str_t key;
    int64_t version; /**< 0: absent. */
    str_t value;
  } lt_table_item_t;

  typedef struct lt_table_result
  {
    lt_outcome_t outcome;
    int error;                    /**< 0 or negative error number. */
    const lt_table_item_t *items; /**< One per get, in order; valid during the
                                     callback only. */
    size_t count;
    size_t failed_op; /**< First op whose condition failed, when refused. */
  } lt_table_result_t;

  typedef void (*lt_table_done_t) (void *user,
                                   const lt_table_result_t *result);

  typedef struct lt_table lt_table_t;
  typedef struct lt_table_vtable
  {
    /** Submits COUNT operations (1 to 100).  Several gets are one batch;
       several puts and deletes are one all-or-nothing transaction; the kinds
       are not mixed.  Copies its arguments.  Calls DONE exactly once, no later
       than TIMEOUT_MS from now.  Returns 0 or -LT_EINVAL (DONE is not called).
     */
    int (*submit) (lt_table_t *table, const lt_table_op_t *ops, size_t count,
                   int64_t timeout_ms, lt_table_done_t done, void *user);
    /** Completes pending calls with LT_OUTCOME_UNKNOWN and -LT_ECANCELED.  */
    void (*destroy) (lt_table_t *table);
  } lt_table_vtable_t;
  struct lt_table
  {
    const lt_table_vtable_t *vtable;
  };

  typedef struct lt_object_result
  {
    lt_outcome_t outcome;
    int error;  /**< -LT_ENOTFOUND with LT_OUTCOME_REFUSED: no such object. */
    str_t body; /**< Content read by a get; valid during the callback only. */
  } lt_object_result_t;

  typedef void (*lt_object_done_t) (void *user,
                                    const lt_object_result_t *result);

  typedef struct lt_object_store lt_object_store_t;
  typedef struct lt_object_store_vtable
  {
    int (*get) (lt_object_store_t *store, str_t name, int64_t timeout_ms,
                lt_object_done_t done, void *user);
    /** With IF_ABSENT an existing object is refused and left as it is.  */
    int (*put) (lt_object_store_t *store, str_t name, str_t body,
                bool if_absent, int64_t timeout_ms, lt_object_done_t done,
                void *user);
    void (*destroy) (lt_object_store_t *store);
  } lt_object_store_vtable_t;
  struct lt_object_store
  {
    const lt_object_store_vtable_t *vtable;
  };

  /** One VM in the platform's list, which may be out of date.  */
  typedef struct lt_vm_entry
  {
    str_t id;
    str_t peer_address; /**< "ip:port". */
    str_t region;
    str_t failure_domain;
    bool leaving;
  } lt_vm_entry_t;

  typedef struct lt_vm_list_result
  {
    lt_outcome_t outcome;
    int error;
    const lt_vm_entry_t *vms; /**< Valid during the callback only. */
    size_t count;
  } lt_vm_list_result_t;

  typedef void (*lt_vm_list_done_t) (void *user,
                                     const lt_vm_list_result_t *result);

  typedef struct lt_vm_list lt_vm_list_t;
  typedef struct lt_vm_list_vtable
  {
    int (*list) (lt_vm_list_t *vms, int64_t timeout_ms, lt_vm_list_done_t done,
                 void *user);
    void (*destroy) (lt_vm_list_t *vms);
  } lt_vm_list_vtable_t;
  struct lt_vm_list
  {
    const lt_vm_list_vtable_t *vtable;
  };

  /** The three services of one platform.  Owned by whoever created it.  */
  typedef struct lt_platform
  {
    lt_table_t *table;
    lt_object_store_t *objects;
    lt_vm_list_t *vms;
  } lt_platform_t;

  struct ev_loop;
  struct lt_clock;

  /** Creates the embedded in-memory platform; completions run on LOOP.  */
  int lt_platform_memory_create (struct ev_loop *loop, struct lt_clock *clock,
                                 lt_platform_t *platform);

  typedef struct lt_platform_http_options
  {
    str_t table_url;  /**< DynamoDB JSON endpoint. */
    str_t table_name; /**< Default "lavendertrack". */
    str_t object_url; /**< S3 endpoint with bucket: http://ip:port/bucket. */
    str_t vm_list_object; /**< Object that the platform keeps with the list of
                             VMs, default "platform/vms.json". */
    str_t region;         /**< For the request signature. */
    str_t access_key;
    str_t secret_key;
  } lt_platform_http_options_t;

#define LT_PLATFORM_HTTP_OPTIONS_DEFAULT                                      \
  ((lt_platform_http_options_t){ .table_url = STR_LIT (""),                   \
                                 .table_name = STR_LIT ("lavendertrack"),     \
                                 .object_url = STR_LIT (""),                  \
                                 .vm_list_object                              \
                                 = STR_LIT ("platform/vms.json"),             \
                                 .region = STR_LIT ("local"),                 \
                                 .access_key = STR_LIT (""),                  \
                                 .secret_key = STR_LIT ("") })

  int lt_platform_http_create (struct ev_loop *loop,
                               const lt_platform_http_options_t *options,
                               lt_platform_t *platform);
  /** Destroys the three services.  */
  void lt_platform_destroy (lt_platform_t *platform);

#ifdef __cplusplus
}
#endif

#endif
