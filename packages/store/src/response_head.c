#include "lt/store/response_head.h"

#include "lt/base/error.h"

enum
{
  STATUS_DIGITS = 3,
  STATUS_FIRST = 100,
  STATUS_SWITCHING_PROTOCOLS = 101,
  STATUS_FINAL_FIRST = 200,
  STATUS_LAST = 599
};

static int
reject (lt_response_head_t *head, int error, const char *fault)
{
  head->fault = fault;
  return error;
}

/* Returns whether TEXT may be a reason phrase or the value of a field.  */
static bool
is_field_text (str_t text)
{
  for (size_t i = 0; i < text.len; i++)
    if (!lt_is_field_char (text.data[i]))
      return false;
  return true;
}

static bool
is_token (str_t text)
{
  for (size_t i = 0; i < text.len; i++)
    if (!lt_is_token_char (text.data[i]))
      return false;
  return text.len > 0;
}

/* Takes the line end off *LINE.  Returns whether there was one.  */
static bool
strip_line_end (str_t *line)
{
  if (line->len == 0 || line->data[line->len - 1] != '\n')
    return false;
  line->len--;
  if (line->len > 0 && line->data[line->len - 1] == '\r')
    line->len--;
  return true;
}

/* Returns the status that TEXT begins with, or -1 if it is none.  */
static int
parse_status (str_t text)
{
  int status = 0;
  if (text.len < STATUS_DIGITS
      || (text.len > STATUS_DIGITS && text.data[STATUS_DIGITS] != ' '))
    return -1;
  for (int i = 0; i < STATUS_DIGITS; i++)
    {
      if (text.data[i] < '0' || text.data[i] > '9')
        return -1;
      status = status * 10 + (text.data[i] - '0');
    }
  return status >= STATUS_FIRST && status <= STATUS_LAST ? status : -1;
}

static int
read_status_line (lt_response_head_t *head, str_t line)
{
  str_t rest;
  str_t version = str_split (line, ' ', &rest);
  head->http_1_0 = str_equal (version, STR_LIT ("HTTP/1.0"));
  if (!head->http_1_0 && !str_equal (version, STR_LIT ("HTTP/1.1")))
    return reject (head, -LT_EPROTO, "version");
  head->status = parse_status (rest);
  if (head->status < 0 || !is_field_text (rest))
    return reject (head, -LT_EPROTO, "status line");
  /* No request asks for an upgrade, and what follows this head would not be
     HTTP.  */
  if (head->status == STATUS_SWITCHING_PROTOCOLS)
    return reject (head, -LT_EPROTO, "switch of protocols");
  head->state = LT_RESPONSE_HEAD_FIELDS;
  return 0;
}

/* libcurl takes a folded line for one of its own; so it is rejected, as RFC
   9112, section 5.2, allows.  */
static int
read_field (lt_response_head_t *head, str_t line)
{
  str_t value;
  str_t name = str_split (line, ':', &value);
  if (line.data[0] == ' ' || line.data[0] == '\t')
    return reject (head, -LT_EPROTO, "folded line");
  if (value.data == NULL)
    return reject (head, -LT_EPROTO, "line without a colon");
  if (!is_token (name))
    return reject (head, -LT_EPROTO, "name of a field");
  if (!is_field_text (value))
    return reject (head, -LT_EPROTO, "value of a field");
  lt_header_list_add (&head->headers, name, str_trim (value));
  return 0;
}

/* Reads the number, or list of equal numbers, of a Content-Length into
 *LENGTH, which is negative or the number of an earlier one.  */
static bool
parse_length (str_t text, int64_t *length)
{
  str_t rest = text;
  while (rest.data != NULL)
    {
      int64_t number = 0;
      str_t item = str_trim (str_split (rest, ',', &rest));
      if (str_to_i64 (item, &number) != 0 || item.data[0] == '-'
          || (*length >= 0 && number != *length))
        return false;
      *length = number;
    }
  return true;
}

/* Determines how the end of the body is found (RFC 9112, section 6.3).  */
static int
read_framing (lt_response_head_t *head)
{
  const lt_header_list_t *headers = &head->headers;
  str_t coding = STR_LIT ("Transfer-Encoding");
  size_t codings = lt_header_list_count (headers, coding);
  head->length = -1;
  for (size_t i = 0; i < headers->count; i++)
    if (str_equal_nocase (headers->items[i].name, STR_LIT ("Content-Length"))
        && !parse_length (headers->items[i].value, &head->length))
      return reject (head, -LT_EPROTO, "length");
  if (head->status < STATUS_FINAL_FIRST && (codings > 0 || head->length >= 0))
    return reject (head, -LT_EPROTO, "body of an interim response");
  if (codings == 0)
    return 0;
  /* No other coding is requested.  */
  if (codings > 1 || head->http_1_0
      || !str_equal_nocase (lt_header_list_get (headers, coding),
                            STR_LIT ("chunked")))
    return reject (head, -LT_EPROTO, "transfer coding");
  if (head->length >= 0)
    return reject (head, -LT_EPROTO, "length beside a transfer coding");
  head->chunked = true;
  return 0;
}

static int
end_head (lt_response_head_t *head)
{
  int error = read_framing (head);
  if (error != 0)
    return error;
  if (head->status >= STATUS_FINAL_FIRST)
    {
      head->state = LT_RESPONSE_HEAD_COMPLETE;
      return 0;
    }
  lt_header_list_destroy (&head->headers);
  head->state = LT_RESPONSE_HEAD_STATUS;
  return 0;
}

int
lt_response_head_read (lt_response_head_t *head, str_t line)
{
  head->bytes += line.len;
  if (head->bytes > LT_RESPONSE_HEAD_MAX_BYTES)
    return reject (head, -LT_ETOOBIG, "size of the head");
  if (++head->lines > LT_RESPONSE_HEAD_MAX_LINES)
    return reject (head, -LT_ETOOBIG, "lines of the head");
  if (!strip_line_end (&line))
    return reject (head, -LT_EPROTO, "end of a line");
  if (head->state == LT_RESPONSE_HEAD_STATUS)
    return read_status_line (head, line);
  return line.len == 0 ? end_head (head) : read_field (head, line);
}

bool
lt_response_head_has_body (const lt_response_head_t *head, bool to_head_method)
{
  return !to_head_method && head->status >= STATUS_FINAL_FIRST
         && head->status != 204 && head->status != 304;
}

void
lt_response_head_destroy (lt_response_head_t *head)
{
  lt_header_list_destroy (&head->headers);
  *head = (lt_response_head_t){ 0 };
}
