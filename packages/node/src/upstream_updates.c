#include "upstream_internal.h"

#include "lt/base/hash.h"
#include "lt/wire/frame.h"
#include "room_controller.h"

enum
{
  NEAR_VMS_MAX = 256
};

/* Upstream updates without a failure are batched for this long.  */
#define UPDATE_DELAY_S 0.1

pending_update_t *
lt_upstream_updates_mark (lt_upstream_controller_t *c,
                          const lt_upstream_t *upstream)
{
  if (c->config == NULL)
    return NULL;
  const lt_snapshot_t *s = c->config->snapshot;
  uint32_t index = lt_snapshot_find_upstream (s, upstream->name);
  if (index == LT_NO_INDEX
      || s->upstreams[index].incarnation != upstream->incarnation)
    return NULL;
  c->updates[index].changed = true;
  if (!ev_is_active (&c->flush))
    {
      ev_timer_set (&c->flush, UPDATE_DELAY_S, 0);
      ev_timer_start (c->base.node->loop, &c->flush);
    }
  return &c->updates[index];
}

uint32_t
lt_upstream_send_near (lt_upstream_controller_t *c, lt_message_type_t type,
                       str_t payload, bool in_domain)
{
  lt_node_t *node = c->base.node;
  str_t ids[NEAR_VMS_MAX];
  uint32_t sent = 0;
  if (node->directory == NULL || node->directory->others_near == NULL)
    return 0;
  size_t count
      = node->directory->others_near (node, in_domain, ids, NEAR_VMS_MAX);
  for (size_t i = 0; i < count; i++)
    sent += lt_node_send (node, ids[i], (uint16_t)type, 0, payload) == 0;
  return sent;
}

void
lt_upstream_updates_send (lt_upstream_controller_t *c,
                          const lt_wire_upstream_updates_t *updates,
                          bool in_domain)
{
  if (updates->count == 0)
    return;
  lt_buf_t payload = { 0 };
  lt_wire_upstream_updates_encode (updates, &payload);
  c->sent->value += lt_upstream_send_near (c, LT_MESSAGE_UPSTREAM_UPDATES,
                                           lt_buf_str (&payload), in_domain);
  lt_buf_destroy (&payload);
}

void
lt_upstream_updates_flush (lt_upstream_controller_t *c)
{
  ev_timer_stop (c->base.node->loop, &c->flush);
  if (c->config == NULL)
    return;
  const lt_snapshot_t *s = c->config->snapshot;
  int64_t now_us = lt_node_now_us (c->base.node);
  lt_wire_upstream_updates_t updates = { .count = 0 };
  for (uint32_t i = 0; i < s->upstream_count; i++)
    {
      pending_update_t *pending = &c->updates[i];
      if (!pending->changed)
        continue;
      uint64_t id = lt_upstream_id (&s->upstreams[i]);
      lt_choice_estimate_t view = { 0 };
      lt_choice_look_up (c->choice, id, now_us, &view);
      updates.items[updates.count++] = (lt_wire_upstream_update_t){
        .upstream = id,
        .in_flight = view.own_in_flight > 0 ? (uint32_t)view.own_in_flight : 0,
        .successes = pending->successes,
        .failures = pending->failures,
        .rejections = pending->rejections,
        .rate_milli_per_s = pending->rate_milli_per_s,
      };
      *pending = (pending_update_t){ 0 };
      if (updates.count < LT_WIRE_UPSTREAM_UPDATES_MAX)
        continue;
      lt_upstream_updates_send (c, &updates, true);
      updates.count = 0;
    }
  lt_upstream_updates_send (c, &updates, true);
}

static void
on_flush (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_upstream_updates_flush (watcher->data);
}

void
lt_upstream_updates_init (lt_upstream_controller_t *c)
{
  ev_timer_init (&c->flush, on_flush, UPDATE_DELAY_S, 0);
  c->flush.data = c;
}

static void
apply_updates (lt_upstream_controller_t *c, const lt_peer_message_t *message,
               const lt_wire_upstream_updates_t *updates, int64_t now_us)
{
  uint64_t peer = lt_hash64 (message->sender);
  if (c->base.node->room_controller != NULL)
    lt_room_controller_note_peer (c->base.node->room_controller,
                                  message->sender, updates, now_us);
  for (uint32_t i = 0; i < updates->count; i++)
    {
      const lt_wire_upstream_update_t *item = &updates->items[i];
      lt_choice_observe_peer (c->choice, item->upstream, item->successes,
                              item->failures, now_us);
      if (item->rejections > 0)
        lt_choice_observe_peer_rejections (c->choice, item->upstream,
                                           item->rejections, now_us);
      lt_choice_set_peer_load (c->choice, item->upstream, peer,
                               (int32_t)item->in_flight, now_us);
      if (item->rate_milli_per_s > 0 || item->successes > 0)
        lt_upstream_set_rate (c, item->upstream, item->rate_milli_per_s,
                              "peer", now_us);
    }
}

void
lt_upstream_updates_receive (lt_upstream_controller_t *c,
                             const lt_peer_message_t *message, int64_t now_us)
{
  lt_wire_upstream_updates_t updates;
  if (lt_wire_upstream_updates_decode (message->payload, &updates) != 0)
    {
      c->malformed->value++;
      return;
    }
  c->received->value++;
  apply_updates (c, message, &updates, now_us);
}
