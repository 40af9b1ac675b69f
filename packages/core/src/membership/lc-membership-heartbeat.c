#include "lc-membership-private.h"

#define UNNEEDED_LINK_TIMEOUT (5 * LB_SEC)
#define IDLE_PROBE_INTERVAL (30 * LB_SEC)
#define UNANSWERED_TIMEOUT_PERIODS 3

void
lc_membership_record_frame_arrival (LcMembership *membership, LcPeerLink *link, LbTime now)
{
  LcMember *member = lc_membership_lookup_member (membership, link->name);

  lc_detector_record_arrival (&link->detector, now);
  link->unanswered_since = 0;
  link->spans_pause = false;
  if (!member)
    return;
  member->last_heard_at = now;
  if (member->is_silent)
    membership->view_changed = true;
  member->is_silent = false;
}

void
lc_membership_frame_sent (LcMembership *membership, LcLinkId id, LbTime now)
{
  LcPeerLink *link = lc_membership_lookup_link (membership, id);

  lc_membership_discount_process_pause (membership, now);
  if (link && link->unanswered_since == 0)
    link->unanswered_since = now;
}

void
lc_membership_frame_received (LcMembership *membership, LcLinkId id, LbTime now)
{
  LcPeerLink *link = lc_membership_lookup_link (membership, id);

  lc_membership_discount_process_pause (membership, now);
  if (link && link->is_open)
    lc_membership_record_frame_arrival (membership, link, now);
}

void
lc_membership_digest_received (LcMembership *membership, LcLinkId id, uint64_t digest, LbTime now)
{
  LcPeerLink *link = lc_membership_lookup_link (membership, id);

  lc_membership_discount_process_pause (membership, now);
  if (!link)
    return;
  link->peer_digest = digest;
  if (digest == lc_membership_digest (membership))
    link->digest_differs_since = 0;
  else if (link->digest_differs_since == 0)
    link->digest_differs_since = now;
}

static bool
is_link_needed (const LcMembership *membership, const LcPeerLink *link, LbTime now)
{
  LcMember *member = lc_membership_lookup_member (membership, link->name);

  return member
         && (now < member->keep_connected_until
             || lc_membership_is_watch_target (membership, link->name));
}

static void
send_ping (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  LcMembershipAction *action = lc_membership_add_action (actions, LC_MEMBERSHIP_PING);

  action->link = link->id;
  action->digest = lc_membership_digest (membership);
  link->next_ping_at = now + membership->settings.heartbeat_period;
}

/* An update that is lost with a connection is not repeated. Each heartbeat carries a digest of the
 * view. When the digests of two peers differ for longer than an update takes to spread, the peers
 * compare their views. */
static void
compare_if_digests_differ (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  if (link->digest_differs_since == 0 || now < membership->next_compare_at
      || now - link->digest_differs_since
             < LC_COMPARE_AFTER_PERIODS * membership->settings.heartbeat_period)
    return;
  link->digest_differs_since = 0;
  membership->next_compare_at = now + LC_COMPARE_INTERVAL;
  lc_membership_send_summary (membership, link->id, actions);
}

/* Heartbeats are sent only on connections to the members that this instance watches. Connections
 * that are opened to send single frames may exist between all pairs of instances, and heartbeats on
 * all of these would cost 131 KB/s at 350 instances. Such a connection gets a heartbeat only after
 * an unanswered frame or a long silence. */
static void
start_or_stop_watching_link (const LcMembership *membership, LcPeerLink *link, LbTime now)
{
  bool is_watched = link->is_outgoing && lc_membership_is_watch_target (membership, link->name);

  /* The connection had no heartbeats until now, so the detector has no usable arrival history. */
  if (is_watched && !link->is_watched)
    lc_detector_init (&link->detector, membership->settings.heartbeat_period, now);
  link->is_watched = is_watched;
}

static bool
has_link_timed_out (const LcMembership *membership, const LcPeerLink *link, LbTime now)
{
  if (link->is_watched)
    return lc_detector_has_timed_out (&link->detector, now);
  return link->unanswered_since != 0
         && now - link->unanswered_since
                >= UNANSWERED_TIMEOUT_PERIODS * membership->settings.heartbeat_period;
}

static bool
is_ping_due (const LcMembership *membership, LcPeerLink *link, LbTime now)
{
  if (link->is_watched)
    return now >= link->next_ping_at;
  if (link->unanswered_since == 0 && now - link->detector.last_arrival >= IDLE_PROBE_INTERVAL)
    link->unanswered_since = now - membership->settings.heartbeat_period;
  bool unanswered = link->unanswered_since != 0
                    && now - link->unanswered_since >= membership->settings.heartbeat_period;
  return (unanswered || link->digest_differs_since != 0) && now >= link->next_ping_at;
}

static bool
is_link_unneeded_for_too_long (const LcMembership *membership, LcPeerLink *link, LbTime now)
{
  if (!link->is_outgoing || is_link_needed (membership, link, now))
    link->unneeded_since = 0;
  else if (link->unneeded_since == 0)
    link->unneeded_since = now;
  return link->unneeded_since != 0 && now - link->unneeded_since > UNNEEDED_LINK_TIMEOUT;
}

static void
close_compare_or_ping_link (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  if (is_link_unneeded_for_too_long (membership, link, now))
    {
      lc_membership_close_link (membership, link, LB_OK, actions);
      return;
    }
  compare_if_digests_differ (membership, link, now, actions);
  if (is_ping_due (membership, link, now))
    send_ping (membership, link, now, actions);
}

static void
time_out_link (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  LcMembershipAction *action = lc_membership_add_action (actions, LC_MEMBERSHIP_CLOSE);

  action->link = link->id;
  action->reason = LB_ERROR_TIMEOUT;
  if (link->is_open)
    membership->totals.connection_timeouts++;
  lc_membership_remove_lost_link (membership, link, now, actions);
}

void
lc_membership_tick_links (LcMembership *membership, LbTime now, LbList *actions)
{
  LcPeerLink *link, *next;

  HASH_ITER (hh, membership->links, link, next)
  {
    start_or_stop_watching_link (membership, link, now);
    bool timed_out = link->is_open ? has_link_timed_out (membership, link, now)
                                   : now - link->started_at >= membership->settings.dial_timeout;
    if (timed_out)
      time_out_link (membership, link, now, actions);
    else if (link->is_open)
      close_compare_or_ping_link (membership, link, now, actions);
  }
}
