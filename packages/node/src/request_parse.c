#include "request_parse.h"

#include <microhttpd.h>
#include <string.h>

#include "lt/base/error.h"
#include "lt/node/node.h"

enum
{
  DEFAULT_BODY_LIMIT_BYTES = 64 * 1024
};

/* Decodes the percent escape at the start of S.  Returns the byte, or -1 when
   there is no valid escape.  */
static int
escaped_byte (str_t s)
{
  if (s.len < 3 || s.data[0] != '%')
    return -1;
  int high = str_hex_digit (s.data[1]);
  int low = str_hex_digit (s.data[2]);
  return high < 0 || low < 0 ? -1 : high * 16 + low;
}

static bool
is_unreserved (int c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
         || (c >= 'A' && c <= 'Z') || c == '-' || c == '.' || c == '_'
         || c == '~';
}

void
lt_percent_decode (str_t text, lt_buf_t *out)
{
  size_t i = 0;
  while (i < text.len)
    {
      int byte = escaped_byte (str_make (text.data + i, text.len - i));
      char c = byte >= 0 ? (char)byte : text.data[i];
      lt_buf_append (out, &c, 1);
      i += byte >= 0 ? 3 : 1;
    }
}

static bool
has_bad_segment (str_t path)
{
  str_t rest = path;
  str_split (rest, '/', &rest); /* What precedes the first slash is empty. */
  while (rest.data != NULL)
    {
      str_t segment = str_split (rest, '/', &rest);
      bool last = rest.data == NULL;
      if (str_equal (segment, STR_LIT ("."))
          || str_equal (segment, STR_LIT ("..")))
        return true;
      if (segment.len == 0 && !last)
        return true;
    }
  return false;
}

/* Appends the normal form of an escaped BYTE; returns false when the byte is
   not allowed.  */
static bool
append_escaped (int byte, lt_buf_t *out)
{
  if (byte < 0x20 || byte == 0x7f || byte == '/' || byte == '\\')
    return false;
  char c = (char)byte;
  if (is_unreserved (byte))
    lt_buf_append (out, &c, 1);
  else
    lt_buf_printf (out, "%%%02X", (unsigned int)byte);
  return true;
}

int
lt_path_normalize (str_t path, lt_buf_t *out)
{
  if (path.len == 0 || path.data[0] != '/')
    return -LT_EINVAL;
  size_t i = 0;
  while (i < path.len)
    {
      unsigned char c = (unsigned char)path.data[i];
      if (c == '%')
        {
          int byte = escaped_byte (str_make (path.data + i, path.len - i));
          if (byte < 0 || !append_escaped (byte, out))
            return -LT_EINVAL;
          i += 3;
          continue;
        }
      if (c <= 0x20 || c >= 0x7f || c == '\\' || c == '#')
        return -LT_EINVAL;
      lt_buf_append (out, &path.data[i], 1);
      i++;
    }
  return has_bad_segment (lt_buf_str (out)) ? -LT_EINVAL : 0;
}

static bool
parameter_holds_key (str_t parameter, str_t key)
{
  if (key.len == 0)
    return false;
  lt_buf_t decoded = { 0 };
  lt_percent_decode (parameter, &decoded);
  bool holds = str_find (lt_buf_str (&decoded), key) >= 0;
  lt_buf_destroy (&decoded);
  return holds;
}

void
lt_query_strip_key (str_t query, str_t key, lt_buf_t *out)
{
  str_t rest = query;
  bool first = true;
  while (rest.data != NULL)
    {
      str_t parameter = str_split (rest, '&', &rest);
      if (parameter_holds_key (parameter, key))
        continue;
      if (!first)
        lt_buf_append (out, "&", 1);
      lt_buf_append_str (out, parameter);
      first = false;
    }
}

static enum MHD_Result
collect_header (void *cls, enum MHD_ValueKind kind, const char *name,
                size_t name_size, const char *value, size_t value_size)
{
  (void)kind;
  lt_header_list_add (cls, str_make (name, name_size),
                      str_make (value, value == NULL ? 0 : value_size));
  return MHD_YES;
}

static void
find_body_limit (lt_request_t *request)
{
  const lt_route_t *route = NULL;
  str_t allow;
  request->body_limit_bytes = DEFAULT_BODY_LIMIT_BYTES;
  if (request->snapshot == NULL || request->path == NULL)
    return;
  if (request->snapshot->by_host)
    {
      int64_t max_bytes = request->snapshot->limits.body_max_bytes;
      request->body_limit_bytes = max_bytes > 0 ? max_bytes : INT64_MAX;
      return;
    }
  lt_route_match_t match
      = lt_snapshot_match_route (request->snapshot, str_from (request->method),
                                 str_from (request->path), &route, &allow);
  if (match == LT_ROUTE_FOUND)
    request->body_limit_bytes = route->max_body_bytes;
}

/* RFC 9112, section 6.3: several lengths, or a length together with
   a transfer coding, allow request smuggling, since two parsers may frame the
   request differently.  libmicrohttpd accepts them.  */
static bool
framing_is_ambiguous (const lt_header_list_t *headers)
{
  size_t lengths = lt_header_list_count (headers, STR_LIT ("Content-Length"));
  size_t codings
      = lt_header_list_count (headers, STR_LIT ("Transfer-Encoding"));
  return lengths > 1 || codings > 1 || (lengths > 0 && codings > 0);
}

/* RFC 9112, section 3.2.  */
static bool
host_is_invalid (const lt_header_list_t *headers, str_t version)
{
  size_t hosts = lt_header_list_count (headers, STR_LIT ("Host"));
  return hosts > 1
         || (hosts == 0 && str_equal (version, STR_LIT ("HTTP/1.1")));
}

void
lt_request_parse_head (lt_request_t *request,
                       struct MHD_Connection *connection, str_t method,
                       str_t target, str_t version)
{
  str_t query;
  str_t path = str_split (target, '?', &query);
  lt_buf_t normal = { 0 };
  request->method = str_dup (method);
  request->target = str_dup (target);
  if (request->node->dialect->raw_target)
    request->path = str_dup (path);
  else if (lt_path_normalize (path, &normal) == 0)
    request->path = str_dup (lt_buf_str (&normal));
  lt_buf_destroy (&normal);
  if (query.data != NULL)
    request->query = str_dup (query);
  MHD_get_connection_values_n (connection, MHD_HEADER_KIND, collect_header,
                               &request->headers);
  find_body_limit (request);
  request->framing_invalid = framing_is_ambiguous (&request->headers)
                             || host_is_invalid (&request->headers, version);
  int64_t length = 0;
  str_t text
      = lt_header_list_get (&request->headers, STR_LIT ("Content-Length"));
  if (text.data != NULL && str_to_i64 (text, &length) == 0
      && length > request->body_limit_bytes)
    request->body_too_large = true;
}
