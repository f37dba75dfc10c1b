#include "http_loop.h"

#include <stdio.h>

#include "lt/base/error.h"
#include "lt/base/log.h"

static void
run_daemon (lt_http_loop_t *http)
{
  http->run_needed = false;
  http->runs++;
  MHD_run (http->daemon);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  (void)events;
  lt_http_loop_t *http = watcher->data;
  if (http->run_needed)
    run_daemon (http);
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  ev_timer_stop (loop, &http->timeout);
  if (MHD_get_timeout (http->daemon, &timeout_ms) != MHD_YES)
    return;
  ev_timer_set (&http->timeout, (double)timeout_ms / 1000.0, 0.0);
  ev_timer_start (loop, &http->timeout);
}

int
lt_http_loop_start (lt_http_loop_t *http, struct ev_loop *loop,
                    struct MHD_Daemon *daemon)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_EPOLL_FD);
  if (info == NULL)
    return -LT_EIO;
  http->loop = loop;
  http->daemon = daemon;
  ev_io_init (&http->readable, on_readable, info->epoll_fd, EV_READ);
  ev_timer_init (&http->timeout, on_timeout, 0.0, 0.0);
  ev_prepare_init (&http->prepare, on_prepare);
  http->readable.data = http;
  http->timeout.data = http;
  http->prepare.data = http;
  ev_io_start (loop, &http->readable);
  ev_prepare_start (loop, &http->prepare);
  return 0;
}

void
lt_http_loop_wake (lt_http_loop_t *http)
{
  if (http->run_needed)
    return;
  http->run_needed = true;
  ev_feed_event (http->loop, &http->timeout, EV_TIMER);
}

void
lt_http_loop_stop (lt_http_loop_t *http)
{
  if (http->daemon == NULL)
    return;
  ev_io_stop (http->loop, &http->readable);
  ev_timer_stop (http->loop, &http->timeout);
  ev_clear_pending (http->loop, &http->timeout);
  ev_prepare_stop (http->loop, &http->prepare);
  MHD_stop_daemon (http->daemon);
  http->daemon = NULL;
}

uint16_t
lt_http_loop_port (const lt_http_loop_t *http)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info == NULL ? 0 : info->port;
}

void
lt_http_loop_log (void *cls, const char *format, va_list args)
{
  (void)cls;
  char text[256];
  int len = vsnprintf (text, sizeof (text), format, args);
  if (len <= 0)
    return;
  str_t line = str_trim (str_from (text));
  lt_log (LT_LOG_DEBUG, "http", "msg=\"%.*s\"", STR_ARG (line));
}
