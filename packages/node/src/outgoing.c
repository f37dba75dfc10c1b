#include "outgoing.h"

#include <stdlib.h>

#include "lt/node/node.h"

/* Hop-by-hop headers: RFC 9110, section 7.6.1, and RFC 9112.  */
static const char *const hop_by_hop[]
    = { "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
        "Trailer",    "Transfer-Encoding", "Upgrade" };

/* Headers of a request that the proxy or libcurl sets, or that carry
   credentials.  */
static const char *const replaced[] = { "Authorization", "Proxy-Authorization",
                                        "Host", "Content-Length", "Expect" };

static const char *const replaced_in_response[]
    = { "Content-Length", "Proxy-Authenticate" };

static bool
listed (str_t name, const char *const *names, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (str_equal_nocase (name, str_from (names[i])))
      return true;
  return false;
}

#define LISTED(name, names)                                                   \
  listed (name, names, sizeof (names) / sizeof ((names)[0]))

/* The options of all Connection headers of a message, sorted without regard to
   case.  The sender chooses how many there are, so they are not searched one
   by one for each header.  */
typedef struct connection_options
{
  str_t *items; /* Parts of the headers' values. */
  size_t count;
  size_t cap;
} connection_options_t;

static int
compare_options (const void *a, const void *b)
{
  return str_compare_nocase (*(const str_t *)a, *(const str_t *)b);
}

static void
add_options (connection_options_t *options, str_t value)
{
  str_t rest = value;
  while (rest.data != NULL)
    {
      str_t option = str_trim (str_split (rest, ',', &rest));
      if (option.len == 0)
        continue;
      if (options->count == options->cap)
        {
          options->cap = options->cap == 0 ? 8 : options->cap * 2;
          options->items = lt_realloc (
              options->items, options->cap * sizeof (options->items[0]));
        }
      options->items[options->count++] = option;
    }
}

static connection_options_t
list_connection_options (const lt_header_list_t *headers)
{
  connection_options_t options = { 0 };
  for (size_t i = 0; i < headers->count; i++)
    if (str_equal_nocase (headers->items[i].name, STR_LIT ("Connection")))
      add_options (&options, headers->items[i].value);
  if (options.count > 1)
    qsort (options.items, options.count, sizeof (options.items[0]),
           compare_options);
  return options;
}

/* Returns whether a Connection header names NAME.  */
static bool
is_connection_option (const connection_options_t *options, str_t name)
{
  return options->count > 0
         && bsearch (&name, options->items, options->count,
                     sizeof (options->items[0]), compare_options)
                != NULL;
}

/* Returns whether the proxy removes the caller's header NAME.  Treats '_' as
   '-': some upstreams map both to the same name, so a caller could otherwise
   forge the workspace header as X_Workspace.  */
static bool
is_replaced (const lt_dialect_t *dialect, str_t name)
{
  char folded[64];
  if (name.len > sizeof (folded))
    return false;
  for (size_t i = 0; i < name.len; i++)
    folded[i] = name.data[i] == '_' ? '-' : name.data[i];
  str_t text = str_make (folded, name.len);
  return LISTED (text, replaced) || str_equal_nocase (text, dialect->workspace)
         || str_equal_nocase (text, dialect->request_id)
         || str_equal_nocase (text, dialect->deadline)
         || (dialect->expected_instance.len > 0
             && str_equal_nocase (text, dialect->expected_instance));
}

static bool
holds_key (const lt_header_t *header, str_t key)
{
  if (key.len == 0)
    return false;
  return str_find (header->value, key) >= 0
         || str_find (header->name, key) >= 0;
}

static void
add_number (lt_header_list_t *out, str_t name, int64_t value)
{
  lt_buf_t text = { 0 };
  lt_buf_printf (&text, "%lld", (long long)value);
  lt_header_list_add (out, name, lt_buf_str (&text));
  lt_buf_destroy (&text);
}

void
lt_outgoing_headers (const lt_request_t *request, int64_t now_us,
                     lt_header_list_t *out)
{
  str_t key = str_from (request->key);
  const lt_dialect_t *dialect = request->node->dialect;
  const lt_header_list_t *in = &request->headers;
  connection_options_t options = list_connection_options (in);
  for (size_t i = 0; i < in->count; i++)
    {
      const lt_header_t *header = &in->items[i];
      if (LISTED (header->name, hop_by_hop)
          || is_replaced (dialect, header->name)
          || is_connection_option (&options, header->name)
          || holds_key (header, key))
        continue;
      lt_header_list_add (out, header->name, header->value);
    }
  free (options.items);
  if (request->workspace != LT_NO_INDEX)
    lt_header_list_add (
        out, dialect->workspace,
        request->snapshot->workspaces[request->workspace].name);
  if (request->request_id[0] != '\0')
    lt_header_list_add (out, dialect->request_id,
                        str_from (request->request_id));
  add_number (out, dialect->deadline,
              lt_request_remaining_ms (request, now_us));
}

void
lt_outgoing_target (const lt_request_t *request, lt_buf_t *out)
{
  if (request->node->dialect->raw_target)
    {
      lt_buf_append_str (out, str_from (request->target));
      return;
    }
  lt_buf_append_str (out, str_from (request->path));
  if (request->query != NULL)
    lt_buf_printf (out, "?%s", request->query);
}

void
lt_outgoing_response_headers (const lt_dialect_t *dialect,
                              const lt_header_list_t *headers,
                              lt_header_list_t *out)
{
  connection_options_t options = list_connection_options (headers);
  for (size_t i = 0; i < headers->count; i++)
    {
      const lt_header_t *header = &headers->items[i];
      if (LISTED (header->name, hop_by_hop)
          || LISTED (header->name, replaced_in_response)
          || str_equal_nocase (header->name, dialect->request_id)
          || str_equal_nocase (header->name, dialect->run_state)
          || is_connection_option (&options, header->name))
        continue;
      lt_header_list_add (out, header->name, header->value);
    }
  free (options.items);
}
