#include "lt/store/response_head.h"

#include "lt/base/error.h"

enum
{
  STATUS_DIGITS = 3,
  STATUS_SWITCHING_PROTOCOLS = 101,
  STATUS_FINAL_FIRST = 200
};

static int
reject (lt_response_head_t *head, int error, const char *fault)
{
  head->fault = fault;
  return error;
}

/* Returns the three digits at the start of TEXT as a number, or -1.  */
static int
parse_status (str_t text)
{
  int status = 0;
  if (text.len < STATUS_DIGITS)
    return -1;
  for (int i = 0; i < STATUS_DIGITS; i++)
    {
      if (text.data[i] < '0' || text.data[i] > '9')
        return -1;
      status = status * 10 + (text.data[i] - '0');
    }
  return status;
}

static int
read_status_line (lt_response_head_t *head, str_t line)
{
  str_t rest;
  str_t version = str_split (line, ' ', &rest);
  head->status = parse_status (rest);
  if (!str_starts_with (version, STR_LIT ("HTTP/")) || head->status < 0)
    return reject (head, -LT_EPROTO, "status line");
  /* No request asks for an upgrade, and what follows this head would not be
     HTTP.  */
  if (head->status == STATUS_SWITCHING_PROTOCOLS)
    return reject (head, -LT_EPROTO, "switch of protocols");
  head->state = LT_RESPONSE_HEAD_FIELDS;
  return 0;
}

static int
read_field (lt_response_head_t *head, str_t line)
{
  str_t value;
  str_t name = str_split (line, ':', &value);
  if (value.data == NULL)
    {
      lt_header_list_destroy (&head->headers);
      return 0;
    }
  lt_header_list_add (&head->headers, name, str_trim (value));
  return 0;
}

static int
end_head (lt_response_head_t *head)
{
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
  str_t text = str_trim (line);
  if (head->state == LT_RESPONSE_HEAD_STATUS)
    return read_status_line (head, text);
  return text.len == 0 ? end_head (head) : read_field (head, text);
}

void
lt_response_head_destroy (lt_response_head_t *head)
{
  lt_header_list_destroy (&head->headers);
  *head = (lt_response_head_t){ 0 };
}
