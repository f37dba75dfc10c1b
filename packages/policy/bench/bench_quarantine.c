/** @file
    Benchmark of quarantine.h in simulated time: upstreams lost to a request
    that crashes them, and harmless requests that are refused because their
    upstreams crashed for another reason.  40 VMs, 30 upstreams and 1,000
    harmless requests per second, a fifth of which share 10 fingerprints.
    Arguments: SEED [SEED...].  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/policy/quarantine.h"

enum
{
  VMS = 40,
  UPSTREAMS = 30,
  POPULAR = 10,
  IN_FLIGHT_MAX = 4096,
  NOTICES_MAX = 65536,
  ATTEMPTS_MAX = 3,
  SECONDS = 600,
  RESTART_MS = 5000,
  WORK_MS = 25,
  NOTICE_MS = 20,
  HARMLESS_PER_MS = 1
};

typedef struct scenario
{
  const char *name;
  bool quarantine;
  bool plain;         /**< Without notice delay, response memory, jitter and
                         trials. */
  int crash_copies;   /**< Copies of the crashing request sent at the same
                         time through different VMs. */
  int crash_gap_ms;   /**< Time before the caller repeats a copy. */
  double notice_loss; /**< Share of notices that are lost. */
  int other_crash_interval_ms; /**< Interval of crashes for another reason; 0:
                                  none. */
  int other_crash_upstreams;   /**< Upstreams per such crash, within 200 ms. */
} scenario_t;

typedef struct request
{
  lt_digest_t fingerprint;
  bool used;
  bool crashes;
  int copy;
  int vm;
  int upstream;
  int attempts;
  int64_t ends_ms;
} request_t;

typedef struct message
{
  int64_t at_ms;
  int from;
  lt_quarantine_notice_t notice;
} message_t;

typedef struct sim
{
  const scenario_t *scenario;
  lt_rng_t rng;
  lt_quarantine_t *vms[VMS];
  int64_t up_ms[UPSTREAMS]; /**< Time at which the restart is done. */
  request_t requests[IN_FLIGHT_MAX];
  message_t *messages;
  size_t message_head;
  size_t message_tail;
  int64_t copy_due_ms[64]; /**< Next send time of each copy; -1: in flight. */
  int64_t now_ms;
  uint64_t sequence;
  uint64_t harmless;
  uint64_t lost_by_crash;
  uint64_t lost_first_s;
  uint64_t refused_harmless;
  uint64_t failed_harmless;
} sim_t;

static lt_digest_t
fingerprint (uint64_t id)
{
  lt_digest_t digest = { { 0 } };
  memcpy (digest.bytes, &id, sizeof (id));
  return digest;
}

static void
send_notice (sim_t *s, int from, const lt_quarantine_notice_t *notice)
{
  if (s->message_tail == NOTICES_MAX)
    abort ();
  s->messages[s->message_tail++]
      = (message_t){ s->now_ms + NOTICE_MS, from, *notice };
}

static void
deliver_notices (sim_t *s)
{
  while (s->message_head < s->message_tail
         && s->messages[s->message_head].at_ms <= s->now_ms)
    {
      message_t message = s->messages[s->message_head++];
      lt_quarantine_notice_t merged;
      for (int i = 0; i < VMS; i++)
        if (i != message.from
            && lt_rng_unit (&s->rng) >= s->scenario->notice_loss
            && lt_quarantine_on_notice (s->vms[i], &message.notice,
                                        s->now_ms * LT_US_PER_MS, &merged))
          send_notice (s, i, &merged);
    }
  if (s->message_head == s->message_tail)
    s->message_head = s->message_tail = 0;
}

static int64_t
wait_ms (const sim_t *s, const request_t *r)
{
  int64_t wait_us = lt_quarantine_notice_wait_us (
      s->vms[r->vm], &r->fingerprint, s->now_ms * LT_US_PER_MS);
  return (wait_us + LT_US_PER_MS - 1) / LT_US_PER_MS;
}

static void
end_request (sim_t *s, request_t *r, bool answered, bool refused)
{
  r->used = false;
  if (r->crashes)
    s->copy_due_ms[r->copy]
        = s->now_ms + wait_ms (s, r) + s->scenario->crash_gap_ms;
  else if (refused)
    s->refused_harmless++;
  else if (!answered)
    s->failed_harmless++;
}

/** Sends an attempt to an upstream that is up.  Connections to others are
    refused, which does not count as a loss.  */
static void
send_attempt (sim_t *s, request_t *r)
{
  lt_quarantine_check_result_t check = { 0 };
  if (s->scenario->quarantine)
    check = lt_quarantine_check (s->vms[r->vm], &r->fingerprint,
                                 s->now_ms * LT_US_PER_MS);
  bool refused = check.verdict == LT_QUARANTINE_REFUSED;
  if (refused || r->attempts == ATTEMPTS_MAX)
    {
      end_request (s, r, false, refused);
      return;
    }
  r->attempts++;
  for (int tries = 0; tries < 100; tries++)
    {
      r->upstream = (int)lt_rng_below (&s->rng, UPSTREAMS);
      if (s->now_ms >= s->up_ms[r->upstream])
        break;
    }
  r->ends_ms = s->now_ms + (r->crashes ? 2 : WORK_MS);
}

static void
start_request (sim_t *s, lt_digest_t digest, int vm, int copy)
{
  for (int i = 0; i < IN_FLIGHT_MAX; i++)
    {
      request_t *r = &s->requests[i];
      if (r->used)
        continue;
      *r = (request_t){ .fingerprint = digest,
                        .used = true,
                        .crashes = copy >= 0,
                        .copy = copy,
                        .vm = vm };
      send_attempt (s, r);
      return;
    }
  abort ();
}

/** Crashes UPSTREAM, which resets the connections of all requests on it.  */
static void
crash_upstream (sim_t *s, int upstream)
{
  s->up_ms[upstream] = s->now_ms + RESTART_MS;
  for (int i = 0; i < IN_FLIGHT_MAX; i++)
    {
      request_t *r = &s->requests[i];
      if (!r->used || r->upstream != upstream)
        continue;
      lt_quarantine_notice_t notice;
      if (lt_quarantine_on_loss (s->vms[r->vm], &r->fingerprint,
                                 (uint64_t)upstream, s->now_ms * LT_US_PER_MS,
                                 &notice))
        send_notice (s, r->vm, &notice);
      r->upstream = -1;
      r->ends_ms = s->now_ms + wait_ms (s, r);
    }
}

static void
advance_request (sim_t *s, request_t *r)
{
  if (r->upstream < 0)
    {
      send_attempt (s, r);
      return;
    }
  if (r->crashes)
    {
      s->lost_by_crash++;
      s->lost_first_s += s->now_ms < 1000;
      crash_upstream (s, r->upstream);
      return;
    }
  lt_quarantine_notice_t notice;
  if (lt_quarantine_on_response (s->vms[r->vm], &r->fingerprint,
                                 s->now_ms * LT_US_PER_MS, &notice))
    send_notice (s, r->vm, &notice);
  end_request (s, r, true, false);
}

static void
crash_for_other_reason (sim_t *s)
{
  const scenario_t *c = s->scenario;
  if (c->other_crash_interval_ms == 0)
    return;
  int64_t phase = s->now_ms % c->other_crash_interval_ms;
  int spread = 200 / c->other_crash_upstreams;
  if (phase >= 200 || phase % spread != 0
      || phase / spread >= c->other_crash_upstreams)
    return;
  int upstream = c->other_crash_upstreams == 1
                     ? (int)lt_rng_below (&s->rng, UPSTREAMS)
                     : (int)(phase / spread);
  if (s->now_ms >= s->up_ms[upstream])
    crash_upstream (s, upstream);
}

static void
step (sim_t *s)
{
  deliver_notices (s);
  crash_for_other_reason (s);
  for (int i = 0; i < IN_FLIGHT_MAX; i++)
    if (s->requests[i].used && s->requests[i].ends_ms <= s->now_ms)
      advance_request (s, &s->requests[i]);
  for (int i = 0; i < s->scenario->crash_copies; i++)
    if (s->copy_due_ms[i] >= 0 && s->copy_due_ms[i] <= s->now_ms)
      {
        s->copy_due_ms[i] = -1;
        start_request (s, fingerprint (0), (int)lt_rng_below (&s->rng, VMS),
                       i);
      }
  for (int i = 0; i < HARMLESS_PER_MS; i++)
    {
      bool popular = lt_rng_unit (&s->rng) < 0.2;
      uint64_t id = popular ? 1 + lt_rng_below (&s->rng, POPULAR)
                            : 100 + s->sequence++;
      s->harmless++;
      start_request (s, fingerprint (id), (int)lt_rng_below (&s->rng, VMS),
                     -1);
    }
}

static void
simulate (uint64_t seed, const scenario_t *scenario)
{
  sim_t *s = lt_alloc (sizeof (*s));
  s->scenario = scenario;
  s->messages = lt_alloc (NOTICES_MAX * sizeof (*s->messages));
  lt_rng_init (&s->rng, seed);
  lt_quarantine_options_t options = LT_QUARANTINE_OPTIONS_DEFAULT;
  if (scenario->plain)
    {
      options.notice_delay_us = 0;
      options.response_memory_us = 0;
      options.end_jitter_us = 0;
      options.trial_us = 0;
    }
  for (int i = 0; i < VMS; i++)
    {
      options.vm_hash = (uint64_t)i + 1;
      s->vms[i] = lt_quarantine_create (&options);
    }
  for (s->now_ms = 0; s->now_ms < SECONDS * 1000LL; s->now_ms++)
    step (s);
  printf ("seed=%llu case=%s lost_by_crash=%llu lost_in_first_s=%llu "
          "healthy=%llu refused_healthy=%llu failed_healthy=%llu\n",
          (unsigned long long)seed, scenario->name,
          (unsigned long long)s->lost_by_crash,
          (unsigned long long)s->lost_first_s, (unsigned long long)s->harmless,
          (unsigned long long)s->refused_harmless,
          (unsigned long long)s->failed_harmless);
  for (int i = 0; i < VMS; i++)
    lt_quarantine_destroy (s->vms[i]);
  free (s->messages);
  free (s);
}

int
main (int argc, char **argv)
{
  static const scenario_t scenarios[] = {
    { "crash,off,gap=1s", false, true, 1, 1000, 0, 0, 1 },
    { "crash,plain,gap=1s", true, true, 1, 1000, 0, 0, 1 },
    { "crash,on,gap=1s", true, false, 1, 1000, 0, 0, 1 },
    { "crash,plain,gap=1ms", true, true, 1, 1, 0, 0, 1 },
    { "crash,on,gap=1ms", true, false, 1, 1, 0, 0, 1 },
    { "crash,plain,gap=1ms,copies=4", true, true, 4, 1, 0, 0, 1 },
    { "crash,on,gap=1ms,copies=4", true, false, 4, 1, 0, 0, 1 },
    { "crash,plain,gap=1ms,copies=16", true, true, 16, 1, 0, 0, 1 },
    { "crash,on,gap=1ms,copies=16", true, false, 16, 1, 0, 0, 1 },
    { "crash,on,gap=1s,notice_loss=20%", true, false, 1, 1000, 0.2, 0, 1 },
    { "crash,on,gap=1s,notice_loss=100%", true, false, 1, 1000, 1, 0, 1 },
    { "one_death_every_10s,plain", true, true, 0, 0, 0, 10000, 1 },
    { "one_death_every_10s,on", true, false, 0, 0, 0, 10000, 1 },
    { "15_deaths_in_200ms_every_60s,plain", true, true, 0, 0, 0, 60000, 15 },
    { "15_deaths_in_200ms_every_60s,on", true, false, 0, 0, 0, 60000, 15 },
  };
  for (int i = 1; i < (argc > 1 ? argc : 2); i++)
    {
      uint64_t seed = argc > 1 ? strtoull (argv[i], NULL, 10) : 1;
      for (size_t j = 0; j < sizeof (scenarios) / sizeof (scenarios[0]); j++)
        simulate (seed, &scenarios[j]);
    }
  return 0;
}
