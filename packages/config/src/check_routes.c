#include <stdlib.h>

#include "check.h"

/* A route by host and prefix.  */
typedef struct place
{
  const lt_deployment_route_t *route;
} place_t;

static int
compare_nocase (str_t a, str_t b)
{
  size_t len = a.len < b.len ? a.len : b.len;
  for (size_t i = 0; i < len; i++)
    {
      int x
          = a.data[i] >= 'A' && a.data[i] <= 'Z' ? a.data[i] + 32 : a.data[i];
      int y
          = b.data[i] >= 'A' && b.data[i] <= 'Z' ? b.data[i] + 32 : b.data[i];
      if (x != y)
        return x - y;
    }
  return (a.len > b.len) - (a.len < b.len);
}

static int
by_place (const void *a, const void *b)
{
  const lt_deployment_route_t *x = ((const place_t *)a)->route;
  const lt_deployment_route_t *y = ((const place_t *)b)->route;
  int order = compare_nocase (x->host, y->host);
  if (order == 0)
    order = str_compare (x->prefix, y->prefix);
  return order != 0 ? order : (x > y) - (x < y);
}

static void
check_places (const lt_check_t *check)
{
  const lt_deployment_t *d = check->deployment;
  place_t *places = lt_alloc ((d->route_count + 1) * sizeof (*places));
  uint32_t count = 0;
  for (uint32_t i = 0; i < d->route_count; i++)
    if (d->routes[i].host.len > 0 && d->routes[i].prefix.len > 0)
      places[count++].route = &d->routes[i];
  if (count > 0)
    qsort (places, count, sizeof (*places), by_place);
  for (uint32_t i = 1; i < count; i++)
    {
      const lt_deployment_route_t *before = places[i - 1].route;
      const lt_deployment_route_t *route = places[i].route;
      if (compare_nocase (before->host, route->host) == 0
          && str_equal (before->prefix, route->prefix))
        lt_check_add (check, LT_SEVERITY_ERROR, "route", route->name,
                      route->prefix,
                      "one route of a host and prefix; \"%.*s\" has both",
                      STR_ARG (before->name));
    }
  free (places);
}

static bool
has_any (str_t text, const char *characters)
{
  for (size_t i = 0; i < text.len; i++)
    for (const char *c = characters; *c != '\0'; c++)
      if (text.data[i] == *c)
        return true;
  return false;
}

static bool
has_service (const lt_deployment_t *d, str_t name)
{
  for (uint32_t i = 0; i < d->service_count; i++)
    if (str_equal (d->services[i].name, name))
      return true;
  return false;
}

static void
check_splits (const lt_check_t *check, const lt_deployment_route_t *route)
{
  int64_t sum = 0;
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      const lt_deployment_split_t *split = &route->splits[i];
      sum += split->weight;
      if (split->service.len == 0)
        continue;
      if (!has_service (check->deployment, split->service))
        lt_check_add (check, LT_SEVERITY_ERROR, "route", route->name,
                      split->service, "the name of one of the services");
      if (split->weight == 0)
        lt_check_add (check, LT_SEVERITY_WARNING, "route", route->name,
                      split->service,
                      "a weight above 0 of this part of the split; it gets no "
                      "requests");
      for (uint32_t k = 0; k < i; k++)
        if (str_equal (route->splits[k].service, split->service))
          lt_check_add (check, LT_SEVERITY_WARNING, "route", route->name,
                        split->service, "each service once in the split");
    }
  if (route->split_count > 0 && sum == 0)
    lt_check_add (check, LT_SEVERITY_ERROR, "route", route->name,
                  str_make ("", 0), "a split with a weight above 0");
}

static void
check_route (const lt_check_t *check, const lt_deployment_route_t *route)
{
  str_t prefix = route->prefix;
  /* The port of a request is left out before its host is looked up.  */
  if (has_any (route->host, ":/?# "))
    lt_check_add (check, LT_SEVERITY_ERROR, "route", route->name, route->host,
                  "a host name without port and path; no request matches");
  if (prefix.len > 0
      && (prefix.data[0] != '/' || prefix.data[prefix.len - 1] != '/'))
    lt_check_add (check, LT_SEVERITY_ERROR, "route", route->name, prefix,
                  "a prefix that begins and ends with \"/\"");
  if (has_any (prefix, "?# "))
    lt_check_add (check, LT_SEVERITY_ERROR, "route", route->name, prefix,
                  "a prefix without query, fragment and blanks; no request "
                  "matches");
  if (route->timeout_ms > 0 && route->latency_target_ms > route->timeout_ms)
    lt_check_add (check, LT_SEVERITY_ERROR, "route", route->name,
                  str_make ("", 0),
                  "a timeout (%d ms) of at least the latency target (%d ms)",
                  route->timeout_ms, route->latency_target_ms);
  check_splits (check, route);
}

void
lt_check_routes (const lt_check_t *check)
{
  const lt_deployment_t *d = check->deployment;
  for (uint32_t i = 0; i < d->route_count; i++)
    check_route (check, &d->routes[i]);
  check_places (check);
}
