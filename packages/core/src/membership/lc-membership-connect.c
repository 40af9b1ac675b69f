#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <string.h>

#define REDIAL (300 * LB_MSEC)
#define VOUCHED_REDIAL (2 * LB_SEC)
#define REUNION_WAIT (3 * LB_SEC)

/* The peer's own words lack what others say of it: tell it, so that it can refute. */
static void
open_link (
    LcMembership *membership, LcPeerLink *link, const LcInstance *peer, LbTime now, LbList *actions)
{
  link->open = true;
  LB_COPY (link->name, peer->name);
  lc_detector_init (&link->detector, membership->settings.heartbeat_period, now);
  link->next_ping = now;
  lc_membership_learn (membership, 0, peer, now);
  LcMember *member = lc_membership_member (membership, peer->name);
  if (!member)
    return;
  lc_membership_note_heard (membership, link, now);
  member->vouched_until = 0;
  member->vouch = 0;
  if (member->instance.state != LC_INSTANCE_ALIVE)
    lc_membership_tell_one (link->id, &member->instance, actions);
}

static bool
is_self (const LcMembership *membership, const LcInstance *peer)
{
  return strcmp (peer->name, membership->self.name) == 0;
}

/* 0 when the peer bears the name of this instance (a seed that is our own address, or two instances
 * of one name): the connection is to be closed. */
LcLinkId
lc_membership_link_accepted (LcMembership *membership,
                             const LcInstance *peer,
                             LbTime now,
                             LbList *actions)
{
  if (is_self (membership, peer))
    return 0;
  LcPeerLink *link = lc_membership_add_link (membership, false, now);
  open_link (membership, link, peer, now, actions);
  lc_membership_finish (membership, actions);
  return link->id;
}

static bool
heard_lately (const LcMembership *membership, const LcMember *member, LbTime now)
{
  return now - member->heard < 2 * membership->settings.heartbeat_period;
}

/* The failure: a connection can go silent for good while new ones work, and a member that answers
 * would be called dead. So the loss of a connection only stops it from being named here, and a new
 * connection is tried at once; its failure is what makes the member suspect to all. */
static void
lose_connection (LcMembership *membership, LcMember *member, LbTime now, LbList *actions)
{
  if (member->instance.state == LC_INSTANCE_DEAD)
    return;
  if (lc_membership_find_link (membership, member->instance.name) == 0
      || !heard_lately (membership, member, now))
    {
      member->silent = true;
      membership->view_changed = true;
    }
  member->next_dial = now;
  lc_membership_dial_member (membership, member, now, actions);
}

/* A new connection could not be opened either. */
static void
fail_dial (LcMembership *membership, LcMember *member, LbTime now)
{
  bool vouched = now < member->vouched_until;

  member->next_dial = now + (vouched ? VOUCHED_REDIAL : REDIAL);
  if (vouched || member->instance.state != LC_INSTANCE_ALIVE
      || (lc_membership_find_link (membership, member->instance.name) != 0
          && heard_lately (membership, member, now)))
    return;
  member->silent = true;
  membership->totals.suspected++;
  lc_membership_set_state (membership, member, LC_INSTANCE_SUSPECT, now);
}

/* The failure: a region comes back, and each of hundreds of instances compares its whole view with
 * the first one it meets. A few comparisons are enough, since their news go to all; so each waits a
 * random while for such news and compares only if the digests differ still. */
static void
await_news (LcMembership *membership, LcPeerLink *link, LbTime now)
{
  double wait = (double)REUNION_WAIT * gsl_rng_uniform (membership->rng);

  link->differs_since
      = now + (LbTime)wait - LC_COMPARE_AFTER_PERIODS * membership->settings.heartbeat_period;
}

void
lc_membership_link_dialled (
    LcMembership *membership, LcLinkId id, const LcInstance *peer, LbTime now, LbList *actions)
{
  LcPeerLink *link = lc_membership_link (membership, id);
  LcMember *known = lc_membership_member (membership, peer->name);
  bool reunion = known && known->instance.state == LC_INSTANCE_DEAD;

  if (!link)
    return;
  if (is_self (membership, peer))
    {
      lc_membership_close_link (membership, link, LB_OK, actions);
      return;
    }
  LcMember *meant = lc_membership_member (membership, link->name);
  open_link (membership, link, peer, now, actions);
  /* Its address now belongs to another instance: that is no sign of life of the one meant. */
  if (meant && strcmp (meant->instance.name, peer->name) != 0)
    fail_dial (membership, meant, now);
  if (!known && now >= membership->next_compare)
    {
      membership->next_compare = now + LC_COMPARE_EVERY;
      lc_membership_compare (membership, id, actions);
    }
  else if (reunion)
    await_news (membership, link, now);
  lc_membership_finish (membership, actions);
}

void
lc_membership_lose_link (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  LcMember *member = lc_membership_member (membership, link->name);
  bool open = link->open;
  bool dialled = link->dialled;

  lc_membership_drop_link (membership, link);
  if (!member)
    return;
  if (!open)
    fail_dial (membership, member, now);
  else if (dialled)
    lose_connection (membership, member, now, actions);
}

void
lc_membership_link_closed (LcMembership *membership, LcLinkId id, LbTime now, LbList *actions)
{
  LcPeerLink *link = lc_membership_link (membership, id);

  if (!link)
    return;
  lc_membership_lose_link (membership, link, now, actions);
  lc_membership_finish (membership, actions);
}
