#include "heartbeat.h"

#include "config_reports.h"
#include "lt/base/error.h"
#include "lt/node/node.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"

void
lt_heartbeat_init (lt_heartbeat_t *heartbeat)
{
  heartbeat->members
      = (lt_membership_message_t){ .updates = heartbeat->updates,
                                   .update_cap = LT_HEARTBEAT_UPDATES_MAX };
  heartbeat->report = (lt_freshness_report_t){ .confirm_age_us = -1 };
}

static void
report_to_wire (const lt_freshness_report_t *from, lt_wire_report_t *to)
{
  *to = (lt_wire_report_t){ .query_id = from->query_id,
                            .answer_delay_us = from->answer_delay_us,
                            .applied_version = from->applied_version,
                            .known_version = from->known_version,
                            .possible_version = from->possible_version,
                            .possible_write_id = from->possible_write_id,
                            .possible_age_us = from->possible_age_us,
                            .confirm_version = from->confirm_version,
                            .confirm_age_us = from->confirm_age_us,
                            .attestation_count = from->attestation_count };
  for (uint32_t i = 0; i < from->attestation_count; i++)
    {
      const lt_attestation_t *entry = &from->attestations[i];
      to->attestations[i]
          = (lt_wire_attestation_t){ .vm_id = entry->vm_id,
                                     .failure_domain = entry->failure_domain,
                                     .failing = entry->failing,
                                     .known_version = entry->known_version,
                                     .age_us = entry->age_us };
    }
}

static void
report_from_wire (const lt_wire_report_t *from, lt_freshness_report_t *to)
{
  *to = (lt_freshness_report_t){ .query_id = from->query_id,
                                 .answer_delay_us = from->answer_delay_us,
                                 .applied_version = from->applied_version,
                                 .known_version = from->known_version,
                                 .possible_version = from->possible_version,
                                 .possible_write_id = from->possible_write_id,
                                 .possible_age_us = from->possible_age_us,
                                 .confirm_version = from->confirm_version,
                                 .confirm_age_us = from->confirm_age_us,
                                 .attestation_count
                                 = from->attestation_count };
  for (uint32_t i = 0; i < from->attestation_count; i++)
    {
      const lt_wire_attestation_t *entry = &from->attestations[i];
      to->attestations[i]
          = (lt_attestation_t){ .vm_id = entry->vm_id,
                                .failure_domain = entry->failure_domain,
                                .failing = entry->failing,
                                .known_version = entry->known_version,
                                .age_us = entry->age_us };
    }
}

void
lt_heartbeat_encode (const lt_heartbeat_t *heartbeat, lt_buf_t *out)
{
  const lt_membership_message_t *members = &heartbeat->members;
  lt_wire_heartbeat_t wire;
  wire.member_digest = members->digest;
  wire.member_count = members->count;
  wire.page_after = members->page_after;
  wire.page = members->page;
  wire.update_count = members->update_count;
  for (uint32_t i = 0; i < members->update_count; i++)
    {
      const lt_member_update_t *update = &members->updates[i];
      wire.updates[i]
          = (lt_wire_member_t){ .id = update->id,
                                .incarnation = update->incarnation,
                                .state = (uint32_t)update->state,
                                .address = update->address,
                                .region = update->region,
                                .failure_domain = update->failure_domain };
    }
  report_to_wire (&heartbeat->report, &wire.report);
  lt_wire_heartbeat_encode (&wire, out);
}

int
lt_heartbeat_decode (str_t payload, lt_heartbeat_t *heartbeat)
{
  lt_wire_heartbeat_t wire;
  lt_heartbeat_init (heartbeat);
  if (lt_wire_heartbeat_decode (payload, &wire) != 0)
    return -LT_EPROTO;
  lt_membership_message_t *members = &heartbeat->members;
  members->digest = wire.member_digest;
  members->count = wire.member_count;
  members->page_after = wire.page_after;
  members->page = wire.page;
  members->update_count = wire.update_count;
  for (uint32_t i = 0; i < wire.update_count; i++)
    {
      const lt_wire_member_t *update = &wire.updates[i];
      heartbeat->updates[i]
          = (lt_member_update_t){ .id = update->id,
                                  .incarnation = update->incarnation,
                                  .state = (lt_member_state_t)update->state,
                                  .address = update->address,
                                  .region = update->region,
                                  .failure_domain = update->failure_domain };
    }
  report_from_wire (&wire.report, &heartbeat->report);
  return 0;
}

static void
heartbeat_send (lt_node_t *node, str_t to, uint16_t type, uint64_t correlation,
                const lt_heartbeat_t *heartbeat)
{
  lt_buf_t payload = { 0 };
  lt_heartbeat_encode (heartbeat, &payload);
  /* Errors are ignored: a lost heartbeat shows as a missing
     acknowledgement.  */
  lt_node_send (node, to, type, correlation, lt_buf_str (&payload));
  lt_buf_destroy (&payload);
}

void
lt_heartbeat_send_request (lt_node_t *node, str_t vm_id, uint64_t correlation)
{
  if (node->membership == NULL || node->peers == NULL)
    return;
  lt_heartbeat_t heartbeat;
  lt_heartbeat_init (&heartbeat);
  int64_t now_us = lt_node_now_us (node);
  lt_membership_fill_heartbeat (node->membership, now_us, vm_id,
                                &heartbeat.members);
  if (node->freshness != NULL)
    lt_freshness_fill_query (node->freshness, now_us, &heartbeat.report);
  heartbeat_send (node, vm_id, LT_MESSAGE_HEARTBEAT, correlation, &heartbeat);
}

void
lt_heartbeat_send_response (lt_node_t *node, str_t vm_id)
{
  if (node->membership == NULL || node->peers == NULL)
    return;
  lt_heartbeat_t heartbeat;
  lt_heartbeat_init (&heartbeat);
  int64_t now_us = lt_node_now_us (node);
  lt_membership_fill_heartbeat (node->membership, now_us, vm_id,
                                &heartbeat.members);
  lt_freshness_fill_answer (node->freshness, now_us, vm_id, &heartbeat.report);
  heartbeat_send (node, vm_id, LT_MESSAGE_HEARTBEAT_ACK, 0, &heartbeat);
}

void
lt_heartbeat_receive (lt_node_t *node, const lt_peer_message_t *message,
                      int64_t now_us)
{
  lt_heartbeat_t heartbeat;
  if (lt_heartbeat_decode (message->payload, &heartbeat) != 0)
    return;
  lt_member_update_t from
      = { .id = message->sender, .incarnation = message->incarnation };
  if (message->type == LT_MESSAGE_HEARTBEAT_ACK)
    {
      lt_membership_on_ack (node->membership, now_us, &from,
                            message->correlation, &heartbeat.members);
      if (node->config_controller != NULL)
        lt_config_controller_on_answer (node->config_controller, now_us,
                                        message->sender, &heartbeat.report);
      return;
    }
  lt_heartbeat_t ack;
  lt_heartbeat_init (&ack);
  lt_membership_on_heartbeat (node->membership, now_us, &from,
                              &heartbeat.members, &ack.members);
  if (node->config_controller != NULL)
    lt_config_controller_on_query (node->config_controller, now_us,
                                   message->sender, &heartbeat.report,
                                   &ack.report);
  heartbeat_send (node, message->sender, LT_MESSAGE_HEARTBEAT_ACK,
                  message->correlation, &ack);
  if (node->config_controller != NULL)
    lt_config_controller_on_answer_sent (node->config_controller);
}
