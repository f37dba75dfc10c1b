/** @file
    Peak memory of a daemon under uploads: opens connections that each send a
    body without its last byte, and waits until the daemon takes no more.  */
#include <argp.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lt/base/str.h"
#include "lt/node/settings.h"

enum
{
  QUIET_POLLS = 10,
  POLL_MS = 100,
  BLOCK_BYTES = 64 * 1024
};

typedef struct options
{
  str_t proxy;
  str_t path;
  str_t key;
  int64_t count;
  int64_t bytes;
  int64_t pid;
} options_t;

typedef struct upload
{
  size_t head_at;
  int64_t left;
  bool closed;
} upload_t;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  options_t *options = state->input;
  str_t text = str_from (arg);
  switch (key)
    {
    case 'p':
      options->proxy = text;
      return 0;
    case 'P':
      options->path = text;
      return 0;
    case 'k':
      options->key = text;
      return 0;
    case 'c':
      return str_to_i64 (text, &options->count) == 0 ? 0 : EINVAL;
    case 'b':
      return str_to_i64 (text, &options->bytes) == 0 ? 0 : EINVAL;
    case 'i':
      return str_to_i64 (text, &options->pid) == 0 ? 0 : EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static long
peak_kib (int64_t pid)
{
  char path[64];
  char line[256];
  long kib = 0;
  snprintf (path, sizeof (path), "/proc/%lld/status", (long long)pid);
  FILE *file = fopen (path, "re");
  while (file != NULL && fgets (line, sizeof (line), file) != NULL)
    if (strncmp (line, "VmHWM:", 6) == 0)
      kib = strtol (line + 6, NULL, 10);
  if (file != NULL)
    fclose (file);
  return kib;
}

/* Sends what the socket takes.  Returns the number of bytes.  */
static int64_t
push (int fd, upload_t *upload, str_t head)
{
  static const char block[BLOCK_BYTES];
  int64_t sent = 0;
  for (;;)
    {
      bool in_head = upload->head_at < head.len;
      size_t len = in_head                      ? head.len - upload->head_at
                   : upload->left < BLOCK_BYTES ? (size_t)upload->left
                                                : BLOCK_BYTES;
      if (len == 0)
        return sent;
      const char *from = in_head ? head.data + upload->head_at : block;
      ssize_t got = send (fd, from, len, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (got < 0)
        {
          upload->closed = errno != EAGAIN && errno != EINTR;
          return sent;
        }
      sent += got;
      if (in_head)
        upload->head_at += (size_t)got;
      else
        upload->left -= got;
    }
}

/* Sends until nothing was taken for a second.  Returns the bytes sent.  */
static int64_t
push_all (struct pollfd *sockets, upload_t *uploads, int64_t count, str_t head)
{
  int64_t sum = 0;
  for (int quiet = 0; quiet < QUIET_POLLS;)
    {
      int64_t sent = 0;
      poll (sockets, (nfds_t)count, POLL_MS);
      for (int64_t i = 0; i < count; i++)
        {
          if ((sockets[i].revents & (POLLOUT | POLLERR | POLLHUP)) == 0)
            continue;
          sent += push (sockets[i].fd, &uploads[i], head);
          if (uploads[i].closed
              || (uploads[i].left == 0 && uploads[i].head_at == head.len))
            sockets[i].events = 0;
          if (uploads[i].closed)
            sockets[i].fd = -sockets[i].fd;
        }
      quiet = sent > 0 ? 0 : quiet + 1;
      if (sent == 0)
        usleep (POLL_MS * 1000);
      sum += sent;
    }
  return sum;
}

static int
run (const options_t *options)
{
  struct sockaddr_in address;
  lt_buf_t head = { 0 };
  if (lt_parse_address (options->proxy, &address) != 0)
    return EXIT_FAILURE;
  lt_buf_printf (&head,
                 "POST %.*s HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer "
                 "%.*s\r\nContent-Length: %lld\r\n\r\n",
                 STR_ARG (options->path), STR_ARG (options->key),
                 (long long)options->bytes);
  size_t count = (size_t)options->count;
  struct pollfd *sockets = lt_alloc (count * sizeof (*sockets));
  upload_t *uploads = lt_alloc (count * sizeof (*uploads));
  for (size_t i = 0; i < count; i++)
    {
      sockets[i].fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockets[i].events = POLLOUT;
      uploads[i].left = options->bytes - 1;
      if (connect (sockets[i].fd, (struct sockaddr *)&address,
                   sizeof (address))
          != 0)
        return EXIT_FAILURE;
    }
  int64_t sent
      = push_all (sockets, uploads, options->count, lt_buf_str (&head));
  int64_t closed = 0;
  for (size_t i = 0; i < count; i++)
    closed += uploads[i].closed;
  printf ("uploads=%lld bytes=%lld sent_mib=%lld closed=%lld peak_mib=%ld\n",
          (long long)options->count, (long long)options->bytes,
          (long long)(sent / 1024 / 1024), (long long)closed,
          peak_kib (options->pid) / 1024);
  lt_buf_destroy (&head);
  free (sockets);
  free (uploads);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  options_t options = { .proxy = STR_LIT ("127.0.0.1:18080"),
                        .path = STR_LIT ("/orders"),
                        .key = STR_LIT ("demo-key-1"),
                        .count = 10,
                        .bytes = 8 * 1024 * 1024 };
  static const struct argp_option table[] = {
    { "proxy", 'p', "IP:PORT", 0, "Daemon", 0 },
    { "path", 'P', "PATH", 0, "Request path", 0 },
    { "key", 'k', "KEY", 0, "Caller's key", 0 },
    { "count", 'c', "N", 0, "Uploads at once", 0 },
    { "bytes", 'b', "N", 0, "Length of each body", 0 },
    { "pid", 'i', "PID", 0, "Process of the daemon", 0 },
    { 0 },
  };
  struct argp argp = { .options = table, .parser = parse_option };
  if (argp_parse (&argp, argc, argv, 0, NULL, &options) != 0)
    return EXIT_FAILURE;
  return run (&options);
}
