/** @file
    Watches a caller's connection while its request is served: for the caller
    leaving, and for the first bytes of its next request.  */
#ifndef LT_NODE_CALLER_HANGUP_H
#define LT_NODE_CALLER_HANGUP_H

#include <ev.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_hangup_watch lt_hangup_watch_t;
  typedef struct lt_hangup_vtable
  {
    /** Bytes of the next request have arrived.  The watch goes on.  */
    void (*request_waiting) (lt_hangup_watch_t *watch);
    /** The caller has closed the connection, or only its sending side.  The
        watch has stopped.  */
    void (*left) (lt_hangup_watch_t *watch);
  } lt_hangup_vtable_t;

  struct lt_hangup_watch
  {
    const lt_hangup_vtable_t *vtable;
    struct ev_loop *loop;
    ev_io readable;
    ev_timer poll; /* Runs while unread bytes hide the end of the input. */
  };

  void lt_hangup_watch_start (lt_hangup_watch_t *watch, struct ev_loop *loop,
                              int fd, const lt_hangup_vtable_t *vtable);
  /** Does nothing to a watch that was not started or has stopped.  */
  void lt_hangup_watch_stop (lt_hangup_watch_t *watch);

#ifdef __cplusplus
}
#endif

#endif
