/** @file
    Connections that this VM has closed while the caller still reads a response
    or sends.  A socket that is closed resets the connection when it has unread
    bytes or the caller sends more, and the reset discards what the caller has
    not received of the response (RFC 9112, section 9.6).  So only the sending
    side is closed, and the input is read and dropped for a while.  */
#ifndef LT_NODE_CALLER_LINGER_H
#define LT_NODE_CALLER_LINGER_H

#include <ev.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

/** A caller that has received the whole response has this long to close.  */
#define LT_LINGER_MS 2000
/** A caller has this long to receive the response.  */
#define LT_LINGER_UNREAD_MS 10000

  typedef struct lt_lingering lt_lingering_t;

  typedef struct lt_linger
  {
    struct ev_loop *loop;
    lt_lingering_t *connections;
    int count;
  } lt_linger_t;

  /** Returns whether received bytes of FD are not read yet.  */
  bool lt_socket_has_input (int fd);
  /** Returns whether the peer has not acknowledged all bytes written to FD. */
  bool lt_socket_has_unread_output (int fd);
  /** Called before FD is closed: if it has unread input, or output that the
      caller has not acknowledged, keeps a duplicate of it open until the
     caller closes, for at most the times above and 8 MiB of input.  Closes the
     oldest one if many are kept.  */
  void lt_linger_add (lt_linger_t *linger, int fd);
  /** Returns whether a caller has not received a response whole.  */
  bool lt_linger_has_unread (const lt_linger_t *linger);
  /** Closes all.  */
  void lt_linger_end (lt_linger_t *linger);

#ifdef __cplusplus
}
#endif

#endif
