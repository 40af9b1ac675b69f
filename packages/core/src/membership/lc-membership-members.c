#include "lc-membership-private.h"

#define FORGET_AFTER (2 * 3600 * LB_SEC)
#define FORGET_AFTER_WITHOUT_LIST (24 * 3600 * LB_SEC)

static bool
is_forgotten (const LcMembership *membership, const LcMember *member, LbTime now)
{
  LbTime after = membership->list_known ? FORGET_AFTER : FORGET_AFTER_WITHOUT_LIST;

  return member->instance.state == LC_INSTANCE_DEAD && !member->listed && !member->pending
         && now - member->changed > after;
}

void
lc_membership_tick_members (LcMembership *membership, LbTime now)
{
  LcMember *member, *next;

  HASH_ITER (hh, membership->members, member, next)
  {
    if (member->instance.state == LC_INSTANCE_SUSPECT && now >= member->condemn_at)
      {
        membership->totals.declared_dead++;
        lc_membership_set_state (membership, member, LC_INSTANCE_DEAD, now);
      }
    if (is_forgotten (membership, member, now))
      lc_membership_drop_member (membership, member);
  }
}
