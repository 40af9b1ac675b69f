#include "lb-switch.h"

#include <string.h>

static const char *const switch_names[LB_N_SWITCHES] = {
  [LB_SWITCH_HEDGING] = "hedging",
  [LB_SWITCH_MOVES] = "moves",
  [LB_SWITCH_MOVE_DECISIONS] = "move_decisions",
  [LB_SWITCH_PACE] = "pace",
  [LB_SWITCH_FULL_PACE] = "full_pace",
  [LB_SWITCH_CONDITION] = "condition",
  [LB_SWITCH_LATEST_START] = "latest_start",
  [LB_SWITCH_KEPT_TEXTS] = "kept_texts",
  [LB_SWITCH_CARRIED_TEXTS] = "carried_texts",
  [LB_SWITCH_DIVISION] = "division",
  [LB_SWITCH_LAG_SHARES] = "lag_shares",
  [LB_SWITCH_LOADS_IN_TURN] = "loads_in_turn",
  [LB_SWITCH_OFFERS] = "offers",
  [LB_SWITCH_SUCCESSORS] = "successors",
  [LB_SWITCH_WAY_THROUGH_PEERS] = "way_through_peers",
  [LB_SWITCH_STORE_BUDGET] = "store_budget",
  [LB_SWITCH_SENT_AGAIN] = "sent_again",
  [LB_SWITCH_BREAKERS] = "breakers",
  [LB_SWITCH_PREFIX_AFFINITY] = "prefix_affinity",
  [LB_SWITCH_IDLE_CONNECTIONS] = "idle_connections",
  [LB_SWITCH_SCALING] = "scaling",
  [LB_SWITCH_WAIT_ESTIMATE] = "wait_estimate",
  [LB_SWITCH_GROUP_ORDER] = "group_order",
};

static bool is_off[LB_N_SWITCHES];

const char *
lb_switch_name (LbSwitch id)
{
  return switch_names[id];
}

static int
find_switch_by_name (const char *name)
{
  for (int i = 0; i < LB_N_SWITCHES; i++)
    if (strcmp (switch_names[i], name) == 0)
      return i;
  return -1;
}

bool
lb_switch_is_known (const char *name)
{
  return find_switch_by_name (name) >= 0;
}

void
lb_switch_disable_optimisation (const char *name)
{
  int id = find_switch_by_name (name);

  if (id >= 0)
    is_off[id] = true;
}

bool
lb_switch_is_on (LbSwitch id)
{
  return !is_off[id];
}

void
lb_switch_enable_all_optimisations (void)
{
  memset (is_off, 0, sizeof is_off);
}
