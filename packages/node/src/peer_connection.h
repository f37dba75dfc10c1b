/* One connection of the peer transport.  */
#ifndef LT_NODE_PEER_CONNECTION_H
#define LT_NODE_PEER_CONNECTION_H

#include <ev.h>

#include "peer_transport.h"

enum
{
  PEER_NAME_CAP = 65,
  PEER_PENDING_MAX = 32
};

/* A message that waits for its connection to open.  */
typedef struct peer_pending
{
  uint16_t type;
  uint64_t correlation;
  lt_buf_t payload;
} peer_pending_t;

typedef struct peer_connection
{
  struct peer_connection *prev;
  struct peer_connection *next;
  lt_peer_transport_t *transport;
  int fd;
  ev_io reader;
  ev_io writer;
  lt_session_t *session;
  bool outgoing;
  bool connecting; /* The socket is not connected yet. */
  bool open;       /* The peer is verified. */
  bool closing;    /* Closed after the next read or by the next tick. */
  char address[PEER_NAME_CAP];
  char vm_id[PEER_NAME_CAP]; /* Expected, or verified once open. */
  uint64_t incarnation;
  int64_t started_us;
  int64_t used_us;
  int64_t written_us; /* When bytes were last written or writing started. */
  peer_pending_t pending[PEER_PENDING_MAX];
  size_t pending_count;
} peer_connection_t;

struct lt_peer_transport
{
  lt_peers_t base;
  lt_node_t *node;
  lt_peer_open_t on_open;
  void *user;
  int fd;
  ev_io acceptor;
  char address[PEER_NAME_CAP];
  peer_connection_t *connections;
  size_t connection_count;
  size_t unverified; /* Accepted connections that are not open yet. */
  struct peer_backoff *backoffs;
  lt_session_counts_t counts;
  lt_counter_t *closed[LT_CLOSE_REASON_END];
  lt_counter_t *frames_in;
  lt_counter_t *frames_out;
  lt_counter_t *bytes_in;
  lt_counter_t *bytes_out;
  lt_counter_t *dropped;
  lt_gauge_t *open_gauge;
};

/* Takes ownership of FD.  Returns NULL, and leaves FD to the caller, when the
   session cannot be created.  */
peer_connection_t *lt_peer_connection_create (lt_peer_transport_t *transport,
                                              int fd, bool outgoing);
/* Closes and frees the connection.  */
void lt_peer_connection_destroy (peer_connection_t *connection);
/* Queues a message, also while the connection is being opened.  Returns 0,
   -LT_EFULL or -LT_ETOOBIG.  */
int lt_peer_connection_send (peer_connection_t *connection, uint16_t type,
                             uint64_t correlation, str_t payload);
/* Records the result of a connection attempt to ADDRESS for the back-off of
   the next one.  */
void lt_peer_transport_record_attempt (lt_peer_transport_t *transport,
                                       str_t address, bool failed);

#endif
