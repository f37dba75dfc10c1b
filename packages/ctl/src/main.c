#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>

#include "host_config.h"
#include "lt/ctl/ctl.h"

const char *argp_program_version = "lavenderctl " LT_VERSION;

static const lt_deployment_t *
read_hosted (str_t text, str_t source, lt_findings_t *findings, void **owner)
{
  host_config_file_t *file = host_config_file_create (text, source, findings);
  *owner = file;
  return file == NULL ? NULL : host_config_file_deployment (file);
}

static void
release_hosted (void *owner)
{
  host_config_file_destroy (owner);
}

static const lt_ctl_format_t hosted_format
    = { .read = read_hosted, .release = release_hosted };

int
main (int argc, char **argv)
{
  lt_ctl_t ctl = { .out = stdout, .err = stderr, .format = &hosted_format };
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return LT_CTL_UNAVAILABLE;
  int status = lt_ctl_main (&ctl, argc, argv);
  curl_global_cleanup ();
  return status;
}
