/** @file
    One connection between two VMs, without I/O: the caller passes received
    bytes in and takes events and output.  The connecting side sends a hello
    authenticated by the shared secret.  The accepting side sends nothing until
    it has verified that hello, then replies with a hello of its own.  Both
    derive the connection's keys from the secret and the nonces in the hellos.
    The accepting side opens the session only after a second hello under these
    keys, which proves that the first one was not replayed.  */
#ifndef LT_WIRE_SESSION_H
#define LT_WIRE_SESSION_H

#include "lt/wire/frame.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_SESSION_NONCE_BYTES 32
/** Maximum size of a frame before the peer is verified; limits what an
    unauthenticated peer can make this process buffer.  */
#define LT_SESSION_HELLO_MAX_BYTES 1024

  /** Identity of a VM, as sent in its hello.  */
  typedef struct lt_vm_identity
  {
    str_t vm_id;
    uint64_t incarnation;
    str_t region;
    str_t failure_domain;
    str_t peer_address; /**< Its listener for other VMs, "ip:port". */
  } lt_vm_identity_t;

  /** Closed sessions by reason, shared by all sessions of a process.  */
  typedef struct lt_session_counts
  {
    uint64_t closed[LT_CLOSE_REASON_END];
  } lt_session_counts_t;

  typedef struct lt_session_options
  {
    bool connecting; /**< This side opened the connection. */
    str_t secret;    /**< Shared by all VMs of the fleet; not empty. */
    lt_vm_identity_t self;
    /** Fresh random bytes for each session.  */
    unsigned char nonce[LT_SESSION_NONCE_BYTES];
    lt_session_counts_t *counts; /**< May be NULL. */
  } lt_session_options_t;

  typedef enum lt_session_event_type
  {
    LT_SESSION_OPEN,  /**< The peer is verified; its identity is known. */
    LT_SESSION_FRAME, /**< A verified frame. */
    LT_SESSION_CLOSED /**< The caller must close the connection. */
  } lt_session_event_type_t;

  typedef struct lt_session_event
  {
    lt_session_event_type_t type;
    lt_frame_t frame;         /**< With LT_SESSION_FRAME. */
    lt_close_reason_t reason; /**< With LT_SESSION_CLOSED. */
  } lt_session_event_t;

  typedef struct lt_session lt_session_t;

  /** Copies OPTIONS except the counts, which must outlive the session.  The
      output of a connecting session holds its hello at once.  Returns NULL
      when the secret is empty, or a text of the identity is empty or too
      long.  */
  lt_session_t *lt_session_create (const lt_session_options_t *options);
  void lt_session_destroy (lt_session_t *session);
  /** Appends received bytes to the input of the session; ignored after it has
      closed.  */
  void lt_session_receive (lt_session_t *session, str_t bytes);
  /** Handles the end of the peer's stream, which closes the session: with
      LT_CLOSE_TRUNCATED inside a frame, otherwise with LT_CLOSE_NONE.  */
  void lt_session_receive_end (lt_session_t *session);
  /** Takes the next event; returns false when there is none.  Its texts are
      valid until the next call for this session.  */
  bool lt_session_next (lt_session_t *session, lt_session_event_t *event);
  /** Queues a frame from this VM.  Returns 0, -LT_EUNAVAILABLE when the
      session is not open, or -LT_ETOOBIG.  */
  int lt_session_send (lt_session_t *session, lt_message_type_t type,
                       uint64_t correlation, str_t payload);
  /** Bytes to send; the caller removes what it has sent.  */
  lt_buf_t *lt_session_output (lt_session_t *session);
  bool lt_session_is_open (const lt_session_t *session);
  /** The identity of the peer, valid once the session is open.  */
  const lt_vm_identity_t *lt_session_peer (const lt_session_t *session);

#ifdef __cplusplus
}
#endif

#endif
