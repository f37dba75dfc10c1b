#include "lt/policy/claim_batch.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"

struct lt_claim_batch
{
  lt_claim_batch_options_t options;
  lt_claim_batch_op_t *waiting;
  size_t count;
  size_t capacity;
  size_t open;
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
  free (batch->waiting);
  free (batch);
}

/** Makes room for COUNT operations at the front or the back.  */
static void
reserve (lt_claim_batch_t *batch, size_t count)
{
  if (batch->count + count <= batch->capacity)
    return;
  batch->capacity = 2 * (batch->count + count);
  batch->waiting = lt_realloc (batch->waiting,
                               batch->capacity * sizeof (*batch->waiting));
}

int
lt_claim_batch_add (lt_claim_batch_t *batch, const lt_claim_batch_op_t *op)
{
  if (batch->count >= batch->options.waiting_max)
    return -LT_EFULL;
  reserve (batch, 1);
  batch->waiting[batch->count++] = *op;
  return 0;
}

static bool
holds_key (const lt_claim_batch_op_t *ops, size_t count, uint64_t key)
{
  for (size_t i = 0; i < count; i++)
    if (ops[i].key == key)
      return true;
  return false;
}

/** Operations that do not fit keep their order.  One larger than bytes_max
    goes alone.  */
size_t
lt_claim_batch_take (lt_claim_batch_t *batch, lt_claim_batch_op_t *ops)
{
  if (batch->open >= batch->options.open_max || batch->count == 0)
    return 0;
  size_t taken = 0;
  size_t kept = 0;
  size_t bytes = 0;
  for (size_t i = 0; i < batch->count; i++)
    {
      lt_claim_batch_op_t op = batch->waiting[i];
      bool fits
          = taken < batch->options.ops_max
            && (taken == 0 || bytes + op.bytes <= batch->options.bytes_max)
            && !holds_key (ops, taken, op.key)
            && !holds_key (batch->waiting, kept, op.key);
      if (taken == batch->options.ops_max)
        {
          memmove (batch->waiting + kept, batch->waiting + i,
                   (batch->count - i) * sizeof (*batch->waiting));
          kept += batch->count - i;
          break;
        }
      if (fits)
        {
          ops[taken++] = op;
          bytes += op.bytes;
        }
      else
        batch->waiting[kept++] = op;
    }
  batch->count = kept;
  batch->open++;
  return taken;
}

void
lt_claim_batch_end (lt_claim_batch_t *batch)
{
  batch->open--;
}

void
lt_claim_batch_refused (lt_claim_batch_t *batch,
                        const lt_claim_batch_op_t *ops, size_t count,
                        size_t failed)
{
  batch->open--;
  if (count <= 1)
    return;
  reserve (batch, count - 1);
  memmove (batch->waiting + count - 1, batch->waiting,
           batch->count * sizeof (*batch->waiting));
  size_t at = 0;
  for (size_t i = 0; i < count; i++)
    if (i != failed)
      batch->waiting[at++] = ops[i];
  batch->count += count - 1;
}

size_t
lt_claim_batch_waiting (const lt_claim_batch_t *batch)
{
  return batch->count;
}
