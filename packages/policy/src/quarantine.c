#include "lt/policy/quarantine.h"

#include <stdlib.h>
#include <uthash.h>

typedef enum entry_state
{
  ENTRY_SUSPECT,
  ENTRY_QUARANTINED,
  ENTRY_PROBATION /**< After a quarantine; one loss starts the next. */
} entry_state_t;

/** Slots for fingerprints that had a response.  A fingerprint is stored in the
    slot given by its hash and replaces the previous one there.  */
enum
{
  RESPONDED_SLOTS = 4096
};

/** A fingerprint that had a response.  */
typedef struct responded
{
  uint64_t key;
  int64_t until_us;
} responded_t;

typedef struct entry
{
  UT_hash_handle hh;
  lt_digest_t fingerprint;
  entry_state_t state;
  uint32_t level;
  int64_t ends_us;       /**< End of the state, without this VM's share of
                            end_jitter_us. */
  int64_t trial_ends_us; /**< End of the current trial on probation. */
  bool started_here;     /**< This VM started the quarantine. */
  bool lost_here;        /**< This VM itself saw a loss. */
  int64_t loss_us;       /**< Time of the last loss that this VM saw. */
  uint32_t loss_count;
  uint64_t upstreams[LT_QUARANTINE_LOSSES_MAX];
} entry_t;

struct lt_quarantine
{
  lt_quarantine_options_t options;
  entry_t *entries;
  responded_t responded[RESPONDED_SLOTS];
};

lt_quarantine_t *
lt_quarantine_create (const lt_quarantine_options_t *options)
{
  lt_quarantine_t *quarantine = lt_alloc (sizeof (*quarantine));
  quarantine->options = *options;
  if (quarantine->options.losses_max > LT_QUARANTINE_LOSSES_MAX)
    quarantine->options.losses_max = LT_QUARANTINE_LOSSES_MAX;
  if (quarantine->options.losses_after_response_max > LT_QUARANTINE_LOSSES_MAX)
    quarantine->options.losses_after_response_max = LT_QUARANTINE_LOSSES_MAX;
  return quarantine;
}

static void
entry_delete (lt_quarantine_t *quarantine, entry_t *entry)
{
  /* The analyzer does not see that uthash keeps hh.tbl set.  */
  HASH_DELETE (hh, quarantine->entries, entry); /* NOLINT(clang-analyzer-*) */
  free (entry);
}

void
lt_quarantine_destroy (lt_quarantine_t *quarantine)
{
  if (quarantine == NULL)
    return;
  entry_t *entry;
  entry_t *next;
  HASH_ITER (hh, quarantine->entries, entry, next)
  {
    entry_delete (quarantine, entry);
  }
  free (quarantine);
}

lt_digest_t
lt_quarantine_fingerprint (str_t workspace, str_t route, str_t method,
                           str_t path, const lt_digest_t *body)
{
  const str_t parts[] = { workspace, route, method, path };
  lt_buf_t bytes = { 0 };
  for (size_t i = 0; i < sizeof (parts) / sizeof (parts[0]); i++)
    {
      lt_buf_printf (&bytes, "%zu:", parts[i].len);
      lt_buf_append_str (&bytes, parts[i]);
    }
  lt_buf_append (&bytes, body->bytes, LT_DIGEST_BYTES);
  lt_digest_t digest
      = lt_digest_make (STR_LIT ("quarantine"), lt_buf_str (&bytes));
  lt_buf_destroy (&bytes);
  return digest;
}

static entry_t *
entry_find (const lt_quarantine_t *quarantine, const lt_digest_t *fingerprint)
{
  entry_t *entry = NULL;
  HASH_FIND (hh, quarantine->entries, fingerprint, sizeof (*fingerprint),
             entry);
  return entry;
}

static uint64_t
fingerprint_hash (const lt_digest_t *fingerprint)
{
  return lt_hash64 (
      str_make ((const char *)fingerprint->bytes, LT_DIGEST_BYTES));
}

static void
responded_set (lt_quarantine_t *quarantine, const lt_digest_t *fingerprint,
               int64_t now_us)
{
  uint64_t key = fingerprint_hash (fingerprint);
  quarantine->responded[key % RESPONDED_SLOTS]
      = (responded_t){ key, now_us + quarantine->options.response_memory_us };
}

static bool
responded_recently (const lt_quarantine_t *quarantine,
                    const lt_digest_t *fingerprint, int64_t now_us)
{
  uint64_t key = fingerprint_hash (fingerprint);
  const responded_t *responded = &quarantine->responded[key % RESPONDED_SLOTS];
  return responded->key == key && now_us < responded->until_us;
}

static bool
objects (const lt_quarantine_t *quarantine,
         const lt_quarantine_notice_t *received, int64_t now_us)
{
  uint64_t key = fingerprint_hash (&received->fingerprint);
  const responded_t *responded = &quarantine->responded[key % RESPONDED_SLOTS];
  const lt_quarantine_options_t *options = &quarantine->options;
  return received->level > 0 && responded->key == key
         && now_us < responded->until_us - options->response_memory_us
                         + options->objection_us;
}

/** Returns when the quarantine ends on this VM: ends_us plus an offset within
    end_jitter_us that differs between VMs.  */
static int64_t
quarantine_ends_us (const lt_quarantine_t *quarantine, const entry_t *entry)
{
  int64_t end_jitter_us = quarantine->options.end_jitter_us;
  if (end_jitter_us <= 0)
    return entry->ends_us;
  const uint64_t parts[]
      = { quarantine->options.vm_hash, fingerprint_hash (&entry->fingerprint),
          entry->level };
  uint64_t hash = lt_hash64 (str_make ((const char *)parts, sizeof (parts)));
  return entry->ends_us + (int64_t)(hash % (uint64_t)end_jitter_us);
}

/** Advances the state of an entry if its time is over.  Returns false if the
    entry was deleted.  */
static bool
entry_expire (lt_quarantine_t *quarantine, entry_t *entry, int64_t now_us)
{
  if (entry->state == ENTRY_QUARANTINED
      && now_us >= quarantine_ends_us (quarantine, entry))
    {
      entry->state = ENTRY_PROBATION;
      entry->ends_us += quarantine->options.probation_us;
      entry->loss_count = 0;
    }
  if (entry->state == ENTRY_QUARANTINED || now_us < entry->ends_us)
    return true;
  entry_delete (quarantine, entry);
  return false;
}

static entry_t *
entry_find_unexpired (lt_quarantine_t *quarantine,
                      const lt_digest_t *fingerprint, int64_t now_us)
{
  entry_t *entry = entry_find (quarantine, fingerprint);
  if (entry == NULL || !entry_expire (quarantine, entry, now_us))
    return NULL;
  return entry;
}

/** If the table is full, evicts the oldest entry that is not in quarantine, or
    the oldest of all if every entry is.  */
static void
evict_if_full (lt_quarantine_t *quarantine)
{
  if (HASH_COUNT (quarantine->entries) < quarantine->options.entries_max)
    return;
  entry_t *victim = quarantine->entries;
  entry_t *entry;
  entry_t *next;
  HASH_ITER (hh, quarantine->entries, entry, next)
  {
    if (entry->state == ENTRY_QUARANTINED)
      continue;
    victim = entry;
    break;
  }
  entry_delete (quarantine, victim);
}

static entry_t *
entry_get (lt_quarantine_t *quarantine, const lt_digest_t *fingerprint,
           int64_t now_us)
{
  entry_t *entry = entry_find_unexpired (quarantine, fingerprint, now_us);
  if (entry != NULL)
    return entry;
  evict_if_full (quarantine);
  entry = lt_alloc (sizeof (*entry));
  entry->fingerprint = *fingerprint;
  entry->ends_us = now_us + quarantine->options.suspicion_us;
  HASH_ADD (hh, quarantine->entries, fingerprint, sizeof (entry->fingerprint),
            entry);
  return entry;
}

bool
lt_quarantine_has_losses (lt_quarantine_t *quarantine,
                          const lt_digest_t *fingerprint, int64_t now_us)
{
  const entry_t *entry
      = entry_find_unexpired (quarantine, fingerprint, now_us);
  return entry != NULL && entry->loss_count > 0;
}

lt_quarantine_check_result_t
lt_quarantine_check (lt_quarantine_t *quarantine,
                     const lt_digest_t *fingerprint, int64_t now_us)
{
  entry_t *entry = entry_find_unexpired (quarantine, fingerprint, now_us);
  if (entry == NULL)
    return (lt_quarantine_check_result_t){ .verdict = LT_QUARANTINE_CLEAN };
  int64_t until_us = now_us;
  if (entry->state == ENTRY_QUARANTINED)
    until_us = quarantine_ends_us (quarantine, entry);
  else if (entry->state == ENTRY_PROBATION && now_us < entry->trial_ends_us)
    until_us = entry->trial_ends_us;
  else
    entry->trial_ends_us = now_us + quarantine->options.trial_us;
  if (until_us == now_us)
    return (lt_quarantine_check_result_t){ .verdict = LT_QUARANTINE_SUSPECT };
  return (lt_quarantine_check_result_t){ .verdict = LT_QUARANTINE_REFUSED,
                                         .retry_after_us = until_us - now_us };
}

int64_t
lt_quarantine_notice_wait_us (const lt_quarantine_t *quarantine,
                              const lt_digest_t *fingerprint, int64_t now_us)
{
  const entry_t *entry = entry_find (quarantine, fingerprint);
  if (entry == NULL || !entry->lost_here)
    return 0;
  int64_t until_us = entry->loss_us + quarantine->options.notice_delay_us;
  return until_us > now_us ? until_us - now_us : 0;
}

static void
entry_make_notice (const entry_t *entry, int64_t now_us,
                   lt_quarantine_notice_t *notice)
{
  *notice = (lt_quarantine_notice_t){ .fingerprint = entry->fingerprint,
                                      .level = entry->level,
                                      .remaining_us = entry->ends_us - now_us,
                                      .loss_count = entry->loss_count };
  for (uint32_t i = 0; i < entry->loss_count; i++)
    notice->upstreams[i] = entry->upstreams[i];
}

/** Adds UPSTREAM to the losses of ENTRY.  Returns false if it was already
    listed or the list is full.  */
static bool
entry_add_loss (entry_t *entry, uint64_t upstream)
{
  for (uint32_t i = 0; i < entry->loss_count; i++)
    if (entry->upstreams[i] == upstream)
      return false;
  if (entry->loss_count == LT_QUARANTINE_LOSSES_MAX)
    return false;
  entry->upstreams[entry->loss_count++] = upstream;
  return true;
}

static int64_t
quarantine_length_us (const lt_quarantine_options_t *options, uint32_t level)
{
  int64_t length_us = options->first_length_us;
  for (uint32_t i = 1; i < level && length_us < options->length_max_us; i++)
    length_us *= 2;
  return length_us < options->length_max_us ? length_us
                                            : options->length_max_us;
}

/** Quarantines an entry that has enough losses.  Returns whether it did.  */
static bool
entry_quarantine_if_due (const lt_quarantine_t *quarantine, entry_t *entry,
                         int64_t now_us)
{
  int losses_max = quarantine->options.losses_max;
  if (responded_recently (quarantine, &entry->fingerprint, now_us))
    losses_max = quarantine->options.losses_after_response_max;
  if (entry->state == ENTRY_PROBATION)
    losses_max = 1;
  if (entry->state == ENTRY_QUARANTINED
      || entry->loss_count < (uint32_t)losses_max)
    return false;
  entry->state = ENTRY_QUARANTINED;
  entry->started_here = true;
  entry->level++;
  entry->ends_us
      = now_us + quarantine_length_us (&quarantine->options, entry->level);
  return true;
}

bool
lt_quarantine_on_loss (lt_quarantine_t *quarantine,
                       const lt_digest_t *fingerprint, uint64_t upstream,
                       int64_t now_us, lt_quarantine_notice_t *notice)
{
  entry_t *entry = entry_get (quarantine, fingerprint, now_us);
  entry->lost_here = true;
  entry->loss_us = now_us;
  if (!entry_add_loss (entry, upstream))
    return false;
  if (entry->state == ENTRY_SUSPECT)
    entry->ends_us = now_us + quarantine->options.suspicion_us;
  entry_quarantine_if_due (quarantine, entry, now_us);
  entry_make_notice (entry, now_us, notice);
  return true;
}

bool
lt_quarantine_on_response (lt_quarantine_t *quarantine,
                           const lt_digest_t *fingerprint, int64_t now_us,
                           lt_quarantine_notice_t *notice)
{
  responded_set (quarantine, fingerprint, now_us);
  entry_t *entry = entry_find_unexpired (quarantine, fingerprint, now_us);
  if (entry == NULL || entry->state == ENTRY_QUARANTINED)
    return false;
  entry_make_notice (entry, now_us, notice);
  notice->cleared = true;
  entry_delete (quarantine, entry);
  return true;
}

/** Adopts a quarantine from another VM's notice, limited to length_max_us.  */
static void
merge_quarantine (const lt_quarantine_t *quarantine, entry_t *entry,
                  const lt_quarantine_notice_t *received, int64_t now_us)
{
  int64_t length_max_us = quarantine->options.length_max_us;
  int64_t remaining_us = received->remaining_us < length_max_us
                             ? received->remaining_us
                             : length_max_us;
  if (received->level < entry->level)
    return;
  int64_t ends_us = now_us + remaining_us;
  bool is_later
      = entry->state != ENTRY_QUARANTINED || ends_us > entry->ends_us;
  entry->level = received->level;
  entry->state = ENTRY_QUARANTINED;
  if (is_later)
    entry->ends_us = ends_us;
}

/** Handles a notice that a request had a response.  */
static lt_quarantine_send_t
on_cleared (lt_quarantine_t *quarantine, entry_t *entry,
            const lt_quarantine_notice_t *received, int64_t now_us,
            lt_quarantine_notice_t *notice)
{
  if (entry == NULL
      || (entry->state == ENTRY_QUARANTINED
          && (received->level == 0 || received->level < entry->level)))
    return LT_QUARANTINE_SEND_NONE;
  bool started_here = entry->state == ENTRY_QUARANTINED && entry->started_here;
  entry_make_notice (entry, now_us, notice);
  notice->cleared = true;
  if (entry->state == ENTRY_QUARANTINED)
    responded_set (quarantine, &received->fingerprint, now_us);
  entry_delete (quarantine, entry);
  return started_here ? LT_QUARANTINE_SEND_ALL : LT_QUARANTINE_SEND_NONE;
}

lt_quarantine_send_t
lt_quarantine_on_notice (lt_quarantine_t *quarantine,
                         const lt_quarantine_notice_t *received,
                         int64_t now_us, lt_quarantine_notice_t *notice)
{
  bool decides_for_others = quarantine->options.decides_for_others;
  uint32_t losses = received->loss_count < LT_QUARANTINE_LOSSES_MAX
                        ? received->loss_count
                        : LT_QUARANTINE_LOSSES_MAX;
  if (received->remaining_us <= 0)
    return LT_QUARANTINE_SEND_NONE;
  entry_t *entry
      = entry_find_unexpired (quarantine, &received->fingerprint, now_us);
  if (received->cleared)
    return on_cleared (quarantine, entry, received, now_us, notice);
  if (objects (quarantine, received, now_us))
    {
      *notice = *received;
      notice->cleared = true;
      return LT_QUARANTINE_SEND_REPLY;
    }
  if (entry == NULL)
    entry = entry_get (quarantine, &received->fingerprint, now_us);
  for (uint32_t i = 0; i < losses; i++)
    entry_add_loss (entry, received->upstreams[i]);
  bool responded
      = responded_recently (quarantine, &received->fingerprint, now_us)
        && entry->loss_count
               < (uint32_t)quarantine->options.losses_after_response_max;
  if (received->level > 0 && !responded)
    merge_quarantine (quarantine, entry, received, now_us);
  if (received->level > 0 || (!entry->lost_here && !decides_for_others))
    return LT_QUARANTINE_SEND_NONE;
  lt_quarantine_send_t send = LT_QUARANTINE_SEND_NONE;
  if (entry_quarantine_if_due (quarantine, entry, now_us))
    send = LT_QUARANTINE_SEND_ALL;
  else if (decides_for_others && entry->state == ENTRY_QUARANTINED)
    send = LT_QUARANTINE_SEND_REPLY;
  entry_make_notice (entry, now_us, notice);
  return send;
}

size_t
lt_quarantine_list_active (const lt_quarantine_t *quarantine, int64_t now_us,
                           lt_quarantine_notice_t *notices, size_t cap)
{
  size_t count = 0;
  for (const entry_t *e = quarantine->entries; e != NULL && count < cap;
       e = e->hh.next)
    if (e->state == ENTRY_QUARANTINED && now_us < e->ends_us)
      entry_make_notice (e, now_us, &notices[count++]);
  return count;
}

void
lt_quarantine_expire (lt_quarantine_t *quarantine, int64_t now_us)
{
  entry_t *entry;
  entry_t *next;
  HASH_ITER (hh, quarantine->entries, entry, next)
  {
    entry_expire (quarantine, entry, now_us);
  }
}

size_t
lt_quarantine_active_count (const lt_quarantine_t *quarantine, int64_t now_us)
{
  size_t count = 0;
  const entry_t *entry;
  for (entry = quarantine->entries; entry != NULL; entry = entry->hh.next)
    count += entry->state == ENTRY_QUARANTINED
             && now_us < quarantine_ends_us (quarantine, entry);
  return count;
}

size_t
lt_quarantine_entry_count (const lt_quarantine_t *quarantine)
{
  return HASH_COUNT (quarantine->entries);
}
