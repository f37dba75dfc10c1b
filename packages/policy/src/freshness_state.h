/* State of the freshness module, shared by its two sources: freshness.c
   handles versions and confirmations, freshness_outage.c attestations,
   announcements and the rules for a store that is down.  */
#ifndef LT_POLICY_FRESHNESS_STATE_H
#define LT_POLICY_FRESHNESS_STATE_H

#include <string.h>

#include "lt/policy/freshness.h"

enum
{
  ACTION_CAP = 64,
  SENT_QUERY_CAP = 64,
  PENDING_QUERY_CAP = 32,
  READ_CAP = 8,
  NAME_CAP = 64,
  /* How long answers to a sent query are accepted, and how long a received
     query is answered again.  */
  SENT_QUERY_LIFETIME_MS = 3000,
  PENDING_QUERY_LIFETIME_MS = 1200,
  FETCH_RETRY_MS = 500,
  /* When a version is known but no VM that has applied it, this VM waits so
     long (to twice that, at random) for such a VM, which spares the object
     store.  */
  FETCH_WAIT_MS = 300,
  /* Every fourth fetch goes to the object store even when a VM that has the
     version is known: that VM may be gone.  */
  FETCH_STORE_EVERY = 4,
  ANNOUNCE_RETRY_MS = 300,
  FALLBACK_READ_INTERVAL_MS = 1500,
  FALLBACK_READ_JITTER_MS = 1000
};

/* Larger ages are ignored: they are of no use, and sums with them could
   overflow.  */
static const int64_t max_report_age_us = 3600LL * 1000 * 1000;
static const int64_t never_us = INT64_MIN / 2;

typedef struct name
{
  char text[NAME_CAP];
  size_t len;
} name_t;

/* A query that this VM has sent.  */
typedef struct sent_query
{
  uint64_t id;
  int64_t sent_us;
} sent_query_t;

/* A query that this VM has answered and may answer again.  */
typedef struct pending_query
{
  name_t peer;
  uint64_t query_id; /* 0: free. */
  int64_t arrived_us;
  int64_t answered_confirmed_us;
  int64_t answered_known;
  int64_t answered_applied;
} pending_query_t;

/* A read of the store in progress.  */
typedef struct read_slot
{
  uint64_t id; /* 0: free. */
  int64_t sent_us;
} read_slot_t;

/* The latest attestation of one VM.  */
typedef struct attestation_entry
{
  name_t vm_id; /* Empty: free. */
  name_t failure_domain;
  bool failing;
  int64_t known;
  int64_t at_us;
} attestation_entry_t;

/* The announcement of a write to one watcher.  */
typedef struct announcement
{
  name_t vm_id;
  name_t failure_domain;
  bool acknowledged;
} announcement_t;

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
  int64_t known_since_us;
  int64_t behind_since_us;
  name_t fetch_source;
  int64_t next_fetch_us;
  uint32_t fetch_tries;
  int64_t gossiped_version; /* Highest version that was gossiped. */

  int64_t possible;
  uint64_t possible_origin;
  int64_t possible_announced_us;

  announcement_t announcements[LT_FRESHNESS_ANNOUNCED_MAX];
  size_t announcement_count;
  int64_t announced_version; /* 0: no write in progress. */
  int64_t announced_us;
  int64_t next_announcement_us;

  int64_t confirmed_version; /* Latest confirmation, of any version. */
  int64_t confirmed_us;
  int64_t applied_confirmed_us; /* Latest confirmation at or below the applied
                                   version. */

  attestation_entry_t attestations[LT_FRESHNESS_ATTESTATIONS_MAX];
  sent_query_t sent_queries[SENT_QUERY_CAP];
  size_t next_sent_query;
  uint64_t last_query_id;
  pending_query_t pending_queries[PENDING_QUERY_CAP];
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
/* Returns the higher of the known and the possible version.  */
int64_t lt_freshness_known_or_possible (const lt_freshness_t *freshness);
/* Records that a write of VERSION, announced at AT_US, may take effect.  */
void lt_freshness_update_possible (lt_freshness_t *freshness, int64_t at_us,
                                   int64_t version, uint64_t origin);
void lt_freshness_clear_possible (lt_freshness_t *freshness);
/* Records STATEMENT about a read sent at AT_US unless a later one of the same
   VM is recorded.  */
void lt_freshness_update_attestation (lt_freshness_t *freshness,
                                      int64_t now_us,
                                      const lt_attestation_t *statement,
                                      int64_t at_us);
/* Adds the attestations to REPORT when one of them is a failure.  */
void lt_freshness_fill_attestations (lt_freshness_t *freshness, int64_t now_us,
                                     lt_freshness_report_t *report);
/* Repeats the announcement of a write in progress when it is due.  */
void lt_freshness_tick_announce (lt_freshness_t *freshness, int64_t now_us);
/* Marks this VM's announced write as acknowledged by PEER if ANSWER shows that
   PEER has received it.  */
void lt_freshness_update_announcement (lt_freshness_t *freshness,
                                       int64_t now_us, str_t peer,
                                       const lt_freshness_report_t *answer);
/* Returns whether an attested outage replaces a confirmation.  */
bool lt_freshness_covered_by_outage (const lt_freshness_t *freshness,
                                     int64_t now_us);

#endif
