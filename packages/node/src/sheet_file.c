#include "sheet_file.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/config/sheet.h"
#include "lt/node/config_controller.h"

enum
{
  READ_BYTES = 64 * 1024
};

static int
read_file (str_t path, lt_buf_t *out)
{
  char *name = str_dup (path);
  FILE *file = fopen (name, "rb");
  free (name);
  if (file == NULL)
    return -errno;
  char *chunk = lt_alloc (READ_BYTES);
  size_t len;
  while ((len = fread (chunk, 1, READ_BYTES, file)) > 0)
    lt_buf_append (out, chunk, len);
  int error = ferror (file) != 0 ? -LT_EIO : 0;
  free (chunk);
  fclose (file);
  return error;
}

static void
print_findings (const lt_findings_t *findings)
{
  lt_buf_t text = { 0 };
  lt_findings_print (findings, &text);
  fprintf (stderr, "%.*s", STR_ARG (lt_buf_str (&text)));
  lt_buf_destroy (&text);
}

static void
on_applied (void *user, const lt_apply_result_t *result)
{
  (void)user;
  if (result->outcome != LT_APPLY_ACCEPTED)
    lt_log (LT_LOG_ERROR, "daemon",
            "msg=\"cannot apply the sheet\" outcome=%s",
            lt_apply_outcome_name (result->outcome));
}

int
lt_sheet_file_apply (lt_node_t *node, str_t path)
{
  lt_buf_t text = { 0 };
  lt_findings_t findings = { 0 };
  lt_snapshot_t *snapshot = NULL;
  lt_sheet_options_t options = LT_SHEET_OPTIONS_DEFAULT;
  options.source = path;
  options.hash_secret = node->settings->key_hash_secret;
  int error = read_file (path, &text);
  if (error == 0)
    error
        = lt_sheet_parse (lt_buf_str (&text), &options, &findings, &snapshot);
  else
    lt_log (LT_LOG_ERROR, "daemon",
            "msg=\"cannot read the sheet\" file=%.*s "
            "error=\"%s\"",
            STR_ARG (path), lt_error_text (error));
  print_findings (&findings);
  lt_findings_destroy (&findings);
  lt_buf_destroy (&text);
  if (error != 0)
    return error;
  return lt_config_controller_apply (node->config_controller, snapshot, 0,
                                     STR_LIT ("sheet"), on_applied, NULL);
}
