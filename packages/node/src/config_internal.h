/* Parts of the config controller: config_controller.c drives the freshness
   module, config_fetch.c transfers snapshots, config_change.c writes changes
   to the store, config_history.c encodes and reads change records.  */
#ifndef LT_NODE_CONFIG_INTERNAL_H
#define LT_NODE_CONFIG_INTERNAL_H

#include "config_reports.h"
#include "lt/node/config_controller.h"
#include "lt/node/node.h"

#define CONFIG_HEAD_KEY STR_LIT ("config/head")

enum
{
  CONFIG_READ_TIMEOUT_MS = 1500,
  CONFIG_WRITE_TIMEOUT_MS = 3000,
  CONFIG_OBJECT_TIMEOUT_MS = 5000,
  CONFIG_OBJECT_NAME_MAX = 96,
  CONFIG_AUTHOR_MAX = 128
};

/* Value of the head item and of the history items.  */
typedef struct config_record
{
  char object[CONFIG_OBJECT_NAME_MAX];
  char author[CONFIG_AUTHOR_MAX];
  int64_t created_wall_us;
  uint64_t attempt; /* Random; distinguishes writes with equal contents. */
} config_record_t;

void lt_config_record_encode (const config_record_t *record, lt_buf_t *out);
int lt_config_record_decode (str_t bytes, config_record_t *record);
/* Writes the key of VERSION's history item.  */
str_t lt_config_history_key (int64_t version, char out[48]);

/* A pending call to the platform.  It may complete after the controller has
   been destroyed.  */
typedef struct config_call
{
  struct config_call *prev;
  struct config_call *next;
  lt_config_controller_t *controller; /* NULL once destroyed. */
  uint64_t id;
} config_call_t;

typedef struct config_fetch
{
  bool active;
  bool from_store;
  int64_t version;
  char peer[65];
  int64_t progress_us; /* When data last arrived. */
  lt_buf_t bytes;
} config_fetch_t;

typedef enum change_phase
{
  CHANGE_IDLE,
  CHANGE_READ_HEAD,
  CHANGE_PUT_OBJECT,
  CHANGE_ANNOUNCE,
  CHANGE_WRITE,
  CHANGE_READ_BACK,
  CHANGE_READ_CONFLICT
} change_phase_t;

typedef struct config_change
{
  change_phase_t phase;
  bool waiting; /* A platform call is pending. */
  int64_t base;
  int64_t deadline_us;
  int64_t next_read_us;
  lt_buf_t bytes; /* Encoded snapshot. */
  config_record_t record;
  lt_apply_done_t done;
  void *user;
} config_change_t;

/* Last report of another VM.  */
typedef struct vm_entry
{
  char vm_id[65];
  int64_t applied;
  int64_t confirm_age_us;
  int64_t reported_us;
  bool unreported; /* Listed by gossip; no report received. */
} vm_entry_t;

struct lt_config_controller
{
  lt_controller_t base;
  lt_freshness_t *freshness;
  config_call_t *calls;
  /* Latest head record read.  */
  int64_t head_version;
  config_record_t head;
  /* The snapshot in force, encoded for other VMs; empty when none has
     requested it recently.  */
  int64_t encoded_version;
  lt_buf_t encoded;
  int64_t encoded_used_us;
  config_fetch_t fetch;
  config_change_t change;
  vm_entry_t *vms;
  size_t vm_count;
  size_t vm_cap;
  uint64_t role_generation; /* Of the member list that set the role. */
  bool role_set;
  lt_counter_t *reads;
  lt_counter_t *read_failures;
  lt_gauge_t *age_gauge;
  lt_gauge_t *version_gauge;
};

config_call_t *lt_config_call_begin (lt_config_controller_t *controller,
                                     uint64_t id);
/* Frees CALL and returns its controller, or NULL when that was destroyed.  */
lt_config_controller_t *lt_config_call_end (config_call_t *call);

/* Performs the pending actions of the freshness module.  */
void lt_config_run_actions (lt_config_controller_t *controller);
/* Stores a head record when it is newer than the stored one.  */
void lt_config_store_head (lt_config_controller_t *controller, int64_t version,
                           const config_record_t *record);
/* Encodes the snapshot in force unless it is encoded already.  */
void lt_config_encode (lt_config_controller_t *controller);
/* Decodes a snapshot and puts it in force.  Returns 0, -LT_ESTALE when it is
   not newer than the one in force, or the decoder's error.  */
int lt_config_install (lt_config_controller_t *controller, str_t bytes);

/* Fetches VERSION from PEER, or from the store when PEER is empty, unless a
   fetch of that version or a higher one is making progress.  */
void lt_config_fetch_start (lt_config_controller_t *controller, str_t peer,
                            int64_t version);
/* Responds to a peer's request for a chunk of the snapshot.  */
void lt_config_fetch_on_get (lt_config_controller_t *controller,
                             const lt_peer_message_t *message);
/* Handles a chunk of the snapshot received from a peer.  */
void lt_config_fetch_on_data (lt_config_controller_t *controller,
                              const lt_peer_message_t *message,
                              int64_t now_us);
void lt_config_change_tick (lt_config_controller_t *controller,
                            int64_t now_us);
/* Ends the change in progress before the controller is destroyed: as unknown
   once the write was submitted, as unavailable before.  */
void lt_config_change_abandon (lt_config_controller_t *controller);

#endif
