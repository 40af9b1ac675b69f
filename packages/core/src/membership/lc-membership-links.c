#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

LcPeerLink *
lc_membership_add_link (LcMembership *membership, bool is_outgoing, LbTime now)
{
  LcPeerLink *link = LB_NEW (LcPeerLink);

  link->id = ++membership->last_link_id;
  link->is_outgoing = is_outgoing;
  link->started_at = now;
  HASH_ADD (hh, membership->links, id, sizeof link->id, link);
  return link;
}

void
lc_membership_remove_link (LcMembership *membership, LcPeerLink *link)
{
  HASH_DEL (membership->links, link);
  free (link);
}

void
lc_membership_close_link (LcMembership *membership,
                          LcPeerLink *link,
                          LbErrorCode reason,
                          LbList *actions)
{
  LcMembershipAction *action = lc_membership_add_action (actions, LC_MEMBERSHIP_CLOSE);

  action->link = link->id;
  action->reason = reason;
  lc_membership_remove_link (membership, link);
}

static bool
is_dialling_address (const LcMembership *membership, const char *address)
{
  for (const LcPeerLink *link = membership->links; link; link = link->hh.next)
    if (!link->is_open && strcmp (link->address, address) == 0)
      return true;
  return false;
}

bool
lc_membership_has_outgoing_link (const LcMembership *membership, const char *name)
{
  for (const LcPeerLink *link = membership->links; link; link = link->hh.next)
    if (link->is_outgoing && strcmp (link->name, name) == 0)
      return true;
  return false;
}

void
lc_membership_dial (
    LcMembership *membership, const char *name, const char *address, LbTime now, LbList *actions)
{
  if (is_dialling_address (membership, address))
    return;
  LcPeerLink *link = lc_membership_add_link (membership, true, now);
  LB_COPY (link->name, name);
  LB_COPY (link->address, address);
  LcMembershipAction *action = lc_membership_add_action (actions, LC_MEMBERSHIP_DIAL);
  action->link = link->id;
  LB_COPY (action->address, address);
}

void
lc_membership_dial_member (LcMembership *membership, LcMember *member, LbTime now, LbList *actions)
{
  lc_membership_dial (membership, member->instance.name, member->instance.peer_address, now,
                      actions);
}

bool
lc_membership_keep_connected (
    LcMembership *membership, const char *name, LbTime until, LbTime now, LbList *actions)
{
  LcMember *member = lc_membership_lookup_member (membership, name);

  lc_membership_discount_process_pause (membership, now);
  if (!member)
    return false;
  if (until > member->keep_connected_until)
    member->keep_connected_until = until;
  if (lc_membership_find_link (membership, name) == 0)
    lc_membership_dial_member (membership, member, now, actions);
  return true;
}
