#include "lc-membership-private.h"

#define LOAD_EVERY (60 * LB_SEC)
#define LOAD_MARGIN 75

/* Told to all at once: an instance that drains must not be named to callers any more. */
void
lc_membership_set_draining (LcMembership *membership, LbTime now, LbList *actions)
{
  if (membership->self.draining)
    return;
  membership->self.draining = true;
  membership->self.version++;
  membership->view_changed = true;
  lc_membership_announce_self (membership, now);
  lc_membership_flush (membership, now, actions);
  lc_membership_finish (membership, actions);
}

/* The failure: a load that wavers about a step, told by 350 instances, would fill the connections
 * with news of load alone and move callers about. So it is told in steps, with a margin, and at
 * most once a minute. */
void
lc_membership_set_load (LcMembership *membership, int64_t load, LbTime now, LbList *actions)
{
  int64_t known = membership->self.load;

  if (now < membership->next_load
      || (load < known + LC_INSTANCE_LOAD_STEP + LOAD_MARGIN && load >= known - LOAD_MARGIN))
    return;
  int64_t step = load / LC_INSTANCE_LOAD_STEP * LC_INSTANCE_LOAD_STEP;
  membership->next_load = now + LOAD_EVERY;
  membership->self.load = step > LC_INSTANCE_MAX_LOAD ? LC_INSTANCE_MAX_LOAD : step;
  membership->self.version++;
  membership->view_changed = true;
  lc_membership_announce_self (membership, now);
  lc_membership_finish (membership, actions);
}
