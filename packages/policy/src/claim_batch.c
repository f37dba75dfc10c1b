#include "lt/policy/claim_batch.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"

struct lt_claim_batch
{
  lt_claim_batch_options_t options;
  lt_claim_batch_op_t *queue;
  size_t count;
  size_t capacity;
  size_t pending; /**< Transactions started and not ended. */
};

lt_claim_batch_t *
lt_claim_batch_create (const lt_claim_batch_options_t *options)
{
  lt_claim_batch_t *batch = lt_alloc (sizeof (*batch));
  batch->options = *options;
  return batch;
}

void
lt_claim_batch_destroy (lt_claim_batch_t *batch)
{
  if (batch == NULL)
    return;
  free (batch->queue);
  free (batch);
}

/** Grows the queue, if needed, to hold COUNT more operations.  */
static void
reserve (lt_claim_batch_t *batch, size_t count)
{
  if (batch->count + count <= batch->capacity)
    return;
  batch->capacity = 2 * (batch->count + count);
  batch->queue
      = lt_realloc (batch->queue, batch->capacity * sizeof (*batch->queue));
}

int
lt_claim_batch_add (lt_claim_batch_t *batch, const lt_claim_batch_op_t *op)
{
  if (batch->count >= batch->options.queue_max)
    return -LT_EFULL;
  reserve (batch, 1);
  batch->queue[batch->count++] = *op;
  return 0;
}

static bool
contains_key (const lt_claim_batch_op_t *ops, size_t count, uint64_t key)
{
  for (size_t i = 0; i < count; i++)
    if (ops[i].key == key)
      return true;
  return false;
}

/** Operations that do not fit stay queued in order.  One larger than bytes_max
    gets a transaction of its own.  */
size_t
lt_claim_batch_start (lt_claim_batch_t *batch, lt_claim_batch_op_t *ops)
{
  if (batch->pending >= batch->options.pending_max || batch->count == 0)
    return 0;
  size_t taken = 0;
  size_t kept = 0;
  size_t bytes = 0;
  for (size_t i = 0; i < batch->count; i++)
    {
      lt_claim_batch_op_t op = batch->queue[i];
      bool fits
          = taken < batch->options.ops_max
            && (taken == 0 || bytes + op.bytes <= batch->options.bytes_max)
            && !contains_key (ops, taken, op.key)
            && !contains_key (batch->queue, kept, op.key);
      if (taken == batch->options.ops_max)
        {
          memmove (batch->queue + kept, batch->queue + i,
                   (batch->count - i) * sizeof (*batch->queue));
          kept += batch->count - i;
          break;
        }
      if (fits)
        {
          ops[taken++] = op;
          bytes += op.bytes;
        }
      else
        batch->queue[kept++] = op;
    }
  batch->count = kept;
  batch->pending++;
  return taken;
}

void
lt_claim_batch_complete (lt_claim_batch_t *batch)
{
  batch->pending--;
}

void
lt_claim_batch_requeue (lt_claim_batch_t *batch,
                        const lt_claim_batch_op_t *ops, size_t count,
                        size_t failed)
{
  batch->pending--;
  if (count <= 1)
    return;
  reserve (batch, count - 1);
  memmove (batch->queue + count - 1, batch->queue,
           batch->count * sizeof (*batch->queue));
  size_t next = 0;
  for (size_t i = 0; i < count; i++)
    if (i != failed)
      batch->queue[next++] = ops[i];
  batch->count += count - 1;
}

size_t
lt_claim_batch_queued (const lt_claim_batch_t *batch)
{
  return batch->count;
}
