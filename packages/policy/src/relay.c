#include "lt/policy/relay.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/clock.h"
#include "lt/base/error.h"

enum
{
  ID_MAX_BYTES = 64,
  /* Parts of the time in which leaving upstreams must be known.  */
  FRESH_PERCENT = 55,
  STEP_PERCENT = 2,
  STEPS_MAX = 6,
  FAST_RETRIES = 3,
  /* Below the time after which a platform drops the records of upstreams that
     cannot reach it, commonly three heartbeats of 1.5 s.  */
  OUTAGE_MS = 3500,
  /* Responses may still be on their way when the registry becomes
     unavailable.  */
  RESPONSE_DELAY_MS = 100
};

typedef struct relay_peer
{
  char id[ID_MAX_BYTES + 1];
  bool connected;
  bool withdrawn; /* Its last report says that it does not serve. */
  uint64_t incarnation;
  bool has_offset;
  int64_t offset_us;   /* From its clock to the one of this VM. */
  int64_t verified_us; /* On the clock of this VM; 0: never. */
} relay_peer_t;

struct lt_relay
{
  lt_relay_options_t options;
  char own_id[ID_MAX_BYTES + 1];
  int64_t started_us;
  bool settled; /* The list of VMs is complete. */
  size_t known;
  relay_peer_t peers[LT_RELAY_PEERS_MAX];
  size_t peer_count;
  int64_t verified_us;  /* Latest to any VM; 0: never. */
  int64_t responded_us; /* Last response to any VM; 0: none. */
  bool reading;
  bool failing; /* The last call of this VM failed. */
};

lt_relay_options_t
lt_relay_options_for (int64_t leave_us)
{
  return (lt_relay_options_t){ .fresh_us = leave_us * FRESH_PERCENT / 100,
                               .step_us = leave_us * STEP_PERCENT / 100,
                               .steps_max = STEPS_MAX,
                               .fast_retries = FAST_RETRIES,
                               .outage_us = OUTAGE_MS * LT_US_PER_MS };
}

static void
copy_id (char *to, str_t id)
{
  size_t len = id.len < ID_MAX_BYTES ? id.len : ID_MAX_BYTES;
  memcpy (to, id.data, len);
  to[len] = '\0';
}

lt_relay_t *
lt_relay_create (const lt_relay_options_t *options, str_t own_id,
                 int64_t now_us)
{
  lt_relay_t *relay = lt_alloc (sizeof (*relay));
  relay->options = *options;
  copy_id (relay->own_id, own_id);
  relay->started_us = now_us;
  return relay;
}

void
lt_relay_destroy (lt_relay_t *relay)
{
  free (relay);
}

static relay_peer_t *
find_peer (lt_relay_t *relay, str_t id)
{
  for (size_t i = 0; i < relay->peer_count; i++)
    if (str_equal (str_from (relay->peers[i].id), id))
      return &relay->peers[i];
  return NULL;
}

/* Returns the entry of ID, which replaces one without a connection when the
   table is full, or NULL.  */
static relay_peer_t *
find_or_add_peer (lt_relay_t *relay, str_t id)
{
  relay_peer_t *peer = find_peer (relay, id);
  if (peer != NULL)
    return peer;
  if (relay->peer_count < LT_RELAY_PEERS_MAX)
    peer = &relay->peers[relay->peer_count++];
  for (size_t i = 0; peer == NULL && i < relay->peer_count; i++)
    if (!relay->peers[i].connected)
      peer = &relay->peers[i];
  if (peer == NULL)
    return NULL;
  *peer = (relay_peer_t){ .id = "" };
  copy_id (peer->id, id);
  return peer;
}

void
lt_relay_set_peers (lt_relay_t *relay, const str_t *ids, size_t count,
                    size_t known)
{
  relay->settled = true;
  relay->known = known;
  for (size_t i = 0; i < relay->peer_count; i++)
    relay->peers[i].connected = false;
  for (size_t i = 0; i < count; i++)
    {
      relay_peer_t *peer = find_or_add_peer (relay, ids[i]);
      if (peer != NULL)
        peer->connected = true;
    }
}

static void
update_offset (relay_peer_t *peer, const lt_relay_report_t *report,
               int64_t now_us)
{
  int64_t offset_us = now_us - report->sent_us;
  if (peer->incarnation != report->incarnation)
    peer->has_offset = false;
  peer->incarnation = report->incarnation;
  if (!peer->has_offset || offset_us < peer->offset_us)
    peer->offset_us = offset_us;
  peer->has_offset = true;
}

int64_t
lt_relay_on_report (lt_relay_t *relay, str_t vm_id,
                    const lt_relay_report_t *report, int64_t now_us)
{
  relay_peer_t *peer = find_or_add_peer (relay, vm_id);
  if (peer == NULL)
    return 0;
  update_offset (peer, report, now_us);
  peer->withdrawn = !report->serving;
  if (!report->serving || report->verified_us > report->sent_us)
    return 0;
  peer->verified_us = report->verified_us + peer->offset_us;
  if (peer->verified_us > relay->verified_us)
    relay->verified_us = peer->verified_us;
  if (peer->verified_us > relay->responded_us)
    relay->responded_us = peer->verified_us;
  return peer->verified_us;
}

bool
lt_relay_on_response (lt_relay_t *relay, int64_t verified_us, int64_t now_us)
{
  bool was_unavailable
      = relay->responded_us != 0
        && now_us - relay->responded_us > relay->options.outage_us;
  relay->responded_us = now_us;
  if (verified_us > relay->verified_us)
    relay->verified_us = verified_us;
  relay->failing = false;
  return was_unavailable;
}

void
lt_relay_on_failure (lt_relay_t *relay)
{
  relay->failing = true;
}

bool
lt_relay_failed_alone (const lt_relay_t *relay, int64_t failing_since_us)
{
  return relay->responded_us
         > failing_since_us + RESPONSE_DELAY_MS * LT_US_PER_MS;
}

static bool
is_before (const relay_peer_t *peer, const lt_relay_t *relay)
{
  return strcmp (peer->id, relay->own_id) < 0;
}

/* Counts the connected VMs with a lower id.  */
static uint32_t
rank (const lt_relay_t *relay, bool with_withdrawn)
{
  uint32_t count = 0;
  for (size_t i = 0; i < relay->peer_count; i++)
    {
      const relay_peer_t *peer = &relay->peers[i];
      count += peer->connected && is_before (peer, relay)
               && (with_withdrawn || !peer->withdrawn);
    }
  return count;
}

/* Returns whether a report of another VM is fresh, of one with a lower id if
   BEFORE.  */
static bool
has_fresh_report (const lt_relay_t *relay, bool before, int64_t now_us)
{
  for (size_t i = 0; i < relay->peer_count; i++)
    {
      const relay_peer_t *peer = &relay->peers[i];
      if (!peer->withdrawn && peer->verified_us != 0
          && now_us - peer->verified_us <= relay->options.fresh_us
          && (!before || is_before (peer, relay)))
        return true;
    }
  return false;
}

/* Returns whether the knowledge of this VM is so old that it is its turn.  */
static bool
is_turn (const lt_relay_t *relay, int64_t now_us)
{
  const lt_relay_options_t *options = &relay->options;
  uint32_t steps = relay->settled ? rank (relay, false) : options->steps_max;
  bool starting = now_us - relay->started_us < options->fresh_us;
  if (steps == 0 && !starting && !relay->failing)
    return true;
  if (steps > options->steps_max)
    steps = options->steps_max;
  return now_us - relay->verified_us
         > options->fresh_us + (int64_t)steps * options->step_us;
}

bool
lt_relay_reads (lt_relay_t *relay, int64_t now_us)
{
  if (relay->settled && relay->known == 0)
    return true;
  /* A VM whose calls fail follows any other; else the lower ids.  */
  bool follows = has_fresh_report (relay, !relay->failing, now_us);
  if (relay->reading)
    relay->reading = !follows;
  else
    relay->reading = !follows && is_turn (relay, now_us);
  return relay->reading;
}

bool
lt_relay_retries_fast (const lt_relay_t *relay)
{
  return rank (relay, true) < relay->options.fast_retries;
}

bool
lt_relay_has_peers (const lt_relay_t *relay)
{
  return relay->known > 0;
}
