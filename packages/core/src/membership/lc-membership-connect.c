#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <string.h>

#define REDIAL_DELAY (300 * LB_MSEC)
#define REFUTED_REDIAL_DELAY (2 * LB_SEC)
#define MAX_RETURN_COMPARE_DELAY (3 * LB_SEC)

/* Starts using a connection after its handshake. The handshake contains only the peer's own state;
 * if other instances consider the peer suspect or dead, the peer is told so and can refute. */
static void
activate_opened_link (
    LcMembership *membership, LcPeerLink *link, const LcInstance *peer, LbTime now, LbList *actions)
{
  link->is_open = true;
  LB_COPY (link->name, peer->name);
  lc_detector_init (&link->detector, membership->settings.heartbeat_period, now);
  link->next_ping_at = now;
  lc_membership_apply_update (membership, 0, peer, now);
  LcMember *member = lc_membership_lookup_member (membership, peer->name);
  if (!member)
    return;
  lc_membership_record_frame_arrival (membership, link, now);
  member->suspicion_ignored_until = 0;
  member->suspicion_ignore_time = 0;
  if (member->instance.state != LC_INSTANCE_ALIVE)
    lc_membership_send_instance (link->id, &member->instance, actions);
}

static bool
has_same_name_as_self (const LcMembership *membership, const LcInstance *peer)
{
  return strcmp (peer->name, membership->self.name) == 0;
}

/* Returns 0 when the peer has this instance's name, because a seed is this instance's own address
 * or because two instances were given the same name. */
LcLinkId
lc_membership_link_accepted (LcMembership *membership,
                             const LcInstance *peer,
                             LbTime now,
                             LbList *actions)
{
  lc_membership_discount_process_pause (membership, now);
  if (has_same_name_as_self (membership, peer))
    return 0;
  LcPeerLink *link = lc_membership_add_link (membership, false, now);
  activate_opened_link (membership, link, peer, now, actions);
  lc_membership_emit_view_change (membership, actions);
  return link->id;
}

static bool
was_heard_recently (const LcMembership *membership, const LcMember *member, LbTime now)
{
  return now - member->last_heard_at < 2 * membership->settings.heartbeat_period;
}

/* A connection can go silent for good while new ones work, and a member that answers must not be
 * declared dead. So after the loss of a connection this instance only stops giving the member's
 * address to callers and dials the member at once. Only a failed dial makes the member suspect. */
static void
mark_member_silent_and_redial (LcMembership *membership,
                               LcMember *member,
                               LbTime now,
                               LbList *actions)
{
  if (member->instance.state == LC_INSTANCE_DEAD)
    return;
  if (lc_membership_find_link (membership, member->instance.name) == 0
      || !was_heard_recently (membership, member, now))
    {
      member->is_silent = true;
      membership->view_changed = true;
    }
  member->next_dial_at = now;
  lc_membership_dial_member (membership, member, now, actions);
}

/* Makes the member suspect after a failed dial, unless another connection to the member works or
 * the member refuted a suspicion recently. */
static void
suspect_member_after_failed_dial (LcMembership *membership, LcMember *member, LbTime now)
{
  bool is_suspicion_ignored = now < member->suspicion_ignored_until;

  member->next_dial_at = now + (is_suspicion_ignored ? REFUTED_REDIAL_DELAY : REDIAL_DELAY);
  if (is_suspicion_ignored || member->instance.state != LC_INSTANCE_ALIVE
      || (lc_membership_find_link (membership, member->instance.name) != 0
          && was_heard_recently (membership, member, now)))
    return;
  member->is_silent = true;
  membership->totals.suspected++;
  lc_membership_set_member_state (membership, member, LC_INSTANCE_SUSPECT, now);
}

/* When a lost region returns, hundreds of instances would compare whole views at once. A few
 * comparisons are enough, since the resulting updates reach all. So each instance waits for a
 * random time and compares only if the digests still differ. */
static void
delay_view_comparison (LcMembership *membership, LcPeerLink *link, LbTime now)
{
  double delay = (double)MAX_RETURN_COMPARE_DELAY * gsl_rng_uniform (membership->rng);

  link->digest_differs_since
      = now + (LbTime)delay - LC_COMPARE_AFTER_PERIODS * membership->settings.heartbeat_period;
}

void
lc_membership_link_dialled (
    LcMembership *membership, LcLinkId id, const LcInstance *peer, LbTime now, LbList *actions)
{
  lc_membership_discount_process_pause (membership, now);
  LcPeerLink *link = lc_membership_lookup_link (membership, id);
  LcMember *known = lc_membership_lookup_member (membership, peer->name);
  bool was_dead = known && known->instance.state == LC_INSTANCE_DEAD;

  if (!link)
    return;
  if (has_same_name_as_self (membership, peer))
    {
      lc_membership_close_link (membership, link, LB_OK, actions);
      return;
    }
  LcMember *intended = lc_membership_lookup_member (membership, link->name);
  activate_opened_link (membership, link, peer, now, actions);
  /* The dialled address now belongs to another instance: the intended one was not reached. */
  if (intended && strcmp (intended->instance.name, peer->name) != 0)
    suspect_member_after_failed_dial (membership, intended, now);
  if (!known && now >= membership->next_compare_at)
    {
      membership->next_compare_at = now + LC_COMPARE_INTERVAL;
      lc_membership_send_summary (membership, id, actions);
    }
  else if (was_dead)
    delay_view_comparison (membership, link, now);
  lc_membership_emit_view_change (membership, actions);
}

/* Dials again after the loss of a connection that this process had, or was opening, when it was
 * paused. The loss does not count against the member, since the member may have closed the
 * connection because this process did not answer. If the member is gone, the new dial fails. */
static void
redial_after_pause (LcMembership *membership, LcMember *member, LbTime now, LbList *actions)
{
  member->next_dial_at = now;
  if (member->instance.state != LC_INSTANCE_DEAD)
    lc_membership_dial_member (membership, member, now, actions);
}

void
lc_membership_remove_lost_link (LcMembership *membership,
                                LcPeerLink *link,
                                LbTime now,
                                LbList *actions)
{
  LcMember *member = lc_membership_lookup_member (membership, link->name);
  bool was_open = link->is_open;
  bool was_outgoing = link->is_outgoing;
  bool spans_pause = link->spans_pause;

  lc_membership_remove_link (membership, link);
  if (!member)
    return;
  if (spans_pause && was_outgoing)
    redial_after_pause (membership, member, now, actions);
  else if (!was_open)
    suspect_member_after_failed_dial (membership, member, now);
  else if (was_outgoing)
    mark_member_silent_and_redial (membership, member, now, actions);
}

void
lc_membership_link_closed (LcMembership *membership, LcLinkId id, LbTime now, LbList *actions)
{
  LcPeerLink *link = lc_membership_lookup_link (membership, id);

  lc_membership_discount_process_pause (membership, now);
  if (!link)
    return;
  lc_membership_remove_lost_link (membership, link, now, actions);
  lc_membership_emit_view_change (membership, actions);
}
