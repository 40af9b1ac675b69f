#include "lc-membership-private.h"

#define LINGER (5 * LB_SEC)
#define IDLE (30 * LB_SEC)
#define UNANSWERED_PERIODS 3

void
lc_membership_note_heard (LcMembership *membership, LcPeerLink *link, LbTime now)
{
  LcMember *member = lc_membership_member (membership, link->name);

  lc_detector_record_arrival (&link->detector, now);
  link->unanswered_since = 0;
  if (!member)
    return;
  member->heard = now;
  if (member->silent)
    membership->view_changed = true;
  member->silent = false;
}

void
lc_membership_frame_sent (LcMembership *membership, LcLinkId id, LbTime now)
{
  LcPeerLink *link = lc_membership_link (membership, id);

  if (link && link->unanswered_since == 0)
    link->unanswered_since = now;
}

void
lc_membership_frame_received (LcMembership *membership, LcLinkId id, LbTime now)
{
  LcPeerLink *link = lc_membership_link (membership, id);

  if (link && link->open)
    lc_membership_note_heard (membership, link, now);
}

void
lc_membership_digest_received (LcMembership *membership, LcLinkId id, uint64_t digest, LbTime now)
{
  LcPeerLink *link = lc_membership_link (membership, id);

  if (!link)
    return;
  link->digest = digest;
  if (digest == lc_membership_digest (membership))
    link->differs_since = 0;
  else if (link->differs_since == 0)
    link->differs_since = now;
}

static bool
is_needed (const LcMembership *membership, const LcPeerLink *link, LbTime now)
{
  LcMember *member = lc_membership_member (membership, link->name);

  return member && (now < member->wanted_until || lc_membership_is_target (membership, link->name));
}

static void
send_ping (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  LcMembershipAction *action = lc_membership_act (actions, LC_MEMBERSHIP_PING);

  action->link = link->id;
  action->digest = lc_membership_digest (membership);
  link->next_ping = now + membership->settings.heartbeat_period;
}

/* The failure: news were lost with a connection and no later news repeat them. Each heartbeat
 * carries a digest of the view; when both ends differ for longer than news need, they compare. */
static void
compare_if_different (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  if (link->differs_since == 0 || now < membership->next_compare
      || now - link->differs_since
             < LC_COMPARE_AFTER_PERIODS * membership->settings.heartbeat_period)
    return;
  link->differs_since = 0;
  membership->next_compare = now + LC_COMPARE_EVERY;
  lc_membership_compare (membership, link->id, actions);
}

/* This instance sends heartbeats on the connections to those it watches. The failure: connections
 * opened for single frames add up to all pairs (131 KB/s at 350), so on others a heartbeat is sent
 * only when something sent there, or a long silence, was followed by no sign of life. */
static void
note_watched (const LcMembership *membership, LcPeerLink *link, LbTime now)
{
  bool watched = link->dialled && lc_membership_is_target (membership, link->name);

  /* What was quiet by right until now has no history that could condemn it. */
  if (watched && !link->watched)
    lc_detector_init (&link->detector, membership->settings.heartbeat_period, now);
  link->watched = watched;
}

static bool
is_silent (const LcMembership *membership, const LcPeerLink *link, LbTime now)
{
  if (link->watched)
    return lc_detector_has_timed_out (&link->detector, now);
  return link->unanswered_since != 0
         && now - link->unanswered_since
                >= UNANSWERED_PERIODS * membership->settings.heartbeat_period;
}

static bool
is_ping_due (const LcMembership *membership, LcPeerLink *link, LbTime now)
{
  if (link->watched)
    return now >= link->next_ping;
  if (link->unanswered_since == 0 && now - link->detector.last_arrival >= IDLE)
    link->unanswered_since = now - membership->settings.heartbeat_period;
  bool unanswered = link->unanswered_since != 0
                    && now - link->unanswered_since >= membership->settings.heartbeat_period;
  return (unanswered || link->differs_since != 0) && now >= link->next_ping;
}

static bool
is_over (const LcMembership *membership, LcPeerLink *link, LbTime now)
{
  if (!link->dialled || is_needed (membership, link, now))
    link->unneeded_since = 0;
  else if (link->unneeded_since == 0)
    link->unneeded_since = now;
  return link->unneeded_since != 0 && now - link->unneeded_since > LINGER;
}

static void
keep_link (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  if (is_over (membership, link, now))
    {
      lc_membership_close_link (membership, link, LB_OK, actions);
      return;
    }
  compare_if_different (membership, link, now, actions);
  if (is_ping_due (membership, link, now))
    send_ping (membership, link, now, actions);
}

static void
time_out_link (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  LcMembershipAction *action = lc_membership_act (actions, LC_MEMBERSHIP_CLOSE);

  action->link = link->id;
  action->reason = LB_ERROR_TIMEOUT;
  if (link->open)
    membership->totals.connection_timeouts++;
  lc_membership_lose_link (membership, link, now, actions);
}

void
lc_membership_tick_links (LcMembership *membership, LbTime now, LbList *actions)
{
  LcPeerLink *link, *next;

  HASH_ITER (hh, membership->links, link, next)
  {
    note_watched (membership, link, now);
    bool late = link->open ? is_silent (membership, link, now)
                           : now - link->started >= membership->settings.dial_timeout;
    if (late)
      time_out_link (membership, link, now, actions);
    else if (link->open)
      keep_link (membership, link, now, actions);
  }
}
