/* Stand-ins for the cases of the second review: the platform's store, servers,
   clients, and the start of the project's own process.  All of them use
   loopback addresses and free ports.  */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  /* Exit codes of a case.  */
  CASE_HELD = 0,
  CASE_BROKEN = 1,
  CASE_NOT_RUN = 2,
  ID_BYTES = 40
};

typedef struct store store_t;
typedef struct server server_t;

/* A request as a server has read it.  */
typedef struct served
{
  server_t *server;
  int fd;
  int sequence; /* Number of the request at this server, from 0. */
  char method[16];
  char path[128];
  char id[ID_BYTES];
  char key[64]; /* Value of the header Authorization, if there is one. */
  char tenant[64];
  size_t body_bytes;
  double at_s;
} served_t;

/* Answers a request; the connection is closed afterwards.  */
typedef void (*behave_t) (const served_t *request);

typedef struct node
{
  pid_t pid;
  char name[32];
  char ip[32];
  int front;
  int ready;
  int memory_mb;
  int descriptors;
  char settings[256];
  char log[256];
} node_t;

typedef struct answer
{
  int status; /* 0: no answer. */
  bool complete;
  bool sealed;
  bool closes;
  char id[ID_BYTES];
  char *body;
  size_t body_bytes;
  char end[64]; /* How the connection ended, without a complete answer. */
} answer_t;

/* Starts the record, the temporary folder and a guard against hanging.  FOLDER
   is the folder of the case.  Returns whether the case has its disruption.  */
bool case_begin (const char *folder, int limit_s);
/* Ends all processes and removes the temporary folder.  */
void case_end (int code) __attribute__ ((noreturn));
/* Ends the case as one that could not run.  */
void case_fail (const char *what) __attribute__ ((noreturn));
/* Writes a line to the record.  */
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Returns the seconds since the start.  */
double now_s (void);
void sleep_s (double seconds);
/* Keeps a descriptor from programs that this process starts.  */
void keep_from_children (int fd);
/* Returns an address 127.x.y.HOST that belongs to this run.  */
const char *own_ip (int host);

store_t *store_start (const char *ip);
void store_put (store_t *store, const char *table, const char *key,
                const char *value);
/* Writes a configuration with the services svc, the safe route /s/, the unsafe
   route /u/, and the key k1 of the tenant t1.  */
void store_put_config (store_t *store, int version, int timeout_ms);

server_t *server_start (const char *ip, const char *id, behave_t behave);
/* Registers SERVER for the service svc.  */
void server_register (store_t *store, const server_t *server, int capacity);
const char *server_id (const server_t *server);
/* Sends a sound answer with BODY.  */
void answer_well (const served_t *request, const char *body, size_t len);
void send_all (int fd, const void *bytes, size_t len);
/* Returns how often a request with ID was read whole by any server.  */
int count_runs (const char *id);

void node_start (node_t *node, const char *name, const char *ip, int memory_mb,
                 store_t *store);
void node_restart (node_t *node);
bool node_wait_ready (const node_t *node, double seconds);
/* Returns whether the process has ended, and reaps it.  */
bool node_has_ended (node_t *node);
/* Returns the resident memory in MiB; 0: no process.  */
int node_rss_mb (const node_t *node);

int connect_to (const char *ip, int port);
/* Prints the head of a request into OUT and returns its length.  */
int print_head (char *out, size_t size, const char *method, const char *path,
                const char *id, int deadline_ms, long body_bytes);
/* Reads one answer; waits until the steady time UNTIL_S at most.  */
void read_answer (int fd, double until_s, answer_t *answer);
void answer_free (answer_t *answer);

#endif
