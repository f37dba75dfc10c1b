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
  QUOTA_AVOIDED_MAX = 16
};

#define QUOTA_COUNT_TABLE(X)                                                  \
  X (QUOTA_COUNT_ASKED, "asked")                                              \
  X (QUOTA_COUNT_ADMITTED, "admitted")                                        \
  X (QUOTA_COUNT_DENIED, "denied")                                            \
  X (QUOTA_COUNT_ALONE, "admitted-alone")                                     \
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

/* A request that waits for its home's answer.  */
typedef struct quota_waiting
{
  struct quota_waiting *prev;
  struct quota_waiting *next;
  lt_request_t *request;
  int slot;
  uint64_t number;
  uint64_t workspace;
  int64_t since_us;
  bool asked;
} quota_waiting_t;

/* A member's question, or a request of this VM, that waits for the parent's
   reserve.  */
typedef struct quota_borrow
{
  struct quota_borrow *prev;
  struct quota_borrow *next;
  uint64_t number;
  uint64_t workspace;
  int64_t since_us;
  char member[QUOTA_NAME_BYTES]; /* "": this VM itself. */
  uint64_t correlation;          /* Of the member's question, or own number. */
} quota_borrow_t;

/* Workspaces that the reserve just had nothing for.  */
enum
{
  QUOTA_EMPTY_MAX = 32
};

typedef struct quota_empty
{
  uint64_t workspace;
  int64_t until_us;
} quota_empty_t;

/* The VM that this one has lent its right to, or reports to.  */
typedef struct quota_upper
{
  char id[QUOTA_NAME_BYTES]; /* "": nobody; this VM's own id: itself. */
  int64_t upper_us;          /* Its clock in its last answer. */
  int64_t heard_us;          /* When that came. */
  int64_t asked_us;          /* First question since; 0: none is open. */
  int64_t loan_until_us;     /* What was lent is not used before. */
  struct
  {
    uint64_t vm; /* Hash of its id. */
    int64_t until_us;
  } avoided[QUOTA_AVOIDED_MAX]; /* Gave no answer. */
} quota_upper_t;

struct lt_quota_controller
{
  lt_controller_t base;
  lt_quota_times_t times;
  lt_quota_buckets_t *alone; /* This VM's own part. */
  lt_quota_buckets_t *home;  /* Of this VM as a home. */
  lt_quota_members_t *members;
  lt_quota_parent_t *parent;
  lt_quota_buckets_t *reserve; /* Of this VM as a parent. */
  quota_borrow_t *borrows;
  quota_empty_t empty[QUOTA_EMPTY_MAX];
  quota_upper_t to_home;
  quota_upper_t to_parent;
  int64_t signed_us; /* Last message to the home. */
  lt_quota_last_report_t reported;
  int64_t shares_us; /* Last shares of the parent; 0: none in force. */
  uint64_t shares_serial;
  uint32_t vms;           /**< 0: not known yet. */
  uint32_t vms_of_others; /**< Most that a home or parent has named. */
  int64_t known_us;       /**< Since when it is known. */
  quota_waiting_t *waiting;
  uint64_t next_number;
  lt_counter_t *counts[QUOTA_COUNTS];
};

bool lt_quota_is_self (const lt_quota_controller_t *c, const char *id);
/** VMs of the fleet, this one included; 0: not known yet.  */
uint32_t lt_quota_vms (const lt_quota_controller_t *c);
void lt_quota_count (lt_quota_controller_t *c, quota_count_t count);

/** Leaves the VM out of the choice until then.  */
void lt_quota_avoid (quota_upper_t *upper, str_t id, int64_t until_us);
bool lt_quota_avoids (const quota_upper_t *upper, str_t id, int64_t now_us);

/** Chooses the home; see quota_members.c.  */
void lt_quota_follow_home (lt_quota_controller_t *c, int64_t now_us);
/** Whether the home can be asked now.  */
bool lt_quota_has_home (const lt_quota_controller_t *c, int64_t now_us);
/** Whether what this VM lent to a home is its own again.  */
bool lt_quota_is_alone (const lt_quota_controller_t *c, int64_t now_us);
void lt_quota_take_ask (lt_quota_controller_t *c,
                        const lt_peer_message_t *message, int64_t now_us);
void lt_quota_note_grant (lt_quota_controller_t *c, str_t sender,
                          const lt_wire_quota_tokens_t *grant, int64_t now_us);
/** Sends a question or a sign of life to the home.  */
void lt_quota_send_ask (lt_quota_controller_t *c, uint64_t workspace,
                        uint32_t count, uint64_t number, int64_t now_us);

/** Asks the parent's reserve for one request; see quota_borrow.c.  Returns
    false when that is of no use now.  MEMBER "" is this VM itself.  */
bool lt_quota_borrow (lt_quota_controller_t *c, str_t member,
                      uint64_t correlation, uint64_t workspace,
                      int64_t now_us);
void lt_quota_take_borrow (lt_quota_controller_t *c,
                           const lt_peer_message_t *message, int64_t now_us);
void lt_quota_take_lent (lt_quota_controller_t *c,
                         const lt_peer_message_t *message, int64_t now_us);
void lt_quota_expire_borrows (lt_quota_controller_t *c, int64_t now_us);
void lt_quota_destroy_borrows (lt_quota_controller_t *c);
/** Answers a member's question.  */
void lt_quota_send_grant (lt_quota_controller_t *c, str_t member,
                          uint64_t correlation, uint64_t workspace,
                          bool admitted, int64_t now_us);
/** The home's answer to this VM's own request NUMBER.  */
void lt_quota_finish (lt_quota_controller_t *c, uint64_t number,
                      bool admitted);

/** Reports to the parent; see quota_shares.c.  */
void lt_quota_follow_parent (lt_quota_controller_t *c, int64_t now_us);
void lt_quota_take_report (lt_quota_controller_t *c,
                           const lt_peer_message_t *message, int64_t now_us);
void lt_quota_take_shares (lt_quota_controller_t *c,
                           const lt_peer_message_t *message, int64_t now_us);

#endif
