/** @file
    What tests need to know of a process that they have started.  */
#ifndef LT_STANDIN_PROCESS_H
#define LT_STANDIN_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /** Returns whether main has begun in the daemon of process PID.  The daemon
      ignores SIGPIPE first, which its starter must not do.  */
  bool lt_standin_process_has_begun (pid_t pid);

#ifdef __cplusplus
}
#endif

#endif
