#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <stdlib.h>

#define DEFAULT_HEARTBEAT_PERIOD (500 * LB_MSEC)
#define DEFAULT_RINGS 3
#define DEFAULT_DIAL_TIMEOUT (600 * LB_MSEC)
#define DEFAULT_SUSPICION_TIMEOUT (2 * LB_SEC)
/* Ticks are due every 100 ms; a longer gap than this counts as a pause of this process. */
#define PAUSE_THRESHOLD (300 * LB_MSEC)

LcMembershipSettings
lc_membership_settings_default (void)
{
  return (LcMembershipSettings){ .heartbeat_period = DEFAULT_HEARTBEAT_PERIOD,
                                 .n_rings = DEFAULT_RINGS,
                                 .dial_timeout = DEFAULT_DIAL_TIMEOUT,
                                 .suspicion_timeout = DEFAULT_SUSPICION_TIMEOUT };
}

LcMembership *
lc_membership_new (const LcMembershipSettings *settings, LbTime now)
{
  LcMembership *membership = LB_NEW (LcMembership);

  membership->settings = *settings;
  if (membership->settings.n_rings > LC_MEMBERSHIP_MAX_RINGS)
    membership->settings.n_rings = LC_MEMBERSHIP_MAX_RINGS;
  membership->self = settings->self;
  membership->self.version = 1;
  membership->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (membership->rng, (unsigned long)settings->random_seed);
  membership->flush_at = LB_TIME_NEVER;
  membership->last_tick_at = now;
  membership->next_contact_at = now;
  lb_list_init (&membership->contacts);
  membership->digest = lc_membership_compute_digest (membership);
  return membership;
}

void
lc_membership_free (LcMembership *membership)
{
  LcMember *member, *next_member;
  LcPeerLink *link, *next_link;
  LbLink *contact;

  if (!membership)
    return;
  HASH_ITER (hh, membership->members, member, next_member)
  {
    HASH_DEL (membership->members, member);
    free (member);
  }
  HASH_ITER (hh, membership->links, link, next_link)
  {
    HASH_DEL (membership->links, link);
    free (link);
  }
  while ((contact = lb_list_pop (&membership->contacts)))
    free (LB_CONTAINER (contact, LcContact, link));
  gsl_rng_free (membership->rng);
  free (membership);
}

LcMembershipAction *
lc_membership_add_action (LbList *actions, LcMembershipActionType type)
{
  LcMembershipAction *action = LB_NEW (LcMembershipAction);

  action->type = type;
  lb_list_append (actions, &action->link_in_list);
  return action;
}

void
lc_membership_action_free (LcMembershipAction *action)
{
  free (action->instances);
  free (action);
}

void
lc_membership_emit_view_change (LcMembership *membership, LbList *actions)
{
  if (!membership->view_changed)
    return;
  membership->view_changed = false;
  membership->digest = lc_membership_compute_digest (membership);
  lc_membership_add_action (actions, LC_MEMBERSHIP_CHANGED);
}

void
lc_membership_send_instance (LcLinkId link, const LcInstance *instance, LbList *actions)
{
  LcMembershipAction *action = lc_membership_add_action (actions, LC_MEMBERSHIP_SEND);

  action->link = link;
  action->instances = lb_memdup (instance, sizeof *instance);
  action->n_instances = 1;
}

/* After a pause every peer looks silent, although its frames wait unread, and all would be declared
 * dead at once. */
void
lc_membership_discount_process_pause (LcMembership *membership, LbTime now)
{
  LbTime pause = now - membership->last_tick_at;

  if (pause <= PAUSE_THRESHOLD)
    return;
  membership->last_tick_at = now;
  membership->totals.own_pauses++;
  for (LcPeerLink *link = membership->links; link; link = link->hh.next)
    {
      link->spans_pause = true;
      link->started_at += pause;
      if (link->unanswered_since)
        link->unanswered_since += pause;
      lc_detector_discount_pause (&link->detector, pause, now);
    }
  for (LcMember *member = membership->members; member; member = member->hh.next)
    {
      member->last_heard_at += pause;
      member->declare_dead_at += pause;
    }
}

/* Does all periodic work that is due at now: heartbeats, timeouts, dials and broadcasts. */
void
lc_membership_tick (LcMembership *membership, LbTime now, LbList *actions)
{
  lc_membership_discount_process_pause (membership, now);
  membership->last_tick_at = now;
  lc_membership_tick_links (membership, now, actions);
  lc_membership_expire_members (membership, now);
  lc_membership_resolve_name_conflict (membership, now);
  lc_membership_dial_watch_targets (membership, now, actions);
  lc_membership_dial_contact (membership, now, actions);
  if (now >= membership->flush_at)
    lc_membership_flush_updates (membership, now, actions);
  lc_membership_emit_view_change (membership, actions);
}
