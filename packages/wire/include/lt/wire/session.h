/** @file
    One connection between two VMs, without I/O: bytes in, events out.  The
    connecting side sends hello under the shared secret; the accepting side
    stays silent until that is verified, replies with its own nonce, and
    counts the peer as open only when the peer has proven, by a second hello
    under the connection key, that its first was not a replay.  */
#ifndef LT_WIRE_SESSION_H
#define LT_WIRE_SESSION_H

#include "lt/wire/frame.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_SESSION_NONCE_BYTES 32
/** Bound of a frame before the peer is verified; limits what a stranger can
    make this process buffer.  */
#define LT_SESSION_HELLO_MAX_BYTES 1024

  /** Who a VM says it is.  */
  typedef struct lt_vm_identity
  {
    str_t vm_id;
    uint64_t incarnation;
    str_t region;
    str_t failure_domain;
    str_t peer_address; /**< "ip:port" of its peer listener. */
  } lt_vm_identity_t;

  /** Counts per close reason, shared by all sessions of a process.  */
  typedef struct lt_session_counts
  {
    uint64_t closed[LT_CLOSE_REASON_END];
  } lt_session_counts_t;

  typedef struct lt_session_options
  {
    bool connecting; /**< This side opened the connection. */
    str_t secret;    /**< Shared secret of the fleet; not empty. */
    lt_vm_identity_t self;
    /** Fresh random bytes for each session.  */
    unsigned char nonce[LT_SESSION_NONCE_BYTES];
    lt_session_counts_t *counts; /**< May be NULL. */
  } lt_session_options_t;

  typedef enum lt_session_event_type
  {
    LT_SESSION_OPEN,  /**< The peer is verified; its identity is known. */
    LT_SESSION_FRAME, /**< A verified frame. */
    LT_SESSION_CLOSED /**< Close the connection. */
  } lt_session_event_type_t;

  typedef struct lt_session_event
  {
    lt_session_event_type_t type;
    lt_frame_t frame;         /**< With LT_SESSION_FRAME. */
    lt_close_reason_t reason; /**< With LT_SESSION_CLOSED. */
  } lt_session_event_t;

  typedef struct lt_session lt_session_t;

  /** Copies the options.  A connecting session has its hello in the output at
      once.  Returns NULL when the secret or an identity text is empty or too
      long.  */
  lt_session_t *lt_session_create (const lt_session_options_t *options);
  void lt_session_destroy (lt_session_t *session);
  /** Gives received bytes to the session.  Ignored after a close.  */
  void lt_session_receive (lt_session_t *session, str_t bytes);
  /** Tells that the peer ended its stream; inside a frame that is counted as
      truncated.  */
  void lt_session_receive_end (lt_session_t *session);
  /** Takes the next event.  Its views are valid until the next call for this
      session.  Returns false when there is none.  */
  bool lt_session_next (lt_session_t *session, lt_session_event_t *event);
  /** Queues a frame; sender and incarnation are filled in.  Returns 0,
      -LT_EUNAVAILABLE (not open) or -LT_ETOOBIG.  */
  int lt_session_send (lt_session_t *session, lt_message_type_t type,
                       uint64_t correlation, str_t payload);
  /** Bytes to send; the caller consumes what it has sent.  */
  lt_buf_t *lt_session_output (lt_session_t *session);
  bool lt_session_is_open (const lt_session_t *session);
  /** The peer, valid once open.  */
  const lt_vm_identity_t *lt_session_peer (const lt_session_t *session);

#ifdef __cplusplus
}
#endif

#endif
