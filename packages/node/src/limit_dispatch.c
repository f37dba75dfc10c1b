#include "limit_controller_internal.h"

#include <string.h>

#include "limit_codec.h"
#include "lt/base/str.h"

bool
lt_limit_is_for_home (const lt_limit_message_t *message)
{
  return !message->recall
         && (message->type == LT_LIMIT_SHARE_REQUEST
             || message->type == LT_LIMIT_SHARE_RENEW
             || message->type == LT_LIMIT_SHARE_RETURN);
}

void
lt_limit_controller_receive (lt_limit_controller_t *controller,
                             const lt_limit_vm_t *from,
                             const lt_limit_message_t *message, int64_t now_us,
                             lt_limit_actions_t *actions)
{
  if (!lt_limit_is_for_home (message))
    {
      lt_limit_holder_message (controller->holder, from, message, now_us,
                               actions);
      return;
    }
  lt_limit_home_t *home
      = controller->groups[lt_limit_group (message->workspace)].home;
  if (home == NULL)
    return;
  lt_limit_home_message (home, from, message, now_us);
  lt_limit_home_tick (home, now_us, actions);
}

/* Messages to this VM itself are handled during the call.  */
static void
send (lt_limit_controller_t *controller, const lt_limit_vm_t *to,
      const lt_limit_message_t *message, int64_t now_us,
      lt_limit_actions_t *actions)
{
  if (to->id[0] == '\0')
    return;
  if (memcmp (to, &controller->vm, sizeof (*to)) == 0)
    {
      lt_limit_controller_receive (controller, to, message, now_us, actions);
      return;
    }
  lt_buf_t payload = { 0 };
  lt_limit_message_encode (message, &payload);
  int error = lt_node_send (controller->base.node, str_from (to->id),
                            (uint16_t)message->type, 0, lt_buf_str (&payload));
  lt_limit_controller_count (controller, error == 0 ? LT_LIMIT_COUNT_SENT
                                                    : LT_LIMIT_COUNT_UNSENT);
  lt_buf_destroy (&payload);
}

void
lt_limit_controller_execute (lt_limit_controller_t *controller,
                             lt_limit_actions_t *actions, int64_t now_us)
{
  for (size_t i = 0; i < actions->count; i++)
    {
      lt_limit_action_t action = actions->items[i];
      const lt_limit_group_t *group = &controller->groups[action.group];
      if (action.type == LT_LIMIT_SEND)
        send (controller, &action.vm, &action.message, now_us, actions);
      else if (action.type == LT_LIMIT_SEND_HOME)
        send (controller, &group->owner, &action.message, now_us, actions);
      else if (action.type == LT_LIMIT_SEND_LENDER
               && action.rank < group->lender_count)
        send (controller, &group->lenders[action.rank], &action.message,
              now_us, actions);
      else if (action.type == LT_LIMIT_WAKE)
        lt_limit_controller_retry_waiting (
            controller, action.message.workspace, now_us, actions);
      else if (action.type == LT_LIMIT_READ || action.type == LT_LIMIT_WRITE)
        lt_limit_controller_call_table (controller, &action);
    }
  lt_limit_actions_destroy (actions);
}
