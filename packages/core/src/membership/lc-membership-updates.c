#include "lc-membership-private.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

/* Delay before pending updates are broadcast, so that several go into one frame. */
#define FLUSH_DELAY (10 * LB_MSEC)
/* Maximum number of updates in one broadcast frame, and the pause before the next frame. When a
 * region is lost or returns, hundreds of updates would otherwise go to all connections at once. */
#define MAX_UPDATES_PER_FLUSH 32
#define FLUSH_PAUSE (100 * LB_MSEC)
/* For this long after an incarnation became known, updates about it are sent in full form, with
 * addresses, since peers may not know it yet. */
#define FULL_FORM_TIME (10 * LB_SEC)
#define CONFLICT_ANSWER_INTERVAL (5 * LB_SEC)
#define FIRST_SUSPICION_IGNORE_TIME (5 * LB_SEC)
#define MAX_SUSPICION_IGNORE_TIME (60 * LB_SEC)

static void
schedule_update_broadcast (LcMembership *membership, LbTime now)
{
  if (membership->flush_at == LB_TIME_NEVER)
    membership->flush_at = now + FLUSH_DELAY;
}

static void
queue_member_update (LcMembership *membership, LcMember *member, LcLinkId source_link, LbTime now)
{
  member->is_pending = true;
  member->source_link = source_link;
  schedule_update_broadcast (membership, now);
}

void
lc_membership_queue_self_update (LcMembership *membership, LbTime now)
{
  membership->is_self_pending = true;
  schedule_update_broadcast (membership, now);
}

static void
record_member_state_change (LcMembership *membership, LcMember *member, LbTime now)
{
  member->changed_at = now;
  membership->view_changed = true;
  membership->targets_outdated = true;
  if (member->instance.state == LC_INSTANCE_SUSPECT)
    member->declare_dead_at = now + membership->settings.suspicion_timeout;
}

/* Sets a member state that this instance detected itself, rather than received from a peer. */
void
lc_membership_set_member_state (LcMembership *membership,
                                LcMember *member,
                                LcInstanceState state,
                                LbTime now)
{
  member->instance.state = state;
  record_member_state_change (membership, member, now);
  /* DEAD is not broadcast: all instances received the suspicion and declare the member dead by
   * their own clocks. */
  if (state != LC_INSTANCE_DEAD)
    queue_member_update (membership, member, 0, now);
}

/* If only the path between this instance and the member is cut, this instance suspects the member,
 * the member refutes through others, and so on without end. Each round costs a broadcast, and
 * callers do not get the member's address half of the time. So after each refutation this instance
 * does not suspect the member for a time that doubles; other watchers still can. */
static void
ignore_suspicion_after_refutation (LcMembership *membership, LcMember *member, LbTime now)
{
  membership->totals.refuted++;
  member->is_silent = false;
  member->suspicion_ignore_time = member->suspicion_ignore_time ? 2 * member->suspicion_ignore_time
                                                                : FIRST_SUSPICION_IGNORE_TIME;
  if (member->suspicion_ignore_time > MAX_SUSPICION_IGNORE_TIME)
    member->suspicion_ignore_time = MAX_SUSPICION_IGNORE_TIME;
  member->suspicion_ignored_until = now + member->suspicion_ignore_time;
}

static void
reset_member_for_new_epoch (LcMember *member, LbTime now)
{
  member->epoch_learned_at = now;
  member->is_silent = false;
  member->suspicion_ignore_time = 0;
  member->suspicion_ignored_until = 0;
  member->next_dial_at = now;
  member->is_listed_leaving = false;
}

static LcMember *
add_member (LcMembership *membership, const LcInstance *update, LbTime now)
{
  LcMember *member = LB_NEW (LcMember);

  member->instance = *update;
  HASH_ADD_STR (membership->members, instance.name, member);
  reset_member_for_new_epoch (member, now);
  record_member_state_change (membership, member, now);
  return member;
}

void
lc_membership_remove_member (LcMembership *membership, LcMember *member)
{
  HASH_DEL (membership->members, member);
  membership->view_changed = true;
  free (member);
}

static void
replace_member_instance (LcMembership *membership,
                         LcMember *member,
                         const LcInstance *update,
                         LbTime now)
{
  LcInstance before = member->instance;

  member->instance = *update;
  if (update->epoch != before.epoch || strcmp (update->incarnation, before.incarnation) != 0)
    reset_member_for_new_epoch (member, now);
  else if (before.state != LC_INSTANCE_ALIVE && update->state == LC_INSTANCE_ALIVE)
    ignore_suspicion_after_refutation (membership, member, now);
  if (before.state != update->state)
    record_member_state_change (membership, member, now);
  if (before.draining != update->draining)
    member->changed_at = now;
  membership->view_changed = true;
}

/* Handles an update about this instance. If peers consider this instance suspect or dead, for
 * example after a pause, it refutes by raising its version above the one that the peers know; no
 * other instance can do so. */
static void
apply_update_about_self (LcMembership *membership, const LcInstance *update, LbTime now)
{
  LcInstance *self = &membership->self;
  bool is_same_incarnation = strcmp (update->incarnation, self->incarnation) == 0;

  if (update->epoch < self->epoch)
    return;
  if (update->epoch > self->epoch || !is_same_incarnation)
    {
      membership->conflicting_epoch = update->epoch;
      return;
    }
  if (update->state != LC_INSTANCE_ALIVE && update->version >= self->version)
    self->version = update->version + 1;
  else
    return;
  membership->view_changed = true;
  lc_membership_queue_self_update (membership, now);
}

/* Raises this instance's epoch above that of another process with the same name. Two live processes
 * named alike by mistake would outbid each other tens of times a second, with a broadcast each
 * time. So only the first conflict is answered at once, later ones at a limited rate; the total is
 * exported as a metric. */
void
lc_membership_resolve_name_conflict (LcMembership *membership, LbTime now)
{
  LcInstance *self = &membership->self;

  if (membership->conflicting_epoch < self->epoch || now < membership->next_conflict_answer_at)
    return;
  membership->next_conflict_answer_at = now + CONFLICT_ANSWER_INTERVAL;
  membership->totals.name_conflicts++;
  self->epoch = membership->conflicting_epoch + 1;
  self->version = 1;
  membership->view_changed = true;
  lc_membership_queue_self_update (membership, now);
}

/* Completes an update in short form, which lacks incarnation, data centre and addresses: these
 * never change within an epoch and are copied from the known instance. Returns false when the
 * update's epoch is not known. */
static bool
fill_missing_fields_of_update (LcInstance *update, const LcInstance *known)
{
  if (update->peer_address[0])
    return true;
  if (!known || known->epoch != update->epoch)
    return false;
  LB_COPY (update->incarnation, known->incarnation);
  LB_COPY (update->data_centre, known->data_centre);
  LB_COPY (update->caller_address, known->caller_address);
  LB_COPY (update->peer_address, known->peer_address);
  return true;
}

/* Applies an update about one instance and queues it for broadcast if it is newer than the known
 * state. Ignores an update in short form of an unknown epoch: a comparison of views transfers that
 * instance later. */
void
lc_membership_apply_update (LcMembership *membership,
                            LcLinkId link,
                            const LcInstance *received,
                            LbTime now)
{
  LcInstance update = *received;

  if (strcmp (update.name, membership->self.name) == 0)
    {
      if (fill_missing_fields_of_update (&update, &membership->self))
        apply_update_about_self (membership, &update, now);
      return;
    }
  LcMember *member = lc_membership_lookup_member (membership, update.name);
  if (!fill_missing_fields_of_update (&update, member ? &member->instance : NULL))
    return;
  if (!member && update.state == LC_INSTANCE_DEAD)
    return;
  if (!member)
    member = add_member (membership, &update, now);
  else if (lc_instance_supersedes (&update, &member->instance))
    replace_member_instance (membership, member, &update, now);
  else
    return;
  queue_member_update (membership, member, link, now);
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
    lc_membership_apply_update (membership, link, &instances[i], now);
  lc_membership_emit_view_change (membership, actions);
}

static LcInstance
copy_instance_without_addresses (const LcInstance *instance)
{
  LcInstance result = *instance;

  result.incarnation[0] = '\0';
  result.data_centre[0] = '\0';
  result.caller_address[0] = '\0';
  result.peer_address[0] = '\0';
  return result;
}

/* Broadcasts pending updates. If all of them came from one connection, they are not sent back on
 * that connection. */
void
lc_membership_flush_updates (LcMembership *membership, LbTime now, LbList *actions)
{
  LcInstance updates[MAX_UPDATES_PER_FLUSH];
  size_t count = 0;
  LcLinkId source = 0;

  membership->flush_at = LB_TIME_NEVER;
  if (membership->is_self_pending)
    updates[count++] = membership->self;
  membership->is_self_pending = false;
  for (LcMember *member = membership->members; member; member = member->hh.next)
    {
      bool use_full_form = now - member->epoch_learned_at < FULL_FORM_TIME;
      if (!member->is_pending)
        continue;
      if (count == MAX_UPDATES_PER_FLUSH)
        {
          membership->flush_at = now + FLUSH_PAUSE;
          break;
        }
      member->is_pending = false;
      source = count == 0 || source == member->source_link ? member->source_link : 0;
      updates[count++]
          = use_full_form ? member->instance : copy_instance_without_addresses (&member->instance);
    }
  if (count == 0)
    return;
  LcMembershipAction *action = lc_membership_add_action (actions, LC_MEMBERSHIP_BROADCAST);
  action->link = source;
  action->instances = lb_memdup (updates, count * sizeof *updates);
  action->n_instances = count;
}

static const LcInstance *
find_instance (const LcInstance *instances, size_t n_instances, const char *name)
{
  for (size_t i = 0; i < n_instances; i++)
    if (strcmp (instances[i].name, name) == 0)
      return &instances[i];
  return NULL;
}

/* Whether a peer's summary of an instance is newer than the state known here. */
static bool
is_summary_newer (const LcMembership *membership, const LcInstance *summary)
{
  LcMember *member = lc_membership_lookup_member (membership, summary->name);
  LcInstance update = *summary;
  const LcInstance *known = member ? &member->instance : NULL;

  if (strcmp (summary->name, membership->self.name) == 0)
    known = &membership->self;
  if (!known)
    return summary->state != LC_INSTANCE_DEAD;
  return !fill_missing_fields_of_update (&update, known) ? update.epoch > known->epoch
                                                         : lc_instance_supersedes (&update, known);
}

static bool
is_newer_than_summary (const LcInstance *known, const LcInstance *summary)
{
  LcInstance known_to_peer;

  if (!summary)
    return known->state != LC_INSTANCE_DEAD;
  known_to_peer = *summary;
  return !fill_missing_fields_of_update (&known_to_peer, known)
             ? known->epoch > known_to_peer.epoch
             : lc_instance_supersedes (known, &known_to_peer);
}

/* Writes the known instance to *update if it is newer than the peer's summary; returns the number
 * of instances written, 0 or 1. A peer that knows the same epoch gets the update without
 * incarnation, data centre and addresses. */
static size_t
write_update_if_newer_than_summary (const LcInstance *known,
                                    const LcInstance *summary,
                                    size_t n_summary,
                                    LcInstance *update)
{
  const LcInstance *known_to_peer = find_instance (summary, n_summary, known->name);

  if (!is_newer_than_summary (known, known_to_peer))
    return 0;
  *update = known_to_peer && known_to_peer->epoch == known->epoch
                ? copy_instance_without_addresses (known)
                : *known;
  return 1;
}

static void
send_newer_instances (const LcMembership *membership,
                      LcLinkId link,
                      const LcInstance *summary,
                      size_t n_summary,
                      LbList *actions)
{
  size_t max_updates = HASH_COUNT (membership->members) + 1;
  LcInstance *updates = LB_NEW_ARRAY (LcInstance, max_updates);
  size_t count = 0;

  count += write_update_if_newer_than_summary (&membership->self, summary, n_summary,
                                               &updates[count]);
  for (LcMember *member = membership->members; member; member = member->hh.next)
    count += write_update_if_newer_than_summary (&member->instance, summary, n_summary,
                                                 &updates[count]);
  LcMembershipAction *action = lc_membership_add_action (actions, LC_MEMBERSHIP_SEND);
  action->link = link;
  action->instances = updates;
  action->n_instances = count;
}

/* Sends a summary of the view: all known instances in short form. */
static void
send_summary (const LcMembership *membership, LcLinkId link, bool is_reply, LbList *actions)
{
  LcMembershipAction *action = lc_membership_add_action (actions, LC_MEMBERSHIP_COMPARE);

  action->link = link;
  action->is_reply = is_reply;
  action->instances = LB_NEW_ARRAY (LcInstance, HASH_COUNT (membership->members) + 1);
  action->instances[action->n_instances++] = copy_instance_without_addresses (&membership->self);
  for (LcMember *member = membership->members; member; member = member->hh.next)
    action->instances[action->n_instances++] = copy_instance_without_addresses (&member->instance);
}

void
lc_membership_summary_received (LcMembership *membership,
                                LcLinkId link,
                                const LcInstance *instances,
                                size_t n_instances,
                                bool is_reply,
                                LbTime now,
                                LbList *actions)
{
  bool peer_has_newer = false;

  for (size_t i = 0; i < n_instances; i++)
    {
      peer_has_newer = peer_has_newer || is_summary_newer (membership, &instances[i]);
      lc_membership_apply_update (membership, link, &instances[i], now);
    }
  send_newer_instances (membership, link, instances, n_instances, actions);
  if (peer_has_newer && !is_reply)
    send_summary (membership, link, true, actions);
  lc_membership_emit_view_change (membership, actions);
}

void
lc_membership_send_summary (LcMembership *membership, LcLinkId link, LbList *actions)
{
  send_summary (membership, link, false, actions);
}
