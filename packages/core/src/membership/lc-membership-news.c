#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

/* News wait so long for others to join them in one frame. */
#define FLUSH_DELAY (10 * LB_MSEC)
/* The failure: a region is lost or comes back, and hundreds of news go to all connections at once.
 * So many go in one frame, and the rest wait. */
#define FLUSH_MOST 32
#define FLUSH_PAUSE (100 * LB_MSEC)
/* While an incarnation is new, its news carry names and addresses for those who have not heard. */
#define INTRODUCTION (10 * LB_SEC)
#define CONFLICT_PAUSE (5 * LB_SEC)
#define FIRST_VOUCH (5 * LB_SEC)
#define MAX_VOUCH (60 * LB_SEC)

static void
wake_flush (LcMembership *membership, LbTime now)
{
  if (membership->flush_at == LB_TIME_NEVER)
    membership->flush_at = now + FLUSH_DELAY;
}

static void
mark_pending (LcMembership *membership, LcMember *member, LcLinkId told_by, LbTime now)
{
  member->pending = true;
  member->told_by = told_by;
  wake_flush (membership, now);
}

void
lc_membership_announce_self (LcMembership *membership, LbTime now)
{
  membership->self_pending = true;
  wake_flush (membership, now);
}

static void
note_state (LcMembership *membership, LcMember *member, LbTime now)
{
  member->changed = now;
  membership->view_changed = true;
  membership->targets_old = true;
  if (member->instance.state == LC_INSTANCE_SUSPECT)
    member->condemn_at = now + membership->settings.suspicion_timeout;
}

/* A state found out here. */
void
lc_membership_set_state (LcMembership *membership,
                         LcMember *member,
                         LcInstanceState state,
                         LbTime now)
{
  member->instance.state = state;
  note_state (membership, member, now);
  /* All were told of the suspicion and condemn by their own clocks; nobody need tell them again. */
  if (state != LC_INSTANCE_DEAD)
    mark_pending (membership, member, 0, now);
}

/* The failure: only the path between this instance and the member is cut. This one suspects, the
 * member hears of it through others and refutes, and both go on for ever, with a frame to everybody
 * each time and the member named by nobody half of the time. After a refutation the suspicion of
 * this instance counts for nothing for a time that doubles; the other watchers still count. */
static void
note_refutation (LcMembership *membership, LcMember *member, LbTime now)
{
  membership->totals.refuted++;
  member->silent = false;
  member->vouch = member->vouch ? 2 * member->vouch : FIRST_VOUCH;
  if (member->vouch > MAX_VOUCH)
    member->vouch = MAX_VOUCH;
  member->vouched_until = now + member->vouch;
}

static void
note_new_epoch (LcMember *member, LbTime now)
{
  member->introduced = now;
  member->silent = false;
  member->vouch = 0;
  member->vouched_until = 0;
  member->next_dial = now;
  member->listed_leaving = false;
}

static LcMember *
add_member (LcMembership *membership, const LcInstance *news, LbTime now)
{
  LcMember *member = LB_NEW (LcMember);

  member->instance = *news;
  HASH_ADD_STR (membership->members, instance.name, member);
  note_new_epoch (member, now);
  note_state (membership, member, now);
  return member;
}

void
lc_membership_drop_member (LcMembership *membership, LcMember *member)
{
  HASH_DEL (membership->members, member);
  membership->view_changed = true;
  free (member);
}

static void
apply_news (LcMembership *membership, LcMember *member, const LcInstance *news, LbTime now)
{
  LcInstance before = member->instance;

  member->instance = *news;
  if (news->epoch != before.epoch || strcmp (news->incarnation, before.incarnation) != 0)
    note_new_epoch (member, now);
  else if (before.state != LC_INSTANCE_ALIVE && news->state == LC_INSTANCE_ALIVE)
    note_refutation (membership, member, now);
  if (before.state != news->state)
    note_state (membership, member, now);
  if (before.draining != news->draining)
    member->changed = now;
  membership->view_changed = true;
}

/* The failure: an instance that was paused or cut off is called dead and stays so for ever,
 * although it answers. Only it may lift that, by a version above the condemned one. */
static void
learn_of_self (LcMembership *membership, const LcInstance *news, LbTime now)
{
  LcInstance *self = &membership->self;
  bool same = strcmp (news->incarnation, self->incarnation) == 0;

  if (news->epoch < self->epoch)
    return;
  if (news->epoch > self->epoch || !same)
    {
      membership->rival_epoch = news->epoch;
      return;
    }
  if (news->state != LC_INSTANCE_ALIVE && news->version >= self->version)
    self->version = news->version + 1;
  else
    return;
  membership->view_changed = true;
  lc_membership_announce_self (membership, now);
}

/* The failure: two live processes have one name by mistake. Each would outbid the other's epoch as
 * soon as it hears of it, tens of times a second, with a frame to everybody each time. One answers
 * the first time at once and then only now and then; the count of conflicts shows the operator. */
void
lc_membership_outbid_rival (LcMembership *membership, LbTime now)
{
  LcInstance *self = &membership->self;

  if (membership->rival_epoch < self->epoch || now < membership->next_conflict)
    return;
  membership->next_conflict = now + CONFLICT_PAUSE;
  membership->totals.name_conflicts++;
  self->epoch = membership->rival_epoch + 1;
  self->version = 1;
  membership->view_changed = true;
  lc_membership_announce_self (membership, now);
}

/* Short news lack what a known epoch already said. */
static bool
complete_news (LcInstance *news, const LcInstance *known)
{
  if (news->peer_address[0])
    return true;
  if (!known || known->epoch != news->epoch)
    return false;
  LB_COPY (news->incarnation, known->incarnation);
  LB_COPY (news->data_centre, known->data_centre);
  LB_COPY (news->caller_address, known->caller_address);
  LB_COPY (news->peer_address, known->peer_address);
  return true;
}

/* Takes news of one instance and passes on what is later than what was known. Short news of an
 * unknown epoch are left to the comparison of views. */
void
lc_membership_learn (LcMembership *membership, LcLinkId link, const LcInstance *told, LbTime now)
{
  LcInstance news = *told;

  if (strcmp (news.name, membership->self.name) == 0)
    {
      if (complete_news (&news, &membership->self))
        learn_of_self (membership, &news, now);
      return;
    }
  LcMember *member = lc_membership_member (membership, news.name);
  if (!complete_news (&news, member ? &member->instance : NULL))
    return;
  if (!member && news.state == LC_INSTANCE_DEAD)
    return;
  if (!member)
    member = add_member (membership, &news, now);
  else if (lc_instance_supersedes (&news, &member->instance))
    apply_news (membership, member, &news, now);
  else
    return;
  mark_pending (membership, member, link, now);
}

void
lc_membership_updates_received (LcMembership *membership,
                                LcLinkId link,
                                const LcInstance *instances,
                                size_t n_instances,
                                LbTime now,
                                LbList *actions)
{
  for (size_t i = 0; i < n_instances; i++)
    lc_membership_learn (membership, link, &instances[i], now);
  lc_membership_finish (membership, actions);
}

static LcInstance
short_form (const LcInstance *instance)
{
  LcInstance news = *instance;

  news.incarnation[0] = '\0';
  news.data_centre[0] = '\0';
  news.caller_address[0] = '\0';
  news.peer_address[0] = '\0';
  return news;
}

/* Sends pending news to all open connections, but not back to the one they all came from. */
void
lc_membership_flush (LcMembership *membership, LbTime now, LbList *actions)
{
  LcInstance news[FLUSH_MOST];
  size_t count = 0;
  LcLinkId source = 0;

  membership->flush_at = LB_TIME_NEVER;
  if (membership->self_pending)
    news[count++] = membership->self;
  membership->self_pending = false;
  for (LcMember *member = membership->members; member; member = member->hh.next)
    {
      bool introduce = now - member->introduced < INTRODUCTION;
      if (!member->pending)
        continue;
      if (count == FLUSH_MOST)
        {
          membership->flush_at = now + FLUSH_PAUSE;
          break;
        }
      member->pending = false;
      source = count == 0 || source == member->told_by ? member->told_by : 0;
      news[count++] = introduce ? member->instance : short_form (&member->instance);
    }
  if (count == 0)
    return;
  LcMembershipAction *action = lc_membership_act (actions, LC_MEMBERSHIP_BROADCAST);
  action->link = source;
  action->instances = lb_memdup (news, count * sizeof *news);
  action->n_instances = count;
}

static const LcInstance *
find_told (const LcInstance *instances, size_t n_instances, const char *name)
{
  for (size_t i = 0; i < n_instances; i++)
    if (strcmp (instances[i].name, name) == 0)
      return &instances[i];
  return NULL;
}

/* True when what the peer said is later than what this instance knows. */
static bool
peer_knows_more (const LcMembership *membership, const LcInstance *told)
{
  LcMember *member = lc_membership_member (membership, told->name);
  LcInstance news = *told;
  const LcInstance *known = member ? &member->instance : NULL;

  if (strcmp (told->name, membership->self.name) == 0)
    known = &membership->self;
  if (!known)
    return told->state != LC_INSTANCE_DEAD;
  return !complete_news (&news, known) ? news.epoch > known->epoch
                                       : lc_instance_supersedes (&news, known);
}

static bool
is_news_for_peer (const LcInstance *known, const LcInstance *told)
{
  LcInstance theirs;

  if (!told)
    return known->state != LC_INSTANCE_DEAD;
  theirs = *told;
  return !complete_news (&theirs, known) ? known->epoch > theirs.epoch
                                         : lc_instance_supersedes (known, &theirs);
}

/* Writes what is known to news when it is later than what was told; 1 when it is. A peer that named
 * the same epoch knows the texts. */
static size_t
add_later (const LcInstance *known, const LcInstance *told, size_t n_told, LcInstance *news)
{
  const LcInstance *theirs = find_told (told, n_told, known->name);

  if (!is_news_for_peer (known, theirs))
    return 0;
  *news = theirs && theirs->epoch == known->epoch ? short_form (known) : *known;
  return 1;
}

static void
tell_later (const LcMembership *membership,
            LcLinkId link,
            const LcInstance *told,
            size_t n_told,
            LbList *actions)
{
  size_t most = HASH_COUNT (membership->members) + 1;
  LcInstance *news = LB_NEW_ARRAY (LcInstance, most);
  size_t count = 0;

  count += add_later (&membership->self, told, n_told, &news[count]);
  for (LcMember *member = membership->members; member; member = member->hh.next)
    count += add_later (&member->instance, told, n_told, &news[count]);
  LcMembershipAction *action = lc_membership_act (actions, LC_MEMBERSHIP_SEND);
  action->link = link;
  action->instances = news;
  action->n_instances = count;
}

/* A copy of all that is known, in short form. */
static void
send_view (const LcMembership *membership, LcLinkId link, bool answer, LbList *actions)
{
  LcMembershipAction *action = lc_membership_act (actions, LC_MEMBERSHIP_COMPARE);

  action->link = link;
  action->is_reply = answer;
  action->instances = LB_NEW_ARRAY (LcInstance, HASH_COUNT (membership->members) + 1);
  action->instances[action->n_instances++] = short_form (&membership->self);
  for (LcMember *member = membership->members; member; member = member->hh.next)
    action->instances[action->n_instances++] = short_form (&member->instance);
}

void
lc_membership_summary_received (LcMembership *membership,
                                LcLinkId link,
                                const LcInstance *instances,
                                size_t n_instances,
                                bool answer,
                                LbTime now,
                                LbList *actions)
{
  bool more = false;

  for (size_t i = 0; i < n_instances; i++)
    {
      more = more || peer_knows_more (membership, &instances[i]);
      lc_membership_learn (membership, link, &instances[i], now);
    }
  tell_later (membership, link, instances, n_instances, actions);
  if (more && !answer)
    send_view (membership, link, true, actions);
  lc_membership_finish (membership, actions);
}

void
lc_membership_compare (LcMembership *membership, LcLinkId link, LbList *actions)
{
  send_view (membership, link, false, actions);
}
