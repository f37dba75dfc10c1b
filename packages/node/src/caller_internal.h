/** @file
    Internal types of the caller server.  */
#ifndef LT_NODE_CALLER_INTERNAL_H
#define LT_NODE_CALLER_INTERNAL_H

#include <microhttpd.h>

#include "caller_hangup.h"
#include "caller_linger.h"
#include "caller_server.h"
#include "http_loop.h"
#include "lt/node/request.h"
#include "lt/policy/memory_budget.h"

typedef struct exchange exchange_t;

/* A caller's connection.  */
typedef struct caller_connection
{
  struct caller_connection *prev;
  struct caller_connection *next;
  int fd;
  bool read_closed;         /* By this server, see close_idle. */
  bool reset;               /* Its response is not delivered further. */
  int open_exchanges;       /* Requests that are being received or served. */
  exchange_t *exchange;     /* The last one while it is open, or NULL. */
  int64_t since_us;         /* When it was accepted. */
  int64_t waiting_since_us; /* Unread bytes wait on the socket; 0: none. */
  int64_t input_us;         /* Last read by libmicrohttpd; 0: none yet. */
  uint64_t input_run;       /* Run of the daemon in which that holds. */
  uint64_t acked_bytes;     /* Of responses, when last looked at. */
} caller_connection_t;

struct lt_caller_server
{
  lt_node_t *node;
  caller_connection_t *connections;
  exchange_t *exchanges;
  lt_linger_t linger;
  lt_http_loop_t http;
  ev_prepare grant; /* Runs while bodies wait for memory. */
  int connection_count;
  int connections_max;
  int ticks;                /* Since the budget was adapted. */
  int64_t connection_bytes; /* Memory of one, at most. */
  bool quiesced;
  int64_t quiesced_us;
};

/* One request and its response on a caller's connection.  */
struct exchange
{
  lt_hangup_watch_t hangup;
  lt_memory_entry_t memory;
  exchange_t *prev;
  exchange_t *next;
  lt_caller_server_t *server;
  struct MHD_Connection *connection;
  caller_connection_t *caller;
  lt_request_t *request;
  char *target;
  int64_t received_us;   /* When the head of the request was complete. */
  uint64_t received_run; /* Run of the daemon in which that holds. */
  bool suspended;
  bool at_header; /* Suspended before its body was read. */
  bool chain_started;
  bool responded;
  bool caller_disconnected;
};

/** Resumes the connection if it is suspended.  */
void lt_exchange_resume (exchange_t *exchange);
void lt_exchange_suspend (exchange_t *exchange);
/** Ends the request of EXCHANGE.  A never-repeat action that may have reached
    an upstream continues without its caller, so that its outcome is
    recorded.  */
void lt_exchange_release_request (exchange_t *exchange);
/** Queues the response if there is one, else suspends the connection.  */
enum MHD_Result lt_exchange_respond (exchange_t *exchange);

/** Reserves memory for the body of EXCHANGE, whose header has been parsed.
    Without room, the connection is suspended or the request refused.  */
enum MHD_Result lt_exchange_admit (exchange_t *exchange);
/** Appends the *LEN bytes at DATA to the body and sets *LEN to 0; without
    room, the connection is suspended or closed after a refusal.  */
enum MHD_Result lt_exchange_receive (exchange_t *exchange, const char *data,
                                     size_t *len);
/** The response of EXCHANGE is delivered from now on.  */
void lt_exchange_deliver (exchange_t *exchange);
/** Refuses a request whose body is incomplete.  Its connection ends when
    libmicrohttpd next calls for it.  */
void lt_exchange_refuse_upload (exchange_t *exchange, lt_refusal_t refusal,
                                int64_t retry_after_ms);

/** Sets the bound on connections and the watcher for bodies that wait.  */
void lt_caller_memory_start (lt_caller_server_t *server);
void lt_caller_memory_stop (lt_caller_server_t *server);
/** Closes connections that hold memory or descriptors without progress, when
    others need them or this VM stops.  */
void lt_caller_memory_tick (lt_caller_server_t *server, int64_t now_us);

#endif
