/* Time and memory of sheets, snapshots, deltas and lookups by size.  */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "generate.h"
#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/config/diff.h"
#include "lt/config/edit.h"
#include "lt/config/sheet.h"

enum
{
  LOOKUPS = 200000,
  SEED = 7,
  US_PER_MS = 1000
};

static int64_t
now_us (void)
{
  return lt_clock_now_us (lt_clock_system ());
}

static double
ms_since (int64_t start_us)
{
  return (double)(now_us () - start_us) / US_PER_MS;
}

static lt_snapshot_t *
parse (str_t text)
{
  lt_sheet_options_t options = LT_SHEET_OPTIONS_DEFAULT;
  lt_findings_t findings = { 0 };
  lt_snapshot_t *snapshot = NULL;
  options.source = STR_LIT ("generated");
  if (lt_sheet_parse (text, &options, &findings, &snapshot) != 0)
    {
      lt_buf_t out = { 0 };
      lt_findings_print (&findings, &out);
      fprintf (stderr, "%s", out.data);
      exit (1);
    }
  return snapshot;
}

static lt_snapshot_t *
make (const generate_size_t *size)
{
  lt_buf_t text = { 0 };
  generate_sheet (size, "2026-12-04", &text);
  lt_snapshot_t *snapshot = parse (lt_buf_str (&text));
  lt_buf_destroy (&text);
  return snapshot;
}

static double
route_match_ns (const lt_snapshot_t *s, const generate_size_t *size)
{
  lt_rng_t rng;
  lt_rng_init (&rng, SEED);
  lt_buf_t paths = { 0 };
  uint32_t *ends = lt_alloc ((LOOKUPS + 1) * sizeof (uint32_t));
  for (uint32_t i = 0; i < LOOKUPS; i++)
    {
      uint32_t r = (uint32_t)lt_rng_below (&rng, size->routes);
      lt_buf_printf (&paths, "/service-%u/v1/resource-%u/item/%u",
                     r % size->services, r, i);
      ends[i + 1] = (uint32_t)paths.len;
    }
  uint32_t found = 0;
  int64_t start = now_us ();
  for (uint32_t i = 0; i < LOOKUPS; i++)
    {
      const lt_route_t *route = NULL;
      str_t allow;
      str_t path = str_make (paths.data + ends[i], ends[i + 1] - ends[i]);
      found
          += lt_snapshot_match_route (s, STR_LIT ("GET"), path, &route, &allow)
             != LT_ROUTE_NONE;
    }
  double ns = (double)(now_us () - start) * US_PER_MS / LOOKUPS;
  if (found != LOOKUPS)
    exit (1);
  free (ends);
  lt_buf_destroy (&paths);
  return ns;
}

static double
key_lookup_ns (const lt_snapshot_t *s)
{
  lt_rng_t rng;
  lt_rng_init (&rng, SEED);
  lt_digest_t *hashes = lt_alloc (LOOKUPS * sizeof (lt_digest_t));
  for (uint32_t i = 0; i < LOOKUPS; i++)
    hashes[i] = s->keys[lt_rng_below (&rng, s->key_count)].hash;
  uint32_t found = 0;
  int64_t start = now_us ();
  for (uint32_t i = 0; i < LOOKUPS; i++)
    found += lt_snapshot_find_key (s, &hashes[i]) != NULL;
  double ns = (double)(now_us () - start) * US_PER_MS / LOOKUPS;
  if (found != LOOKUPS)
    exit (1);
  free (hashes);
  return ns;
}

/* Prints size and apply time of the delta that adds one key.  */
static void
bench_delta (const lt_snapshot_t *s)
{
  lt_digest_t hash = lt_key_hash (STR_LIT (""), STR_LIT ("new-secret"));
  lt_edit_t edit = { .version = 1, .author = STR_LIT ("bench") };
  lt_snapshot_t *edited = NULL;
  lt_snapshot_t *applied = NULL;
  lt_buf_t delta = { 0 };
  if (lt_edit_add_key (s, &edit, STR_LIT ("new-key"), s->workspaces[0].name,
                       &hash, &edited)
      != 0)
    exit (1);
  int64_t start = now_us ();
  lt_delta_encode (s, edited, &delta);
  double encode_ms = ms_since (start);
  start = now_us ();
  if (lt_delta_apply (s, lt_buf_str (&delta), &applied) != 0)
    exit (1);
  double apply_ms = ms_since (start);
  printf ("  delta of one key: encode %.1f ms, %zu bytes, apply %.1f ms\n",
          encode_ms, delta.len, apply_ms);
  lt_snapshot_destroy (edited);
  lt_snapshot_destroy (applied);
  lt_buf_destroy (&delta);
}

static void
bench_size (const generate_size_t *size)
{
  lt_buf_t text = { 0 };
  lt_buf_t bytes = { 0 };
  printf ("workspaces %u, services %u, upstreams %u, routes %u\n",
          size->workspaces, size->services, size->upstreams, size->routes);
  generate_sheet (size, "2026-12-04", &text);
  int64_t start = now_us ();
  lt_snapshot_t *s = parse (lt_buf_str (&text));
  printf ("  sheet %zu bytes, parse %.1f ms\n", text.len, ms_since (start));
  lt_buf_destroy (&text);
  start = now_us ();
  lt_snapshot_encode (s, &bytes);
  double encode_ms = ms_since (start);
  lt_snapshot_t *copy = NULL;
  start = now_us ();
  if (lt_snapshot_decode (lt_buf_str (&bytes), &copy) != 0)
    exit (1);
  printf ("  encode %.1f ms, %zu bytes, decode %.1f ms\n", encode_ms,
          bytes.len, ms_since (start));
  lt_buf_destroy (&bytes);
  bench_delta (s);
  printf ("  route match %.0f ns, key lookup %.0f ns\n",
          route_match_ns (s, size), key_lookup_ns (s));
  printf ("  memory %zu bytes\n", lt_snapshot_memory_bytes (copy));
  lt_snapshot_destroy (s);
  lt_snapshot_destroy (copy);
}

/* Prints the memory of one row more of one kind.  */
static void
bench_marginal (const char *what, const generate_size_t *large,
                const generate_size_t *small, uint32_t rows)
{
  lt_snapshot_t *a = make (large);
  lt_snapshot_t *b = make (small);
  double difference = (double)lt_snapshot_memory_bytes (a)
                      - (double)lt_snapshot_memory_bytes (b);
  printf ("%s: %.0f bytes each\n", what, difference / rows);
  lt_snapshot_destroy (a);
  lt_snapshot_destroy (b);
}

int
main (void)
{
  const generate_size_t sizes[] = { { 8, 2, 42, 10 },
                                    { 800, 130, 2800, 1900 },
                                    { 8000, 400, 9000, 6000 },
                                    { 45000, 1300, 28000, 19000 } };
  for (size_t i = 0; i < sizeof (sizes) / sizeof (sizes[0]); i++)
    bench_size (&sizes[i]);
  generate_size_t full = sizes[3];
  generate_size_t half = full;
  half.workspaces /= 2;
  bench_marginal ("workspace with key", &full, &half, full.workspaces / 2);
  half = full;
  half.routes /= 2;
  bench_marginal ("route", &full, &half, full.routes / 2);
  half = full;
  half.upstreams /= 2;
  bench_marginal ("upstream", &full, &half, full.upstreams / 2);
  malloc_trim (0);
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  printf ("peak resident memory %ld KiB\n", usage.ru_maxrss);
  return 0;
}
