#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL (100 * LB_MSEC)

LcMember *
lc_membership_lookup_member (const LcMembership *membership, const char *name)
{
  LcMember *member;

  HASH_FIND_STR (membership->members, name, member);
  return member;
}

LcPeerLink *
lc_membership_lookup_link (const LcMembership *membership, LcLinkId id)
{
  LcPeerLink *link;

  HASH_FIND (hh, membership->links, &id, sizeof id, link);
  return link;
}

/* Returns the latest time at which the caller must call lc_membership_tick again. */
LbTime
lc_membership_next_tick (const LcMembership *membership)
{
  LbTime next_tick = membership->last_tick_at + TICK_INTERVAL;

  return membership->flush_at < next_tick ? membership->flush_at : next_tick;
}

/* Digest of the view. Dead members are left out, since instances remove them at different times. */
uint64_t
lc_membership_compute_digest (const LcMembership *membership)
{
  uint64_t digest = lc_instance_digest (&membership->self);

  for (const LcMember *member = membership->members; member; member = member->hh.next)
    if (member->instance.state != LC_INSTANCE_DEAD)
      digest ^= lc_instance_digest (&member->instance);
  return digest;
}

uint64_t
lc_membership_digest (const LcMembership *membership)
{
  return membership->digest;
}

const LcInstance *
lc_membership_self (const LcMembership *membership)
{
  return &membership->self;
}

/* Number of known instances, including this one and dead members that are not removed yet. */
size_t
lc_membership_count_instances (const LcMembership *membership)
{
  return HASH_COUNT (membership->members) + 1;
}

static LcMemberView
make_member_view (const LcMember *member)
{
  return (LcMemberView){
    .instance = member->instance,
    .alive = member->instance.state == LC_INSTANCE_ALIVE && !member->is_silent,
    .draining = member->instance.draining || member->is_listed_leaving,
    .changed_at = member->changed_at,
  };
}

static LcMemberView
make_self_view (const LcMembership *membership)
{
  return (LcMemberView){ .instance = membership->self,
                         .is_self = true,
                         .alive = true,
                         .draining = membership->self.draining };
}

static int
compare_view_names (const void *a, const void *b)
{
  return strcmp (((const LcMemberView *)a)->instance.name,
                 ((const LcMemberView *)b)->instance.name);
}

void
lc_membership_copy_views (const LcMembership *membership, LcMemberView *views)
{
  size_t count = 0;

  views[count++] = make_self_view (membership);
  for (const LcMember *member = membership->members; member; member = member->hh.next)
    views[count++] = make_member_view (member);
  qsort (views, count, sizeof *views, compare_view_names);
}

bool
lc_membership_find_instance (const LcMembership *membership, const char *name, LcMemberView *view)
{
  const LcMember *member = lc_membership_lookup_member (membership, name);

  if (strcmp (name, membership->self.name) == 0)
    *view = make_self_view (membership);
  else if (member)
    *view = make_member_view (member);
  else
    return false;
  return true;
}

LcLinkId
lc_membership_find_link (const LcMembership *membership, const char *name)
{
  const LcPeerLink *best = NULL;

  for (const LcPeerLink *link = membership->links; link; link = link->hh.next)
    if (link->is_open && strcmp (link->name, name) == 0
        && (!best || link->detector.last_arrival > best->detector.last_arrival))
      best = link;
  return best ? best->id : 0;
}

/* Name of the instance at the other end of the connection; NULL while the connection is not
 * open. */
const char *
lc_membership_link_peer_name (const LcMembership *membership, LcLinkId id)
{
  const LcPeerLink *link = lc_membership_lookup_link (membership, id);

  return link && link->is_open ? link->name : NULL;
}

LcMembershipTotals
lc_membership_totals (const LcMembership *membership)
{
  return membership->totals;
}
