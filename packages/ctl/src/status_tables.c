#include "status_tables.h"

#include <stdlib.h>
#include <string.h>

#include "output.h"

enum
{
  COLUMNS_MAX = 12
};

#define COUNT(a) (sizeof (a) / sizeof ((a)[0]))

/* Prints the array below a title; nothing when it is empty.  */
static void
print_titled (lt_ctl_t *ctl, const char *title, const json_t *rows,
              const lt_ctl_column_t *columns, size_t count)
{
  if (json_array_size (rows) == 0)
    return;
  fprintf (ctl->out, "\n%s\n", title);
  lt_ctl_print_table (ctl, rows, columns, count);
}

static void
print_config (lt_ctl_t *ctl, const json_t *state)
{
  bool down = json_is_true (json_object_get (state, "store_down"));
  bool keyed = json_is_true (json_object_get (state, "serves_keyed"));
  fprintf (ctl->out, "\nstore: %s; this VM %s keyed requests\n",
           down ? "attested down" : "not attested down",
           keyed ? "serves" : "refuses");
}

static void
print_membership (lt_ctl_t *ctl, const json_t *state)
{
  static const lt_ctl_column_t columns[]
      = { { "MEMBER", "vm" },
          { "STATE", "state" },
          { "REGION", "region" },
          { "FAILURE_DOMAIN", "failure_domain" },
          { "ONE_WAY", "one_way" } };
  print_titled (ctl, "members", json_object_get (state, "members"), columns,
                COUNT (columns));
}

/* Returns a row for the table of exclusions: the entry with its evidence
   flattened.  */
static json_t *
exclusion_row (const json_t *service, json_t *entry, const char *scope)
{
  json_t *row = json_object ();
  json_object_set (row, "service", json_object_get (service, "service"));
  json_object_set_new (row, "scope", json_string (scope));
  json_object_update (row, json_object_get (entry, "evidence"));
  json_object_update (row, entry);
  json_object_del (row, "evidence");
  return row;
}

static void
append_exclusions (json_t *rows, const json_t *service)
{
  size_t i;
  json_t *entry;
  json_array_foreach (json_object_get (service, "ejections"), i, entry)
  {
    json_array_append_new (rows, exclusion_row (service, entry, "fleet"));
  }
  json_array_foreach (json_object_get (service, "avoided_here"), i, entry)
  {
    json_array_append_new (rows, exclusion_row (service, entry, "this VM"));
  }
  json_array_foreach (json_object_get (service, "out"), i, entry)
  {
    json_t *row = json_object ();
    json_object_set (row, "service", json_object_get (service, "service"));
    json_object_set (row, "upstream", entry);
    json_object_set_new (row, "scope", json_string ("fleet"));
    json_object_set_new (row, "state", json_string ("drained or stopped"));
    json_array_append_new (rows, row);
  }
}

static void
print_health (lt_ctl_t *ctl, const json_t *state)
{
  static const lt_ctl_column_t service_columns[]
      = { { "SERVICE", "service" },       { "USABLE", "usable_share" },
          { "FLOOR_%", "floor_percent" }, { "AGGREGATOR", "aggregator" },
          { "RECORD", "record_version" }, { "READ_MS_AGO", "record_age_ms" } };
  static const lt_ctl_column_t exclusion_columns[]
      = { { "UPSTREAM", "upstream" }, { "SERVICE", "service" },
          { "SCOPE", "scope" },       { "STATE", "state" },
          { "REASON", "reason" },     { "SHARE", "share" },
          { "BASELINE", "baseline" }, { "RESPONSES", "responses" },
          { "SCORE", "score" },       { "FAILURE_DOMAINS", "failure_domains" },
          { "REPEATS", "repeats" },   { "HOLD_MS", "hold_ms" } };
  size_t i;
  json_t *service;
  json_t *services = json_object_get (state, "services");
  json_t *rows = json_array ();
  json_array_foreach (services, i, service)
  {
    append_exclusions (rows, service);
  }
  print_titled (ctl, "services", services, service_columns,
                COUNT (service_columns));
  print_titled (ctl, "upstreams out of service", rows, exclusion_columns,
                COUNT (exclusion_columns));
  json_decref (rows);
}

/* Prints the rows of an array of objects with the members of its first one as
   columns.  */
static void
print_rows (lt_ctl_t *ctl, const char *title, const json_t *rows)
{
  lt_ctl_column_t columns[COLUMNS_MAX];
  size_t count = 0;
  const char *name;
  json_t *value;
  json_object_foreach (json_array_get (rows, 0), name, value)
  {
    if (count < COLUMNS_MAX)
      columns[count++] = (lt_ctl_column_t){ name, name };
  }
  print_titled (ctl, title, rows, columns, count);
}

/* Returns whether STATE is an object of objects, such as shares by
   workspace.  */
static bool
is_map (const json_t *state)
{
  json_t *first = json_object_iter_value (json_object_iter ((json_t *)state));
  return json_is_object (state) && json_is_object (first);
}

/* Prints an object of objects with their names as the first column.  */
static void
print_map (lt_ctl_t *ctl, const char *title, const json_t *map)
{
  const char *name;
  json_t *value;
  json_t *rows = json_array ();
  json_object_foreach ((json_t *)map, name, value)
  {
    json_t *row = json_object ();
    json_object_set_new (row, "name", json_string (name));
    json_object_update (row, value);
    json_array_append_new (rows, row);
  }
  print_rows (ctl, title, rows);
  json_decref (rows);
}

static void
print_any (lt_ctl_t *ctl, const char *controller, const json_t *state)
{
  const char *name;
  json_t *value;
  fprintf (ctl->out, "\n%s:", controller);
  json_object_foreach ((json_t *)state, name, value)
  {
    if (json_is_array (value) || is_map (value))
      continue;
    char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
    fprintf (ctl->out, " %s=%s", name, text == NULL ? "" : text);
    free (text);
  }
  fputc ('\n', ctl->out);
  json_object_foreach ((json_t *)state, name, value)
  {
    if (json_is_array (value))
      print_rows (ctl, name, value);
    else if (is_map (value))
      print_map (ctl, name, value);
  }
}

void
lt_ctl_print_controllers (lt_ctl_t *ctl, const json_t *controllers)
{
  static const struct
  {
    const char *name;
    void (*print) (lt_ctl_t *ctl, const json_t *state);
  } printers[] = { { "config", print_config },
                   { "membership", print_membership },
                   { "health", print_health } };
  const char *name;
  json_t *state;
  json_object_foreach ((json_t *)controllers, name, state)
  {
    size_t i = 0;
    while (i < COUNT (printers) && strcmp (printers[i].name, name) != 0)
      i++;
    if (i < COUNT (printers))
      printers[i].print (ctl, state);
    else
      print_any (ctl, name, state);
  }
}
