/** @file
    Connections that this VM has closed while the caller still sends.  Closing
    a socket with unread bytes resets it, and the reset discards the end of
    the response; so the input is read and dropped for a while.  */
#ifndef LT_NODE_CALLER_LINGER_H
#define LT_NODE_CALLER_LINGER_H

#include <ev.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

/** The caller has this long to read the response and close.  */
#define LT_LINGER_MS 2000

  typedef struct lt_lingering lt_lingering_t;

  typedef struct lt_linger
  {
    struct ev_loop *loop;
    lt_lingering_t *connections;
    int count;
  } lt_linger_t;

  /** Returns whether received bytes of FD are not read yet.  */
  bool lt_socket_has_input (int fd);
  /** Called before FD is closed: if it has unread input, keeps a duplicate of
      it open until the caller closes, for at most LT_LINGER_MS and 8 MiB of
      input; not if many are kept already.  */
  void lt_linger_add (lt_linger_t *linger, int fd);
  /** Closes all.  */
  void lt_linger_end (lt_linger_t *linger);

#ifdef __cplusplus
}
#endif

#endif
