#include "lt/wire/session.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"
#include "lt/wire/pack.h"

enum
{
  HELLO_FIELDS = 4
};

typedef enum session_state
{
  SESSION_AWAIT_HELLO,   /* Accepting: nothing received yet. */
  SESSION_AWAIT_REPLY,   /* Connecting: hello sent. */
  SESSION_AWAIT_CONFIRM, /* Accepting: reply sent, second hello expected. */
  SESSION_OPEN_STATE,
  SESSION_CLOSED_STATE
} session_state_t;

struct lt_session
{
  session_state_t state;
  lt_close_reason_t reason;
  bool close_reported;
  bool connecting;
  char *secret;
  size_t secret_len;
  lt_vm_identity_t self;
  lt_vm_identity_t peer;
  unsigned char nonce[LT_SESSION_NONCE_BYTES];
  lt_digest_t send_key;
  lt_digest_t receive_key;
  uint64_t send_counter;
  uint64_t receive_counter;
  lt_buf_t input;
  size_t consumed; /* Bytes of input used by the last event. */
  lt_buf_t output;
  lt_session_counts_t *counts;
};

static str_t
session_secret (const lt_session_t *session)
{
  return str_make (session->secret, session->secret_len);
}

/* Derives the key for one stage of the handshake, or for one direction after
   it, from the secret.  */
static lt_digest_t
derive_key (const lt_session_t *session, const char *label,
            const unsigned char *connector_nonce,
            const unsigned char *acceptor_nonce)
{
  lt_buf_t text = { 0 };
  lt_buf_append_str (&text, str_from (label));
  if (connector_nonce != NULL)
    lt_buf_append (&text, connector_nonce, LT_SESSION_NONCE_BYTES);
  if (acceptor_nonce != NULL)
    lt_buf_append (&text, acceptor_nonce, LT_SESSION_NONCE_BYTES);
  lt_digest_t key
      = lt_digest_make (session_secret (session), lt_buf_str (&text));
  lt_buf_destroy (&text);
  return key;
}

static lt_digest_t
hello_key (const lt_session_t *session)
{
  return derive_key (session, "lavendertrack hello 1", NULL, NULL);
}

static lt_digest_t
reply_key (const lt_session_t *session, const unsigned char *connector_nonce)
{
  return derive_key (session, "lavendertrack reply 1", connector_nonce, NULL);
}

static void
derive_connection_keys (lt_session_t *session, const unsigned char *peer_nonce)
{
  bool connecting = session->connecting;
  const unsigned char *connector = connecting ? session->nonce : peer_nonce;
  const unsigned char *acceptor = connecting ? peer_nonce : session->nonce;
  lt_digest_t to_acceptor
      = derive_key (session, "lavendertrack forth 1", connector, acceptor);
  lt_digest_t to_connector
      = derive_key (session, "lavendertrack back 1", connector, acceptor);
  session->send_key = connecting ? to_acceptor : to_connector;
  session->receive_key = connecting ? to_connector : to_acceptor;
  session->send_counter = 0;
  session->receive_counter = 0;
}

static int
queue_frame (lt_session_t *session, lt_message_type_t type,
             uint64_t correlation, str_t payload)
{
  lt_frame_t frame = { .type = type,
                       .correlation = correlation,
                       .sender = session->self.vm_id,
                       .incarnation = session->self.incarnation,
                       .payload = payload };
  int rc = lt_frame_encode (&session->send_key, session->send_counter, &frame,
                            &session->output);
  if (rc == 0)
    session->send_counter++;
  return rc;
}

static void
queue_hello (lt_session_t *session)
{
  lt_buf_t payload = { 0 };
  lt_pack_array (&payload, HELLO_FIELDS);
  lt_pack_bin (&payload, str_make ((const char *)session->nonce,
                                   LT_SESSION_NONCE_BYTES));
  lt_pack_str (&payload, session->self.region);
  lt_pack_str (&payload, session->self.failure_domain);
  lt_pack_str (&payload, session->self.peer_address);
  queue_frame (session, LT_MESSAGE_HELLO, 0, lt_buf_str (&payload));
  lt_buf_destroy (&payload);
}

static lt_vm_identity_t
identity_copy (const lt_vm_identity_t *from)
{
  lt_vm_identity_t copy = { .incarnation = from->incarnation };
  copy.vm_id = str_make (str_dup (from->vm_id), from->vm_id.len);
  copy.region = str_make (str_dup (from->region), from->region.len);
  copy.failure_domain
      = str_make (str_dup (from->failure_domain), from->failure_domain.len);
  copy.peer_address
      = str_make (str_dup (from->peer_address), from->peer_address.len);
  return copy;
}

static void
identity_destroy (lt_vm_identity_t *identity)
{
  free ((char *)identity->vm_id.data);
  free ((char *)identity->region.data);
  free ((char *)identity->failure_domain.data);
  free ((char *)identity->peer_address.data);
  *identity = (lt_vm_identity_t){ 0 };
}

static bool
is_valid_name (str_t name)
{
  return name.len > 0 && name.len <= LT_WIRE_NAME_MAX_BYTES;
}

static bool
is_valid_identity (const lt_vm_identity_t *identity)
{
  return is_valid_name (identity->vm_id) && is_valid_name (identity->region)
         && is_valid_name (identity->failure_domain)
         && is_valid_name (identity->peer_address);
}

lt_session_t *
lt_session_create (const lt_session_options_t *options)
{
  if (options->secret.len == 0 || !is_valid_identity (&options->self))
    return NULL;
  lt_session_t *session = lt_alloc (sizeof (*session));
  session->connecting = options->connecting;
  session->secret = str_dup (options->secret);
  session->secret_len = options->secret.len;
  session->self = identity_copy (&options->self);
  memcpy (session->nonce, options->nonce, LT_SESSION_NONCE_BYTES);
  session->counts = options->counts;
  if (session->connecting)
    {
      session->send_key = hello_key (session);
      queue_hello (session);
      session->receive_key = reply_key (session, session->nonce);
      session->state = SESSION_AWAIT_REPLY;
    }
  else
    {
      session->receive_key = hello_key (session);
      session->state = SESSION_AWAIT_HELLO;
    }
  return session;
}

void
lt_session_destroy (lt_session_t *session)
{
  if (session == NULL)
    return;
  sodium_memzero (session->secret, session->secret_len);
  free (session->secret);
  identity_destroy (&session->self);
  identity_destroy (&session->peer);
  lt_buf_destroy (&session->input);
  lt_buf_destroy (&session->output);
  sodium_memzero (session, sizeof (*session));
  free (session);
}

static void
session_close (lt_session_t *session, lt_close_reason_t reason)
{
  if (session->state == SESSION_CLOSED_STATE)
    return;
  session->state = SESSION_CLOSED_STATE;
  session->reason = reason;
  session->output.len = 0;
  if (session->counts != NULL)
    session->counts->closed[reason]++;
}

void
lt_session_receive (lt_session_t *session, str_t bytes)
{
  if (session->state != SESSION_CLOSED_STATE)
    lt_buf_append_str (&session->input, bytes);
}

static void
drop_consumed (lt_session_t *session)
{
  lt_buf_consume (&session->input, session->consumed);
  session->consumed = 0;
}

void
lt_session_receive_end (lt_session_t *session)
{
  drop_consumed (session);
  bool inside = session->input.len > 0;
  session_close (session, inside ? LT_CLOSE_TRUNCATED : LT_CLOSE_NONE);
}

/* Checks the hello in FRAME and stores the peer's identity.  Sets *NONCE,
   which points into FRAME.  */
static lt_close_reason_t
verify_hello (lt_session_t *session, const lt_frame_t *frame, str_t *nonce)
{
  if (frame->type != LT_MESSAGE_HELLO)
    return LT_CLOSE_BAD_TYPE;
  lt_unpack_t in;
  lt_unpack_init (&in, frame->payload);
  lt_unpack_array (&in, HELLO_FIELDS, HELLO_FIELDS);
  *nonce = lt_unpack_bin (&in, LT_SESSION_NONCE_BYTES);
  lt_vm_identity_t peer
      = { .vm_id = frame->sender, .incarnation = frame->incarnation };
  peer.region = lt_unpack_str (&in, LT_WIRE_NAME_MAX_BYTES);
  peer.failure_domain = lt_unpack_str (&in, LT_WIRE_NAME_MAX_BYTES);
  peer.peer_address = lt_unpack_str (&in, LT_WIRE_NAME_MAX_BYTES);
  if (lt_unpack_end (&in) != 0 || nonce->len != LT_SESSION_NONCE_BYTES
      || !is_valid_identity (&peer))
    return LT_CLOSE_BAD_HELLO;
  if (str_equal (peer.vm_id, session->self.vm_id))
    return LT_CLOSE_WRONG_SENDER;
  identity_destroy (&session->peer);
  session->peer = identity_copy (&peer);
  return LT_CLOSE_NONE;
}

static lt_close_reason_t
handle_first_hello (lt_session_t *session, const lt_frame_t *frame)
{
  str_t nonce;
  lt_close_reason_t reason = verify_hello (session, frame, &nonce);
  if (reason != LT_CLOSE_NONE)
    return reason;
  const unsigned char *peer_nonce = (const unsigned char *)nonce.data;
  if (!session->connecting)
    {
      session->send_key = reply_key (session, peer_nonce);
      session->send_counter = 0;
      queue_hello (session);
      derive_connection_keys (session, peer_nonce);
      session->state = SESSION_AWAIT_CONFIRM;
      return LT_CLOSE_NONE;
    }
  derive_connection_keys (session, peer_nonce);
  queue_hello (session);
  session->state = SESSION_OPEN_STATE;
  return LT_CLOSE_NONE;
}

static bool
is_peer (const lt_session_t *session, const lt_frame_t *frame)
{
  return str_equal (frame->sender, session->peer.vm_id)
         && frame->incarnation == session->peer.incarnation;
}

static lt_close_reason_t
handle_frame (lt_session_t *session, const lt_frame_t *frame)
{
  if (session->state == SESSION_AWAIT_HELLO
      || session->state == SESSION_AWAIT_REPLY)
    return handle_first_hello (session, frame);
  if (!is_peer (session, frame))
    return LT_CLOSE_WRONG_SENDER;
  bool hello = frame->type == LT_MESSAGE_HELLO;
  if (hello != (session->state == SESSION_AWAIT_CONFIRM))
    return LT_CLOSE_BAD_TYPE;
  session->receive_counter++;
  session->state = SESSION_OPEN_STATE;
  return LT_CLOSE_NONE;
}

/* Handles the first frame of the input.  Returns false when it is
   incomplete.  */
static bool
receive_frame (lt_session_t *session, lt_frame_t *frame)
{
  size_t max = session->state == SESSION_OPEN_STATE
                   ? (size_t)LT_FRAME_MAX_BYTES
                   : (size_t)LT_SESSION_HELLO_MAX_BYTES;
  lt_close_reason_t reason = LT_CLOSE_NONE;
  ptrdiff_t used
      = lt_frame_decode (&session->receive_key, session->receive_counter, max,
                         lt_buf_str (&session->input), frame, &reason);
  if (used == 0)
    return false;
  if (used > 0)
    {
      reason = handle_frame (session, frame);
      session->consumed = (size_t)used;
    }
  if (reason != LT_CLOSE_NONE)
    session_close (session, reason);
  return true;
}

bool
lt_session_next (lt_session_t *session, lt_session_event_t *event)
{
  *event = (lt_session_event_t){ .type = LT_SESSION_FRAME };
  drop_consumed (session);
  while (session->state != SESSION_CLOSED_STATE)
    {
      bool was_open = session->state == SESSION_OPEN_STATE;
      if (!receive_frame (session, &event->frame))
        return false;
      if (session->state == SESSION_CLOSED_STATE)
        break;
      if (was_open)
        return true;
      drop_consumed (session);
      if (session->state == SESSION_OPEN_STATE)
        {
          event->type = LT_SESSION_OPEN;
          return true;
        }
    }
  if (session->close_reported)
    return false;
  session->close_reported = true;
  event->type = LT_SESSION_CLOSED;
  event->reason = session->reason;
  return true;
}

int
lt_session_send (lt_session_t *session, lt_message_type_t type,
                 uint64_t correlation, str_t payload)
{
  if (session->state != SESSION_OPEN_STATE)
    return -LT_EUNAVAILABLE;
  return queue_frame (session, type, correlation, payload);
}

lt_buf_t *
lt_session_output (lt_session_t *session)
{
  return &session->output;
}

bool
lt_session_is_open (const lt_session_t *session)
{
  return session->state == SESSION_OPEN_STATE;
}

const lt_vm_identity_t *
lt_session_peer (const lt_session_t *session)
{
  return &session->peer;
}
