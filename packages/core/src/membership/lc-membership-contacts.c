#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define CONTACT_EVERY (5 * LB_SEC)
#define CONTACT_EVERY_ALONE (300 * LB_MSEC)

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
add_contact (LcMembership *membership, const char *address, bool listed)
{
  LcContact *contact;

  if (address[0] == '\0' || strcmp (address, membership->self.peer_address) == 0
      || find_contact (membership, address))
    return;
  contact = LB_NEW (LcContact);
  LB_COPY (contact->address, address);
  contact->listed = listed;
  lb_list_append (&membership->contacts, &contact->link);
}

/* An address to begin with, tried for as long as no live member has it. */
void
lc_membership_add_seed (LcMembership *membership, const char *address, LbTime now)
{
  add_contact (membership, address, false);
  membership->next_contact = now;
}

static void
forget_listed (LcMembership *membership)
{
  LB_LIST_FOREACH (&membership->contacts, LcContact, link, contact)
  {
    if (!contact->listed)
      continue;
    lb_list_remove (&membership->contacts, &contact->link);
    free (contact);
  }
  for (LcMember *member = membership->members; member; member = member->hh.next)
    member->listed = false;
}

/* The platform's lagging list: a backstop that names addresses to try and instances that leave. It
 * never makes a member dead or alive, since it lags behind what instances see themselves. */
void
lc_membership_apply_platform_list (LcMembership *membership,
                                   const LcListedInstance *listed,
                                   size_t n_listed,
                                   LbTime now,
                                   LbList *actions)
{
  (void)now;
  forget_listed (membership);
  membership->list_known = true;
  for (size_t i = 0; i < n_listed; i++)
    {
      LcMember *member = lc_membership_member (membership, listed[i].name);
      if (strcmp (listed[i].name, membership->self.name) != 0)
        add_contact (membership, listed[i].peer_address, true);
      if (!member)
        continue;
      member->listed = true;
      if (member->listed_leaving != listed[i].leaving)
        membership->view_changed = true;
      member->listed_leaving = listed[i].leaving;
    }
  lc_membership_finish (membership, actions);
}

static bool
is_address_of_live (const LcMembership *membership, const char *address)
{
  for (const LcMember *member = membership->members; member; member = member->hh.next)
    if (member->instance.state != LC_INSTANCE_DEAD
        && strcmp (member->instance.peer_address, address) == 0)
      return true;
  return false;
}

static bool
is_alone (const LcMembership *membership)
{
  for (const LcPeerLink *link = membership->links; link; link = link->hh.next)
    if (link->open)
      return false;
  return true;
}

/* Picks one of several with equal chance, not knowing how many will come: the n-th replaces the
 * choice with chance 1/n. */
static bool
pick (LcMembership *membership, unsigned long *seen)
{
  return gsl_rng_uniform_int (membership->rng, ++*seen) == 0;
}

/* The failure: two regions that were cut off from one another have condemned each other's members;
 * when the cut has ended nobody would ever speak to them again. One dead or unknown address is
 * tried from time to time, by each instance another one. */
void
lc_membership_contact_one (LcMembership *membership, LbTime now, LbList *actions)
{
  const char *name = "";
  const char *address = NULL;
  unsigned long seen = 0;

  if (now < membership->next_contact)
    return;
  LbTime every = is_alone (membership) ? CONTACT_EVERY_ALONE : CONTACT_EVERY;
  membership->next_contact
      = now + (LbTime)((double)every * (0.5 + gsl_rng_uniform (membership->rng)));
  LB_LIST_FOREACH (&membership->contacts, LcContact, link, contact)
  {
    if (!is_address_of_live (membership, contact->address) && pick (membership, &seen))
      address = contact->address;
  }
  for (const LcMember *member = membership->members; member; member = member->hh.next)
    if (member->instance.state == LC_INSTANCE_DEAD && pick (membership, &seen))
      {
        name = member->instance.name;
        address = member->instance.peer_address;
      }
  if (address)
    lc_membership_dial (membership, name, address, now, actions);
}
