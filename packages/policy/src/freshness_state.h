/* State of the freshness module, shared by its two sources: freshness.c has
   versions and confirmations, freshness_outage.c the rules for a store that is
   down.  */
#ifndef LT_POLICY_FRESHNESS_STATE_H
#define LT_POLICY_FRESHNESS_STATE_H

#include <string.h>

#include "lt/policy/freshness.h"

enum
{
  ACTION_CAP = 64,
  ASK_CAP = 64,
  HELD_CAP = 32,
  READ_CAP = 8,
  NAME_CAP = 64,
  /* How long an answer to a question is useful, and how long a question is
     answered again.  */
  ASK_LIFE_MS = 3000,
  HELD_LIFE_MS = 1200,
  FETCH_RETRY_MS = 500,
  /* A VM that hears of a version from one that does not have it yet waits this
     long for one that does, before it loads the object store.  */
  FETCH_WAIT_MS = 300,
  /* One try in so many goes to the store although a VM is known to have the
     version: that VM may be gone.  */
  FETCH_STORE_EVERY = 4,
  ANNOUNCE_RETRY_MS = 300,
  RESCUE_INTERVAL_MS = 1500,
  RESCUE_JITTER_MS = 1000
};

/* Ages above this are useless and could overflow sums.  */
static const int64_t age_bound_us = 3600LL * 1000 * 1000;
static const int64_t never_us = INT64_MIN / 2;

typedef struct name
{
  char text[NAME_CAP];
  size_t len;
} name_t;

typedef struct ask
{
  uint64_t id;
  int64_t sent_us;
} ask_t;

typedef struct held
{
  name_t peer;
  uint64_t ask_id; /* 0: free. */
  int64_t arrived_us;
  int64_t answered_confirm_us;
  int64_t answered_known;
  int64_t answered_applied;
} held_t;

typedef struct read_slot
{
  uint64_t id; /* 0: free. */
  int64_t sent_us;
} read_slot_t;

typedef struct attested
{
  name_t vm_id; /* Empty: free. */
  name_t failure_domain;
  bool failing;
  int64_t known;
  int64_t at_us;
} attested_t;

typedef struct announced
{
  name_t vm_id;
  name_t failure_domain;
  bool knows;
} announced_t;

typedef struct queued
{
  lt_freshness_action_t action;
  name_t peer;
} queued_t;

struct lt_freshness
{
  lt_freshness_options_t options;
  name_t vm_id;
  name_t region;
  name_t failure_domain;
  name_t store_region;
  lt_rng_t *rng;
  bool watcher;
  bool may_attest;

  int64_t applied;
  int64_t known;
  int64_t known_us;
  int64_t behind_since_us;
  name_t known_from;
  int64_t next_fetch_us;
  uint32_t fetch_tries;
  int64_t spread; /* Highest version that was spread. */

  int64_t possible;
  uint64_t possible_origin;
  int64_t possible_us;

  announced_t announced[LT_FRESHNESS_ANNOUNCED_MAX];
  size_t announced_count;
  int64_t announced_version; /* 0: no write in progress. */
  int64_t announced_us;
  int64_t next_announce_us;

  int64_t confirm_version; /* Latest confirmation, whatever is applied. */
  int64_t confirm_us;
  int64_t good_us; /* Latest confirmation that the applied version meets. */

  attested_t attested[LT_FRESHNESS_ATTESTATIONS_MAX];
  ask_t asks[ASK_CAP];
  size_t next_ask;
  uint64_t ask_id;
  held_t held[HELD_CAP];
  read_slot_t reads[READ_CAP];
  uint64_t read_id;
  int64_t next_read_us;
  queued_t actions[ACTION_CAP];
  size_t action_first;
  size_t action_count;
};

static inline name_t
name_make (str_t text)
{
  name_t name = { .len = text.len < NAME_CAP ? text.len : NAME_CAP };
  if (name.len > 0)
    memcpy (name.text, text.data, name.len);
  return name;
}

static inline str_t
name_str (const name_t *name)
{
  return str_make (name->text, name->len);
}

static inline bool
name_is (const name_t *name, str_t text)
{
  return str_equal (name_str (name), text);
}

/* Queues an action.  */
void lt_freshness_push_action (lt_freshness_t *freshness,
                               lt_freshness_action_type_t type, str_t peer,
                               int64_t version, uint64_t read_id);
int64_t lt_freshness_known_or_possible (const lt_freshness_t *freshness);
/* Takes in that a write announced at AT_US may take effect.  */
void lt_freshness_learn_possible (lt_freshness_t *freshness, int64_t at_us,
                                  int64_t version, uint64_t origin);
void lt_freshness_clear_possible (lt_freshness_t *freshness);
void lt_freshness_learn_attestation (lt_freshness_t *freshness, int64_t now_us,
                                     const lt_attestation_t *statement,
                                     int64_t at_us);
void lt_freshness_fill_attestations (lt_freshness_t *freshness, int64_t now_us,
                                     lt_freshness_report_t *report);
/* Repeats the announcement of a write in progress when it is due.  */
void lt_freshness_tick_announce (lt_freshness_t *freshness, int64_t now_us);
/* An answer of PEER may show that it knows of this VM's announced write.  */
void lt_freshness_learn_announced (lt_freshness_t *freshness, int64_t now_us,
                                   str_t peer,
                                   const lt_freshness_report_t *answer);
/* Whether an attested outage stands in for a confirmation.  */
bool lt_freshness_covered_by_outage (const lt_freshness_t *freshness,
                                     int64_t now_us);

#endif
