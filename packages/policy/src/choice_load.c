#include "lt/policy/choice_load.h"

/* From this probability on, an upstream does not count as capacity.  */
#define UNUSABLE_PROBABILITY 0.5

void
lt_choice_load_add (lt_choice_load_t loads[LT_DISTANCES],
                    const lt_choice_t *choice,
                    const lt_choice_upstream_t *upstream, int64_t now_us)
{
  lt_choice_estimate_t view;
  if (upstream->leaving
      || lt_choice_look_up (choice, upstream->id, now_us, &view) != 0
      || view.gray_probability >= UNUSABLE_PROBABILITY
      || view.unreachable_probability >= UNUSABLE_PROBABILITY)
    return;
  lt_choice_load_t *load = &loads[upstream->distance];
  load->slots += upstream->slots > 0 ? upstream->slots : 1;
  load->in_flight += view.own_in_flight + view.peers_in_flight;
  load->own_in_flight += view.own_in_flight;
}
