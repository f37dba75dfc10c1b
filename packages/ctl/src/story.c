#include "story.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  UPSTREAMS_MAX = 16,
  NAME_BYTES = 128,
  /* An estimate or an entry older than this says little of the moment.  */
  UPSTREAM_STATE_MAX_MS = 30000,
  MS_PER_S = 1000
};

/* What a line without a request tells of the VM's state.  A later line with
   the same topic and subject replaces it.  */
typedef enum topic
{
  TOPIC_NONE,
  TOPIC_ESTIMATE, /* Of an upstream. */
  TOPIC_RATE,     /* That an upstream names. */
  TOPIC_REGISTER, /* The version that the VM holds of a part. */
  TOPIC_ENTRY     /* Of an upstream in the register. */
} topic_t;

/* The first field that a line has decides.  */
static const struct
{
  const char *field;
  const char *subject;
  topic_t topic;
} topics[] = { { "gray=", "upstream=", TOPIC_ESTIMATE },
               { "rate_milli=", "upstream=", TOPIC_RATE },
               { "part=", "part=", TOPIC_REGISTER },
               { "upstream=", "upstream=", TOPIC_ENTRY } };

typedef struct log_line
{
  char *text;
  const char *path;
  int64_t at_ms;  /* Unix time; the VMs' clocks may differ. */
  size_t read_at; /* Keeps the order of lines of one moment. */
  topic_t topic;  /* TOPIC_NONE: a line of the request. */
  char subject[NAME_BYTES];
} log_line_t;

typedef struct story
{
  const char *request;
  log_line_t *lines;
  size_t count;
  char upstreams[UPSTREAMS_MAX][NAME_BYTES];
  int upstream_count;
} story_t;

/* Copies the value of NAME= in LINE.  Returns false if there is none.  */
static bool
take_field (const char *line, const char *name, char *out, size_t size)
{
  size_t len = strlen (name);
  for (const char *at = line; (at = strstr (at, name)) != NULL; at += len)
    {
      if (at != line && at[-1] != ' ')
        continue;
      size_t value = strcspn (at + len, " \n");
      if (value == 0 || value >= size)
        return false;
      memcpy (out, at + len, value);
      out[value] = '\0';
      return true;
    }
  return false;
}

/* Returns the Unix time of a line in milliseconds, or -1.  */
static int64_t
line_time_ms (const char *line)
{
  char text[NAME_BYTES];
  struct tm tm = { 0 };
  if (!take_field (line, "time=", text, sizeof (text)))
    return -1;
  const char *rest = strptime (text, "%Y-%m-%dT%H:%M:%S", &tm);
  if (rest == NULL)
    return -1;
  int64_t ms = *rest == '.' ? strtol (rest + 1, NULL, 10) : 0;
  return (int64_t)timegm (&tm) * MS_PER_S + ms;
}

static bool
names_request (const story_t *story, const char *line)
{
  char id[NAME_BYTES];
  return take_field (line, "request=", id, sizeof (id))
         && strcmp (id, story->request) == 0;
}

static bool
knows_upstream (const story_t *story, const char *name)
{
  for (int i = 0; i < story->upstream_count; i++)
    if (strcmp (story->upstreams[i], name) == 0)
      return true;
  return false;
}

static void
note_upstream (story_t *story, const char *line)
{
  char name[NAME_BYTES];
  if (story->upstream_count < UPSTREAMS_MAX
      && take_field (line, "upstream=", name, sizeof (name))
      && !knows_upstream (story, name))
    memcpy (story->upstreams[story->upstream_count++], name, sizeof (name));
}

/* Sets the topic and the subject of a line that is not of the request.  */
static void
set_topic (log_line_t *line)
{
  char value[NAME_BYTES];
  if (strstr (line->text, "component=upstreams ") == NULL
      && strstr (line->text, "component=source ") == NULL)
    return;
  for (size_t i = 0; i < sizeof (topics) / sizeof (topics[0]); i++)
    if (take_field (line->text, topics[i].field, value, sizeof (value)))
      {
        if (take_field (line->text, topics[i].subject, line->subject,
                        sizeof (line->subject)))
          line->topic = topics[i].topic;
        return;
      }
}

/* Adds TEXT, and takes it over, if it is of the request or tells of a state.
   The upstreams that the request met are known only later.  */
static bool
add_line (story_t *story, char *text, const char *path)
{
  log_line_t line = { .text = text,
                      .path = path,
                      .at_ms = line_time_ms (text),
                      .read_at = story->count };
  if (names_request (story, text))
    note_upstream (story, text);
  else
    {
      set_topic (&line);
      if (line.topic == TOPIC_NONE)
        return false;
    }
  story->lines
      = lt_realloc (story->lines, (story->count + 1) * sizeof (log_line_t));
  story->lines[story->count++] = line;
  return true;
}

static int
read_log (story_t *story, const char *path)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *text = NULL;
  size_t size = 0;
  if (file == NULL)
    return -errno;
  while (getline (&text, &size, file) >= 0)
    {
      if (!add_line (story, text, path))
        continue;
      text = NULL; /* The line has it now. */
      size = 0;
    }
  int error = ferror (file) != 0 ? -errno : 0;
  free (text);
  if (file != stdin)
    fclose (file);
  return error;
}

static int
compare_lines (const void *a, const void *b)
{
  const log_line_t *left = a;
  const log_line_t *right = b;
  if (left->at_ms != right->at_ms)
    return left->at_ms < right->at_ms ? -1 : 1;
  return left->read_at < right->read_at ? -1 : 1;
}

/* Returns whether a later line of the same file tells the same anew.  */
static bool
is_replaced (const story_t *story, size_t at, int64_t end_ms)
{
  const log_line_t *line = &story->lines[at];
  for (size_t i = at + 1; i < story->count; i++)
    {
      const log_line_t *later = &story->lines[i];
      if (later->at_ms > end_ms)
        return false;
      if (later->topic == line->topic && strcmp (later->path, line->path) == 0
          && strcmp (later->subject, line->subject) == 0)
        return true;
    }
  return false;
}

/* Returns whether the log at PATH is of a VM that had the request.  */
static bool
had_request (const story_t *story, const char *path)
{
  for (size_t i = 0; i < story->count; i++)
    if (story->lines[i].topic == TOPIC_NONE
        && strcmp (story->lines[i].path, path) == 0)
      return true;
  return false;
}

static bool
is_shown (const story_t *story, size_t at, int64_t end_ms)
{
  const log_line_t *line = &story->lines[at];
  if (line->topic == TOPIC_NONE)
    return true;
  bool concerns_it
      = line->topic == TOPIC_REGISTER
            ? had_request (story, line->path)
            : knows_upstream (story, line->subject)
                  && end_ms - line->at_ms <= UPSTREAM_STATE_MAX_MS;
  return concerns_it && line->at_ms <= end_ms
         && !is_replaced (story, at, end_ms);
}

static void
print_line (FILE *out, const log_line_t *line, int64_t end_ms)
{
  const char *rest = strstr (line->text, "component=");
  fprintf (out, "%8lld ms  %s  %s", (long long)(line->at_ms - end_ms),
           line->path, rest == NULL ? line->text : rest);
}

static int
print_story (lt_ctl_t *ctl, const story_t *story)
{
  int64_t end_ms = -1;
  for (size_t i = 0; i < story->count; i++)
    if (story->lines[i].topic == TOPIC_NONE)
      end_ms = story->lines[i].at_ms;
  if (end_ms < 0)
    {
      fprintf (ctl->err, "lavenderctl: %s: no line of these logs names it\n",
               story->request);
      return LT_CTL_REFUSED;
    }
  for (size_t i = 0; i < story->count; i++)
    if (is_shown (story, i, end_ms))
      print_line (ctl->out, &story->lines[i], end_ms);
  return LT_CTL_DONE;
}

int
lt_ctl_story (lt_ctl_t *ctl, const char *request, const char *const *paths,
              int count)
{
  story_t story = { .request = request };
  int status = LT_CTL_DONE;
  for (int i = 0; i < count; i++)
    {
      int error = read_log (&story, paths[i]);
      if (error == 0)
        continue;
      fprintf (ctl->err, "lavenderctl: %s: %s\n", paths[i], strerror (-error));
      status = LT_CTL_REFUSED;
    }
  if (story.count > 0)
    qsort (story.lines, story.count, sizeof (log_line_t), compare_lines);
  if (status == LT_CTL_DONE)
    status = print_story (ctl, &story);
  for (size_t i = 0; i < story.count; i++)
    free (story.lines[i].text);
  free (story.lines);
  return status;
}
