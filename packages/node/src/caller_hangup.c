#include "caller_hangup.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>

/* Interval between checks while unread bytes wait on the connection.  */
static const ev_tstamp POLL_INTERVAL_S = 0.1;

static void
leave (lt_hangup_watch_t *watch)
{
  lt_hangup_watch_stop (watch);
  watch->vtable->left (watch);
}

static void
on_poll (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  lt_hangup_watch_t *watch = timer->data;
  struct pollfd state = { .fd = watch->readable.fd, .events = POLLRDHUP };
  if (poll (&state, 1, 0) > 0
      && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
    leave (watch);
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  (void)events;
  lt_hangup_watch_t *watch = io->data;
  char byte;
  ssize_t got = recv (io->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      leave (watch);
      return;
    }
  /* The connection stays readable until the next request is read.  */
  ev_io_stop (loop, io);
  ev_timer_again (loop, &watch->poll);
  watch->vtable->request_waiting (watch);
}

void
lt_hangup_watch_start (lt_hangup_watch_t *watch, struct ev_loop *loop, int fd,
                       const lt_hangup_vtable_t *vtable)
{
  watch->vtable = vtable;
  watch->loop = loop;
  ev_io_init (&watch->readable, on_readable, fd, EV_READ);
  ev_timer_init (&watch->poll, on_poll, 0., POLL_INTERVAL_S);
  watch->readable.data = watch;
  watch->poll.data = watch;
  ev_io_start (loop, &watch->readable);
}

void
lt_hangup_watch_stop (lt_hangup_watch_t *watch)
{
  if (watch->loop == NULL)
    return;
  ev_io_stop (watch->loop, &watch->readable);
  ev_timer_stop (watch->loop, &watch->poll);
}
