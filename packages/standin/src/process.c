#include "lt/standin/process.h"

#include <signal.h>
#include <stdio.h>

enum
{
  PATH_MAX_BYTES = 64,
  LINE_MAX_BYTES = 256
};

bool
lt_standin_process_has_begun (pid_t pid)
{
  char path[PATH_MAX_BYTES];
  char line[LINE_MAX_BYTES];
  unsigned long long ignored = 0;
  snprintf (path, sizeof (path), "/proc/%ld/status", (long)pid);
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return false;
  while (fgets (line, sizeof (line), file) != NULL)
    if (sscanf (line, "SigIgn: %llx", &ignored) == 1)
      break;
  fclose (file);
  return (ignored & (1ULL << (SIGPIPE - 1))) != 0;
}
