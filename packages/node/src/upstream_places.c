#include "upstream_places.h"

#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/base/hash.h"

/* An odd number, so that the order of the areas changes their hash.  */
#define AREAS_HASH_FACTOR 0x9e3779b97f4a7c15ULL

/* A failure domain of upstreams.  */
typedef struct area
{
  str_t failure_domain;
  str_t region;
} area_t;

struct lt_upstream_places
{
  lt_node_t *node;
  area_t *areas;
  uint32_t count;
  uint64_t areas_hash; /* Of their failure domains, in this order. */
  bool needed;         /* A service has a warm-up rate. */
};

/* VMs around one area.  */
typedef struct surroundings
{
  uint32_t counts[LT_DISTANCES];
  lt_distance_t own; /* Of this VM. */
  uint32_t rank;     /* Of this VM, by id, among VMs at the same distance. */
} surroundings_t;

lt_upstream_places_t *
lt_upstream_places_create (lt_node_t *node)
{
  lt_upstream_places_t *places = lt_alloc (sizeof (*places));
  places->node = node;
  return places;
}

void
lt_upstream_places_destroy (lt_upstream_places_t *places)
{
  free (places->areas);
  free (places);
}

lt_distance_t
lt_upstream_distance (str_t failure_domain, str_t region, str_t other_domain,
                      str_t other_region)
{
  if (str_equal (failure_domain, other_domain))
    return LT_DISTANCE_SAME_DOMAIN;
  return str_equal (region, other_region) ? LT_DISTANCE_SAME_REGION
                                          : LT_DISTANCE_OTHER_REGION;
}

static uint32_t
find_or_add_area (lt_upstream_places_t *places, const lt_upstream_t *upstream)
{
  uint32_t i = 0;
  while (i < places->count
         && !str_equal (places->areas[i].failure_domain,
                        upstream->failure_domain))
    i++;
  if (i == places->count)
    places->areas[places->count++]
        = (area_t){ upstream->failure_domain, upstream->region };
  return i;
}

bool
lt_upstream_places_configure (lt_upstream_places_t *places,
                              const lt_snapshot_t *snapshot,
                              lt_choice_upstream_t *upstreams)
{
  uint32_t count = snapshot->upstream_count;
  free (places->areas);
  places->areas = lt_alloc ((count + 1) * sizeof (*places->areas));
  places->count = 0;
  for (uint32_t i = 0; i < count; i++)
    upstreams[i].place = find_or_add_area (places, &snapshot->upstreams[i]);
  bool was_needed = places->needed;
  uint64_t before = places->areas_hash;
  places->areas_hash = 0;
  for (uint32_t i = 0; i < places->count; i++)
    places->areas_hash = places->areas_hash * AREAS_HASH_FACTOR
                         + lt_hash64 (places->areas[i].failure_domain);
  places->needed = false;
  for (uint32_t i = 0; i < snapshot->service_count; i++)
    places->needed
        = places->needed || snapshot->services[i].warm_up_rate_milli_per_s > 0;
  return places->needed && (!was_needed || places->areas_hash != before);
}

bool
lt_upstream_places_are_needed (const lt_upstream_places_t *places)
{
  return places->needed;
}

/* Counts a VM.  BEFORE: its id is before that of this VM.  */
static void
add_vm (const lt_upstream_places_t *places, surroundings_t *around,
        str_t domain, str_t region, bool before)
{
  for (uint32_t i = 0; i < places->count; i++)
    {
      lt_distance_t distance
          = lt_upstream_distance (places->areas[i].failure_domain,
                                  places->areas[i].region, domain, region);
      around[i].counts[distance]++;
      around[i].rank += before && distance == around[i].own;
    }
}

void
lt_upstream_places_update (const lt_upstream_places_t *places,
                           lt_choice_t *choice)
{
  lt_node_t *node = places->node;
  const lt_vm_directory_t *directory = node->directory;
  if (directory == NULL || directory->locate == NULL
      || directory->is_complete == NULL || !directory->is_complete (node))
    return;
  size_t count = directory->others (node, NULL, 0);
  str_t *ids = lt_alloc ((count + 1) * sizeof (*ids));
  if (count > 0)
    count = directory->others (node, ids, count);
  surroundings_t *around = lt_alloc ((places->count + 1) * sizeof (*around));
  const lt_settings_t *settings = node->settings;
  for (uint32_t i = 0; i < places->count; i++)
    {
      around[i].own = lt_upstream_distance (
          places->areas[i].failure_domain, places->areas[i].region,
          settings->failure_domain, settings->region);
      around[i].counts[around[i].own] = 1;
    }
  for (size_t i = 0; i < count; i++)
    {
      str_t domain;
      str_t region;
      if (directory->locate (node, ids[i], &domain, &region))
        add_vm (places, around, domain, region,
                str_compare (ids[i], settings->vm_id) < 0);
    }
  lt_pace_place_t *results
      = lt_alloc ((places->count + 1) * sizeof (*results));
  for (uint32_t i = 0; i < places->count; i++)
    results[i]
        = lt_pace_place_for (around[i].counts, around[i].own, around[i].rank,
                             node->registry_clock.offset_us);
  lt_choice_set_places (choice, results, places->count);
  free (results);
  free (around);
  free (ids);
}
