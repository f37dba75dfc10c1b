/* State of the quota controller, shared by its files.  */
#ifndef LT_NODE_QUOTA_INTERNAL_H
#define LT_NODE_QUOTA_INTERNAL_H

#include "lt/node/node.h"
#include "lt/node/quota_controller.h"
#include "lt/node/request.h"
#include "lt/policy/quota.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"

enum
{
  QUOTA_NAME_BYTES = 65,
  QUOTA_EXCLUDED_MAX = 16
};

#define QUOTA_COUNT_TABLE(X)                                                  \
  X (QUOTA_COUNT_REQUESTED, "asked")                                          \
  X (QUOTA_COUNT_ADMITTED, "admitted")                                        \
  X (QUOTA_COUNT_DENIED, "denied")                                            \
  X (QUOTA_COUNT_OWN_ALLOCATION, "admitted-alone")                            \
  X (QUOTA_COUNT_EXPIRED, "expired")                                          \
  X (QUOTA_COUNT_SERVED, "served-as-home")                                    \
  X (QUOTA_COUNT_BORROWED, "borrowed")                                        \
  X (QUOTA_COUNT_NOT_LENT, "not-lent")                                        \
  X (QUOTA_COUNT_MALFORMED, "malformed")

#define QUOTA_ENUM(name, text) name,
typedef enum quota_count
{
  QUOTA_COUNT_TABLE (QUOTA_ENUM) QUOTA_COUNTS
} quota_count_t;
#undef QUOTA_ENUM

/* A request that waits for a token.  */
typedef struct quota_waiting
{
  struct quota_waiting *prev;
  struct quota_waiting *next;
  lt_request_t *request;
  int slot;
  uint64_t number;    /* Correlation id of the token request. */
  uint64_t workspace; /* Hash of its name. */
  int64_t since_us;
  bool starting;        /* Received while this VM was starting. */
  bool token_requested; /* A token has been requested from the home or the
                           reserve. */
  bool denied;          /* A request for a token was denied. */
} quota_waiting_t;

/* A member's token request, or a request received by this VM itself, that
   waits for a token from the parent's reserve.  */
typedef struct quota_borrow
{
  struct quota_borrow *prev;
  struct quota_borrow *next;
  uint64_t number; /* Correlation id of the message to the parent. */
  uint64_t workspace;
  int64_t since_us;
  char member[QUOTA_NAME_BYTES]; /* "": this VM itself. */
  uint64_t correlation;          /* Of the member's request, or number of the
                                    quota_waiting_t. */
} quota_borrow_t;

/* Workspaces for which the reserve recently had no token.  */
enum
{
  QUOTA_EXHAUSTED_MAX = 32
};

typedef struct quota_exhausted
{
  uint64_t workspace;
  int64_t until_us;
} quota_exhausted_t;

/* Lease of this VM's allocation to its home, or of a home's allocations to the
   parent.  */
typedef struct quota_lease
{
  char id[QUOTA_NAME_BYTES];   /* Of the home or parent; "": none; may be this
                                  VM. */
  int64_t holder_clock_us;     /* Clock of that VM in its last response. */
  int64_t responded_us;        /* When that response was received; 0: none. */
  int64_t unanswered_since_us; /* First request without a response; 0: none. */
  int64_t reclaimed_from_us;   /* A previous home may use the allocation until
                                  then. */
  struct
  {
    uint64_t vm; /* Hash of its id. */
    int64_t until_us;
  } excluded[QUOTA_EXCLUDED_MAX]; /* Unresponsive or leaving VMs. */
} quota_lease_t;

struct lt_quota_controller
{
  lt_controller_t base;
  lt_quota_times_t times;
  lt_quota_buckets_t *own_buckets;  /* Used while this VM reaches no home. */
  lt_quota_buckets_t *home_buckets; /* Used while this VM is a home. */
  lt_quota_members_t *members;
  lt_quota_parent_t *parent;
  lt_quota_buckets_t *reserve_buckets; /* Used while this VM is the parent. */
  quota_borrow_t *borrows;
  quota_exhausted_t exhausted[QUOTA_EXHAUSTED_MAX];
  quota_lease_t home_lease;
  quota_lease_t parent_lease;
  int64_t renewed_us; /* Last message to the home; each renews the lease. */
  lt_quota_last_report_t last_report;
  int64_t shares_received_us; /* When the parent last sent shares; 0: none are
                                 in force. */
  uint64_t shares_serial;
  uint32_t vms;               /* Size of the fleet; 0: not known yet. */
  uint32_t max_reported_vms;  /* Largest fleet size in reports and shares. */
  int64_t vms_known_since_us; /* When vms first became known. */
  quota_waiting_t *waiting;
  uint64_t next_number;
  lt_counter_t *counts[QUOTA_COUNTS];
};

bool lt_quota_is_self (const lt_quota_controller_t *c, const char *id);
/** Returns the number of VMs of the fleet, this one included; 0: not known
    yet.  */
uint32_t lt_quota_vms (const lt_quota_controller_t *c);
void lt_quota_count (lt_quota_controller_t *c, quota_count_t count);

/** Excludes VM ID from the choice of the home or parent until UNTIL_US.  */
void lt_quota_exclude (quota_lease_t *lease, str_t id, int64_t until_us);
bool lt_quota_is_excluded (const quota_lease_t *lease, str_t id,
                           int64_t now_us);
/** Writes the id of the home or parent into OUT: of this VM and the COUNT
    OTHERS the lowest that is not excluded.  A VM in a planned stop chooses
    itself only when there is no other.  */
void lt_quota_choose_vm (const lt_quota_controller_t *c,
                         const quota_lease_t *lease, const str_t *others,
                         size_t count, int64_t now_us,
                         char out[QUOTA_NAME_BYTES]);

/** Chooses the home and renews the lease to it.  A VM in a planned stop ceases
    to be the home of other VMs.  */
void lt_quota_update_home (lt_quota_controller_t *c, int64_t now_us);
/** Returns whether tokens can be requested from the home now.  */
bool lt_quota_can_use_home (const lt_quota_controller_t *c, int64_t now_us);
/** Returns whether this VM uses its own allocation: it has no home, or its
   lease to the home has expired.  */
bool lt_quota_uses_own_allocation (const lt_quota_controller_t *c,
                                   int64_t now_us);
void lt_quota_on_request (lt_quota_controller_t *c,
                          const lt_peer_message_t *message, int64_t now_us);
void lt_quota_note_grant (lt_quota_controller_t *c, str_t sender,
                          const lt_wire_quota_tokens_t *grant, int64_t now_us);
/** Sends a request for COUNT tokens to the home; with COUNT 0 the message only
    renews the lease.  */
void lt_quota_send_request (lt_quota_controller_t *c, uint64_t workspace,
                            uint32_t count, uint64_t number, int64_t now_us);

/** Borrows one token from the parent's reserve for MEMBER (empty: this VM
    itself), whose request is CORRELATION.  Returns false when the reserve has
    none or should not be asked now; else the result is reported through
    lt_quota_finish or lt_quota_send_grant, possibly during this call.  */
bool lt_quota_borrow (lt_quota_controller_t *c, str_t member,
                      uint64_t correlation, uint64_t workspace,
                      int64_t now_us);
void lt_quota_on_borrow (lt_quota_controller_t *c,
                         const lt_peer_message_t *message, int64_t now_us);
void lt_quota_on_lent (lt_quota_controller_t *c,
                       const lt_peer_message_t *message, int64_t now_us);
void lt_quota_expire_borrows (lt_quota_controller_t *c, int64_t now_us);
void lt_quota_destroy_borrows (lt_quota_controller_t *c);
/** Responds to a member's token request.  */
void lt_quota_send_grant (lt_quota_controller_t *c, str_t member,
                          uint64_t correlation, uint64_t workspace,
                          bool admitted, int64_t now_us);
/** Ends the wait of this VM's own request NUMBER.  */
void lt_quota_finish (lt_quota_controller_t *c, uint64_t number,
                      bool admitted);

/** Ends the leases of the members and the lease to the parent, and reduces the
    home's buckets, without their tokens, to this VM's own allocation.  */
void lt_quota_resign_home (lt_quota_controller_t *c, int64_t now_us);
/** Chooses the parent, reports to it, and ends expired shares.  A VM in a
    planned stop ceases to be the parent of other homes.  */
void lt_quota_update_parent (lt_quota_controller_t *c, int64_t now_us);
void lt_quota_on_report (lt_quota_controller_t *c,
                         const lt_peer_message_t *message, int64_t now_us);
void lt_quota_on_shares (lt_quota_controller_t *c,
                         const lt_peer_message_t *message, int64_t now_us);

#endif
