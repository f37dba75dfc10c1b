/** @file
    Load for one VM: adds latency against direct calls in the same run
    (open loop), requests per second of processor time at saturation (closed
    loop), and memory per connection and per request in flight.  */
#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lt/base/clock.h"
#include "lt/base/metrics.h"
#include "lt/base/rng.h"
#include "lt/node/settings.h"
#include "upstream_client.h"

enum
{
  SETTLE_S = 1,
  REQUEST_TIMEOUT_MS = 5000
};

typedef struct options
{
  const char *mode;
  str_t direct;
  str_t proxy;
  str_t path;
  str_t key;
  int64_t rate;    /* Requests per second. */
  int64_t seconds; /* Of one measurement. */
  int64_t count;   /* Requests in flight, or connections. */
  int64_t pid;     /* Of the daemon, for its processor time and memory. */
  int64_t seed;
} options_t;

typedef struct bench
{
  options_t options;
  struct ev_loop *loop;
  lt_upstream_client_t *client;
  lt_header_list_t headers;
  lt_rng_t rng;
  lt_histogram_t *direct;
  lt_histogram_t *proxy;
  ev_timer arrival;
  int64_t next_us;
  int64_t end_us;
  int64_t open;
  int64_t failed;
  int64_t completed;
  bool closed_loop;
} bench_t;

typedef struct call
{
  bench_t *bench;
  lt_histogram_t *histogram;
  int64_t due_us;
  int status;
} call_t;

static int64_t
now_us (void)
{
  return lt_clock_now_us (lt_clock_system ());
}

static void send_request (bench_t *bench, bool through_proxy, int64_t due_us);

static bool
on_header (void *owner, const lt_response_head_t *head)
{
  ((call_t *)owner)->status = head->status;
  return true;
}

static bool
on_body (void *owner, str_t data)
{
  (void)owner;
  (void)data;
  return true;
}

static bool
on_send (void *owner)
{
  (void)owner;
  return true;
}

static void
on_done (void *owner, const lt_transfer_result_t *result)
{
  call_t *call = owner;
  bench_t *bench = call->bench;
  bench->open--;
  if (result->end != LT_TRANSFER_COMPLETE || call->status != 200)
    bench->failed++;
  else
    {
      bench->completed++;
      lt_histogram_add (call->histogram, now_us () - call->due_us);
    }
  free (call);
  if (bench->closed_loop && now_us () < bench->end_us)
    send_request (bench, true, now_us ());
  else if (bench->closed_loop && bench->open == 0)
    ev_break (bench->loop, EVBREAK_ALL);
}

static const lt_transfer_vtable_t vtable = { .on_header = on_header,
                                             .on_body = on_body,
                                             .on_done = on_done,
                                             .on_send = on_send };

static void
send_request (bench_t *bench, bool through_proxy, int64_t due_us)
{
  call_t *call = lt_alloc (sizeof (*call));
  call->bench = bench;
  call->histogram = through_proxy ? bench->proxy : bench->direct;
  call->due_us = due_us;
  lt_transfer_options_t transfer = {
    .address = through_proxy ? bench->options.proxy : bench->options.direct,
    .method = STR_LIT ("GET"),
    .target = bench->options.path,
    .headers = &bench->headers,
    .timeout_ms = REQUEST_TIMEOUT_MS,
  };
  bench->open++;
  lt_upstream_client_send (bench->client, &transfer, &vtable, call);
}

/* Poisson arrivals; every arrival sends one request directly and one through
   the proxy, in random order, so that both see the same load.  */
static void
on_arrival (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)events;
  bench_t *bench = watcher->data;
  int64_t now = now_us ();
  while (bench->next_us <= now && bench->next_us < bench->end_us)
    {
      bool first = lt_rng_below (&bench->rng, 2) == 0;
      send_request (bench, first, now);
      send_request (bench, !first, now);
      bench->next_us += (int64_t)lt_rng_exponential (
          &bench->rng, 1e6 / (double)bench->options.rate);
    }
  if (now >= bench->end_us + SETTLE_S * LT_US_PER_S)
    {
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  int64_t wait_us = bench->next_us - now;
  if (bench->next_us >= bench->end_us)
    wait_us = LT_US_PER_S / 10;
  ev_timer_set (watcher, wait_us > 0 ? (double)wait_us / 1e6 : 0.0, 0.0);
  ev_timer_start (loop, watcher);
}

static void
print_row (const char *name, const lt_histogram_t *histogram)
{
  printf ("%-7s n=%llu p50=%lld us p99=%lld us p99.9=%lld us\n", name,
          (unsigned long long)histogram->count,
          (long long)lt_histogram_quantile (histogram, 0.50),
          (long long)lt_histogram_quantile (histogram, 0.99),
          (long long)lt_histogram_quantile (histogram, 0.999));
}

static double
process_cpu_s (int64_t pid)
{
  char name[64];
  snprintf (name, sizeof (name), "/proc/%lld/stat", (long long)pid);
  FILE *file = fopen (name, "r");
  unsigned long user = 0;
  unsigned long system = 0;
  if (file == NULL)
    return 0;
  if (fscanf (file,
              "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
              &user, &system)
      != 2)
    user = system = 0;
  fclose (file);
  return (double)(user + system) / (double)sysconf (_SC_CLK_TCK);
}

static int64_t
process_rss_kib (int64_t pid)
{
  char name[64];
  char line[256];
  long long kib = 0;
  snprintf (name, sizeof (name), "/proc/%lld/status", (long long)pid);
  FILE *file = fopen (name, "r");
  if (file == NULL)
    return 0;
  while (fgets (line, sizeof (line), file) != NULL)
    if (sscanf (line, "VmRSS: %lld kB", &kib) == 1)
      break;
  fclose (file);
  return kib;
}

static void
run_latency (bench_t *bench)
{
  bench->next_us = now_us ();
  bench->end_us = bench->next_us + bench->options.seconds * LT_US_PER_S;
  double cpu_before = process_cpu_s (bench->options.pid);
  ev_timer_init (&bench->arrival, on_arrival, 0.0, 0.0);
  bench->arrival.data = bench;
  ev_timer_start (bench->loop, &bench->arrival);
  ev_run (bench->loop, 0);
  print_row ("direct", bench->direct);
  print_row ("proxy", bench->proxy);
  printf ("added   rate=%lld/s seed=%lld p50=%lld us p99=%lld us "
          "p99.9=%lld us failed=%lld cpu=%.1f us/request\n",
          (long long)bench->options.rate, (long long)bench->options.seed,
          (long long)(lt_histogram_quantile (bench->proxy, 0.50)
                      - lt_histogram_quantile (bench->direct, 0.50)),
          (long long)(lt_histogram_quantile (bench->proxy, 0.99)
                      - lt_histogram_quantile (bench->direct, 0.99)),
          (long long)(lt_histogram_quantile (bench->proxy, 0.999)
                      - lt_histogram_quantile (bench->direct, 0.999)),
          (long long)bench->failed,
          (process_cpu_s (bench->options.pid) - cpu_before) * 1e6
              / (double)bench->proxy->count);
}

static void
run_saturate (bench_t *bench)
{
  int64_t start_us = now_us ();
  double cpu_before = process_cpu_s (bench->options.pid);
  bench->closed_loop = true;
  bench->end_us = start_us + bench->options.seconds * LT_US_PER_S;
  for (int64_t i = 0; i < bench->options.count; i++)
    send_request (bench, true, start_us);
  ev_run (bench->loop, 0);
  double wall_s = (double)(now_us () - start_us) / 1e6;
  double cpu_s = process_cpu_s (bench->options.pid) - cpu_before;
  printf ("saturate in_flight=%lld completed=%lld failed=%lld "
          "rate=%.0f/s per_core=%.0f/s cpu_share=%.2f p99=%lld us\n",
          (long long)bench->options.count, (long long)bench->completed,
          (long long)bench->failed, (double)bench->completed / wall_s,
          cpu_s > 0 ? (double)bench->completed / cpu_s : 0.0, cpu_s / wall_s,
          (long long)lt_histogram_quantile (bench->proxy, 0.99));
}

/* Opens COUNT connections; each gets one answered request when LINE is
   complete, or stays in flight on a slow upstream.  */
static void
run_memory (bench_t *bench, bool in_flight)
{
  struct sockaddr_in address;
  lt_buf_t line = { 0 };
  int64_t count = bench->options.count;
  int64_t before_kib = process_rss_kib (bench->options.pid);
  int *sockets = lt_alloc (sizeof (int) * (size_t)count);
  lt_parse_address (bench->options.proxy, &address);
  lt_buf_printf (&line,
                 "GET %.*s HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer "
                 "%.*s\r\n\r\n",
                 STR_ARG (bench->options.path), STR_ARG (bench->options.key));
  for (int64_t i = 0; i < count; i++)
    {
      char answer[4096];
      sockets[i] = socket (AF_INET, SOCK_STREAM, 0);
      if (connect (sockets[i], (struct sockaddr *)&address, sizeof (address))
              != 0
          || write (sockets[i], line.data, line.len) < 0)
        break;
      if (!in_flight && read (sockets[i], answer, sizeof (answer)) <= 0)
        break;
    }
  sleep (1);
  int64_t after_kib = process_rss_kib (bench->options.pid);
  printf ("memory %s count=%lld rss %lld -> %lld KiB: %.2f KiB each\n",
          in_flight ? "in-flight" : "idle", (long long)count,
          (long long)before_kib, (long long)after_kib,
          (double)(after_kib - before_kib) / (double)count);
  for (int64_t i = 0; i < count; i++)
    close (sockets[i]);
  free (sockets);
  lt_buf_destroy (&line);
}

static const struct argp_option flags[] = {
  { "mode", 'm', "MODE", 0, "latency, saturate, idle or in-flight", 0 },
  { "direct", 'd', "IP:PORT", 0, "Upstream", 0 },
  { "proxy", 'p', "IP:PORT", 0, "Daemon", 0 },
  { "path", 'P', "PATH", 0, "Request path", 0 },
  { "key", 'k', "KEY", 0, "Caller's key", 0 },
  { "rate", 'r', "N", 0, "Requests per second", 0 },
  { "seconds", 's', "N", 0, "Duration", 0 },
  { "count", 'c', "N", 0, "Requests in flight or connections", 0 },
  { "pid", 'i', "PID", 0, "Process of the daemon", 0 },
  { "seed", 'S', "N", 0, "Seed of the arrivals", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  options_t *o = state->input;
  str_t text = str_from (arg);
  switch (key)
    {
    case 'm':
      o->mode = arg;
      return 0;
    case 'd':
      o->direct = text;
      return 0;
    case 'p':
      o->proxy = text;
      return 0;
    case 'P':
      o->path = text;
      return 0;
    case 'k':
      o->key = text;
      return 0;
    case 'r':
      return str_to_i64 (text, &o->rate) == 0 ? 0 : EINVAL;
    case 's':
      return str_to_i64 (text, &o->seconds) == 0 ? 0 : EINVAL;
    case 'c':
      return str_to_i64 (text, &o->count) == 0 ? 0 : EINVAL;
    case 'i':
      return str_to_i64 (text, &o->pid) == 0 ? 0 : EINVAL;
    case 'S':
      return str_to_i64 (text, &o->seed) == 0 ? 0 : EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  bench_t bench = { .options = { .mode = "latency",
                                 .direct = STR_LIT ("127.0.0.1:19001"),
                                 .proxy = STR_LIT ("127.0.0.1:18080"),
                                 .path = STR_LIT ("/quotes/1"),
                                 .key = STR_LIT ("demo-key-1"),
                                 .rate = 100,
                                 .seconds = 5,
                                 .count = 64,
                                 .seed = 1 } };
  struct argp argp = { .options = flags, .parser = parse_option };
  argp_parse (&argp, argc, argv, 0, NULL, &bench.options);
  bench.loop = ev_default_loop (EVFLAG_AUTO);
  bench.direct = lt_alloc (sizeof (*bench.direct));
  bench.proxy = lt_alloc (sizeof (*bench.proxy));
  lt_rng_init (&bench.rng, (uint64_t)bench.options.seed);
  lt_upstream_client_create (bench.loop, &bench.client);
  lt_buf_t bearer = { 0 };
  lt_buf_printf (&bearer, "Bearer %.*s", STR_ARG (bench.options.key));
  lt_header_list_add (&bench.headers, STR_LIT ("Authorization"),
                      lt_buf_str (&bearer));
  lt_buf_destroy (&bearer);
  if (strcmp (bench.options.mode, "latency") == 0)
    run_latency (&bench);
  else if (strcmp (bench.options.mode, "saturate") == 0)
    run_saturate (&bench);
  else
    run_memory (&bench, strcmp (bench.options.mode, "in-flight") == 0);
  lt_header_list_destroy (&bench.headers);
  lt_upstream_client_destroy (bench.client);
  free (bench.direct);
  free (bench.proxy);
  return bench.failed == 0 ? 0 : 1;
}
