/** @file
    State of the source controller, shared by its files.  */
#ifndef LT_NODE_SOURCE_INTERNAL_H
#define LT_NODE_SOURCE_INTERNAL_H

#include <uthash.h>

#include "lt/node/node.h"
#include "lt/node/source_controller.h"
#include "lt/policy/relay.h"
#include "lt/wire/frame.h"

#define SOURCE_RELAY_TABLE(X)                                                 \
  X (SOURCE_RELAY_REPORT_SENT, "report-sent")                                 \
  X (SOURCE_RELAY_RECORDS_SENT, "records-sent")                               \
  X (SOURCE_RELAY_APPLIED, "records-applied")                                 \
  X (SOURCE_RELAY_BEHIND, "behind")                                           \
  X (SOURCE_RELAY_MALFORMED, "malformed")

#define SOURCE_RELAY_ENUM(name, text) name,
typedef enum source_relay_event
{
  SOURCE_RELAY_TABLE (SOURCE_RELAY_ENUM) SOURCE_RELAY_EVENTS
} source_relay_event_t;
#undef SOURCE_RELAY_ENUM

#define SOURCE_EXCHANGE_TABLE(X)                                              \
  X (SOURCE_EXCHANGE_ASKED, "asked")                                          \
  X (SOURCE_EXCHANGE_SENT, "sent")                                            \
  X (SOURCE_EXCHANGE_APPLIED, "applied")                                      \
  X (SOURCE_EXCHANGE_MALFORMED, "malformed")

#define SOURCE_EXCHANGE_ENUM(name, text) name,
typedef enum source_exchange_event
{
  SOURCE_EXCHANGE_TABLE (SOURCE_EXCHANGE_ENUM) SOURCE_EXCHANGE_EVENTS
} source_exchange_event_t;
#undef SOURCE_EXCHANGE_ENUM

enum
{
  /* How often a VM asks others for a later configuration: after its start or
     when it got one, and after the registry came back from an older copy,
     until writers have repeated what was lost.  */
  SOURCE_START_ASKS = 4,
  SOURCE_RESTORED_ASKS = 20,
  /* After the registry came back from an older copy, writers repeat within
     seconds what was lost.  Until then its records may be older than what is
     known.  */
  SOURCE_REPEAT_MS = 10 * 1000,
  /* Longer than the time that such a copy lacks, and SOURCE_REPEAT_MS.  */
  SOURCE_MEMORY_MS = 60 * 1000
};

/* One kind of registry records, which is read once and then watched.  */
typedef struct record_watch
{
  struct lt_source_controller *controller;
  lt_registry_kind_t kind;
  int64_t version;
  int64_t changed_version;  /* Changes after it are not known to exist. */
  int64_t asked_version;    /* Of the call in flight. */
  int64_t era;              /* Of VERSION. */
  int64_t least_version;    /* That a response to the call in flight can have,
                               unless the registry answers by an older state. */
  int64_t older_since_us;   /* When it began to do so; 0: it does not. */
  bool asked_all;           /* The call in flight reads all records. */
  bool complete;            /* Completely read; now watched. */
  bool in_flight;           /* A call is in flight. */
  bool behind;              /* Another VM has reported later changes. */
  int64_t behind_since_us;  /* When it reported them. */
  int64_t failing_since_us; /* When calls began to fail; 0: they succeed. */
  int failures;
  int64_t next_us;
  int64_t responded_us; /* When the last response was sent; 0: none. */
} record_watch_t;

/* Later configurations of other VMs, see source_exchange.c.  */
typedef struct config_exchange
{
  lt_buf_t record; /* The configuration in force, encoded by the registry. */
  int asks_left;
  int64_t next_ask_us;
  char vm[LT_WIRE_NAME_MAX_BYTES + 1]; /* Fetched from; empty: no fetch. */
  int64_t version;                     /* Of the configuration fetched. */
  lt_buf_t bytes;                      /* Received so far. */
  int64_t progress_us;
} config_exchange_t;

/* Where a result comes from, for the log.  */
typedef struct source_origin
{
  str_t vm;       /* The VM that passed it on; empty: a call of this VM. */
  int64_t age_us; /* Age of what this VM had before; see lt_source_age_us. */
} source_origin_t;

typedef struct upstream_entry
{
  UT_hash_handle hh;
  int64_t version;
  int64_t era;           /* Of the version. */
  int64_t revision;      /* See lt_registry_record_t. */
  bool missing;          /* Absent from the registry; kept for now. */
  bool listed;           /* Listed by the read in flight. */
  int64_t cold_until_us; /* Taken to be cold, whatever its entry says. */
  lt_deployment_upstream_t upstream;
  lt_buf_t strings;
} upstream_entry_t;

/* A failure domain whose evacuation the registry requests, or requested before
   it came back from an older copy.  */
typedef struct evacuation
{
  UT_hash_handle hh;
  char *domain;
  int64_t version;         /* Of the last record, or its removal. */
  int64_t request_version; /* Of the record that requests it. */
  int64_t era;             /* Of both versions. */
  bool listed;             /* Listed by the read in flight. */
  bool ended;              /* Kept to recognize an older copy of the record. */
  int64_t ended_us;
} evacuation_t;

/* The last known state of an upstream that is gone.  */
typedef struct departed_upstream
{
  UT_hash_handle hh;
  char *name;
  uint64_t incarnation;
  int64_t revision;
  int64_t era;
  int64_t at_us;
} departed_upstream_t;

struct lt_source_controller
{
  lt_controller_t base;
  record_watch_t watches[2];
  lt_snapshot_t *configuration; /* Without upstreams; NULL at first. */
  upstream_entry_t *entries;
  departed_upstream_t *departed;
  bool departed_listed; /* The copy lists upstreams that are gone. */
  evacuation_t *evacuations;
  bool evacuations_differ; /* The copy has others than those kept. */
  int64_t era_since_us; /* When this VM learned of the era; 0: at its start. */
  int64_t install_count;
  int64_t recovered_us; /* End of the last outage, of any kind; 0: none. */
  lt_relay_t *relay;
  int64_t clock_due_us;    /* When the registry's clock is read again. */
  bool reading;            /* Reads the registry for its domain. */
  int64_t peers_listed_us; /* When the relay's peers were last set. */
  config_exchange_t exchange;
  lt_counter_t *exchanged[SOURCE_EXCHANGE_EVENTS];
  int64_t later_config; /* Latest configuration that another VM reported. */
  lt_counter_t *failures[2];
  lt_counter_t *older[2];
  lt_counter_t *relayed[SOURCE_RELAY_EVENTS];
  lt_gauge_t *version_gauge;
  lt_gauge_t *age_gauge;
};

/* source_controller.c */

const char *lt_source_kind_name (lt_registry_kind_t kind);
/** Returns how long ago the registry had last responded to WATCH; -1:
    never.  */
int64_t lt_source_age_us (const record_watch_t *watch, int64_t now_us);
/** Applies RESULT to WATCH, unless it is older than what WATCH has.  */
void lt_source_apply (record_watch_t *watch,
                      const lt_registry_result_t *result,
                      const source_origin_t *origin, int64_t now_us);
/** Puts the configuration of RECORD in force if it is later than the one in
    force.  */
void lt_source_apply_configuration (lt_source_controller_t *c,
                                    const lt_registry_record_t *record);
/** Returns the version of the configuration in force; -1: none.  */
int64_t lt_source_config_version (const lt_source_controller_t *c);
bool lt_source_is_healthy (const lt_source_controller_t *c);
/** Returns when the registry had last responded to both watches; 0: never.  */
int64_t lt_source_verified_us (const lt_source_controller_t *c);

/* source_era.c */

/** Returns whether RESULT, which arrived for WATCH, is of an earlier era, or
    lists changes although all records are to be read.  */
bool lt_source_is_outdated (const record_watch_t *watch,
                            const lt_registry_result_t *result);
/** Returns whether RESULT is older than a state that the registry had shown
    before the call of WATCH began, and keeps record of it.  */
bool lt_source_detect_older_state (record_watch_t *watch,
                                   const lt_registry_result_t *result,
                                   int64_t now_us);
/** Returns whether RECORD is older than what is known of ENTRY.  */
bool lt_source_is_older (const lt_source_controller_t *c,
                         const upstream_entry_t *entry,
                         const lt_registry_record_t *record);
/** Remembers that the upstream of ENTRY is gone.  */
void lt_source_note_departed (lt_source_controller_t *c,
                              const upstream_entry_t *entry, int64_t now_us);
/** Returns whether RECORD is of an upstream that went before the registry came
    back from an older copy, and was not written since.  */
bool lt_source_has_departed (lt_source_controller_t *c,
                             const lt_registry_record_t *record,
                             int64_t now_us);
/** Forgets upstreams that are gone for long.  Reads all records again when
    those of departed upstreams are no longer left out.  */
void lt_source_era_tick (lt_source_controller_t *c, int64_t now_us);
void lt_source_forget_departed (lt_source_controller_t *c);

/* source_entries.c */

/** Applies a record of an upstream.  Returns whether the set of upstreams
    changed.  */
bool lt_source_apply_upstream (lt_source_controller_t *c,
                               const lt_registry_record_t *record,
                               int64_t now_us);
/** Takes the upstream of ENTRY to be cold for the warm-up time of its service,
    unless its entry says for how long it is.  */
void lt_source_assume_cold (const lt_source_controller_t *c,
                            upstream_entry_t *entry, int64_t now_us);
/** Marks all entries as not listed, before a complete read is applied.  */
void lt_source_unlist_all (lt_source_controller_t *c);
/** Removes entries that a complete read did not list.  Returns whether any was
    removed.  */
bool lt_source_remove_unlisted (lt_source_controller_t *c, int64_t now_us);
/** Removes missing entries of services that lack too few entries for an expiry
    by an outage.  Returns whether any was removed.  */
bool lt_source_remove_departed (lt_source_controller_t *c, int64_t now_us);
/** Removes entries that are still missing at the end of the retention time.
    Returns whether any was removed.  */
bool lt_source_expire_missing (lt_source_controller_t *c, int64_t now_us);
bool lt_source_has_missing (const lt_source_controller_t *c);
void lt_source_remove_all (lt_source_controller_t *c);

/* source_evacuation.c */

/** Applies a record that requests an evacuation, or its removal.  Returns
    whether the set of evacuated failure domains changed.  */
bool lt_source_apply_evacuation (lt_source_controller_t *c,
                                 const lt_registry_record_t *record,
                                 int64_t now_us);
/** As lt_source_unlist_all, for evacuations.  */
void lt_source_unlist_evacuations (lt_source_controller_t *c);
/** Ends the evacuations that a complete read did not list.  Returns whether
    there were any.  */
bool lt_source_end_unlisted_evacuations (lt_source_controller_t *c,
                                         int64_t now_us);
bool lt_source_is_evacuated (const lt_source_controller_t *c, str_t domain);
/** Forgets the evacuations that ended before SINCE_US; INT64_MAX: all
    evacuations.  */
void lt_source_forget_evacuations (lt_source_controller_t *c,
                                   int64_t since_us);

/* source_exchange.c: VMs that have a later configuration in force than the
   registry shows pass it on.  */

void lt_source_exchange_init (lt_source_controller_t *c);
void lt_source_exchange_destroy (lt_source_controller_t *c);
/** Keeps the configuration in force, as the registry ENCODED it.  */
void lt_source_exchange_keep (lt_source_controller_t *c, str_t encoded);
/** Asks other VMs at least ASKS times, at intervals, whether they have a later
    configuration.  */
void lt_source_exchange_begin (lt_source_controller_t *c, int asks);
void lt_source_exchange_tick (lt_source_controller_t *c, int64_t now_us);
/** Fetches the configuration of VM if its VERSION is later than the own.  */
void lt_source_exchange_on_version (lt_source_controller_t *c, str_t vm,
                                    int64_t version, int64_t now_us);
/** Takes a message of type snapshot_get or snapshot_data.  */
void lt_source_exchange_message (lt_source_controller_t *c,
                                 const lt_peer_message_t *message,
                                 int64_t now_us);

/* source_relay.c */

void lt_source_relay_create (lt_source_controller_t *c);
/** Decides whether this VM reads for its domain, and lists the other VMs of
    the domain from time to time.  */
void lt_source_relay_tick (lt_source_controller_t *c, int64_t now_us);
/** Passes RESULT, which the registry has given to WATCH, to the other VMs of
    the domain if this VM reads for them.  */
void lt_source_relay_result (record_watch_t *watch,
                             const lt_registry_result_t *result,
                             int64_t now_us);
/** Tells the other VMs of the domain what this VM knows, or that it cannot
    read for them.  */
void lt_source_relay_report (lt_source_controller_t *c, int64_t now_us);
void lt_source_relay_message (lt_source_controller_t *c,
                              const lt_peer_message_t *message,
                              int64_t now_us);

#endif
