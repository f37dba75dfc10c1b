#include "peer_connection.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "lt/base/error.h"
#include "lt/base/log.h"

enum
{
  READ_BYTES = 64 * 1024,
  /* Messages to a peer that reads too slowly are dropped above this size, to
     bound memory; two whole frames always fit.  */
  OUTPUT_MAX_BYTES = 4 * 1024 * 1024,
  PENDING_MAX_BYTES = 1024 * 1024
};

static void
connection_start_writing (peer_connection_t *connection)
{
  if (!ev_is_active (&connection->writer))
    {
      connection->written_us = lt_node_now_us (connection->transport->node);
      ev_io_start (connection->transport->node->loop, &connection->writer);
    }
}

static void
connection_failed (peer_connection_t *connection)
{
  if (connection->outgoing && !connection->open)
    lt_peer_transport_record_attempt (connection->transport,
                                      str_from (connection->address), true);
  lt_peer_connection_destroy (connection);
}

/* Closes connections of earlier incarnations of the same VM.  */
static void
close_older (peer_connection_t *connection)
{
  peer_connection_t *other;
  DL_FOREACH (connection->transport->connections, other)
  {
    if (other != connection && other->open
        && strcmp (other->vm_id, connection->vm_id) == 0
        && other->incarnation < connection->incarnation)
      other->closing = true;
  }
}

static void
send_pending (peer_connection_t *connection, bool expected)
{
  for (size_t i = 0; i < connection->pending_count; i++)
    {
      peer_pending_t *pending = &connection->pending[i];
      if (expected)
        lt_peer_connection_send (connection, pending->type,
                                 pending->correlation,
                                 lt_buf_str (&pending->payload));
      lt_buf_destroy (&pending->payload);
    }
  connection->pending_count = 0;
}

static void
connection_opened (peer_connection_t *connection)
{
  lt_peer_transport_t *transport = connection->transport;
  const lt_vm_identity_t *peer = lt_session_peer (connection->session);
  /* Another VM may have taken over the address; it must not receive messages
     for the expected one.  */
  bool expected = connection->vm_id[0] == '\0'
                  || str_equal (str_from (connection->vm_id), peer->vm_id);
  connection->open = true;
  connection->incarnation = peer->incarnation;
  memcpy (connection->vm_id, peer->vm_id.data, peer->vm_id.len);
  connection->vm_id[peer->vm_id.len] = '\0';
  if (connection->outgoing)
    lt_peer_transport_record_attempt (transport,
                                      str_from (connection->address), false);
  else
    transport->unverified--;
  close_older (connection);
  send_pending (connection, expected);
  transport->on_open (transport->user, peer, connection->outgoing);
}

static void
deliver (peer_connection_t *connection, const lt_frame_t *frame)
{
  lt_peer_message_t message = { .type = (uint16_t)frame->type,
                                .correlation = frame->correlation,
                                .sender = frame->sender,
                                .incarnation = frame->incarnation,
                                .payload = frame->payload };
  connection->transport->frames_in->value++;
  lt_node_deliver (connection->transport->node, &message);
}

/* Handles what the session has received.  Returns false when the connection
   must be closed.  */
static bool
handle_events (peer_connection_t *connection)
{
  lt_session_event_t event;
  while (lt_session_next (connection->session, &event))
    switch (event.type)
      {
      case LT_SESSION_OPEN:
        connection_opened (connection);
        break;
      case LT_SESSION_FRAME:
        deliver (connection, &event.frame);
        break;
      case LT_SESSION_CLOSED:
        connection->transport->closed[event.reason]->value++;
        if (event.reason != LT_CLOSE_NONE)
          lt_log (LT_LOG_WARN, "peers",
                  "msg=\"connection closed\" reason=%s vm=%s address=%s",
                  lt_close_reason_name (event.reason), connection->vm_id,
                  connection->address);
        return false;
      }
  return true;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  peer_connection_t *connection = watcher->data;
  lt_peer_transport_t *transport = connection->transport;
  char bytes[READ_BYTES];
  ssize_t got = recv (connection->fd, bytes, sizeof (bytes), 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got > 0)
    {
      transport->bytes_in->value += (uint64_t)got;
      connection->used_us = lt_node_now_us (transport->node);
      lt_session_receive (connection->session, str_make (bytes, (size_t)got));
    }
  else
    lt_session_receive_end (connection->session);
  bool alive = handle_events (connection);
  if (!alive || connection->closing)
    connection_failed (connection);
  else if (lt_session_output (connection->session)->len > 0)
    connection_start_writing (connection);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)events;
  peer_connection_t *connection = watcher->data;
  lt_peer_transport_t *transport = connection->transport;
  if (connection->connecting)
    {
      int error = 0;
      socklen_t len = sizeof (error);
      getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error != 0)
        {
          connection_failed (connection);
          return;
        }
      connection->connecting = false;
      ev_io_start (loop, &connection->reader);
    }
  lt_buf_t *output = lt_session_output (connection->session);
  if (output->len > 0)
    {
      ssize_t sent
          = send (connection->fd, output->data, output->len, MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN && errno != EINTR)
        {
          connection_failed (connection);
          return;
        }
      if (sent > 0)
        {
          transport->bytes_out->value += (uint64_t)sent;
          connection->written_us = lt_node_now_us (transport->node);
          lt_buf_consume (output, (size_t)sent);
        }
    }
  if (output->len == 0)
    ev_io_stop (loop, &connection->writer);
}

peer_connection_t *
lt_peer_connection_create (lt_peer_transport_t *transport, int fd,
                           bool outgoing)
{
  lt_node_t *node = transport->node;
  const lt_settings_t *settings = node->settings;
  lt_session_options_t options
      = { .connecting = outgoing,
          .secret = node->peer_secret,
          .self = { .vm_id = settings->vm_id,
                    .incarnation = node->incarnation,
                    .region = settings->region,
                    .failure_domain = settings->failure_domain,
                    .peer_address = str_from (transport->address) },
          .counts = &transport->counts };
  randombytes_buf (options.nonce, sizeof (options.nonce));
  lt_session_t *session = lt_session_create (&options);
  if (session == NULL)
    return NULL;
  peer_connection_t *connection = lt_alloc (sizeof (*connection));
  connection->transport = transport;
  connection->fd = fd;
  connection->session = session;
  connection->outgoing = outgoing;
  connection->connecting = outgoing;
  connection->started_us = connection->used_us = lt_node_now_us (node);
  ev_io_init (&connection->reader, on_readable, fd, EV_READ);
  ev_io_init (&connection->writer, on_writable, fd, EV_WRITE);
  connection->reader.data = connection->writer.data = connection;
  DL_APPEND (transport->connections, connection);
  transport->connection_count++;
  if (outgoing)
    connection_start_writing (connection);
  else
    {
      transport->unverified++;
      ev_io_start (node->loop, &connection->reader);
    }
  return connection;
}

void
lt_peer_connection_destroy (peer_connection_t *connection)
{
  lt_peer_transport_t *transport = connection->transport;
  ev_io_stop (transport->node->loop, &connection->reader);
  ev_io_stop (transport->node->loop, &connection->writer);
  DL_DELETE (transport->connections, connection);
  transport->connection_count--;
  if (!connection->outgoing && !connection->open)
    transport->unverified--;
  for (size_t i = 0; i < connection->pending_count; i++)
    lt_buf_destroy (&connection->pending[i].payload);
  close (connection->fd);
  lt_session_destroy (connection->session);
  free (connection);
}

static int
queue_pending (peer_connection_t *connection, uint16_t type,
               uint64_t correlation, str_t payload)
{
  if (connection->pending_count == PEER_PENDING_MAX
      || payload.len > PENDING_MAX_BYTES)
    return -LT_EFULL;
  peer_pending_t *pending = &connection->pending[connection->pending_count++];
  *pending = (peer_pending_t){ .type = type, .correlation = correlation };
  lt_buf_append_str (&pending->payload, payload);
  return 0;
}

int
lt_peer_connection_send (peer_connection_t *connection, uint16_t type,
                         uint64_t correlation, str_t payload)
{
  lt_peer_transport_t *transport = connection->transport;
  if (!connection->open)
    return queue_pending (connection, type, correlation, payload);
  if (lt_session_output (connection->session)->len + payload.len
      > OUTPUT_MAX_BYTES)
    {
      transport->dropped->value++;
      return -LT_EFULL;
    }
  int result = lt_session_send (connection->session, (lt_message_type_t)type,
                                correlation, payload);
  if (result != 0)
    return result;
  transport->frames_out->value++;
  connection->used_us = lt_node_now_us (transport->node);
  connection_start_writing (connection);
  return 0;
}
