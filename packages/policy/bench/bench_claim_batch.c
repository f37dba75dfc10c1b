/** @file
    Benchmark of group commit (claim_batch.h) in simulated time: number and
    latency of table writes per claim on one VM, with and without batching.
    Claims arrive as a Poisson process; each is an insert and, after the
    upstream's latency, an update with the outcome.  Arguments: SEED
    CLAIMS_PER_S RTT_MS REPEAT_SHARE.  */
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
  PENDING_MAX = 16
};

typedef struct op
{
  int64_t ready_us;
  bool refused; /**< Insert of a repeat, whose condition fails. */
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
  transaction_t pending[PENDING_MAX];
  op_t *ops;      /**< Insert and update of each claim. */
  op_t **updates; /**< Updates to add, in the order of ready_us. */
  size_t update_head;
  size_t update_tail;
  int64_t rtt_us;
  uint64_t writes;
  uint64_t items;
  lt_histogram_t wait;
} bench_t;

static void
enqueue (bench_t *b, op_t *op)
{
  lt_claim_batch_op_t waiting
      = { .key = (uint64_t)(op - b->ops), .bytes = OP_BYTES, .user = op };
  if (lt_claim_batch_add (b->batch, &waiting) != 0)
    abort ();
}

static void
start_transactions (bench_t *b, int64_t now_us)
{
  for (size_t i = 0; i < b->options.pending_max; i++)
    {
      transaction_t *t = &b->pending[i];
      if (t->count > 0)
        continue;
      t->count = lt_claim_batch_start (b->batch, t->ops);
      if (t->count == 0)
        return;
      t->ends_us = now_us + b->rtt_us;
      b->writes++;
      b->items += t->count;
    }
}

static void
complete_op (bench_t *b, op_t *op, int64_t now_us)
{
  lt_histogram_add (&b->wait, now_us - op->ready_us);
  if (op->refused || op->update)
    return;
  op_t *update = op + 1;
  update->ready_us = now_us + UPSTREAM_US;
  b->updates[b->update_tail++] = update;
}

static void
end_transaction (bench_t *b, transaction_t *t, int64_t now_us)
{
  size_t count = t->count;
  t->count = 0;
  for (size_t i = 0; i < count; i++)
    {
      op_t *op = t->ops[i].user;
      if (!op->refused)
        continue;
      complete_op (b, op, now_us);
      lt_claim_batch_requeue (b->batch, t->ops, count, i);
      return;
    }
  lt_claim_batch_complete (b->batch);
  for (size_t i = 0; i < count; i++)
    complete_op (b, t->ops[i].user, now_us);
}

/** Returns the transaction that ends first, or NULL.  */
static transaction_t *
next_to_end (bench_t *b)
{
  transaction_t *first = NULL;
  for (size_t i = 0; i < b->options.pending_max; i++)
    if (b->pending[i].count > 0
        && (first == NULL || b->pending[i].ends_us < first->ends_us))
      first = &b->pending[i];
  return first;
}

static void
run (bench_t *b, lt_rng_t *rng, double per_s, double repeats)
{
  size_t started = 0;
  int64_t arrival_us = 0;
  for (;;)
    {
      transaction_t *t = next_to_end (b);
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
          end_transaction (b, t, end_us);
          start_transactions (b, end_us);
        }
      else if (update_us <= next_us)
        {
          enqueue (b, b->updates[b->update_head++]);
          start_transactions (b, update_us);
        }
      else
        {
          op_t *insert = &b->ops[2 * started++];
          insert->ready_us = next_us;
          insert->refused = lt_rng_unit (rng) < repeats;
          insert[1].update = true;
          enqueue (b, insert);
          start_transactions (b, next_us);
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
  b.options.pending_max = ops_max == 1 ? PENDING_MAX : 2;
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
