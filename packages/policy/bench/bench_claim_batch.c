/** @file
    Bench driver: table writes per claim with group commit.  One VM, Poisson
    arrivals; each claim is an insert and, after the upstream's latency, an
    update with the outcome.  Arguments: SEED CLAIMS_PER_S RTT_MS REPEAT_SHARE.
  */
#include <stdio.h>
#include <stdlib.h>

#include "lt/base/clock.h"
#include "lt/base/metrics.h"
#include "lt/base/rng.h"
#include "lt/policy/claim_batch.h"

enum
{
  CLAIMS = 20000,
  UPSTREAM_US = 40000,
  OP_BYTES = 400,
  OPEN_MAX = 16
};

typedef struct op
{
  int64_t ready_us;
  bool refused; /**< Repeats are refused by their condition. */
  bool update;
} op_t;

typedef struct transaction
{
  lt_claim_batch_op_t ops[100];
  size_t count;
  int64_t ends_us;
} transaction_t;

typedef struct bench
{
  lt_claim_batch_t *batch;
  lt_claim_batch_options_t options;
  transaction_t open[OPEN_MAX];
  op_t *ops;      /**< 2 per claim. */
  op_t **updates; /**< Waiting for the upstream, in time order. */
  size_t update_head;
  size_t update_tail;
  int64_t rtt_us;
  uint64_t writes;
  uint64_t items;
  lt_histogram_t wait;
} bench_t;

static void
add (bench_t *b, op_t *op)
{
  lt_claim_batch_op_t waiting
      = { .key = (uint64_t)(op - b->ops), .bytes = OP_BYTES, .user = op };
  if (lt_claim_batch_add (b->batch, &waiting) != 0)
    abort ();
}

static void
take (bench_t *b, int64_t now_us)
{
  for (size_t i = 0; i < b->options.pending_max; i++)
    {
      transaction_t *t = &b->open[i];
      if (t->count > 0)
        continue;
      t->count = lt_claim_batch_take (b->batch, t->ops);
      if (t->count == 0)
        return;
      t->ends_us = now_us + b->rtt_us;
      b->writes++;
      b->items += t->count;
    }
}

static void
settle (bench_t *b, op_t *op, int64_t now_us)
{
  lt_histogram_add (&b->wait, now_us - op->ready_us);
  if (op->refused || op->update)
    return;
  op_t *update = op + 1;
  update->ready_us = now_us + UPSTREAM_US;
  b->updates[b->update_tail++] = update;
}

static void
end (bench_t *b, transaction_t *t, int64_t now_us)
{
  size_t count = t->count;
  t->count = 0;
  for (size_t i = 0; i < count; i++)
    {
      op_t *op = t->ops[i].user;
      if (!op->refused)
        continue;
      settle (b, op, now_us);
      lt_claim_batch_refused (b->batch, t->ops, count, i);
      return;
    }
  lt_claim_batch_end (b->batch);
  for (size_t i = 0; i < count; i++)
    settle (b, t->ops[i].user, now_us);
}

/** Returns the transaction that ends first, or NULL.  */
static transaction_t *
first_open (bench_t *b)
{
  transaction_t *first = NULL;
  for (size_t i = 0; i < b->options.pending_max; i++)
    if (b->open[i].count > 0
        && (first == NULL || b->open[i].ends_us < first->ends_us))
      first = &b->open[i];
  return first;
}

static void
run (bench_t *b, lt_rng_t *rng, double per_s, double repeats)
{
  size_t started = 0;
  int64_t arrival_us = 0;
  for (;;)
    {
      transaction_t *t = first_open (b);
      int64_t end_us = t == NULL ? INT64_MAX : t->ends_us;
      int64_t update_us = b->update_head < b->update_tail
                              ? b->updates[b->update_head]->ready_us
                              : INT64_MAX;
      int64_t next_us = started < CLAIMS ? arrival_us : INT64_MAX;
      if (end_us == INT64_MAX && update_us == INT64_MAX
          && next_us == INT64_MAX)
        return;
      if (end_us <= update_us && end_us <= next_us)
        {
          end (b, t, end_us);
          take (b, end_us);
        }
      else if (update_us <= next_us)
        {
          add (b, b->updates[b->update_head++]);
          take (b, update_us);
        }
      else
        {
          op_t *insert = &b->ops[2 * started++];
          insert->ready_us = next_us;
          insert->refused = lt_rng_unit (rng) < repeats;
          insert[1].update = true;
          add (b, insert);
          take (b, next_us);
          arrival_us += (int64_t)lt_rng_exponential (rng, LT_US_PER_S / per_s);
        }
    }
}

static void
bench (uint64_t seed, double per_s, int64_t rtt_us, double repeats,
       size_t ops_max)
{
  bench_t b = { .options = LT_CLAIM_BATCH_OPTIONS_DEFAULT, .rtt_us = rtt_us };
  lt_rng_t rng;
  lt_rng_init (&rng, seed);
  b.options.ops_max = ops_max;
  b.options.pending_max = ops_max == 1 ? OPEN_MAX : 2;
  b.options.queue_max = 2 * CLAIMS;
  b.batch = lt_claim_batch_create (&b.options);
  b.ops = lt_alloc (2 * CLAIMS * sizeof (*b.ops));
  b.updates = lt_alloc (CLAIMS * sizeof (op_t *));
  run (&b, &rng, per_s, repeats);
  printf ("batch=%zu writes_per_claim=%.3f items_per_claim=%.3f "
          "write_p50_ms=%.1f write_p99_ms=%.1f\n",
          ops_max, (double)b.writes / CLAIMS, (double)b.items / CLAIMS,
          (double)lt_histogram_quantile (&b.wait, 0.5) / 1e3,
          (double)lt_histogram_quantile (&b.wait, 0.99) / 1e3);
  lt_claim_batch_destroy (b.batch);
  free (b.ops);
  free (b.updates);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  double per_s = argc > 2 ? strtod (argv[2], NULL) : 100;
  double rtt_ms = argc > 3 ? strtod (argv[3], NULL) : 25;
  double repeats = argc > 4 ? strtod (argv[4], NULL) : 0.01;
  printf ("seed=%llu claims=%d claims_per_s=%.0f rtt_ms=%.0f "
          "repeat_share=%.3f\n",
          (unsigned long long)seed, CLAIMS, per_s, rtt_ms, repeats);
  bench (seed, per_s, (int64_t)(rtt_ms * 1e3), repeats, 1);
  bench (seed, per_s, (int64_t)(rtt_ms * 1e3), repeats, 100);
  return 0;
}
