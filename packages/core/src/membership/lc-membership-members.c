#include "lc-membership-private.h"

#define REMOVE_DEAD_AFTER (2 * 3600 * LB_SEC)
#define REMOVE_DEAD_AFTER_WITHOUT_LIST (24 * 3600 * LB_SEC)

static bool
is_dead_member_removable (const LcMembership *membership, const LcMember *member, LbTime now)
{
  LbTime retention
      = membership->has_platform_list ? REMOVE_DEAD_AFTER : REMOVE_DEAD_AFTER_WITHOUT_LIST;

  return member->instance.state == LC_INSTANCE_DEAD && !member->is_listed && !member->is_pending
         && now - member->changed_at > retention;
}

void
lc_membership_expire_members (LcMembership *membership, LbTime now)
{
  LcMember *member, *next;

  HASH_ITER (hh, membership->members, member, next)
  {
    if (member->instance.state == LC_INSTANCE_SUSPECT && now >= member->declare_dead_at)
      {
        membership->totals.declared_dead++;
        lc_membership_set_member_state (membership, member, LC_INSTANCE_DEAD, now);
      }
    if (is_dead_member_removable (membership, member, now))
      lc_membership_remove_member (membership, member);
  }
}
