/** @file
    Bench driver: upstreams lost per crashing request, and healthy requests
    refused because their upstreams died for another reason.  40 VMs, 30
    upstreams, 1,000 healthy requests a second of which a fifth share 10
    fingerprints.  Arguments: SEED [SEED...].  */
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
  HEALTHY_PER_MS = 1
};

typedef struct scenario
{
  const char *name;
  bool quarantine;
  bool plain;          /**< Without waits, good marks and spread. */
  int crash_copies;    /**< Sent at the same time through different VMs. */
  int crash_gap_ms;    /**< Wait of the caller before it sends again. */
  double notice_loss;  /**< Share of notices that do not arrive. */
  int deaths_every_ms; /**< Upstreams that die for another reason. */
  int deaths_at_once;  /**< Spread over 200 ms. */
} scenario_t;

typedef struct flight
{
  lt_digest_t fingerprint;
  bool used;
  bool crashes;
  int copy;
  int vm;
  int upstream;
  int attempts;
  int64_t ends_ms;
} flight_t;

typedef struct letter
{
  int64_t at_ms;
  int from;
  lt_quarantine_notice_t notice;
} letter_t;

typedef struct sim
{
  const scenario_t *scenario;
  lt_rng_t rng;
  lt_quarantine_t *vms[VMS];
  int64_t back_ms[UPSTREAMS]; /**< Up from then on. */
  flight_t flights[IN_FLIGHT_MAX];
  letter_t *letters;
  size_t letter_head;
  size_t letter_tail;
  int64_t copy_due_ms[64]; /**< Next sending of each copy; -1: on its way. */
  int64_t now_ms;
  uint64_t sequence;
  uint64_t healthy;
  uint64_t lost_by_crash;
  uint64_t lost_first_s;
  uint64_t refused_healthy;
  uint64_t failed_healthy;
} sim_t;

static lt_digest_t
fingerprint (uint64_t id)
{
  lt_digest_t digest = { { 0 } };
  memcpy (digest.bytes, &id, sizeof (id));
  return digest;
}

static void
post (sim_t *s, int from, const lt_quarantine_notice_t *notice)
{
  if (s->letter_tail == NOTICES_MAX)
    abort ();
  s->letters[s->letter_tail++]
      = (letter_t){ s->now_ms + NOTICE_MS, from, *notice };
}

static void
deliver (sim_t *s)
{
  while (s->letter_head < s->letter_tail
         && s->letters[s->letter_head].at_ms <= s->now_ms)
    {
      letter_t letter = s->letters[s->letter_head++];
      lt_quarantine_notice_t again;
      for (int i = 0; i < VMS; i++)
        if (i != letter.from
            && lt_rng_unit (&s->rng) >= s->scenario->notice_loss
            && lt_quarantine_on_notice (s->vms[i], &letter.notice,
                                        s->now_ms * LT_US_PER_MS, &again))
          post (s, i, &again);
    }
  if (s->letter_head == s->letter_tail)
    s->letter_head = s->letter_tail = 0;
}

static int64_t
wait_ms (const sim_t *s, const flight_t *f)
{
  int64_t wait_us = lt_quarantine_wait_us (s->vms[f->vm], &f->fingerprint,
                                           s->now_ms * LT_US_PER_MS);
  return (wait_us + LT_US_PER_MS - 1) / LT_US_PER_MS;
}

static void
end (sim_t *s, flight_t *f, bool answered, bool refused)
{
  f->used = false;
  if (f->crashes)
    s->copy_due_ms[f->copy]
        = s->now_ms + wait_ms (s, f) + s->scenario->crash_gap_ms;
  else if (refused)
    s->refused_healthy++;
  else if (!answered)
    s->failed_healthy++;
}

/** Sends an attempt to an upstream that is up; connections to others are
    refused, which is no loss.  */
static void
send_attempt (sim_t *s, flight_t *f)
{
  lt_quarantine_check_result_t check = { 0 };
  if (s->scenario->quarantine)
    check = lt_quarantine_check (s->vms[f->vm], &f->fingerprint,
                                 s->now_ms * LT_US_PER_MS);
  bool refused = check.verdict == LT_QUARANTINE_REFUSED;
  if (refused || f->attempts == ATTEMPTS_MAX)
    {
      end (s, f, false, refused);
      return;
    }
  f->attempts++;
  for (int tries = 0; tries < 100; tries++)
    {
      f->upstream = (int)lt_rng_below (&s->rng, UPSTREAMS);
      if (s->now_ms >= s->back_ms[f->upstream])
        break;
    }
  f->ends_ms = s->now_ms + (f->crashes ? 2 : WORK_MS);
}

static void
start (sim_t *s, lt_digest_t print, int vm, int copy)
{
  for (int i = 0; i < IN_FLIGHT_MAX; i++)
    {
      flight_t *f = &s->flights[i];
      if (f->used)
        continue;
      *f = (flight_t){ .fingerprint = print,
                       .used = true,
                       .crashes = copy >= 0,
                       .copy = copy,
                       .vm = vm };
      send_attempt (s, f);
      return;
    }
  abort ();
}

/** The upstream dies: every request in it loses its connection.  */
static void
kill_upstream (sim_t *s, int upstream)
{
  s->back_ms[upstream] = s->now_ms + RESTART_MS;
  for (int i = 0; i < IN_FLIGHT_MAX; i++)
    {
      flight_t *f = &s->flights[i];
      if (!f->used || f->upstream != upstream)
        continue;
      lt_quarantine_notice_t notice;
      if (lt_quarantine_on_loss (s->vms[f->vm], &f->fingerprint,
                                 (uint64_t)upstream, s->now_ms * LT_US_PER_MS,
                                 &notice))
        post (s, f->vm, &notice);
      f->upstream = -1;
      f->ends_ms = s->now_ms + wait_ms (s, f);
    }
}

static void
advance_flight (sim_t *s, flight_t *f)
{
  if (f->upstream < 0)
    {
      send_attempt (s, f);
      return;
    }
  if (f->crashes)
    {
      s->lost_by_crash++;
      s->lost_first_s += s->now_ms < 1000;
      kill_upstream (s, f->upstream);
      return;
    }
  lt_quarantine_notice_t notice;
  if (lt_quarantine_on_response (s->vms[f->vm], &f->fingerprint,
                                 s->now_ms * LT_US_PER_MS, &notice))
    post (s, f->vm, &notice);
  end (s, f, true, false);
}

static void
other_deaths (sim_t *s)
{
  const scenario_t *c = s->scenario;
  if (c->deaths_every_ms == 0)
    return;
  int64_t phase = s->now_ms % c->deaths_every_ms;
  int spread = 200 / c->deaths_at_once;
  if (phase >= 200 || phase % spread != 0
      || phase / spread >= c->deaths_at_once)
    return;
  int upstream = c->deaths_at_once == 1
                     ? (int)lt_rng_below (&s->rng, UPSTREAMS)
                     : (int)(phase / spread);
  if (s->now_ms >= s->back_ms[upstream])
    kill_upstream (s, upstream);
}

static void
step (sim_t *s)
{
  deliver (s);
  other_deaths (s);
  for (int i = 0; i < IN_FLIGHT_MAX; i++)
    if (s->flights[i].used && s->flights[i].ends_ms <= s->now_ms)
      advance_flight (s, &s->flights[i]);
  for (int i = 0; i < s->scenario->crash_copies; i++)
    if (s->copy_due_ms[i] >= 0 && s->copy_due_ms[i] <= s->now_ms)
      {
        s->copy_due_ms[i] = -1;
        start (s, fingerprint (0), (int)lt_rng_below (&s->rng, VMS), i);
      }
  for (int i = 0; i < HEALTHY_PER_MS; i++)
    {
      bool popular = lt_rng_unit (&s->rng) < 0.2;
      uint64_t id = popular ? 1 + lt_rng_below (&s->rng, POPULAR)
                            : 100 + s->sequence++;
      s->healthy++;
      start (s, fingerprint (id), (int)lt_rng_below (&s->rng, VMS), -1);
    }
}

static void
simulate (uint64_t seed, const scenario_t *scenario)
{
  sim_t *s = lt_alloc (sizeof (*s));
  s->scenario = scenario;
  s->letters = lt_alloc (NOTICES_MAX * sizeof (*s->letters));
  lt_rng_init (&s->rng, seed);
  lt_quarantine_options_t options = LT_QUARANTINE_OPTIONS_DEFAULT;
  if (scenario->plain)
    {
      options.notice_us = 0;
      options.response_memory_us = 0;
      options.end_jitter_us = 0;
      options.trial_us = 0;
    }
  for (int i = 0; i < VMS; i++)
    {
      options.vm = (uint64_t)i + 1;
      s->vms[i] = lt_quarantine_create (&options);
    }
  for (s->now_ms = 0; s->now_ms < SECONDS * 1000LL; s->now_ms++)
    step (s);
  printf ("seed=%llu case=%s lost_by_crash=%llu lost_in_first_s=%llu "
          "healthy=%llu refused_healthy=%llu failed_healthy=%llu\n",
          (unsigned long long)seed, scenario->name,
          (unsigned long long)s->lost_by_crash,
          (unsigned long long)s->lost_first_s, (unsigned long long)s->healthy,
          (unsigned long long)s->refused_healthy,
          (unsigned long long)s->failed_healthy);
  for (int i = 0; i < VMS; i++)
    lt_quarantine_destroy (s->vms[i]);
  free (s->letters);
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
