#include "caller_linger.h"

#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "lt/base/error.h"
#include "lt/base/log.h"

enum
{
  DISCARD_BYTES = 4096,
  /* Reads at one event, so that a caller that sends fast cannot hold the
     loop.  */
  READS_MAX = 16,
  /* A caller that sends more after the response is reset, as it would cost
     processor time for nothing.  */
  DISCARD_MAX_BYTES = 8 * 1024 * 1024,
  /* Each holds a descriptor.  */
  LINGERING_MAX = 512,
  CHECK_MS = 100
};

struct lt_lingering
{
  lt_lingering_t *prev;
  lt_lingering_t *next;
  lt_linger_t *linger;
  ev_io readable;
  ev_timer check;
  int64_t discarded_bytes;
  int64_t lingered_ms;
};

static void
lingering_close (lt_lingering_t *connection)
{
  lt_linger_t *linger = connection->linger;
  ev_io_stop (linger->loop, &connection->readable);
  ev_timer_stop (linger->loop, &connection->check);
  close (connection->readable.fd);
  DL_DELETE (linger->connections, connection);
  linger->count--;
  free (connection);
}

/* Reads and drops what has arrived, and counts it.  Returns the result of the
   last read.  */
static ssize_t
discard_input (int fd, int64_t *discarded_bytes)
{
  char bytes[DISCARD_BYTES];
  ssize_t got = 1;
  for (int i = 0; i < READS_MAX && got > 0; i++)
    {
      got = recv (fd, bytes, sizeof (bytes), MSG_DONTWAIT);
      *discarded_bytes += got > 0 ? got : 0;
    }
  return got;
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  (void)events;
  lt_lingering_t *connection = io->data;
  ssize_t got = discard_input (io->fd, &connection->discarded_bytes);
  bool again = got < 0 && (errno == EAGAIN || errno == EINTR);
  if ((got <= 0 && !again) || connection->discarded_bytes > DISCARD_MAX_BYTES)
    lingering_close (connection);
}

static void
on_check (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  lt_lingering_t *connection = timer->data;
  connection->lingered_ms += CHECK_MS;
  if (connection->lingered_ms
      >= (lt_socket_has_unread_output (connection->readable.fd)
              ? LT_LINGER_UNREAD_MS
              : LT_LINGER_MS))
    lingering_close (connection);
}

bool
lt_socket_has_unread_output (int fd)
{
  int bytes = 0;
  return ioctl (fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

bool
lt_socket_has_input (int fd)
{
  char byte;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void
lt_linger_add (lt_linger_t *linger, int fd)
{
  if (!lt_socket_has_input (fd) && !lt_socket_has_unread_output (fd))
    return;
  if (linger->count >= LINGERING_MAX)
    /* The head has had the most time.
       NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    lingering_close (linger->connections);
  int copy = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  if (copy < 0)
    {
      lt_log (LT_LOG_WARN, "caller-server",
              "msg=\"cannot linger\" error=\"%s\"", strerror (errno));
      return;
    }
  shutdown (copy, SHUT_WR);
  lt_lingering_t *connection = lt_alloc (sizeof (*connection));
  connection->linger = linger;
  ev_io_init (&connection->readable, on_readable, copy, EV_READ);
  ev_timer_init (&connection->check, on_check, CHECK_MS / 1e3, CHECK_MS / 1e3);
  connection->readable.data = connection;
  connection->check.data = connection;
  ev_io_start (linger->loop, &connection->readable);
  ev_timer_start (linger->loop, &connection->check);
  DL_APPEND (linger->connections, connection);
  linger->count++;
}

bool
lt_linger_has_unread (const lt_linger_t *linger)
{
  const lt_lingering_t *connection;
  DL_FOREACH (linger->connections, connection)
  {
    if (lt_socket_has_unread_output (connection->readable.fd))
      return true;
  }
  return false;
}

void
lt_linger_end (lt_linger_t *linger)
{
  while (linger->connections != NULL)
    /* lingering_close unlinks the head.
       NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    lingering_close (linger->connections);
}
