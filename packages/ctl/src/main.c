#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>

#include "lt/ctl/ctl.h"

const char *argp_program_version = "lavenderctl " LT_VERSION;

int
main (int argc, char **argv)
{
  lt_ctl_t ctl = { .out = stdout, .err = stderr };
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return LT_CTL_UNAVAILABLE;
  int status = lt_ctl_main (&ctl, argc, argv);
  curl_global_cleanup ();
  return status;
}
