/** @file
    Runs a libcurl multi handle on a libev loop.  */
#ifndef LT_STORE_CURL_LOOP_H
#define LT_STORE_CURL_LOOP_H

#include <curl/curl.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct ev_loop;
  typedef struct lt_curl_loop lt_curl_loop_t;

  /** Both are called when no libcurl call is active, so they may add and
      remove handles.  */
  typedef struct lt_curl_loop_vtable
  {
    /** Called after libcurl has processed a socket or timer event and may have
        called callbacks of its transfers.  May be NULL.  */
    void (*progressed) (void *user);
    /** A transfer has ended with CODE; the callee removes EASY from the multi
        handle.  */
    void (*ended) (void *user, CURL *easy, CURLcode code);
  } lt_curl_loop_vtable_t;

  /** Stores the new loop in *CURL; the caller destroys it.  Returns 0 or
      -LT_EIO.  */
  int lt_curl_loop_create (struct ev_loop *loop,
                           const lt_curl_loop_vtable_t *vtable, void *user,
                           lt_curl_loop_t **curl);
  /** The caller must have removed its easy handles.  CURL may be NULL.  */
  void lt_curl_loop_destroy (lt_curl_loop_t *curl);
  /** The multi handle, for its options and for removing transfers.  */
  CURLM *lt_curl_loop_multi (lt_curl_loop_t *curl);
  /** Starts the transfer of EASY.  Returns 0 or -LT_EIO.  */
  int lt_curl_loop_add (lt_curl_loop_t *curl, CURL *easy);
  /** Returns whether a libcurl call is active, for instance because a callback
      of libcurl is running.  Handles must not be removed then.  */
  bool lt_curl_loop_in_libcurl (const lt_curl_loop_t *curl);
  /** Resumes a paused transfer; may call its callbacks.  */
  void lt_curl_loop_unpause (lt_curl_loop_t *curl, CURL *easy);

#ifdef __cplusplus
}
#endif

#endif
