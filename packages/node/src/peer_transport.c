#include "peer_transport.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#include "lt/base/error.h"
#include "lt/base/log.h"
#include "peer_connection.h"

enum
{
  BACKLOG = 128,
  CONNECTIONS_MAX = 4096,
  UNVERIFIED_MAX = 64,
  /* A connection that makes no progress in writing for this long is closed, so
     that a one-way partition does not delay messages for minutes.  */
  STUCK_MS = 5000,
  HANDSHAKE_MS = 3000,
  /* The connecting side closes first.  A pair of VMs may have a connection in
     each direction.  */
  IDLE_OUTGOING_MS = 40000,
  IDLE_ACCEPTED_MS = 120000,
  BACKOFF_MIN_MS = 200,
  BACKOFF_DOUBLINGS = 5,
  BACKOFF_KEEP_MS = 60000
};

/* Back-off of an address whose last connection attempt failed.  */
typedef struct peer_backoff
{
  UT_hash_handle hh;
  int failures;
  int64_t next_us;
  char address[PEER_NAME_CAP];
} peer_backoff_t;

static peer_backoff_t *
backoff_find (const lt_peer_transport_t *transport, str_t address)
{
  peer_backoff_t *found = NULL;
  HASH_FIND (hh, transport->backoffs, address.data, address.len, found);
  return found;
}

void
lt_peer_transport_record_attempt (lt_peer_transport_t *transport,
                                  str_t address, bool failed)
{
  peer_backoff_t *entry = backoff_find (transport, address);
  if (!failed)
    {
      if (entry != NULL)
        {
          /* The analyzer does not see that uthash keeps hh.tbl set.  */
          HASH_DEL (transport->backoffs, entry); /* NOLINT(clang-analyzer-*) */
          free (entry);
        }
      return;
    }
  if (entry == NULL && address.len < PEER_NAME_CAP)
    {
      entry = lt_alloc (sizeof (*entry));
      memcpy (entry->address, address.data, address.len);
      HASH_ADD_KEYPTR (hh, transport->backoffs, entry->address, address.len,
                       entry);
    }
  if (entry == NULL)
    return;
  int doublings = entry->failures < BACKOFF_DOUBLINGS ? entry->failures
                                                      : BACKOFF_DOUBLINGS;
  entry->failures++;
  int64_t wait_us = (BACKOFF_MIN_MS * LT_US_PER_MS) << doublings;
  wait_us
      += (int64_t)lt_rng_below (&transport->node->rng, (uint64_t)wait_us / 2);
  entry->next_us = lt_node_now_us (transport->node) + wait_us;
}

static void
set_options (int fd)
{
  int on = 1;
  unsigned int stuck_ms = STUCK_MS;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &stuck_ms, sizeof (stuck_ms));
}

static peer_connection_t *
find_connection (const lt_peer_transport_t *transport, str_t vm_id)
{
  peer_connection_t *connection;
  peer_connection_t *opening = NULL;
  DL_FOREACH (transport->connections, connection)
  {
    if (connection->closing
        || !str_equal (str_from (connection->vm_id), vm_id))
      continue;
    if (connection->open)
      return connection;
    opening = connection;
  }
  return opening;
}

static peer_connection_t *
find_address (const lt_peer_transport_t *transport, str_t address)
{
  peer_connection_t *connection;
  DL_FOREACH (transport->connections, connection)
  {
    if (connection->outgoing && !connection->closing
        && str_equal (str_from (connection->address), address))
      return connection;
  }
  return NULL;
}

/* Starts a connection to ADDRESS, where VM_ID ("": any) is expected.  */
static int
connect_to (lt_peer_transport_t *transport, str_t address, str_t vm_id,
            peer_connection_t **result)
{
  struct sockaddr_in to;
  if (address.len >= PEER_NAME_CAP || vm_id.len >= PEER_NAME_CAP
      || lt_parse_address (address, &to) != 0)
    return -LT_ENOTFOUND;
  const peer_backoff_t *backoff = backoff_find (transport, address);
  if (backoff != NULL && lt_node_now_us (transport->node) < backoff->next_us)
    return -LT_EUNAVAILABLE;
  if (transport->connection_count >= CONNECTIONS_MAX)
    return -LT_EFULL;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -LT_EUNAVAILABLE;
  set_options (fd);
  if (connect (fd, (struct sockaddr *)&to, sizeof (to)) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      lt_peer_transport_record_attempt (transport, address, true);
      return -LT_EUNAVAILABLE;
    }
  peer_connection_t *connection
      = lt_peer_connection_create (transport, fd, true);
  if (connection == NULL)
    {
      close (fd);
      return -LT_EUNAVAILABLE;
    }
  memcpy (connection->address, address.data, address.len);
  if (vm_id.len > 0)
    memcpy (connection->vm_id, vm_id.data, vm_id.len);
  *result = connection;
  return 0;
}

static int
transport_send (lt_peers_t *peers, str_t vm_id, uint16_t type,
                uint64_t correlation, str_t payload)
{
  lt_peer_transport_t *transport = (lt_peer_transport_t *)peers;
  peer_connection_t *connection = find_connection (transport, vm_id);
  if (connection == NULL)
    {
      lt_node_t *node = transport->node;
      if (node->directory == NULL)
        return -LT_ENOTFOUND;
      str_t address = node->directory->address (node, vm_id);
      if (address.len == 0)
        return -LT_ENOTFOUND;
      int error = connect_to (transport, address, vm_id, &connection);
      if (error != 0)
        return error;
    }
  return lt_peer_connection_send (connection, type, correlation, payload);
}

void
lt_peer_transport_connect (lt_peer_transport_t *transport, str_t address)
{
  peer_connection_t *connection = NULL;
  if (find_address (transport, address) == NULL)
    connect_to (transport, address, str_make (NULL, 0), &connection);
}

bool
lt_peer_transport_is_connected (const lt_peer_transport_t *transport,
                                str_t vm_id)
{
  const peer_connection_t *connection = find_connection (transport, vm_id);
  return connection != NULL && connection->open;
}

static void
on_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_peer_transport_t *transport = watcher->data;
  struct sockaddr_in from = { 0 };
  socklen_t len = sizeof (from);
  int fd = accept4 (transport->fd, (struct sockaddr *)&from, &len,
                    SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  if (transport->unverified >= UNVERIFIED_MAX
      || transport->connection_count >= CONNECTIONS_MAX)
    {
      close (fd);
      return;
    }
  set_options (fd);
  peer_connection_t *connection
      = lt_peer_connection_create (transport, fd, false);
  if (connection == NULL)
    {
      close (fd);
      return;
    }
  char ip[INET_ADDRSTRLEN];
  inet_ntop (AF_INET, &from.sin_addr, ip, sizeof (ip));
  snprintf (connection->address, sizeof (connection->address), "%s:%u", ip,
            (unsigned)ntohs (from.sin_port));
}

static bool
should_close (const peer_connection_t *connection, int64_t now_us)
{
  int64_t idle_ms = connection->outgoing ? IDLE_OUTGOING_MS : IDLE_ACCEPTED_MS;
  if (connection->closing)
    return true;
  if (!connection->open)
    return now_us - connection->started_us > HANDSHAKE_MS * LT_US_PER_MS;
  if (lt_session_output (connection->session)->len > 0)
    return now_us - connection->written_us > STUCK_MS * LT_US_PER_MS;
  return now_us - connection->used_us > idle_ms * LT_US_PER_MS;
}

void
lt_peer_transport_tick (lt_peer_transport_t *transport, int64_t now_us)
{
  peer_connection_t *connection;
  peer_connection_t *next;
  size_t open = 0;
  DL_FOREACH_SAFE (transport->connections, connection, next)
  {
    open += connection->open;
    if (!should_close (connection, now_us))
      continue;
    if (connection->outgoing && !connection->open)
      lt_peer_transport_record_attempt (transport,
                                        str_from (connection->address), true);
    lt_peer_connection_destroy (connection);
  }
  transport->open_gauge->value = (double)open;
  peer_backoff_t *entry;
  peer_backoff_t *following;
  HASH_ITER (hh, transport->backoffs, entry, following)
  {
    if (now_us - entry->next_us < BACKOFF_KEEP_MS * LT_US_PER_MS)
      continue;
    HASH_DEL (transport->backoffs, entry); /* NOLINT(clang-analyzer-*) */
    free (entry);
  }
}

static int
listen_on (lt_peer_transport_t *transport, str_t address)
{
  struct sockaddr_in at;
  if (lt_parse_address (address, &at) != 0)
    return -LT_EINVAL;
  transport->fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (transport->fd < 0)
    return -errno;
  int on = 1;
  setsockopt (transport->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on));
  socklen_t len = sizeof (at);
  if (bind (transport->fd, (struct sockaddr *)&at, sizeof (at)) != 0
      || listen (transport->fd, BACKLOG) != 0
      || getsockname (transport->fd, (struct sockaddr *)&at, &len) != 0)
    return -errno;
  char ip[INET_ADDRSTRLEN];
  inet_ntop (AF_INET, &at.sin_addr, ip, sizeof (ip));
  snprintf (transport->address, sizeof (transport->address), "%s:%u", ip,
            (unsigned)ntohs (at.sin_port));
  return 0;
}

static void
create_metrics (lt_peer_transport_t *transport)
{
  lt_metrics_t *metrics = transport->node->metrics;
  for (int i = 0; i < LT_CLOSE_REASON_END; i++)
    {
      char labels[64];
      snprintf (labels, sizeof (labels), "reason=\"%s\"",
                lt_close_reason_name ((lt_close_reason_t)i));
      transport->closed[i] = lt_metrics_counter (
          metrics, "lavendertrack_peer_closed_total",
          "Connections between VMs closed, by reason.", labels);
    }
  const char *frames = "lavendertrack_peer_frames_total";
  const char *bytes = "lavendertrack_peer_bytes_total";
  transport->frames_in = lt_metrics_counter (
      metrics, frames, "Frames between VMs.", "direction=\"in\"");
  transport->frames_out = lt_metrics_counter (
      metrics, frames, "Frames between VMs.", "direction=\"out\"");
  transport->bytes_in = lt_metrics_counter (
      metrics, bytes, "Bytes between VMs.", "direction=\"in\"");
  transport->bytes_out = lt_metrics_counter (
      metrics, bytes, "Bytes between VMs.", "direction=\"out\"");
  transport->dropped = lt_metrics_counter (
      metrics, "lavendertrack_peer_dropped_total",
      "Messages to VMs dropped because the send buffer was full.", "");
  transport->open_gauge
      = lt_metrics_gauge (metrics, "lavendertrack_peer_connections",
                          "Verified connections to other VMs.", "");
}

static const lt_peers_vtable_t vtable = { .send = transport_send };

int
lt_peer_transport_create (lt_node_t *node, lt_peer_open_t on_open, void *user,
                          lt_peer_transport_t **result)
{
  lt_peer_transport_t *transport = lt_alloc (sizeof (*transport));
  transport->base.vtable = &vtable;
  transport->node = node;
  transport->on_open = on_open;
  transport->user = user;
  int error = listen_on (transport, node->settings->peer_listen);
  if (error != 0)
    {
      if (transport->fd > 0)
        close (transport->fd);
      free (transport);
      return error;
    }
  create_metrics (transport);
  ev_io_init (&transport->acceptor, on_acceptable, transport->fd, EV_READ);
  transport->acceptor.data = transport;
  ev_io_start (node->loop, &transport->acceptor);
  node->peers = &transport->base;
  *result = transport;
  return 0;
}

void
lt_peer_transport_destroy (lt_peer_transport_t *transport)
{
  if (transport == NULL)
    return;
  ev_io_stop (transport->node->loop, &transport->acceptor);
  close (transport->fd);
  peer_connection_t *connection;
  peer_connection_t *next;
  DL_FOREACH_SAFE (transport->connections, connection, next)
  {
    lt_peer_connection_destroy (connection);
  }
  peer_backoff_t *entry;
  peer_backoff_t *following;
  HASH_ITER (hh, transport->backoffs, entry, following)
  {
    HASH_DEL (transport->backoffs, entry); /* NOLINT(clang-analyzer-*) */
    free (entry);
  }
  transport->node->peers = NULL;
  free (transport);
}

str_t
lt_peer_transport_address (const lt_peer_transport_t *transport)
{
  return str_from (transport->address);
}
