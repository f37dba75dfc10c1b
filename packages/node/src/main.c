#include <argp.h>
#include <ev.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon.h"
#include "host.h"
#include "lt/base/error.h"
#include "lt/base/log.h"

const char *argp_program_version = "lavendertrackd " LT_VERSION;

enum
{
  EXIT_FINDINGS = 2,
  MAPPED_BLOCK_MIN_BYTES = 128 * 1024,
  /* Kept free at the end of the heap, as small requests come and go.  */
  HEAP_TRIM_BYTES = 1024 * 1024
};

/* Starts the drain.  Planned stops may overlap, so a further SIGTERM changes
   nothing; SIGKILL is there for an immediate end.  */
static void
on_terminate (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_daemon_drain (watcher->data);
}

/* Starts the drain; during one, a person at a terminal ends the process at
   once.  */
static void
on_interrupt (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)events;
  lt_daemon_t *daemon = watcher->data;
  if (lt_daemon_node (daemon)->draining)
    ev_break (loop, EVBREAK_ALL);
  else
    lt_daemon_drain (daemon);
}

/* SIGHUP changes nothing: settings are read only at start, because a process
   keeps its listen addresses and its identity while it runs.  */
static void
on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  lt_log (LT_LOG_INFO, "daemon",
          "msg=\"reload\" changed=0 note=\"settings are read at start\"");
}

static int
print_findings (lt_findings_t *findings)
{
  lt_buf_t text = { 0 };
  lt_findings_print (findings, &text);
  fprintf (stderr, "%.*s", STR_ARG (lt_buf_str (&text)));
  lt_buf_destroy (&text);
  lt_findings_destroy (findings);
  return EXIT_FINDINGS;
}

/* Blocks or unblocks the signals that the daemon handles.  They stay blocked
   until the handlers are installed, as their default action ends the process
   and would cut requests that it has accepted.  */
static void
mask_signals (int how)
{
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGHUP);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigprocmask (how, &signals, NULL);
}

static int
run (const lt_settings_t *settings)
{
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  lt_daemon_t *daemon = NULL;
  int error = lt_daemon_create (loop, lt_clock_system (), settings, &daemon);
  if (error != 0)
    {
      lt_log (LT_LOG_ERROR, "daemon", "msg=\"cannot start\" error=\"%s\"",
              lt_error_text (error));
      return EXIT_FAILURE;
    }
  ev_signal terminate;
  ev_signal interrupt;
  ev_signal reload;
  ev_signal_init (&reload, on_reload, SIGHUP);
  ev_signal_start (loop, &reload);
  ev_signal_init (&terminate, on_terminate, SIGTERM);
  ev_signal_init (&interrupt, on_interrupt, SIGINT);
  terminate.data = daemon;
  interrupt.data = daemon;
  ev_signal_start (loop, &terminate);
  ev_signal_start (loop, &interrupt);
  mask_signals (SIG_UNBLOCK);
  lt_log (LT_LOG_INFO, "daemon",
          "msg=\"started\" vm=%.*s listen=%.*s admin=%.*s",
          STR_ARG (settings->vm_id), STR_ARG (settings->listen),
          STR_ARG (settings->admin_listen));
  ev_run (loop, 0);
  lt_daemon_destroy (daemon);
  ev_loop_destroy (loop);
  lt_log (LT_LOG_INFO, "daemon", "msg=\"stopped\"");
  return EXIT_SUCCESS;
}

/* Blocks of bodies and responses go back to the system when they are freed:
   with its defaults, the C library raises the size from which it maps blocks
   to that of the largest one freed, and keeps smaller ones in its heap.  */
static void
set_up_allocator (void)
{
  mallopt (M_MMAP_THRESHOLD, MAPPED_BLOCK_MIN_BYTES);
  mallopt (M_TRIM_THRESHOLD, HEAP_TRIM_BYTES);
}

int
main (int argc, char **argv)
{
  lt_settings_t settings;
  lt_findings_t findings = { 0 };
  set_up_allocator ();
  mask_signals (SIG_BLOCK);
  signal (SIGPIPE, SIG_IGN);
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  lt_settings_init (&settings);
  if (host_settings_load (&settings, &findings) != 0
      || lt_settings_load (&settings, argc, argv, &findings) != 0)
    return print_findings (&findings);
  lt_findings_destroy (&findings);
  lt_log_set_level (settings.log_level);
  if (settings.check_only)
    return EXIT_SUCCESS;
  return run (&settings);
}
