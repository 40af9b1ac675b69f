#include "ln-duty-lease.h"

#include "ln-lease.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lb-switch.h"
#include "lc-duty.h"
#include "lc-lease.h"
#include "lp-platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limits the time without a lease holder after the holder failed: engines get no new weights in
 * that time while trainers continue. Even if the store is 60 times slower than usual, a renewal (a
 * read and a write) takes only half a second. */
#define LEASE_DURATION (2 * LB_SEC)
/* Lease duration if engines accept orders with any fencing token: such an engine must not get
 * orders of two alternating holders within 3 s. */
#define UNFENCED_LEASE_DURATION (3200 * LB_MSEC)
#define RENEWAL_PERIOD (500 * LB_MSEC) /* allows three renewals within LEASE_DURATION */
/* Time between two reads of the lease's row by a candidate. After a planned stop it is the largest
 * part of the time without a holder, which should be less than half a second. */
#define CANDIDATE_POLL_PERIOD (200 * LB_MSEC)
/* Time between two reads of the lease's row by an instance that may not claim the lease. */
#define OBSERVER_POLL_PERIOD (10 * LB_SEC)
#define MAX_CANDIDATES 3
/* A holder that loses and regains the lease makes no calls for this long after the loss. Receivers
 * that get calls from holder A, holder B and A again within 3 s can't tell which one is current. */
#define REACQUIRE_DELAY (3200 * LB_MSEC)
#define ROW_KEY_SIZE 64

struct LnDutyLease
{
  LnContext *context;
  const char *duty;
  char key[ROW_KEY_SIZE]; /* key of the lease's row */
  void (*on_change) (LbTime now, void *user);
  void *user;
  LcLease *lease;
  LnMember *members; /* all known instances */
  size_t n_members;
};

LnDutyLease *
ln_duty_lease_new (LnContext *context,
                   const char *duty,
                   bool receivers_check_fence,
                   void (*on_change) (LbTime now, void *user),
                   void *user)
{
  LnDutyLease *lease = LB_NEW (LnDutyLease);
  LcLeaseSettings settings;

  lc_lease_settings_init (&settings);
  settings.duration = receivers_check_fence ? LEASE_DURATION : UNFENCED_LEASE_DURATION;
  settings.reacquire_delay = REACQUIRE_DELAY;
  settings.poll_period = RENEWAL_PERIOD;
  settings.candidate_poll_period = CANDIDATE_POLL_PERIOD;
  settings.records_orders = true;
  settings.observer_poll_period = OBSERVER_POLL_PERIOD;
  LB_COPY (settings.instance, context->instance);
  LB_COPY (settings.incarnation, context->incarnation);
  lease->context = context;
  lease->duty = duty;
  snprintf (lease->key, sizeof lease->key, "lease/%s/holder", duty);
  lease->on_change = on_change;
  lease->user = user;
  lease->lease = lc_lease_new (&settings, lb_clock_monotonic (), lb_clock_boottime ());
  return lease;
}

void
ln_duty_lease_free (LnDutyLease *lease)
{
  lc_lease_free (lease->lease);
  free (lease->members);
  free (lease);
}

static void execute_lease_actions (LnDutyLease *lease, LbList *actions);

static void
on_lease_row_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  LnDutyLease *lease = user;
  LbList actions;

  lb_list_init (&actions);
  ln_lease_handle_read_result (lease->lease, error, rows, n_rows, lb_clock_monotonic (), &actions);
  execute_lease_actions (lease, &actions);
}

static void
on_lease_row_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnDutyLease *lease = user;
  LbList actions;

  lb_list_init (&actions);
  lc_lease_write_completed (lease->lease, error, lb_clock_monotonic (), &actions);
  execute_lease_actions (lease, &actions);
}

static void
notify_lease_gained_or_lost (LnDutyLease *lease, const LcLeaseAction *action)
{
  bool gained = action->type == LC_LEASE_GAINED;

  lb_log (LB_LOG_INFO, gained ? "lease_gained" : "lease_lost", LB_TEXT ("duty", lease->duty),
          LB_INT ("fence", action->row.fence), LB_TEXT ("holder", action->row.holder));
  lease->on_change (lb_clock_monotonic (), lease->user);
}

static void
execute_lease_actions (LnDutyLease *lease, LbList *actions)
{
  LpPlatform *platform = lease->context->platform;
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcLeaseAction *action = LB_CONTAINER (link, LcLeaseAction, link);
      switch (action->type)
        {
        case LC_LEASE_READ:
          platform->klass->get (platform, lease->key, on_lease_row_read, lease);
          break;
        case LC_LEASE_WRITE:
          ln_lease_write_row (platform, lease->key, "", action, on_lease_row_written, lease);
          break;
        case LC_LEASE_GAINED:
        case LC_LEASE_LOST:
          notify_lease_gained_or_lost (lease, action);
          break;
        }
      free (action);
    }
}

static bool
can_instance_hold_lease (const LnMember *member)
{
  return member->alive && member->confirmed && !member->draining && !member->cut;
}

static void
add_lease_candidate (const LnMember *member, LcDutyCandidate *candidates, size_t *n)
{
  LB_COPY (candidates[*n].name, member->name);
  candidates[(*n)++].strength = member->strength;
}

/* Returns the number of candidates added. Always includes this instance, so that a holder that
 * briefly cannot reach the store directly keeps the lease. */
static size_t
add_lease_candidates (const LnMembersMessage *members, LcDutyCandidate *candidates)
{
  size_t n = 0;

  for (size_t i = 0; i < members->n_members; i++)
    {
      const LnMember *member = &members->members[i];
      if (!can_instance_hold_lease (member) && !member->is_self)
        continue;
      add_lease_candidate (member, candidates, &n);
    }
  return n;
}

/* Ranks the instances, those on strong machines first. Only the MAX_CANDIDATES instances with the
 * lowest ranks may claim the lease. Each claims a free lease a little later than the instance of
 * the next lower rank. */
void
ln_duty_lease_set_members (LnDutyLease *lease, const LnMembersMessage *members)
{
  LcDutyCandidate *candidates = LB_NEW_ARRAY (LcDutyCandidate, members->n_members + 1);
  size_t n = add_lease_candidates (members, candidates);
  size_t rank = lc_duty_rank (lease->duty, lease->context->instance, candidates, n);

  lc_lease_set_claim_rank (lease->lease, rank < MAX_CANDIDATES ? (int)rank : -1);
  free (candidates);
  free (lease->members);
  lease->members = lb_memdup (members->members, members->n_members * sizeof (LnMember));
  lease->n_members = members->n_members;
}

static void
detect_ended_lease_holder (LnDutyLease *lease, bool all_check_fences, LbTime now)
{
  const LcLeaseRow *row = lc_lease_row (lease->lease);

  for (size_t i = 0; i < lease->n_members; i++)
    {
      const LnMember *member = &lease->members[i];
      const LcLeaseHolderView view = { .incarnation = member->incarnation,
                                       .row_version = member->version,
                                       .alive = member->alive,
                                       .endpoints_check_fence = all_check_fences };
      if (strcmp (member->name, row->holder) == 0
          && lc_lease_holder_has_ended (lease->lease, &view))
        lc_lease_mark_holder_ended (lease->lease, lc_lease_row_version (lease->lease), now);
    }
}

/* Renews or claims the lease if due. Only the few instances that may claim the lease check whether
 * the holder's process has ended, because otherwise the hundreds of instances of a large site would
 * all read the lease's row at the same moment. */
void
ln_duty_lease_tick (LnDutyLease *lease, bool all_check_fences, LbTime now)
{
  LbList actions;

  if (ln_duty_lease_is_candidate (lease))
    detect_ended_lease_holder (lease, all_check_fences, now);
  lb_list_init (&actions);
  lc_lease_tick (lease->lease, now, lb_clock_boottime (), &actions);
  execute_lease_actions (lease, &actions);
}

void
ln_duty_lease_request_read (LnDutyLease *lease, LbTime now)
{
  lc_lease_request_read (lease->lease, now);
}

int64_t
ln_duty_lease_begin_call (LnDutyLease *lease, LbTime now)
{
  return lc_lease_begin_order (lease->lease, now);
}

/* Chooses the best other candidate, which reads the lease's row often and expects to be the next
 * holder by its own rank as well. */
static void
name_next_lease_holder (LnDutyLease *lease)
{
  LcDutyCandidate *candidates = LB_NEW_ARRAY (LcDutyCandidate, lease->n_members + 1);
  size_t n = 0;

  for (size_t i = 0; i < lease->n_members; i++)
    if (can_instance_hold_lease (&lease->members[i]) && !lease->members[i].is_self)
      add_lease_candidate (&lease->members[i], candidates, &n);
  lc_lease_set_next_holder (lease->lease, lc_duty_choose_holder (lease->duty, "", candidates, n));
  free (candidates);
}

void
ln_duty_lease_release (LnDutyLease *lease, LbTime now)
{
  LbList actions;

  lb_list_init (&actions);
  lc_lease_set_claim_rank (lease->lease, -1);
  if (lb_switch_is_on (LB_SWITCH_SUCCESSORS))
    name_next_lease_holder (lease);
  lc_lease_release (lease->lease, now, &actions);
  execute_lease_actions (lease, &actions);
}

bool
ln_duty_lease_is_held (const LnDutyLease *lease)
{
  return lc_lease_is_held (lease->lease);
}

bool
ln_duty_lease_is_candidate (const LnDutyLease *lease)
{
  return lc_lease_claim_rank (lease->lease) >= 0;
}

bool
ln_duty_lease_is_released (const LnDutyLease *lease, LbTime now)
{
  return lc_lease_is_released (lease->lease, now);
}

bool
ln_duty_lease_allows_call (const LnDutyLease *lease, bool fence_is_unchecked, LbTime now)
{
  return lc_lease_allows_order (lease->lease, fence_is_unchecked, now);
}
