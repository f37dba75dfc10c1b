#include "check.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

void
lt_check_add (const lt_check_t *check, lt_severity_t severity,
              const char *kind, str_t name, str_t value, const char *format,
              ...)
{
  char *expected = NULL;
  lt_buf_t column = { 0 };
  va_list args;
  va_start (args, format);
  if (vasprintf (&expected, format, args) < 0)
    abort ();
  va_end (args);
  lt_buf_printf (&column, "%s %.*s", kind, STR_ARG (name));
  lt_findings_add (check->findings, severity, check->source, 0,
                   lt_buf_str (&column), value, "%s", expected);
  lt_buf_destroy (&column);
  free (expected);
}

static void
check_service (const lt_check_t *check, const lt_deployment_service_t *service)
{
  const lt_deployment_t *d = check->deployment;
  bool used = false;
  for (uint32_t i = 0; i < d->route_count && !used; i++)
    for (uint32_t k = 0; k < d->routes[i].split_count; k++)
      used = used || str_equal (d->routes[i].splits[k].service, service->name);
  if (!used)
    lt_check_add (check, LT_SEVERITY_WARNING, "service", service->name,
                  str_make ("", 0), "a route that leads to this service");
  if (service->health_path.len > 0 && service->health_path.data[0] != '/')
    lt_check_add (check, LT_SEVERITY_ERROR, "service", service->name,
                  service->health_path,
                  "a health path that begins with "
                  "\"/\"");
  if (service->warm_up_ms > 0 && service->warm_up_rate_milli_per_s == 0)
    lt_check_add (check, LT_SEVERITY_WARNING, "service", service->name,
                  str_make ("", 0),
                  "a warm-up rate beside the warm-up time; without it cold "
                  "upstreams get any number of requests");
  if (service->warm_up_ms == 0 && service->warm_up_rate_milli_per_s > 0)
    lt_check_add (check, LT_SEVERITY_WARNING, "service", service->name,
                  str_make ("", 0),
                  "a warm-up time beside the warm-up rate; without it only "
                  "upstreams that say so themselves count as cold");
}

void
lt_check_deployment (const lt_deployment_t *deployment, str_t source,
                     lt_findings_t *findings)
{
  lt_check_t check = { deployment, source, findings };
  lt_check_routes (&check);
  for (uint32_t i = 0; i < deployment->service_count; i++)
    check_service (&check, &deployment->services[i]);
  lt_check_workspaces (&check);
  lt_check_regions (&check);
}
