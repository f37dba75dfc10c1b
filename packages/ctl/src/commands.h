/** @file
    The handlers of the command table, and the options they share.  */
#ifndef LT_CTL_COMMANDS_H
#define LT_CTL_COMMANDS_H

#include <argp.h>

#include "lt/ctl/ctl.h"

int lt_ctl_apply (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_check (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_diff (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_evacuate (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_explain (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_history (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_key (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_route (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_status (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_upstream (lt_ctl_t *ctl, int argc, char **argv);
int lt_ctl_workspace (lt_ctl_t *ctl, int argc, char **argv);

enum
{
  /* A request and the logs of a failure domain or two.  */
  LT_CTL_ARGUMENTS_MAX = 64
};

/** What a command line of one command holds besides the shared options.  */
typedef struct lt_ctl_arguments
{
  lt_ctl_t *ctl;
  const char *words[LT_CTL_ARGUMENTS_MAX];
  int count;
  int least; /**< Fewest words allowed. */
  int most;
  const char *day;
  const char *base;
  const char *count_text;
  const char *before;
  const char *compare; /**< File to compare with; NULL: none. */
  bool in_force;
  int64_t request_ms;
  bool allow_removal;
  bool allow_below_floor;
  bool no_wait;
  bool undo;
} lt_ctl_arguments_t;

/** Options that commands take besides the shared ones.  */
typedef enum lt_ctl_option
{
  LT_CTL_OPTION_DAY = 1 << 0,
  LT_CTL_OPTION_BASE = 1 << 1,
  LT_CTL_OPTION_REMOVAL = 1 << 2,
  LT_CTL_OPTION_FLOOR = 1 << 3,
  LT_CTL_OPTION_NO_WAIT = 1 << 4,
  LT_CTL_OPTION_RANGE = 1 << 5,
  LT_CTL_OPTION_CHECK = 1 << 6,
  LT_CTL_OPTION_UNDO = 1 << 7
} lt_ctl_option_t;

typedef struct lt_ctl_usage
{
  const char *words;    /**< Such as "SHEET". */
  const char *text;     /**< Description, "\v", examples. */
  unsigned int options; /**< lt_ctl_option_t bits. */
  int least;
  int most;
} lt_ctl_usage_t;

/** Parses the arguments of a command into ARGUMENTS.  Ends the process with
    status 2 after a usage error, and with 0 after --help.  */
void lt_ctl_parse (lt_ctl_t *ctl, const lt_ctl_usage_t *usage, int argc,
                   char **argv, lt_ctl_arguments_t *arguments);
/** Reads the environment into CTL.  */
void lt_ctl_read_environment (lt_ctl_t *ctl);
/** Handles a shared option.  */
error_t lt_ctl_parse_shared (int key, char *arg, struct argp_state *state,
                             lt_ctl_t *ctl);
extern const struct argp_option lt_ctl_shared_options[];

#endif
