#include "sheet_input.h"

#include <errno.h>
#include <string.h>
#include <time.h>

enum
{
  READ_BYTES = 16 * 1024
};

int
lt_ctl_read_sheet (lt_ctl_t *ctl, const char *name, lt_buf_t *text)
{
  char chunk[READ_BYTES];
  bool standard = strcmp (name, "-") == 0;
  FILE *file = standard ? stdin : fopen (name, "rbe");
  size_t got = 0;
  while (file != NULL && (got = fread (chunk, 1, sizeof (chunk), file)) > 0)
    lt_buf_append (text, chunk, got);
  bool failed = file == NULL || ferror (file) != 0;
  if (failed)
    fprintf (ctl->err, "lavenderctl: %s: %s\n", name, strerror (errno));
  if (file != NULL && !standard)
    fclose (file);
  return failed ? LT_CTL_FINDINGS : LT_CTL_DONE;
}

void
lt_ctl_sheet_day (const char *day, char out[LT_CTL_DAY_BYTES])
{
  out[0] = '\0';
  if (day != NULL && strcmp (day, "any") == 0)
    return;
  if (day != NULL)
    {
      snprintf (out, LT_CTL_DAY_BYTES, "%s", day);
      return;
    }
  struct tm tm;
  time_t now = time (NULL);
  localtime_r (&now, &tm);
  strftime (out, LT_CTL_DAY_BYTES, "%Y-%m-%d", &tm);
}
