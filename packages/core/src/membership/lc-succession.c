#include "lc-succession.h"

#include "lc-duty.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

/* A rolling restart is in progress until no instance has been seen draining for this time. */
#define RESTART_TIMEOUT (30 * LB_SEC)
/* Instances are usually restarted 1 to 2 s apart. While one is seen draining at least this often,
 * further ones are expected. */
#define MAX_RESTART_GAP (5 * LB_SEC)
/* Part of the candidates that must have been restarted before new batches leave an owner that still
 * runs: a restart of few instances says little about this owner. */
#define MIN_RESTARTED 2
#define MIN_RESTARTED_DIVISOR 8
/* A restarted instance is preferred only if its machine has at least this part of the strength of
 * the best candidate. A batch starts 0.3 s late on a machine that is 40 times weaker, which costs
 * more than another hand-over. */
#define MIN_STRENGTH_DIVISOR 8
/* New batches leave an owner that still runs only for an instance whose strength for each of its
 * models is at least this part of the owner's. */
#define MIN_SHARE_DIVISOR 2

void
lc_rolling_restart_observe (LcRollingRestart *restart,
                            bool is_any_draining,
                            int64_t store_ms,
                            LbTime now)
{
  if (!is_any_draining)
    return;
  if (restart->last_draining_at == 0 || now - restart->last_draining_at > RESTART_TIMEOUT
      || restart->began_ms == 0)
    restart->began_ms = store_ms;
  restart->last_draining_at = now;
}

static int64_t
find_earliest_start_since (int64_t since_ms, int64_t until_ms, const LcSuccessor *members, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (members[i].started_ms >= since_ms && members[i].started_ms < until_ms
        && members[i].started_ms > 0)
      until_ms = members[i].started_ms;
  return until_ms;
}

/* An instance that was itself restarted has not seen the beginning. The starts of other instances
 * shortly before show it: each start of the series follows the previous one after a short time. */
int64_t
lc_rolling_restart_get_beginning (const LcRollingRestart *restart,
                                  int64_t own_started_ms,
                                  const LcSuccessor *members,
                                  size_t n_members,
                                  LbTime now)
{
  const int64_t max_gap_ms = MAX_RESTART_GAP / LB_MSEC;
  int64_t began_ms = restart->began_ms;

  if (restart->last_draining_at == 0 || began_ms == 0
      || now - restart->last_draining_at > RESTART_TIMEOUT)
    return 0;
  if (own_started_ms == 0 || began_ms - own_started_ms > max_gap_ms)
    return began_ms;
  for (int64_t earlier_ms = 0;; began_ms = earlier_ms)
    {
      earlier_ms = find_earliest_start_since (began_ms - max_gap_ms, began_ms, members, n_members);
      if (earlier_ms == began_ms)
        return began_ms;
    }
}

bool
lc_rolling_restart_is_continuing (const LcRollingRestart *restart, LbTime now)
{
  return restart->last_draining_at > 0 && now - restart->last_draining_at <= MAX_RESTART_GAP;
}

const char *
lc_succession_reason_name (LcSuccessionReason reason)
{
  static const char *const names[] = { [LC_SUCCESSION_NONE] = "no_candidate",
                                       [LC_SUCCESSION_SAME_MODEL] = "same_model",
                                       [LC_SUCCESSION_RESTARTED] = "restarted",
                                       [LC_SUCCESSION_STRENGTH] = "strength" };

  return names[reason];
}

static bool
was_restarted (const LcSuccessionQuery *query, const LcSuccessor *member)
{
  return query->restart_began_ms > 0 && member->started_ms >= query->restart_began_ms;
}

static size_t
count_restarted (const LcSuccessionQuery *query, const LcSuccessor *members, size_t n_members)
{
  size_t n = 0;

  for (size_t i = 0; i < n_members; i++)
    n += was_restarted (query, &members[i]);
  return n;
}

/* Whether the owner is among the members whose processes started first. In a rolling restart these
 * have not been restarted yet. */
static bool
is_among_oldest (const LcSuccessor *owner, const LcSuccessor *members, size_t n_members)
{
  int64_t earliest_ms = find_earliest_start_since (1, owner->started_ms, members, n_members);

  return owner->started_ms - earliest_ms <= MAX_RESTART_GAP / LB_MSEC;
}

/* Whether the owner of the model's other batches is likely to be stopped soon, and a restarted
 * instance can replace it. The model's connections move once in either case: now, between two
 * batches, or when the owner is stopped, in the middle of one. Without sufficient evidence for a
 * stop the batches stay, because a move costs a connection for each slot of each engine. */
static bool
should_leave_owner (const LcSuccessionQuery *query,
                    const LcSuccessor *owner,
                    const LcSuccessor *members,
                    size_t n_members)
{
  size_t n_restarted = count_restarted (query, members, n_members);
  int64_t owner_share = owner->strength / (owner->n_models > 0 ? owner->n_models : 1);

  /* Instances that were restarted themselves find different beginnings of the rolling restart.
   * Judged by the beginning alone, an owner that was restarted early would look like one that is
   * stopped next, and the batches of a model would move several times. */
  if (!query->is_restart_continuing || owner->started_ms == 0 || was_restarted (query, owner)
      || !is_among_oldest (owner, members, n_members) || n_restarted < MIN_RESTARTED
      || n_restarted < n_members / MIN_RESTARTED_DIVISOR)
    return false;
  for (size_t i = 0; i < n_members; i++)
    if (was_restarted (query, &members[i])
        && members[i].strength / (1 + members[i].n_models) >= owner_share / MIN_SHARE_DIVISOR)
      return true;
  return false;
}

static int64_t
find_max_strength (const LcSuccessor *members, size_t n_members)
{
  int64_t max_strength = 0;

  for (size_t i = 0; i < n_members; i++)
    if (members[i].strength > max_strength)
      max_strength = members[i].strength;
  return max_strength;
}

/* Divides the strengths by the number of models. Otherwise a strong machine among weak ones would
 * get the batches of all models. */
static size_t
list_candidates (const LcSuccessionQuery *query,
                 const LcSuccessor *members,
                 size_t n_members,
                 bool must_be_restarted,
                 LcDutyCandidate *candidates)
{
  int64_t min_strength = find_max_strength (members, n_members) / MIN_STRENGTH_DIVISOR;
  size_t n = 0;

  for (size_t i = 0; i < n_members; i++)
    {
      const LcSuccessor *member = &members[i];
      if (must_be_restarted && (!was_restarted (query, member) || member->strength < min_strength))
        continue;
      LB_COPY (candidates[n].name, member->name);
      candidates[n++].strength = member->strength / (1 + member->n_models);
    }
  return n;
}

static size_t
find_member (const char *name, const LcSuccessor *members, size_t n_members)
{
  size_t i = 0;

  while (i < n_members && strcmp (members[i].name, name) != 0)
    i++;
  return i;
}

size_t
lc_succession_choose (const LcSuccessionQuery *query,
                      const LcSuccessor *members,
                      size_t n_members,
                      LcSuccessionReason *reason)
{
  size_t current = find_member (query->current, members, n_members);
  LcDutyCandidate *candidates = NULL;

  if (current < n_members && !should_leave_owner (query, &members[current], members, n_members))
    {
      *reason = LC_SUCCESSION_SAME_MODEL;
      return current;
    }
  candidates = LB_NEW_ARRAY (LcDutyCandidate, n_members + 1);
  size_t n = list_candidates (query, members, n_members, true, candidates);
  *reason = n > 0 ? LC_SUCCESSION_RESTARTED : LC_SUCCESSION_STRENGTH;
  if (n == 0)
    n = list_candidates (query, members, n_members, false, candidates);
  size_t chosen
      = find_member (lc_duty_choose_holder (query->model, "", candidates, n), members, n_members);
  if (chosen == n_members)
    *reason = LC_SUCCESSION_NONE;
  free (candidates);
  return chosen;
}
