#include "lt/node/claim_controller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "claim_internal.h"

enum
{
  /* A longer gap between ticks means that the process was paused.  */
  PAUSE_US = 1000000,
  STOP_WAIT_US = 5000000
};

#define COUNT_NAME(name, text) (text),
static const char *const count_names[] = { COUNT_TABLE (COUNT_NAME) };

static void
controller_tick (lt_controller_t *base, int64_t now_us)
{
  lt_claim_controller_t *controller = (lt_claim_controller_t *)base;
  bool paused = controller->last_tick_us != 0
                && now_us - controller->last_tick_us > PAUSE_US;
  controller->last_tick_us = now_us;
  lt_claim_run_t *run = controller->runs;
  while (run != NULL)
    {
      lt_claim_run_t *next = run->next;
      if (paused || lt_claim_timer_us (&run->claim) <= now_us)
        lt_claim_run_event (
            run, paused ? LT_CLAIM_EVENT_RESUMED : LT_CLAIM_EVENT_TIMER,
            LT_CLAIM_TABLE_DONE, NULL);
      run = next;
    }
}

static json_t *
controller_status (lt_controller_t *base)
{
  const lt_claim_controller_t *controller = (lt_claim_controller_t *)base;
  json_int_t open = 0;
  json_int_t releasing = 0;
  json_int_t recording = 0;
  for (const lt_claim_run_t *run = controller->runs; run != NULL;
       run = run->next)
    {
      open++;
      releasing += run->claim.state == LT_CLAIM_STATE_RELEASING;
      recording += run->claim.state == LT_CLAIM_STATE_RECORDING;
    }
  json_t *status
      = json_pack ("{s:I, s:I, s:I, s:I, s:I}", "open", open, "releasing",
                   releasing, "recording", recording, "writes_waiting",
                   (json_int_t)claim_table_queued_writes (controller->table),
                   "retention_days",
                   (json_int_t)base->node->settings->claim_retention_days);
  for (int i = 0; i < COUNTS; i++)
    json_object_set_new (
        status, count_names[i],
        json_integer ((json_int_t)controller->counts[i]->value));
  return status;
}

/* Waits for open records and releases, at most STOP_WAIT_US, since the table
   may be unavailable.  */
static bool
controller_stop (lt_controller_t *base, int64_t now_us)
{
  lt_claim_controller_t *controller = (lt_claim_controller_t *)base;
  if (controller->stop_started_us == 0)
    controller->stop_started_us = now_us;
  return controller->runs == NULL
         || now_us - controller->stop_started_us > STOP_WAIT_US;
}

static void
controller_destroy (lt_controller_t *base)
{
  lt_claim_controller_t *controller = (lt_claim_controller_t *)base;
  claim_table_destroy (controller->table);
  while (controller->runs != NULL)
    /* lt_claim_run_free unlinks the head.
       NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    lt_claim_run_free (controller->runs);
  base->node->claim_controller = NULL;
  free (controller);
}

static const lt_controller_vtable_t vtable = { .name = "claim",
                                               .tick = controller_tick,
                                               .status = controller_status,
                                               .stop = controller_stop,
                                               .destroy = controller_destroy };

lt_controller_t *
lt_claim_controller_create (lt_node_t *node)
{
  lt_claim_controller_t *controller = lt_alloc (sizeof (*controller));
  controller->base.vtable = &vtable;
  controller->base.node = node;
  controller->table
      = claim_table_create (node->loop, node->platform.table, node->metrics);
  for (int i = 0; i < COUNTS; i++)
    {
      char labels[64];
      snprintf (labels, sizeof (labels), "event=\"%s\"", count_names[i]);
      controller->counts[i]
          = lt_metrics_counter (node->metrics, "lavendertrack_claims_total",
                                "Events of claims.", labels);
    }
  node->claim_controller = controller;
  return &controller->base;
}
