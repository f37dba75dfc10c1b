/* CPU time per frame on an open session: seal_ns to encode a frame with its
   MAC, open_ns to verify and decode it.  Prints one line per payload size.
   usage: wire_bench_wire [frames]  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "lt/wire/session.h"

enum
{
  BATCH = 16
};

static const size_t sizes[] = { 64, 256, 1024, 16384, 262144 };

static double
cpu_now_ns (void)
{
  struct timespec at;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &at);
  return (double)at.tv_sec * 1e9 + (double)at.tv_nsec;
}

static lt_session_t *
create (bool connecting, unsigned char nonce)
{
  lt_session_options_t options
      = { .connecting = connecting,
          .secret = STR_LIT ("bench-secret"),
          .self = { .vm_id = connecting ? STR_LIT ("vm-1") : STR_LIT ("vm-2"),
                    .incarnation = 1,
                    .region = STR_LIT ("vest"),
                    .failure_domain = STR_LIT ("vest-a"),
                    .peer_address = STR_LIT ("127.0.0.1:1") },
          .nonce = { nonce } };
  return lt_session_create (&options);
}

/* Passes the output of FROM to TO.  Returns the number of frames that TO has
   decoded, without the handshake.  */
static size_t
transfer (lt_session_t *from, lt_session_t *to)
{
  lt_buf_t *output = lt_session_output (from);
  lt_session_receive (to, lt_buf_str (output));
  lt_buf_clear (output);
  lt_session_event_t event;
  size_t frames = 0;
  while (lt_session_next (to, &event))
    frames += event.type == LT_SESSION_FRAME;
  return frames;
}

int
main (int argc, char **argv)
{
  long wanted = argc > 1 ? strtol (argv[1], NULL, 10) : 200000;
  lt_session_t *a = create (true, 1);
  lt_session_t *b = create (false, 2);
  transfer (a, b);
  transfer (b, a);
  transfer (a, b);
  for (size_t s = 0; s < sizeof (sizes) / sizeof (sizes[0]); s++)
    {
      char *payload = lt_alloc (sizes[s]);
      long frames = wanted * 64 / (long)(64 + sizes[s] / 16) + BATCH;
      long received = 0;
      double seal_ns = 0;
      double open_ns = 0;
      for (long i = 0; i < frames; i += BATCH)
        {
          double start_ns = cpu_now_ns ();
          for (int j = 0; j < BATCH; j++)
            lt_session_send (a, LT_MESSAGE_EVIDENCE, 1,
                             str_make (payload, sizes[s]));
          double sealed_ns = cpu_now_ns ();
          received += (long)transfer (a, b);
          open_ns += cpu_now_ns () - sealed_ns;
          seal_ns += sealed_ns - start_ns;
        }
      printf ("payload_bytes=%zu frames=%ld seal_ns=%.0f open_ns=%.0f\n",
              sizes[s], received, seal_ns / (double)received,
              open_ns / (double)received);
      free (payload);
    }
  lt_session_destroy (a);
  lt_session_destroy (b);
  return 0;
}
