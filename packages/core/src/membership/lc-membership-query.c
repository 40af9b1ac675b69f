#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define TICK (100 * LB_MSEC)

LcMember *
lc_membership_member (const LcMembership *membership, const char *name)
{
  LcMember *member;

  HASH_FIND_STR (membership->members, name, member);
  return member;
}

LcPeerLink *
lc_membership_link (const LcMembership *membership, LcLinkId id)
{
  LcPeerLink *link;

  HASH_FIND (hh, membership->links, &id, sizeof id, link);
  return link;
}

/* When lc_membership_tick is due at the latest. */
LbTime
lc_membership_next_tick (const LcMembership *membership)
{
  LbTime tick = membership->last_tick + TICK;

  return membership->flush_at < tick ? membership->flush_at : tick;
}

/* Stands for the whole view, the dead left out: the time at which they are forgotten differs. */
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

/* All known instances, this one and the dead that are not forgotten included. */
size_t
lc_membership_count (const LcMembership *membership)
{
  return HASH_COUNT (membership->members) + 1;
}

static LcMemberView
view_of (const LcMember *member)
{
  return (LcMemberView){
    .instance = member->instance,
    .alive = member->instance.state == LC_INSTANCE_ALIVE && !member->silent,
    .draining = member->instance.draining || member->listed_leaving,
    .changed_at = member->changed,
  };
}

static LcMemberView
view_of_self (const LcMembership *membership)
{
  return (LcMemberView){ .instance = membership->self,
                         .is_self = true,
                         .alive = true,
                         .draining = membership->self.draining };
}

static int
by_name (const void *a, const void *b)
{
  return strcmp (((const LcMemberView *)a)->instance.name,
                 ((const LcMemberView *)b)->instance.name);
}

void
lc_membership_copy_views (const LcMembership *membership, LcMemberView *views)
{
  size_t count = 0;

  views[count++] = view_of_self (membership);
  for (const LcMember *member = membership->members; member; member = member->hh.next)
    views[count++] = view_of (member);
  qsort (views, count, sizeof *views, by_name);
}

bool
lc_membership_find (const LcMembership *membership, const char *name, LcMemberView *view)
{
  const LcMember *member = lc_membership_member (membership, name);

  if (strcmp (name, membership->self.name) == 0)
    *view = view_of_self (membership);
  else if (member)
    *view = view_of (member);
  else
    return false;
  return true;
}

LcLinkId
lc_membership_find_link (const LcMembership *membership, const char *name)
{
  const LcPeerLink *best = NULL;

  for (const LcPeerLink *link = membership->links; link; link = link->hh.next)
    if (link->open && strcmp (link->name, name) == 0
        && (!best || link->detector.last_arrival > best->detector.last_arrival))
      best = link;
  return best ? best->id : 0;
}

/* The name of the instance at the other end, NULL when it is not known yet. */
const char *
lc_membership_link_peer_name (const LcMembership *membership, LcLinkId id)
{
  const LcPeerLink *link = lc_membership_link (membership, id);

  return link && link->open ? link->name : NULL;
}

LcMembershipTotals
lc_membership_totals (const LcMembership *membership)
{
  return membership->totals;
}
