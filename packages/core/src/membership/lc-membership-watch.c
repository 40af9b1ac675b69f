#include "lc-membership-private.h"

#include <string.h>
#include <xxhash.h>

bool
lc_membership_is_watch_target (const LcMembership *membership, const char *name)
{
  for (size_t i = 0; i < membership->n_targets; i++)
    if (strcmp (membership->targets[i], name) == 0)
      return true;
  return false;
}

static uint64_t
compute_ring_position (const char *name, size_t ring)
{
  return XXH64 (name, strlen (name), ring);
}

/* Returns the nearest successor of this instance on the ring that is neither dead nor already a
 * target; NULL if there is none. */
static const LcMember *
find_successor (const LcMembership *membership, size_t ring)
{
  uint64_t own_position = compute_ring_position (membership->self.name, ring);
  const LcMember *nearest = NULL;
  uint64_t nearest_distance = UINT64_MAX;

  for (const LcMember *member = membership->members; member; member = member->hh.next)
    {
      uint64_t distance = compute_ring_position (member->instance.name, ring) - own_position;
      if (member->instance.state == LC_INSTANCE_DEAD || distance > nearest_distance
          || lc_membership_is_watch_target (membership, member->instance.name))
        continue;
      nearest = member;
      nearest_distance = distance;
    }
  return nearest;
}

/* Chooses the members to watch: a successor on each of several rings. Every instance is watched by
 * as many others as it watches, and updates reach all in a few hops, since rings in unrelated
 * orders form a graph of small diameter. */
void
lc_membership_choose_watch_targets (LcMembership *membership)
{
  membership->targets_outdated = false;
  membership->n_targets = 0;
  for (size_t ring = 0; ring < membership->settings.n_rings; ring++)
    {
      const LcMember *member = find_successor (membership, ring);
      if (!member)
        return;
      memcpy (membership->targets[membership->n_targets++], member->instance.name, LB_NAME_MAX);
    }
}

void
lc_membership_dial_watch_targets (LcMembership *membership, LbTime now, LbList *actions)
{
  if (membership->targets_outdated)
    lc_membership_choose_watch_targets (membership);
  for (size_t i = 0; i < membership->n_targets; i++)
    {
      LcMember *member = lc_membership_lookup_member (membership, membership->targets[i]);
      if (member && now >= member->next_dial_at
          && !lc_membership_has_outgoing_link (membership, membership->targets[i]))
        lc_membership_dial_member (membership, member, now, actions);
    }
}
