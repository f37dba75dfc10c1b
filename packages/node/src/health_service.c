#include "health_service.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"
#include "lt/policy/freshness.h"

static const lt_service_t *
config_of (const lt_health_service_t *service)
{
  return &service->snapshot->services[service->index];
}

static const lt_upstream_t *
upstream_of (const lt_health_service_t *service, uint32_t upstream)
{
  uint32_t first = config_of (service)->first_upstream;
  return &service->snapshot->upstreams[first + upstream];
}

str_t
lt_health_service_upstream (const lt_health_service_t *service,
                            uint32_t upstream)
{
  return upstream_of (service, upstream)->name;
}

uint32_t
lt_health_service_find (const lt_health_service_t *service, str_t name)
{
  uint32_t index = lt_snapshot_find_upstream (service->snapshot, name);
  const lt_service_t *config = config_of (service);
  if (index == LT_NO_INDEX || index < config->first_upstream
      || index - config->first_upstream >= config->upstream_count)
    return UINT32_MAX;
  return index - config->first_upstream;
}

static str_t
name_of (const void *user, uint32_t index)
{
  return lt_health_service_upstream (user, index);
}

static uint32_t
index_of (const void *user, str_t name)
{
  return lt_health_service_find (user, name);
}

lt_health_names_t
lt_health_service_names (const lt_health_service_t *service)
{
  return (lt_health_names_t){ service, name_of, index_of };
}

/* Equal hashes mean that upstream indexes, locations, slots and connections
   are the same.  */
static uint64_t
hash_upstreams (const lt_health_service_t *service)
{
  lt_buf_t text = { 0 };
  for (uint32_t i = 0; i < config_of (service)->upstream_count; i++)
    {
      const lt_upstream_t *u = upstream_of (service, i);
      lt_buf_printf (&text, "%.*s|%.*s|%.*s|%d|%d\n", STR_ARG (u->name),
                     STR_ARG (u->region), STR_ARG (u->failure_domain),
                     u->slots, u->connections);
    }
  uint64_t hash = lt_hash64 (lt_buf_str (&text));
  lt_buf_destroy (&text);
  return hash;
}

static uint32_t
domain_number (const lt_health_service_t *service, uint32_t upstream)
{
  uint32_t first = 0;
  str_t domain = upstream_of (service, upstream)->failure_domain;
  while (!str_equal (upstream_of (service, first)->failure_domain, domain))
    first++;
  return first % LT_HEALTH_MAX_DOMAINS;
}

static void
create_pool (lt_node_t *node, lt_health_service_t *service)
{
  uint32_t count = config_of (service)->upstream_count;
  lt_health_upstream_t *list = lt_alloc ((count + 1) * sizeof (*list));
  lt_balance_upstream_t *balanced
      = lt_alloc ((count + 1) * sizeof (*balanced));
  for (uint32_t i = 0; i < count; i++)
    {
      const lt_upstream_t *u = upstream_of (service, i);
      list[i] = (lt_health_upstream_t){
        .slots = u->slots,
        .failure_domain = domain_number (service, i),
        .remote = !str_equal (u->region, node->settings->region)
      };
      balanced[i]
          = (lt_balance_upstream_t){ u->name, u->region, u->failure_domain,
                                     u->slots, u->connections };
    }
  service->pool.upstreams = list;
  service->pool.count = count;
  lt_balance_options_t options = LT_BALANCE_OPTIONS_DEFAULT;
  options.vm_id = node->settings->vm_id;
  options.region = node->settings->region;
  options.failure_domain = node->settings->failure_domain;
  options.pool_connections = (int32_t)node->settings->upstream_connections;
  service->balance = lt_balance_pool_create (&options, balanced, count);
  free (balanced);
}

/* Copies the state that stays valid when indexes change, matching upstreams
   by name: the record, drains and requests in flight.  */
static void
copy_state (lt_health_service_t *service, const lt_health_service_t *old,
            int64_t now_us)
{
  for (uint32_t i = 0; i < service->pool.count; i++)
    {
      str_t name = lt_health_service_upstream (service, i);
      uint32_t before = lt_health_service_find (old, name);
      if (before == UINT32_MAX)
        {
          lt_health_begin_cold_start (service->local, i, now_us);
          continue;
        }
      service->leaving[i] = old->leaving[before];
      uint32_t in_flight = lt_balance_in_flight (old->balance, before);
      for (uint32_t n = 0; n < in_flight; n++)
        lt_balance_begin (service->balance, i);
    }
  uint32_t count = old->view.record.count;
  lt_ejection_view_t *view = &service->view;
  view->record.version = old->view.record.version;
  view->record.entries = lt_alloc ((count + 1) * sizeof (lt_ejection_t));
  view->first_seen_us = lt_alloc ((count + 1) * sizeof (*view->first_seen_us));
  for (uint32_t i = 0; i < count; i++)
    {
      lt_ejection_t entry = old->view.record.entries[i];
      str_t name = lt_health_service_upstream (old, entry.upstream);
      entry.upstream = lt_health_service_find (service, name);
      if (entry.upstream == UINT32_MAX)
        continue;
      view->first_seen_us[view->record.count] = old->view.first_seen_us[i];
      view->record.entries[view->record.count++] = entry;
    }
  service->confirmed_us = old->confirmed_us;
  service->last_attempt_us = old->last_attempt_us;
}

static lt_gauge_t *
usable_gauge (lt_node_t *node, str_t service)
{
  char labels[300];
  snprintf (labels, sizeof (labels), "service=\"%.*s\"", STR_ARG (service));
  return lt_metrics_gauge (node->metrics, "lavendertrack_usable_share",
                           "Share of a service's slots in use by this VM.",
                           labels);
}

lt_health_service_t *
lt_health_service_create (lt_node_t *node, const lt_snapshot_t *snapshot,
                          uint32_t index, lt_health_service_t *old,
                          int64_t now_us)
{
  lt_health_service_t *service = lt_alloc (sizeof (*service));
  service->node = node;
  service->snapshot = snapshot;
  service->index = index;
  service->name = snapshot->services[index].name;
  service->upstreams_hash = hash_upstreams (service);
  if (old != NULL && old->upstreams_hash == service->upstreams_hash)
    {
      free (service);
      old->snapshot = snapshot;
      old->index = index;
      old->name = snapshot->services[index].name;
      old->pool.floor_percent = snapshot->services[index].floor_percent;
      lt_health_service_update_out_of_service (old);
      return old;
    }
  create_pool (node, service);
  service->pool.floor_percent = snapshot->services[index].floor_percent;
  uint32_t count = service->pool.count;
  service->leaving = lt_alloc ((count + 1) * sizeof (*service->leaving));
  lt_health_local_options_t options = LT_HEALTH_LOCAL_OPTIONS_DEFAULT;
  service->local = lt_health_local_create (&options, &service->pool);
  service->usable = usable_gauge (node, service->name);
  if (old != NULL)
    copy_state (service, old, now_us);
  lt_health_service_destroy (old);
  lt_health_service_update_out_of_service (service);
  return service;
}

void
lt_health_service_end_aggregation (lt_health_service_t *service)
{
  lt_health_fleet_destroy (service->fleet);
  service->fleet = NULL;
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      free ((char *)service->domains[d].data);
      service->domains[d] = (str_t){ 0 };
    }
}

void
lt_health_service_destroy (lt_health_service_t *service)
{
  if (service == NULL)
    return;
  lt_health_service_end_aggregation (service);
  lt_health_local_destroy (service->local);
  lt_balance_pool_destroy (service->balance);
  lt_ejection_view_clear (&service->view);
  free (service->pool.upstreams);
  free (service->leaving);
  free (service);
}

void
lt_health_service_update_out_of_service (lt_health_service_t *service)
{
  for (uint32_t i = 0; i < service->pool.count; i++)
    service->pool.upstreams[i].out_of_service
        = service->leaving[i] || upstream_of (service, i)->drained
          || upstream_of (service, i)->evacuated;
  service->dirty = true;
}

/* The floor (I1) requires that no VM uses a record that was last confirmed
   longer ago than the propagation bound: the slots of a returned upstream
   count as usable for other ejections after that time.  In an outage of the
   store no VM can change the record, so a copy that was valid when the outage
   began stays valid.  */
static bool
is_record_valid (const lt_health_service_t *service, int64_t now_us)
{
  const lt_freshness_t *freshness = service->node->freshness;
  if (freshness == NULL
      || now_us - service->confirmed_us < LT_EJECTION_PROPAGATION_US)
    return true;
  return service->record_valid && lt_freshness_store_down (freshness, now_us);
}

void
lt_health_service_update (lt_health_service_t *service, int64_t now_us)
{
  static const lt_ejection_view_t no_record = { 0 };
  service->dirty = false;
  service->updated_us = now_us;
  service->record_valid = is_record_valid (service, now_us);
  lt_health_update (service->local,
                    service->record_valid ? &service->view : &no_record,
                    now_us);
  for (uint32_t i = 0; i < service->pool.count; i++)
    {
      bool usable = lt_health_state (service->local, i) == LT_HEALTH_USABLE;
      lt_balance_set_usable (service->balance, i, usable, now_us);
    }
  service->usable->value = lt_health_usable_share (service->local);
}

int
lt_health_service_apply (lt_health_service_t *service, int64_t version,
                         str_t bytes, int64_t now_us)
{
  if (version <= service->view.record.version)
    return version < service->view.record.version ? -LT_ESTALE : 0;
  lt_ejection_record_t record = { 0 };
  lt_health_names_t names = lt_health_service_names (service);
  uint32_t unknown = 0;
  int error = lt_health_record_decode (bytes, &names, &record, &unknown);
  if (error != 0)
    return error;
  record.version = version;
  error = lt_ejection_view_apply (&service->view, &record, now_us);
  lt_ejection_record_clear (&record);
  if (unknown > 0 && service->unknown == 0)
    service->unknown_since_us = now_us;
  service->unknown = unknown;
  service->dirty = true;
  return error;
}

void
lt_health_service_aggregate (lt_health_service_t *service, int64_t now_us)
{
  service->evidence_received_us = now_us;
  if (service->fleet != NULL)
    return;
  lt_health_fleet_options_t options = LT_HEALTH_FLEET_OPTIONS_DEFAULT;
  service->fleet = lt_health_fleet_create (&options, &service->pool);
}

uint32_t
lt_health_service_domain (lt_health_service_t *service, str_t name)
{
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      if (service->domains[d].data == NULL)
        service->domains[d] = str_make (str_dup (name), name.len);
      if (str_equal (service->domains[d], name))
        return d;
    }
  return UINT32_MAX;
}
