#include "room_service.h"

#include <math.h>

double
lt_room_count_at (const lt_room_count_t *count, int64_t decay_us,
                  int64_t now_us)
{
  return count->value
         * exp (-(double)(now_us - count->updated_us) / (double)decay_us);
}

void
lt_room_count_add (lt_room_count_t *count, double value, int64_t decay_us,
                   int64_t now_us)
{
  count->value = lt_room_count_at (count, decay_us, now_us) + value;
  count->updated_us = now_us;
}

const lt_room_workspace_t *
lt_room_service_workspace (const lt_room_service_t *service,
                           uint64_t workspace)
{
  for (uint32_t i = 0; i < service->workspace_count; i++)
    if (service->workspaces[i].workspace == workspace)
      return &service->workspaces[i];
  return NULL;
}

void
lt_room_service_use (lt_room_service_t *service, uint64_t workspace,
                     int64_t decay_us, int64_t now_us)
{
  lt_room_workspace_t *found
      = (lt_room_workspace_t *)lt_room_service_workspace (service, workspace);
  if (found == NULL && service->workspace_count < LT_ROOM_WORKSPACES)
    found = &service->workspaces[service->workspace_count++];
  else if (found == NULL)
    {
      found = &service->workspaces[0];
      for (uint32_t i = 1; i < service->workspace_count; i++)
        if (lt_room_count_at (&service->workspaces[i].sent, decay_us, now_us)
            < lt_room_count_at (&found->sent, decay_us, now_us))
          found = &service->workspaces[i];
    }
  if (found->workspace != workspace)
    *found = (lt_room_workspace_t){ .workspace = workspace };
  lt_room_count_add (&found->sent, 1, decay_us, now_us);
}

double
lt_room_service_rejected (const lt_room_service_t *service,
                          lt_distance_t distance, int64_t decay_us,
                          int64_t now_us)
{
  const lt_room_distance_t *d = &service->distances[distance];
  double attempts = lt_room_count_at (&d->attempts, decay_us, now_us);
  double rejected = lt_room_count_at (&d->rejected, decay_us, now_us);
  /* One further attempt that was not rejected: a single rejection does not
     count as a share of 1.  */
  return rejected / (attempts + 1);
}

void
lt_room_service_set_load (lt_room_service_t *service, lt_distance_t distance,
                          uint64_t domain, int32_t load_milli, int64_t now_us)
{
  lt_room_distance_t *d = &service->distances[distance];
  uint32_t at = 0;
  while (at < d->domain_count && d->domains[at].domain != domain)
    at++;
  if (at == LT_ROOM_DOMAINS)
    return;
  if (at == d->domain_count)
    d->domain_count++;
  d->domains[at] = (lt_room_domain_t){ domain, load_milli, now_us };
}

double
lt_room_service_load (const lt_room_service_t *service, lt_distance_t distance,
                      int64_t max_age_us, int64_t now_us)
{
  const lt_room_distance_t *d = &service->distances[distance];
  double sum = 0;
  int known = 0;
  for (uint32_t i = 0; i < d->domain_count; i++)
    if (now_us - d->domains[i].reported_us < max_age_us)
      {
        sum += d->domains[i].load_milli / 1000.0;
        known++;
      }
  return known == 0 ? -1 : sum / known;
}
