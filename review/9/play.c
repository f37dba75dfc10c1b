/* A planned stop, while clients send a further safe request before they have
   read the whole answer to the first one.  Checked is the rule LOST.  */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "stand.h"

enum
{
  SERVERS = 8,
  CLIENTS = 20,
  ANSWER_BYTES = 30000, /* The longest of the deployments in force. */
  WINDOW_BYTES = 4096,
  TIMEOUT_MS = 4000
};

#define GRACE_S 6.0
#define WORK_S 0.25
/* When the further request is sent, and when the client goes on reading.  */
#define NEXT_AFTER_S 0.35
#define READ_AFTER_S 0.4

static bool disrupted;
static node_t node;
static int asked;
static int answered;
static int lost;
static double stopped_s;

static void
behave (const served_t *request)
{
  static char body[ANSWER_BYTES];
  sleep_s (WORK_S);
  if (request->path[1] == 'u')
    answer_well (request, body, sizeof (body));
  else
    answer_well (request, "ok", 2);
}

/* Connects with a small receive window.  */
static int
connect_slow_reader (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int bytes = WINDOW_BYTES;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  inet_pton (AF_INET, node.ip, &address.sin_addr);
  address.sin_port = htons ((uint16_t)node.front);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof (bytes));
  if (connect (fd, (struct sockaddr *)&address, sizeof (address)) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  return fd;
}

static void
judge (const char *id, double sent, const answer_t *answer)
{
  int ran = count_runs (id);
  note ("client sent order id=%s %.3f s after the SIGTERM: status %d, %zu "
        "bytes of the body, complete %d, end: %s; run %d times",
        id, sent - stopped_s, answer->status, answer->body_bytes,
        answer->complete, answer->end, ran);
  if (answer->complete)
    __atomic_fetch_add (&answered, 1, __ATOMIC_RELAXED);
  else if (ran > 0)
    __atomic_fetch_add (&lost, 1, __ATOMIC_RELAXED);
}

static void *
run_client (void *data)
{
  char head[1024];
  char id[ID_BYTES];
  char next_id[ID_BYTES];
  answer_t answer;
  int client = (int)(intptr_t)data;
  snprintf (id, sizeof (id), "a%02d", client);
  snprintf (next_id, sizeof (next_id), "b%02d", client);
  sleep_s (0.2 + client * 0.07);
  int fd = connect_slow_reader ();
  if (fd < 0)
    return NULL;
  __atomic_fetch_add (&asked, 1, __ATOMIC_RELAXED);
  int len = print_head (head, sizeof (head), "POST", "/u/order", id,
                        TIMEOUT_MS, 5);
  double sent = now_s ();
  send_all (fd, head, (size_t)len);
  send_all (fd, "order", 5);
  sleep_s (NEXT_AFTER_S);
  len = print_head (head, sizeof (head), "GET", "/s/view", next_id, TIMEOUT_MS,
                    -1);
  send_all (fd, head, (size_t)len);
  sleep_s (READ_AFTER_S - NEXT_AFTER_S);
  read_answer (fd, sent + TIMEOUT_MS / 1000.0, &answer);
  judge (id, sent, &answer);
  answer_free (&answer);
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t clients[CLIENTS];
  if (argc != 2)
    return CASE_NOT_RUN;
  disrupted = case_begin (argv[1], 60);
  store_t *store = store_start (own_ip (1));
  store_put_config (store, 1, TIMEOUT_MS);
  for (int i = 0; i < SERVERS; i++)
    {
      char id[32];
      snprintf (id, sizeof (id), "i-%d", i);
      server_register (store, server_start (own_ip (20 + i), id, behave), 3);
    }
  node_start (&node, "edge-lj-a-1", own_ip (2), 260, store);
  sleep_s (1);
  stopped_s = now_s ();
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i], NULL, run_client, (void *)(intptr_t)i);
  if (disrupted)
    {
      note ("platform: SIGTERM to %s", node.name);
      kill (node.pid, SIGTERM);
    }
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
  while (disrupted && !node_has_ended (&node)
         && now_s () - stopped_s < GRACE_S)
    sleep_s (0.05);
  note ("platform: %s", node.pid == 0 ? "the process has ended" : "it runs");
  note ("orders %d, answered %d, run and cut off %d", asked, answered, lost);
  printf ("orders %d answered %d run and cut off %d\n", asked, answered, lost);
  if (asked < CLIENTS / 2)
    case_fail ("too few orders");
  case_end (lost > 0 ? CASE_BROKEN : CASE_HELD);
}
