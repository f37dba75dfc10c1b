/** @file
    Test double of the platform: subsets of the DynamoDB JSON and S3 REST
    protocols on one port, with verified signatures.  Control paths: POST
   /standin/fault
    ({"kind", "down", "lose_answer", "delay_ms", "count"}), POST
    /standin/refuse ({"for_ms"}: closes the port), GET /standin/counters.  */
#ifndef LT_STANDIN_STORE_H
#define LT_STANDIN_STORE_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct ev_loop;

  typedef enum lt_standin_call
  {
    LT_STANDIN_TABLE_READ,
    LT_STANDIN_TABLE_WRITE,
    LT_STANDIN_OBJECT_GET,
    LT_STANDIN_OBJECT_PUT,
    LT_STANDIN_CALL_KINDS
  } lt_standin_call_t;

  typedef struct lt_standin_fault
  {
    bool down;          /**< Responds with 503; the call takes no effect. */
    bool lose_response; /**< Takes effect, then resets the connection. */
    int64_t delay_ms; /**< Takes effect this much later, even if the client has
                         disconnected. */
    int count; /**< Ends after this many calls; 0: stays until replaced. */
  } lt_standin_fault_t;

  typedef struct lt_standin_counters
  {
    int64_t calls; /**< Requests received. */
    int64_t items; /**< Items or objects in these requests. */
    int64_t refused;
  } lt_standin_counters_t;

  typedef struct lt_standin_store lt_standin_store_t;

  typedef struct lt_standin_store_options
  {
    struct ev_loop *loop;
    str_t listen;     /**< Default 127.0.0.1:0. */
    str_t access_key; /**< Empty: signatures are not verified. */
    str_t secret_key;
  } lt_standin_store_options_t;

  int lt_standin_store_create (const lt_standin_store_options_t *options,
                               lt_standin_store_t **store);
  void lt_standin_store_destroy (lt_standin_store_t *store);
  int lt_standin_store_port (const lt_standin_store_t *store);
  void lt_standin_store_set_fault (lt_standin_store_t *store,
                                   lt_standin_call_t kind,
                                   lt_standin_fault_t fault);
  lt_standin_counters_t
  lt_standin_store_counters (const lt_standin_store_t *store,
                             lt_standin_call_t kind);
  /** Returns the number of requests without a valid signature.  */
  int64_t lt_standin_store_unsigned (const lt_standin_store_t *store);
  /** Closes the port and all connections; lt_standin_store_start reopens the
      port.  */
  void lt_standin_store_stop (lt_standin_store_t *store);
  int lt_standin_store_start (lt_standin_store_t *store);
  /** Sets an object, such as the list of VMs.  PATH starts with the bucket. */
  void lt_standin_store_set_object (lt_standin_store_t *store, str_t path,
                                    str_t body);

#ifdef __cplusplus
}
#endif

#endif
