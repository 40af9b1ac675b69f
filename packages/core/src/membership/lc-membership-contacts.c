#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define CONTACT_DIAL_INTERVAL (5 * LB_SEC)
#define CONTACT_DIAL_INTERVAL_WITHOUT_LINKS (300 * LB_MSEC)

static LcContact *
find_contact (const LcMembership *membership, const char *address)
{
  LB_LIST_FOREACH (&membership->contacts, LcContact, link, contact)
  {
    if (strcmp (contact->address, address) == 0)
      return contact;
  }
  return NULL;
}

static void
add_contact (LcMembership *membership, const char *address, bool is_listed)
{
  LcContact *contact;

  if (address[0] == '\0' || strcmp (address, membership->self.peer_address) == 0
      || find_contact (membership, address))
    return;
  contact = LB_NEW (LcContact);
  LB_COPY (contact->address, address);
  contact->is_listed = is_listed;
  lb_list_append (&membership->contacts, &contact->link);
}

/* Adds the address of a seed, through which this instance finds the cluster. The address is dialled
 * while no live member has this address. */
void
lc_membership_add_seed (LcMembership *membership, const char *address, LbTime now)
{
  add_contact (membership, address, false);
  membership->next_contact_at = now;
}

static void
clear_platform_list (LcMembership *membership)
{
  LB_LIST_FOREACH (&membership->contacts, LcContact, link, contact)
  {
    if (!contact->is_listed)
      continue;
    lb_list_remove (&membership->contacts, &contact->link);
    free (contact);
  }
  for (LcMember *member = membership->members; member; member = member->hh.next)
    member->is_listed = false;
}

/* Applies the platform's list as a fallback: it supplies addresses to try and marks instances as
 * leaving. It never makes a member dead or alive, since it lags behind what instances observe
 * themselves. */
void
lc_membership_apply_platform_list (LcMembership *membership,
                                   const LcListedInstance *listed,
                                   size_t n_listed,
                                   LbTime now,
                                   LbList *actions)
{
  (void)now;
  clear_platform_list (membership);
  membership->has_platform_list = true;
  for (size_t i = 0; i < n_listed; i++)
    {
      LcMember *member = lc_membership_lookup_member (membership, listed[i].name);
      if (strcmp (listed[i].name, membership->self.name) != 0)
        add_contact (membership, listed[i].peer_address, true);
      if (!member)
        continue;
      member->is_listed = true;
      if (member->is_listed_leaving != listed[i].leaving)
        membership->view_changed = true;
      member->is_listed_leaving = listed[i].leaving;
    }
  lc_membership_emit_view_change (membership, actions);
}

static bool
has_live_member_at (const LcMembership *membership, const char *address)
{
  for (const LcMember *member = membership->members; member; member = member->hh.next)
    if (member->instance.state != LC_INSTANCE_DEAD
        && strcmp (member->instance.peer_address, address) == 0)
      return true;
  return false;
}

static bool
has_no_open_link (const LcMembership *membership)
{
  for (const LcPeerLink *link = membership->links; link; link = link->hh.next)
    if (link->is_open)
      return false;
  return true;
}

/* Whether the next candidate replaces the one chosen so far: the n-th candidate with probability
 * 1/n. By this reservoir sampling each of an unknown number of candidates is chosen with equal
 * probability. */
static bool
should_replace_chosen_candidate (LcMembership *membership, unsigned long *n_candidates)
{
  return gsl_rng_uniform_int (membership->rng, ++*n_candidates) == 0;
}

/* Two regions that were cut off from each other have declared each other's members dead, and
 * nothing else would connect them again. So each instance dials a random dead or unknown address
 * from time to time. */
void
lc_membership_dial_contact (LcMembership *membership, LbTime now, LbList *actions)
{
  const char *name = "";
  const char *address = NULL;
  unsigned long n_candidates = 0;

  if (now < membership->next_contact_at)
    return;
  LbTime interval
      = has_no_open_link (membership) ? CONTACT_DIAL_INTERVAL_WITHOUT_LINKS : CONTACT_DIAL_INTERVAL;
  membership->next_contact_at
      = now + (LbTime)((double)interval * (0.5 + gsl_rng_uniform (membership->rng)));
  LB_LIST_FOREACH (&membership->contacts, LcContact, link, contact)
  {
    if (!has_live_member_at (membership, contact->address)
        && should_replace_chosen_candidate (membership, &n_candidates))
      address = contact->address;
  }
  for (const LcMember *member = membership->members; member; member = member->hh.next)
    if (member->instance.state == LC_INSTANCE_DEAD
        && should_replace_chosen_candidate (membership, &n_candidates))
      {
        name = member->instance.name;
        address = member->instance.peer_address;
      }
  if (address)
    lc_membership_dial (membership, name, address, now, actions);
}
