#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_PERIOD (500 * LB_MSEC)
#define DEFAULT_RINGS 3
#define DEFAULT_DIAL_TIMEOUT (600 * LB_MSEC)
#define DEFAULT_CONFIRM (2 * LB_SEC)
/* A gap in our own loop above this is a pause of this process; ticks are due every 100 ms. */
#define PAUSE (300 * LB_MSEC)
#define REDIAL (300 * LB_MSEC)
#define VOUCHED_REDIAL (2 * LB_SEC)
#define LINGER (5 * LB_SEC)
#define IDLE (30 * LB_SEC)
#define UNANSWERED_PERIODS 3
#define CONTACT_EVERY (5 * LB_SEC)
#define CONTACT_EVERY_ALONE (300 * LB_MSEC)
#define COMPARE_EVERY LB_SEC
#define COMPARE_AFTER_PERIODS 4
#define REUNION_WAIT (3 * LB_SEC)
#define LOAD_EVERY (60 * LB_SEC)
#define LOAD_MARGIN 75
#define FORGET_AFTER (2 * 3600 * LB_SEC)
#define FORGET_AFTER_WITHOUT_LIST (24 * 3600 * LB_SEC)

LcMembershipSettings
lc_membership_settings_default (void)
{
  return (LcMembershipSettings){ .period = DEFAULT_PERIOD,
                                 .rings = DEFAULT_RINGS,
                                 .dial_timeout = DEFAULT_DIAL_TIMEOUT,
                                 .confirm = DEFAULT_CONFIRM };
}

LcMembership *
lc_membership_new (const LcMembershipSettings *settings, LbTime now)
{
  LcMembership *membership = LB_NEW (LcMembership);

  membership->settings = *settings;
  if (membership->settings.rings > LC_MAX_RINGS)
    membership->settings.rings = LC_MAX_RINGS;
  membership->self = settings->self;
  membership->self.version = 1;
  membership->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (membership->rng, (unsigned long)settings->seed);
  membership->flush_at = LB_TIME_NEVER;
  membership->last_tick = now;
  membership->next_contact = now;
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
lc_membership_act (LbList *actions, LcMembershipActionType type)
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
lc_membership_finish (LcMembership *membership, LbList *actions)
{
  if (!membership->view_changed)
    return;
  membership->view_changed = false;
  membership->digest = lc_membership_compute_digest (membership);
  lc_membership_act (actions, LC_MEMBERSHIP_CHANGED);
}

void
lc_membership_tell_one (LcLinkId link, const LcInstance *instance, LbList *actions)
{
  LcMembershipAction *action = lc_membership_act (actions, LC_MEMBERSHIP_TELL);

  action->link = link;
  action->instances = lb_memdup (instance, sizeof *instance);
  action->n_instances = 1;
}

static LcPeerLink *
add_link (LcMembership *membership, bool dialled, LbTime now)
{
  LcPeerLink *link = LB_NEW (LcPeerLink);

  link->id = ++membership->last_link;
  link->dialled = dialled;
  link->started = now;
  HASH_ADD (hh, membership->links, id, sizeof link->id, link);
  return link;
}

static void
drop_link (LcMembership *membership, LcPeerLink *link)
{
  HASH_DEL (membership->links, link);
  free (link);
}

static void
close_link (LcMembership *membership, LcPeerLink *link, LbErrorCode reason, LbList *actions)
{
  LcMembershipAction *action = lc_membership_act (actions, LC_MEMBERSHIP_CLOSE);

  action->link = link->id;
  action->reason = reason;
  drop_link (membership, link);
}

static bool
is_dialling (const LcMembership *membership, const char *address)
{
  for (const LcPeerLink *link = membership->links; link; link = link->hh.next)
    if (!link->open && strcmp (link->address, address) == 0)
      return true;
  return false;
}

/* name: empty when an address is tried of which nobody knows whose it is. */
static void
dial (LcMembership *membership, const char *name, const char *address, LbTime now, LbList *actions)
{
  if (is_dialling (membership, address))
    return;
  LcPeerLink *link = add_link (membership, true, now);
  LB_COPY (link->name, name);
  LB_COPY (link->address, address);
  LcMembershipAction *action = lc_membership_act (actions, LC_MEMBERSHIP_DIAL);
  action->link = link->id;
  LB_COPY (action->address, address);
}

static void
dial_member (LcMembership *membership, LcMember *member, LbTime now, LbList *actions)
{
  dial (membership, member->instance.name, member->instance.peer_address, now, actions);
}

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
lc_membership_seed (LcMembership *membership, const char *address, LbTime now)
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
lc_membership_listed (LcMembership *membership,
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

/* Evidence of life. A member that was silent here speaks again. */
static void
note_heard (LcMembership *membership, LcPeerLink *link, LbTime now)
{
  LcMember *member = lc_membership_member (membership, link->name);

  lc_detector_heard (&link->detector, now);
  link->unanswered_since = 0;
  if (!member)
    return;
  member->heard = now;
  if (member->silent)
    membership->view_changed = true;
  member->silent = false;
}

/* The peer's own words lack what others say of it: tell it, so that it can refute. */
static void
open_link (
    LcMembership *membership, LcPeerLink *link, const LcInstance *peer, LbTime now, LbList *actions)
{
  link->open = true;
  LB_COPY (link->name, peer->name);
  lc_detector_init (&link->detector, membership->settings.period, now);
  link->next_ping = now;
  lc_membership_learn (membership, 0, peer, now);
  LcMember *member = lc_membership_member (membership, peer->name);
  if (!member)
    return;
  note_heard (membership, link, now);
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
lc_membership_accepted (LcMembership *membership,
                        const LcInstance *peer,
                        LbTime now,
                        LbList *actions)
{
  if (is_self (membership, peer))
    return 0;
  LcPeerLink *link = add_link (membership, false, now);
  open_link (membership, link, peer, now, actions);
  lc_membership_finish (membership, actions);
  return link->id;
}

static bool
heard_lately (const LcMembership *membership, const LcMember *member, LbTime now)
{
  return now - member->heard < 2 * membership->settings.period;
}

/* The failure: a connection can go silent for good while new ones work, and a member that answers
 * would be called dead. So the loss of a connection only stops it from being named here, and a new
 * connection is tried at once; its failure is what makes the member suspect to all. */
static void
lose_connection (LcMembership *membership, LcMember *member, LbTime now, LbList *actions)
{
  if (member->instance.state == LC_INSTANCE_DEAD)
    return;
  if (lc_membership_link_to (membership, member->instance.name) == 0
      || !heard_lately (membership, member, now))
    {
      member->silent = true;
      membership->view_changed = true;
    }
  member->next_dial = now;
  dial_member (membership, member, now, actions);
}

/* A new connection could not be opened either. */
static void
fail_dial (LcMembership *membership, LcMember *member, LbTime now)
{
  bool vouched = now < member->vouched_until;

  member->next_dial = now + (vouched ? VOUCHED_REDIAL : REDIAL);
  if (vouched || member->instance.state != LC_INSTANCE_ALIVE
      || (lc_membership_link_to (membership, member->instance.name) != 0
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

  link->differs_since = now + (LbTime)wait - COMPARE_AFTER_PERIODS * membership->settings.period;
}

void
lc_membership_dialled (
    LcMembership *membership, LcLinkId id, const LcInstance *peer, LbTime now, LbList *actions)
{
  LcPeerLink *link = lc_membership_link (membership, id);
  LcMember *known = lc_membership_member (membership, peer->name);
  bool reunion = known && known->instance.state == LC_INSTANCE_DEAD;

  if (!link)
    return;
  if (is_self (membership, peer))
    {
      close_link (membership, link, LB_OK, actions);
      return;
    }
  LcMember *meant = lc_membership_member (membership, link->name);
  open_link (membership, link, peer, now, actions);
  /* Its address now belongs to another instance: that is no sign of life of the one meant. */
  if (meant && strcmp (meant->instance.name, peer->name) != 0)
    fail_dial (membership, meant, now);
  if (!known && now >= membership->next_compare)
    {
      membership->next_compare = now + COMPARE_EVERY;
      lc_membership_compare (membership, id, actions);
    }
  else if (reunion)
    await_news (membership, link, now);
  lc_membership_finish (membership, actions);
}

static void
lose_link (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  LcMember *member = lc_membership_member (membership, link->name);
  bool open = link->open;
  bool dialled = link->dialled;

  drop_link (membership, link);
  if (!member)
    return;
  if (!open)
    fail_dial (membership, member, now);
  else if (dialled)
    lose_connection (membership, member, now, actions);
}

void
lc_membership_closed (LcMembership *membership, LcLinkId id, LbTime now, LbList *actions)
{
  LcPeerLink *link = lc_membership_link (membership, id);

  if (!link)
    return;
  lose_link (membership, link, now, actions);
  lc_membership_finish (membership, actions);
}

void
lc_membership_sent (LcMembership *membership, LcLinkId id, LbTime now)
{
  LcPeerLink *link = lc_membership_link (membership, id);

  if (link && link->unanswered_since == 0)
    link->unanswered_since = now;
}

void
lc_membership_heard (LcMembership *membership, LcLinkId id, LbTime now)
{
  LcPeerLink *link = lc_membership_link (membership, id);

  if (link && link->open)
    note_heard (membership, link, now);
}

void
lc_membership_digest_heard (LcMembership *membership, LcLinkId id, uint64_t digest, LbTime now)
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

bool
lc_membership_want (
    LcMembership *membership, const char *name, LbTime until, LbTime now, LbList *actions)
{
  LcMember *member = lc_membership_member (membership, name);

  if (!member)
    return false;
  if (until > member->wanted_until)
    member->wanted_until = until;
  if (lc_membership_link_to (membership, name) == 0)
    dial_member (membership, member, now, actions);
  return true;
}

/* Told to all at once: an instance that drains must not be named to callers any more. */
void
lc_membership_set_draining (LcMembership *membership, LbTime now, LbList *actions)
{
  if (membership->self.draining)
    return;
  membership->self.draining = true;
  membership->self.version++;
  membership->view_changed = true;
  lc_membership_announce_self (membership, now);
  lc_membership_flush (membership, now, actions);
  lc_membership_finish (membership, actions);
}

/* The failure: a load that wavers about a step, told by 350 instances, would fill the connections
 * with news of load alone and move callers about. So it is told in steps, with a margin, and at
 * most once a minute. */
void
lc_membership_set_load (LcMembership *membership, int64_t load, LbTime now, LbList *actions)
{
  int64_t known = membership->self.load;

  if (now < membership->next_load
      || (load < known + LC_INSTANCE_LOAD_STEP + LOAD_MARGIN && load >= known - LOAD_MARGIN))
    return;
  int64_t step = load / LC_INSTANCE_LOAD_STEP * LC_INSTANCE_LOAD_STEP;
  membership->next_load = now + LOAD_EVERY;
  membership->self.load = step > LC_INSTANCE_MAX_LOAD ? LC_INSTANCE_MAX_LOAD : step;
  membership->self.version++;
  membership->view_changed = true;
  lc_membership_announce_self (membership, now);
  lc_membership_finish (membership, actions);
}

/* The failure: this process was stopped or starved for a while; on its return every peer looks
 * silent, though their bytes wait unread, and all would be condemned at once. Time in which this
 * loop did not run is no silence of others. */
static void
forgive_own_pause (LcMembership *membership, LbTime now)
{
  LbTime pause = now - membership->last_tick;

  membership->last_tick = now;
  if (pause <= PAUSE)
    return;
  membership->totals.pauses++;
  for (LcPeerLink *link = membership->links; link; link = link->hh.next)
    {
      link->started += pause;
      if (link->unanswered_since)
        link->unanswered_since += pause;
      lc_detector_forgive (&link->detector, pause, now);
    }
  for (LcMember *member = membership->members; member; member = member->hh.next)
    {
      member->heard += pause;
      member->condemn_at += pause;
    }
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
  link->next_ping = now + membership->settings.period;
}

/* The failure: news were lost with a connection and no later news repeat them. Each heartbeat
 * carries a digest of the view; when both ends differ for longer than news need, they compare. */
static void
compare_if_different (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions)
{
  if (link->differs_since == 0 || now < membership->next_compare
      || now - link->differs_since < COMPARE_AFTER_PERIODS * membership->settings.period)
    return;
  link->differs_since = 0;
  membership->next_compare = now + COMPARE_EVERY;
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
    lc_detector_init (&link->detector, membership->settings.period, now);
  link->watched = watched;
}

static bool
is_silent (const LcMembership *membership, const LcPeerLink *link, LbTime now)
{
  if (link->watched)
    return lc_detector_is_silent (&link->detector, now);
  return link->unanswered_since != 0
         && now - link->unanswered_since >= UNANSWERED_PERIODS * membership->settings.period;
}

static bool
is_ping_due (const LcMembership *membership, LcPeerLink *link, LbTime now)
{
  if (link->watched)
    return now >= link->next_ping;
  if (link->unanswered_since == 0 && now - link->detector.heard >= IDLE)
    link->unanswered_since = now - membership->settings.period;
  bool unanswered
      = link->unanswered_since != 0 && now - link->unanswered_since >= membership->settings.period;
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
      close_link (membership, link, LB_OK, actions);
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
    membership->totals.silent_connections++;
  lose_link (membership, link, now, actions);
}

static void
tick_links (LcMembership *membership, LbTime now, LbList *actions)
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

static bool
is_forgotten (const LcMembership *membership, const LcMember *member, LbTime now)
{
  LbTime after = membership->list_known ? FORGET_AFTER : FORGET_AFTER_WITHOUT_LIST;

  return member->instance.state == LC_INSTANCE_DEAD && !member->listed && !member->pending
         && now - member->changed > after;
}

static void
tick_members (LcMembership *membership, LbTime now)
{
  LcMember *member, *next;

  HASH_ITER (hh, membership->members, member, next)
  {
    if (member->instance.state == LC_INSTANCE_SUSPECT && now >= member->condemn_at)
      {
        membership->totals.condemned++;
        lc_membership_set_state (membership, member, LC_INSTANCE_DEAD, now);
      }
    if (is_forgotten (membership, member, now))
      {
        HASH_DEL (membership->members, member);
        membership->view_changed = true;
        free (member);
      }
  }
}

static bool
has_dialled_link (const LcMembership *membership, const char *name)
{
  for (const LcPeerLink *link = membership->links; link; link = link->hh.next)
    if (link->dialled && strcmp (link->name, name) == 0)
      return true;
  return false;
}

static void
watch_targets (LcMembership *membership, LbTime now, LbList *actions)
{
  if (membership->targets_old)
    lc_membership_choose_targets (membership);
  for (size_t i = 0; i < membership->n_targets; i++)
    {
      LcMember *member = lc_membership_member (membership, membership->targets[i]);
      if (member && now >= member->next_dial
          && !has_dialled_link (membership, membership->targets[i]))
        dial_member (membership, member, now, actions);
    }
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
 * when the cut is mended nobody would ever speak to them again. One dead or unknown address is
 * tried from time to time, by each instance another one. */
static void
contact_one (LcMembership *membership, LbTime now, LbList *actions)
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
    dial (membership, name, address, now, actions);
}

/* Does all that is due by now. */
void
lc_membership_tick (LcMembership *membership, LbTime now, LbList *actions)
{
  forgive_own_pause (membership, now);
  tick_links (membership, now, actions);
  tick_members (membership, now);
  lc_membership_outbid_rival (membership, now);
  watch_targets (membership, now, actions);
  contact_one (membership, now, actions);
  if (now >= membership->flush_at)
    lc_membership_flush (membership, now, actions);
  lc_membership_finish (membership, actions);
}
