/** @file
    Generated sheets of a given size.  */
#ifndef LT_CONFIG_BENCH_GENERATE_H
#define LT_CONFIG_BENCH_GENERATE_H

#include "lt/base/str.h"

typedef struct generate_size
{
  uint32_t workspaces; /**< One key each. */
  uint32_t services;
  uint32_t upstreams;
  uint32_t routes;
} generate_size_t;

enum
{
  GENERATE_REGIONS = 3,
  GENERATE_DOMAINS = 10,
  GENERATE_ROUTES_PER_CLAIM = 10,
  GENERATE_ROUTES_PER_LIST = 5
};

static inline void
generate_route (lt_buf_t *out, const generate_size_t *size, uint32_t i)
{
  bool claim = i % GENERATE_ROUTES_PER_CLAIM == 0;
  uint32_t service = i % size->services;
  lt_buf_printf (out, "route,route-%u,,,,,,,service-%u,,,,,,,", i, service);
  lt_buf_printf (out, "/service-%u/v1/resource-%u,%s,keyed,%s,no,2000,65536,",
                 service, i, claim ? "POST" : "GET|HEAD",
                 claim ? "never-repeat" : "idempotent");
  if (i % GENERATE_ROUTES_PER_LIST == 0 && size->workspaces >= 3)
    lt_buf_printf (out, "workspace-%u|workspace-%u\n", i % size->workspaces,
                   (i + 1) % size->workspaces);
  else
    lt_buf_printf (out, "*\n");
}

/** Appends a sheet for DAY.  Upstreams must be at least as many as
    services.  */
static inline void
generate_sheet (const generate_size_t *size, const char *day, lt_buf_t *out)
{
  uint32_t rows
      = 3 * size->workspaces + size->services + size->upstreams + size->routes;
  lt_buf_printf (
      out, "kind,name,day,rows,workspace,rate_per_s,burst,key,service,"
           "floor_percent,region,failure_domain,address,slots,connections,"
           "path,methods,access,action,hedge,timeout_ms,max_body_bytes,"
           "workspaces\n");
  lt_buf_printf (out, "sheet,generated,%s,%u\n", day, rows);
  for (uint32_t i = 0; i < size->workspaces; i++)
    {
      lt_buf_printf (out, "workspace,workspace-%u\n", i);
      lt_buf_printf (out, "limit,,,,workspace-%u,%u,%u\n", i, 3 + i % 50,
                     10 + i % 100);
      lt_buf_printf (out, "key,key-%u,,,workspace-%u,,,secret-%08u\n", i, i,
                     i);
    }
  for (uint32_t i = 0; i < size->services; i++)
    lt_buf_printf (out, "service,service-%u,,,,,,,,60\n", i);
  for (uint32_t i = 0; i < size->upstreams; i++)
    lt_buf_printf (out,
                   "upstream,upstream-%u,,,,,,,service-%u,,region-%u,"
                   "domain-%u,10.%u.%u.%u:8000,3,400\n",
                   i, i % size->services,
                   i % GENERATE_DOMAINS % GENERATE_REGIONS,
                   i % GENERATE_DOMAINS, i >> 16 & 255, i >> 8 & 255, i & 255);
  for (uint32_t i = 0; i < size->routes; i++)
    generate_route (out, size, i);
}

#endif
