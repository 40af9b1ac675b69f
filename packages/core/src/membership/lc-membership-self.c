#include "lc-membership-private.h"

#define LOAD_UPDATE_INTERVAL (60 * LB_SEC)
#define LOAD_HYSTERESIS_PER_MILLE 75

/* Marks this instance as draining and broadcasts the mark at once: no caller must be sent to a
 * draining instance. */
void
lc_membership_mark_self_draining (LcMembership *membership, LbTime now, LbList *actions)
{
  if (membership->self.draining)
    return;
  membership->self.draining = true;
  membership->self.version++;
  membership->view_changed = true;
  lc_membership_queue_self_update (membership, now);
  lc_membership_flush_updates (membership, now, actions);
  lc_membership_emit_view_change (membership, actions);
}

/* Publishes the load in steps, with hysteresis, at most once a minute. Otherwise, with 350
 * instances, loads that fluctuate around a step would fill the connections with updates and shift
 * callers between instances. */
void
lc_membership_set_self_load (LcMembership *membership, int64_t load, LbTime now, LbList *actions)
{
  int64_t published = membership->self.load;

  if (now < membership->next_load_update_at
      || (load < published + LC_INSTANCE_LOAD_STEP + LOAD_HYSTERESIS_PER_MILLE
          && load >= published - LOAD_HYSTERESIS_PER_MILLE))
    return;
  int64_t step = load / LC_INSTANCE_LOAD_STEP * LC_INSTANCE_LOAD_STEP;
  membership->next_load_update_at = now + LOAD_UPDATE_INTERVAL;
  membership->self.load = step > LC_INSTANCE_MAX_LOAD ? LC_INSTANCE_MAX_LOAD : step;
  membership->self.version++;
  membership->view_changed = true;
  lc_membership_queue_self_update (membership, now);
  lc_membership_emit_view_change (membership, actions);
}
