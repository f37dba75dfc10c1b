#include "lt/policy/limit.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"
#include "lt/base/str.h"

void
lt_limit_actions_add (lt_limit_actions_t *actions,
                      const lt_limit_action_t *action)
{
  if (actions->count == actions->cap)
    {
      actions->cap = actions->cap == 0 ? 8 : 2 * actions->cap;
      actions->items = lt_realloc (actions->items,
                                   actions->cap * sizeof (*actions->items));
    }
  actions->items[actions->count++] = *action;
}

void
lt_limit_actions_destroy (lt_limit_actions_t *actions)
{
  free (actions->items);
  *actions = (lt_limit_actions_t){ 0 };
}

int
lt_limit_vm_set (lt_limit_vm_t *vm, const char *id, size_t len)
{
  memset (vm, 0, sizeof (*vm));
  if (len == 0 || len >= LT_LIMIT_VM_BYTES)
    return -LT_ERANGE;
  memcpy (vm->id, id, len);
  return 0;
}

uint32_t
lt_limit_group (uint64_t workspace)
{
  return (uint32_t)(workspace % LT_LIMIT_GROUPS);
}

int64_t
lt_limit_accrued (const lt_limit_rate_t *rate, int32_t ppm, int64_t elapsed_us)
{
  if (elapsed_us <= 0 || ppm <= 0)
    return 0;
  /* A rate of 1 request per 1,000 s accrues exactly 1 unit per microsecond. */
  __int128 units = (__int128)elapsed_us * rate->rate_milli_per_s * ppm;
  units = units * 999 / 1000 / LT_LIMIT_WHOLE_PPM;
  __int128 most = (__int128)LT_LIMIT_BURST_MAX * LT_LIMIT_TOKEN;
  return (int64_t)(units < most ? units : most);
}

int64_t
lt_limit_capacity (const lt_limit_rate_t *rate, int32_t ppm)
{
  return (int64_t)((__int128)rate->burst * LT_LIMIT_TOKEN * ppm
                   / LT_LIMIT_WHOLE_PPM);
}

int32_t
lt_limit_min_ppm (const lt_limit_rate_t *rate)
{
  if (rate->burst <= 2)
    return LT_LIMIT_WHOLE_PPM;
  return (int32_t)((2LL * LT_LIMIT_WHOLE_PPM + rate->burst - 1) / rate->burst);
}
