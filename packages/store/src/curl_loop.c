#include "lt/store/curl_loop.h"

#include <ev.h>
#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/base/str.h"

struct lt_curl_loop
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  int depth; /* Nesting of calls into libcurl. */
  const lt_curl_loop_vtable_t *vtable;
  void *user;
};

/* A socket that libcurl wants monitored.  */
typedef struct watch
{
  lt_curl_loop_t *curl;
  ev_io io;
} watch_t;

static void
report_ended (lt_curl_loop_t *curl)
{
  int left = 0;
  CURLMsg *message;
  while ((message = curl_multi_info_read (curl->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      curl->vtable->ended (curl->user, message->easy_handle,
                           message->data.result);
}

static void
socket_action (lt_curl_loop_t *curl, curl_socket_t fd, int mask)
{
  int running = 0;
  curl->depth++;
  curl_multi_socket_action (curl->multi, fd, mask, &running);
  curl->depth--;
  if (curl->vtable->progressed != NULL)
    curl->vtable->progressed (curl->user);
  report_ended (curl);
}

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  watch_t *watch = io->data;
  int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0)
             | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  socket_action (watch->curl, io->fd, mask);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  socket_action (timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timer (CURLM *multi, long timeout_ms, void *user)
{
  (void)multi;
  lt_curl_loop_t *curl = user;
  ev_timer_stop (curl->loop, &curl->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&curl->timer, (double)timeout_ms / 1000.0, 0.0);
  ev_timer_start (curl->loop, &curl->timer);
  return 0;
}

static int
set_socket (CURL *easy, curl_socket_t fd, int what, void *user, void *socket)
{
  (void)easy;
  lt_curl_loop_t *curl = user;
  watch_t *watch = socket;
  if (watch != NULL)
    ev_io_stop (curl->loop, &watch->io);
  if (what == CURL_POLL_REMOVE)
    {
      free (watch);
      curl_multi_assign (curl->multi, fd, NULL);
      return 0;
    }
  if (watch == NULL)
    {
      watch = lt_alloc (sizeof (*watch));
      watch->curl = curl;
      ev_io_init (&watch->io, on_io, fd, 0);
      watch->io.data = watch;
      curl_multi_assign (curl->multi, fd, watch);
    }
  int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0)
               | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  ev_io_set (&watch->io, fd, events);
  ev_io_start (curl->loop, &watch->io);
  return 0;
}

int
lt_curl_loop_create (struct ev_loop *loop, const lt_curl_loop_vtable_t *vtable,
                     void *user, lt_curl_loop_t **result)
{
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return -LT_EIO;
  lt_curl_loop_t *curl = lt_alloc (sizeof (*curl));
  curl->loop = loop;
  curl->vtable = vtable;
  curl->user = user;
  curl->multi = curl_multi_init ();
  if (curl->multi == NULL)
    {
      free (curl);
      curl_global_cleanup ();
      return -LT_EIO;
    }
  ev_timer_init (&curl->timer, on_timer, 0.0, 0.0);
  curl->timer.data = curl;
  curl_multi_setopt (curl->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
  curl_multi_setopt (curl->multi, CURLMOPT_SOCKETDATA, curl);
  curl_multi_setopt (curl->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (curl->multi, CURLMOPT_TIMERDATA, curl);
  *result = curl;
  return 0;
}

void
lt_curl_loop_destroy (lt_curl_loop_t *curl)
{
  if (curl == NULL)
    return;
  ev_timer_stop (curl->loop, &curl->timer);
  curl_multi_cleanup (curl->multi);
  free (curl);
  curl_global_cleanup ();
}

CURLM *
lt_curl_loop_multi (lt_curl_loop_t *curl)
{
  return curl->multi;
}

/* libcurl sets timers relative to the current time, libev relative to the
   time cached at the start of the loop iteration, so refresh that first.  */
int
lt_curl_loop_add (lt_curl_loop_t *curl, CURL *easy)
{
  ev_now_update (curl->loop);
  return curl_multi_add_handle (curl->multi, easy) == CURLM_OK ? 0 : -LT_EIO;
}

bool
lt_curl_loop_in_libcurl (const lt_curl_loop_t *curl)
{
  return curl->depth > 0;
}

void
lt_curl_loop_unpause (lt_curl_loop_t *curl, CURL *easy)
{
  curl->depth++;
  curl_easy_pause (easy, CURLPAUSE_CONT);
  curl->depth--;
}
