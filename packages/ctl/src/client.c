#include "client.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"
#include "output.h"

enum
{
  CONNECT_TIMEOUT_MS = 3000,
  ANSWER_MAX_BYTES = 64 * 1024 * 1024,
  MS_PER_S = 1000
};

static size_t
take_body (char *data, size_t size, size_t count, void *user)
{
  lt_buf_t *out = user;
  if (out->len + size * count > ANSWER_MAX_BYTES)
    return 0;
  lt_buf_append (out, data, size * count);
  return size * count;
}

static struct curl_slist *
make_headers (const lt_ctl_t *ctl)
{
  struct curl_slist *list = NULL;
  lt_buf_t line = { 0 };
  lt_buf_printf (&line, "X-Author: %s", ctl->author);
  list = curl_slist_append (list, line.data);
  if (ctl->operator_key != NULL)
    {
      lt_buf_clear (&line);
      lt_buf_printf (&line, "Authorization: Bearer %s", ctl->operator_key);
      list = curl_slist_append (list, line.data);
    }
  list = curl_slist_append (list, "Content-Type: application/octet-stream");
  /* Large sheets must not wait for an interim answer.  */
  list = curl_slist_append (list, "Expect:");
  lt_buf_destroy (&line);
  return list;
}

static void
set_options (CURL *curl, const lt_ctl_t *ctl, const char *method, str_t body)
{
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)ctl->timeout_s * MS_PER_S);
  if (strcmp (method, "POST") == 0)
    {
      curl_easy_setopt (curl, CURLOPT_POST, 1L);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)body.len);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS,
                        body.len == 0 ? "" : body.data);
    }
}

static bool
has_control (const char *text)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text < 0x20 || *text == 0x7f)
      return true;
  return false;
}

/* A failure before the connection stood cannot have changed anything.  */
static int
report_failure (lt_ctl_t *ctl, CURL *curl, CURLcode code)
{
  curl_off_t connected_us = 0;
  curl_easy_getinfo (curl, CURLINFO_CONNECT_TIME_T, &connected_us);
  bool sent = connected_us > 0 && code != CURLE_COULDNT_CONNECT;
  fprintf (ctl->err, "lavenderctl: %s: %s\n", ctl->admin,
           curl_easy_strerror (code));
  return sent ? -LT_EUNKNOWN : -LT_EUNAVAILABLE;
}

int
lt_ctl_request (lt_ctl_t *ctl, const char *method, const char *target,
                str_t body, lt_ctl_answer_t *answer)
{
  *answer = (lt_ctl_answer_t){ 0 };
  if (has_control (ctl->author) || has_control (ctl->admin)
      || (ctl->operator_key != NULL && has_control (ctl->operator_key)))
    {
      fprintf (ctl->err, "lavenderctl: control characters in the settings\n");
      return -LT_EUNAVAILABLE;
    }
  CURL *curl = curl_easy_init ();
  if (curl == NULL)
    return -LT_EUNAVAILABLE;
  lt_buf_t url = { 0 };
  lt_buf_t text = { 0 };
  struct curl_slist *headers = make_headers (ctl);
  lt_buf_printf (&url, "http://%s%s", ctl->admin, target);
  set_options (curl, ctl, method, body);
  curl_easy_setopt (curl, CURLOPT_URL, url.data);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &text);
  CURLcode code = curl_easy_perform (curl);
  long status = 0;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  int err = code == CURLE_OK ? 0 : report_failure (ctl, curl, code);
  answer->status = (int)status;
  if (err == 0 && text.len > 0)
    answer->body = json_loadb (text.data, text.len, 0, NULL);
  if (err == 0 && answer->body == NULL)
    {
      fprintf (ctl->err,
               "lavenderctl: %s: status %ld with a body that is no "
               "JSON\n",
               ctl->admin, status);
      err = -LT_EUNKNOWN;
    }
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  lt_buf_destroy (&url);
  lt_buf_destroy (&text);
  return err;
}

void
lt_ctl_answer_clear (lt_ctl_answer_t *answer)
{
  json_decref (answer->body);
  *answer = (lt_ctl_answer_t){ 0 };
}

char *
lt_ctl_target (const char *prefix, str_t name, const char *suffix)
{
  lt_buf_t target = { 0 };
  char *escaped
      = curl_easy_escape (NULL, name.len == 0 ? "" : name.data, (int)name.len);
  lt_buf_printf (&target, "%s%s%s", prefix,
                 name.len == 0 || escaped == NULL ? "" : escaped, suffix);
  curl_free (escaped);
  return target.data;
}

static int
report_conflict (lt_ctl_t *ctl, const json_t *body)
{
  fprintf (ctl->err,
           "lavenderctl: conflict: version %lld by %s came between and "
           "nothing changed; look at the state and try again\n",
           (long long)lt_ctl_number (body, "version"),
           lt_ctl_text (body, "author"));
  return LT_CTL_CONFLICT;
}

int
lt_ctl_explain_refusal (lt_ctl_t *ctl, const lt_ctl_answer_t *answer,
                        const char *source)
{
  const char *reason = lt_ctl_text (answer->body, "reason");
  const char *detail = lt_ctl_text (answer->body, "detail");
  if (!ctl->json && strcmp (reason, "conflict") == 0)
    return report_conflict (ctl, answer->body);
  json_t *findings = json_object_get (answer->body, "findings");
  if (ctl->json)
    lt_ctl_print_json (ctl, answer->body);
  else if (json_is_array (findings))
    lt_ctl_print_findings (ctl, findings, source);
  else
    fprintf (ctl->err, "lavenderctl: refused with status %d: %s%s%s\n",
             answer->status, reason, detail[0] == '\0' ? "" : ": ", detail);
  if (json_is_array (findings))
    return LT_CTL_FINDINGS;
  if (strcmp (reason, "conflict") == 0)
    return LT_CTL_CONFLICT;
  if (strcmp (reason, "outcome-unknown") == 0)
    return LT_CTL_UNKNOWN;
  return answer->status >= 500 ? LT_CTL_UNAVAILABLE : LT_CTL_REFUSED;
}

int
lt_ctl_get (lt_ctl_t *ctl, const char *target, json_t **body)
{
  lt_ctl_answer_t answer;
  int err = lt_ctl_request (ctl, "GET", target, str_make (NULL, 0), &answer);
  if (err != 0)
    return LT_CTL_UNAVAILABLE;
  if (answer.status == 200)
    {
      *body = answer.body;
      return LT_CTL_DONE;
    }
  int status = lt_ctl_explain_refusal (ctl, &answer, "");
  lt_ctl_answer_clear (&answer);
  return status;
}
