#include "bus.h"

#include <ev.h>
#include <stdlib.h>

typedef enum message_kind
{
  MESSAGE_CONFIG,
  MESSAGE_FRAME,
  MESSAGE_OBSERVATION
} message_kind_t;

typedef struct message
{
  struct message *next;
  message_kind_t kind;
  lt_snapshot_ref_t *old;
  lt_snapshot_ref_t *config;
  lt_peer_message_t frame;
  lt_buf_t frame_bytes; /* Sender id, then payload. */
  lt_observation_event_t observation;
} message_t;

struct lt_bus
{
  lt_node_t *node;
  message_t *head;
  message_t **tail;
  ev_timer deliver; /* Never started; made pending by ev_feed_event. */
};

static void
message_destroy (message_t *message)
{
  lt_snapshot_ref_release (message->old);
  lt_snapshot_ref_release (message->config);
  lt_buf_destroy (&message->frame_bytes);
  free (message);
}

static void
deliver_config (lt_controller_t *controller, const message_t *message,
                int64_t now_us)
{
  if (controller->vtable->on_config == NULL)
    return;
  const lt_snapshot_t *old
      = message->old == NULL ? NULL : message->old->snapshot;
  controller->vtable->on_config (controller, old, message->config->snapshot,
                                 now_us);
}

static void
deliver_frame (lt_controller_t *controller, const message_t *message,
               int64_t now_us)
{
  const lt_controller_vtable_t *vtable = controller->vtable;
  if (vtable->on_message == NULL || message->frame.type >= 32)
    return;
  if ((vtable->message_types & LT_MESSAGE_TYPE_BIT (message->frame.type)) != 0)
    vtable->on_message (controller, &message->frame, now_us);
}

static void
deliver_to (lt_controller_t *controller, const message_t *message,
            int64_t now_us)
{
  switch (message->kind)
    {
    case MESSAGE_CONFIG:
      deliver_config (controller, message, now_us);
      break;
    case MESSAGE_FRAME:
      deliver_frame (controller, message, now_us);
      break;
    case MESSAGE_OBSERVATION:
      if (controller->vtable->on_attempt_end != NULL)
        controller->vtable->on_attempt_end (controller, &message->observation,
                                            now_us);
      break;
    }
}

static message_t *
bus_take (lt_bus_t *bus)
{
  message_t *message = bus->head;
  if (message == NULL)
    return NULL;
  bus->head = message->next;
  if (bus->head == NULL)
    bus->tail = &bus->head;
  return message;
}

static void
on_deliver (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_bus_t *bus = watcher->data;
  lt_node_t *node = bus->node;
  for (message_t *m = bus_take (bus); m != NULL; m = bus_take (bus))
    {
      int64_t now_us = lt_node_now_us (node);
      for (int i = 0; i < node->controller_count; i++)
        deliver_to (node->controllers[i], m, now_us);
      message_destroy (m);
    }
}

lt_bus_t *
lt_bus_create (lt_node_t *node)
{
  lt_bus_t *bus = lt_alloc (sizeof (*bus));
  bus->node = node;
  bus->tail = &bus->head;
  ev_init (&bus->deliver, on_deliver);
  bus->deliver.data = bus;
  return bus;
}

void
lt_bus_destroy (lt_bus_t *bus)
{
  if (bus == NULL)
    return;
  ev_clear_pending (bus->node->loop, &bus->deliver);
  for (message_t *m = bus_take (bus); m != NULL; m = bus_take (bus))
    message_destroy (m);
  free (bus);
}

static void
bus_post (lt_bus_t *bus, message_t *message)
{
  if (bus->head == NULL)
    ev_feed_event (bus->node->loop, &bus->deliver, EV_CUSTOM);
  *bus->tail = message;
  bus->tail = &message->next;
}

void
lt_bus_post_config (lt_bus_t *bus, lt_snapshot_ref_t *old,
                    lt_snapshot_ref_t *current)
{
  message_t *message = lt_alloc (sizeof (*message));
  message->kind = MESSAGE_CONFIG;
  message->old = old;
  message->config = current;
  bus_post (bus, message);
}

void
lt_bus_post_frame (lt_bus_t *bus, const lt_peer_message_t *frame)
{
  message_t *message = lt_alloc (sizeof (*message));
  message->kind = MESSAGE_FRAME;
  message->frame = *frame;
  lt_buf_append_str (&message->frame_bytes, frame->sender);
  lt_buf_append_str (&message->frame_bytes, frame->payload);
  const char *bytes = message->frame_bytes.data;
  message->frame.sender = str_make (bytes, frame->sender.len);
  message->frame.payload
      = str_make (bytes + frame->sender.len, frame->payload.len);
  bus_post (bus, message);
}

void
lt_bus_post_observation (lt_bus_t *bus, const lt_observation_event_t *event,
                         lt_snapshot_ref_t *config)
{
  message_t *message = lt_alloc (sizeof (*message));
  message->kind = MESSAGE_OBSERVATION;
  message->observation = *event;
  message->config = lt_snapshot_ref_acquire (config);
  bus_post (bus, message);
}
