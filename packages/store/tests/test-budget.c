#include "lp-budget.h"
#include "lp-queue.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <stdlib.h>

#define TICK (5 * LB_MSEC)

/* --- a fleet and its store in virtual time --- */

#define N_CALLS 13 /* calls that an instance repeats: a renewal, four watches and eight lists */
#define CALL_TIMEOUT LB_SEC
#define RETRY_DELAY (100 * LB_MSEC)
#define MAX_ATTEMPTS 2
#define FAULT_START (5 * LB_SEC)
#define FAULT_END (10 * LB_SEC)
#define END (14 * LB_SEC)
#define RECOVERY_TIME (2 * LB_SEC)
/* Attempts of an instance in the fault, apart from two for each answer: 20 tokens, one token each
 * 200 ms, and what was on its way when the store began to fail. */
#define MAX_ATTEMPTS_IN_FAULT (20 + 5 * (FAULT_END - FAULT_START) / LB_SEC + N_CALLS)

typedef struct
{
  LpQueueItem item; /* first member: the queue's items are calls */
  size_t instance;
  LpPriority priority;
  LbTime period;
  LbTime due_at;     /* time of the next call */
  LbTime timeout_at; /* end of the running attempt; LB_TIME_NEVER: none runs */
  int n_attempts;
  bool is_charged;
  int64_t attempt_id; /* identifies the running attempt, whose answer may come too late */
} Call;

typedef struct
{
  LpBudget budget;
  LpQueue queue;
  LbTime next_sending_at;
  Call calls[N_CALLS];
  int n_attempts_in_fault;
  int n_answers_in_fault;
  LbTime renewed_at; /* when the store last answered a renewal */
} Instance;

/* An attempt in the store's first-in-first-out queue. */
typedef struct
{
  Call *call;
  int64_t attempt_id;
} Request;

typedef struct
{
  Instance *instances;
  size_t n_instances;
  bool has_budget;
  gsl_rng *rng;
  Request *requests;
  size_t first_request, n_requests;
  double served; /* fraction of a request that the store has worked off */
  double usual_rate;
  LbTime max_backlog; /* the store refuses calls that would wait longer than this */
  int64_t last_attempt_id;
} Fleet;

static void
fleet_init (Fleet *fleet, size_t n_instances, bool has_budget, LbTime max_backlog)
{
  *fleet
      = (Fleet){ .n_instances = n_instances, .has_budget = has_budget, .max_backlog = max_backlog };
  fleet->instances = LB_NEW_ARRAY (Instance, n_instances);
  fleet->requests = LB_NEW_ARRAY (Request, 1 << 23);
  fleet->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (fleet->rng, n_instances);
  for (size_t i = 0; i < n_instances; i++)
    {
      Instance *instance = &fleet->instances[i];
      lp_budget_init (&instance->budget, 0);
      lp_queue_init (&instance->queue);
      for (size_t n = 0; n < N_CALLS; n++)
        {
          Call *call = &instance->calls[n];
          call->instance = i;
          call->priority = n == 0   ? LP_PRIORITY_LEASE
                           : n <= 4 ? LP_PRIORITY_CONFIG
                                    : LP_PRIORITY_STATUS;
          call->period = n == 0 ? 800 * LB_MSEC : n <= 4 ? 700 * LB_MSEC : LB_SEC;
          call->due_at = (LbTime)(gsl_rng_uniform (fleet->rng) * (double)call->period);
          call->timeout_at = LB_TIME_NEVER;
          fleet->usual_rate += (double)LB_SEC / (double)call->period;
        }
    }
}

static void
fleet_clear (Fleet *fleet)
{
  gsl_rng_free (fleet->rng);
  free (fleet->instances);
  free (fleet->requests);
}

static bool
is_in_fault (LbTime now)
{
  return now >= FAULT_START && now < FAULT_END;
}

/* The store serves half as many calls again as the fleet usually sends, and a fifth of the usual
 * number in the fault. */
static double
get_store_rate (const Fleet *fleet, LbTime now)
{
  return fleet->usual_rate * (is_in_fault (now) ? 0.2 : 1.5);
}

static void end_attempt (Fleet *fleet, Call *call, bool is_answered, LbTime now);

static void
send_attempt (Fleet *fleet, Call *call, LbTime now)
{
  Instance *instance = &fleet->instances[call->instance];
  double max_requests = get_store_rate (fleet, now) * (double)fleet->max_backlog / (double)LB_SEC;

  call->n_attempts++;
  call->timeout_at = now + CALL_TIMEOUT;
  call->attempt_id = ++fleet->last_attempt_id;
  call->is_charged = lp_budget_begin_attempt (&instance->budget, now);
  instance->n_attempts_in_fault += is_in_fault (now);
  if ((double)fleet->n_requests >= max_requests)
    end_attempt (fleet, call, false, now);
  else
    fleet->requests[fleet->first_request + fleet->n_requests++]
        = (Request){ call, call->attempt_id };
}

static bool
is_attempt_allowed (const Fleet *fleet, const Instance *instance, LbTime now)
{
  return !fleet->has_budget || lp_budget_allows_attempt (&instance->budget, now);
}

static void
end_attempt (Fleet *fleet, Call *call, bool is_answered, LbTime now)
{
  Instance *instance = &fleet->instances[call->instance];

  call->timeout_at = LB_TIME_NEVER;
  lp_budget_end_attempt (&instance->budget, call->is_charged, is_answered, now);
  if (is_answered)
    {
      instance->n_answers_in_fault += is_in_fault (now);
      if (call->priority == LP_PRIORITY_LEASE)
        instance->renewed_at = now;
      call->due_at = now + call->period;
      instance->next_sending_at = now;
    }
  else if (call->n_attempts < MAX_ATTEMPTS
           && !(fleet->has_budget && lp_budget_is_limited (&instance->budget, now)))
    send_attempt (fleet, call, now);
  else
    call->due_at = now + RETRY_DELAY;
}

static void
send_waiting_calls (Fleet *fleet, Instance *instance, LbTime now)
{
  LpQueueItem *item;

  while ((item = lp_queue_take_expired (&instance->queue, now)))
    ((Call *)item)->due_at = now + RETRY_DELAY;
  while (now >= instance->next_sending_at && is_attempt_allowed (fleet, instance, now)
         && (item = lp_queue_take_next (&instance->queue)))
    send_attempt (fleet, (Call *)item, now);
  if (now >= instance->next_sending_at)
    instance->next_sending_at
        = now
          + lp_budget_get_time_until_next_attempt (&instance->budget, gsl_rng_uniform (fleet->rng),
                                                   now);
}

static void
run_instance (Fleet *fleet, Instance *instance, LbTime now)
{
  for (size_t n = 0; n < N_CALLS; n++)
    {
      Call *call = &instance->calls[n];
      if (now >= call->timeout_at)
        end_attempt (fleet, call, false, now);
      if (call->item.list || call->timeout_at != LB_TIME_NEVER || now < call->due_at)
        continue;
      call->n_attempts = 0;
      lp_queue_add (&instance->queue, &call->item, call->priority, now + CALL_TIMEOUT, now);
    }
  send_waiting_calls (fleet, instance, now);
}

static void
run_store (Fleet *fleet, LbTime now)
{
  fleet->served += get_store_rate (fleet, now) * (double)TICK / (double)LB_SEC;
  for (; fleet->served >= 1 && fleet->n_requests > 0; fleet->served -= 1)
    {
      const Request *request = &fleet->requests[fleet->first_request++];
      fleet->n_requests--;
      if (request->call->attempt_id == request->attempt_id
          && request->call->timeout_at != LB_TIME_NEVER)
        end_attempt (fleet, request->call, true, now);
    }
  if (fleet->n_requests == 0)
    fleet->served = 0;
}

/* Plays the fault. Returns the largest number of attempts of one instance in the fault, less two
 * for each answer; sets the time from the end of the fault until each instance has been renewed. */
static int
play_overload (size_t n_instances, bool has_budget, LbTime max_backlog, LbTime *recovered_after)
{
  Fleet fleet;
  int max_attempts = 0;

  fleet_init (&fleet, n_instances, has_budget, max_backlog);
  *recovered_after = 0;
  for (LbTime now = 0; now < END; now += TICK)
    {
      run_store (&fleet, now);
      for (size_t i = 0; i < n_instances; i++)
        run_instance (&fleet, &fleet.instances[i], now);
      for (size_t i = 0; i < n_instances; i++)
        if (now >= FAULT_END && fleet.instances[i].renewed_at < FAULT_END)
          *recovered_after = now + TICK - FAULT_END;
    }
  for (size_t i = 0; i < n_instances; i++)
    {
      const Instance *instance = &fleet.instances[i];
      int attempts = instance->n_attempts_in_fault - 2 * instance->n_answers_in_fault;
      if (attempts > max_attempts)
        max_attempts = attempts;
    }
  fleet_clear (&fleet);
  return max_attempts;
}

static const size_t fleet_sizes[] = { 100, 300 };

static void
check_attempts_and_recovery (LbTime max_backlog)
{
  for (size_t i = 0; i < sizeof fleet_sizes / sizeof fleet_sizes[0]; i++)
    {
      LbTime recovered_after;
      int attempts = play_overload (fleet_sizes[i], true, max_backlog, &recovered_after);
      cr_log_info ("%zu instances: %d attempts, recovered after %lld ms", fleet_sizes[i], attempts,
                   (long long)(recovered_after / LB_MSEC));
      cr_assert_leq (attempts, MAX_ATTEMPTS_IN_FAULT);
      cr_assert_leq (recovered_after, RECOVERY_TIME);
    }
}

/* Guards against calls that multiply while the store serves a fifth of them and refuses others. */
Test (budget, overloaded_store_gets_bounded_attempts)
{
  check_attempts_and_recovery (LB_SEC);
}

/* Guards against a store that stays overloaded after the fault, because it works off calls whose
 * senders have given up and sent them again. */
Test (budget, overloaded_store_without_refusals_recovers)
{
  check_attempts_and_recovery (LB_TIME_NEVER);
}

/* Guards against replays that would pass without the budget. */
Test (budget, replays_fail_without_the_budget)
{
  for (size_t i = 0; i < sizeof fleet_sizes / sizeof fleet_sizes[0]; i++)
    {
      LbTime recovered_after;
      int attempts = play_overload (fleet_sizes[i], false, LB_SEC, &recovered_after);
      cr_log_info ("%zu instances: %d attempts", fleet_sizes[i], attempts);
      cr_assert_gt (attempts, MAX_ATTEMPTS_IN_FAULT);
      play_overload (fleet_sizes[i], false, LB_TIME_NEVER, &recovered_after);
      cr_log_info ("recovered after %lld ms", (long long)(recovered_after / LB_MSEC));
      cr_assert_gt (recovered_after, RECOVERY_TIME);
    }
}

/* --- the budget --- */

static void
fail_attempts (LpBudget *budget, int n, LbTime now)
{
  for (int i = 0; i < n; i++)
    lp_budget_end_attempt (budget, lp_budget_begin_attempt (budget, now), false, now);
}

/* Guards against a limit that a few failed calls of a working store cause. */
Test (budget, single_failures_limit_nothing)
{
  LpBudget budget;

  lp_budget_init (&budget, 0);
  for (LbTime now = 0; now < 60 * LB_SEC; now += LB_SEC)
    {
      fail_attempts (&budget, 4, now);
      cr_assert_not (lp_budget_is_limited (&budget, now));
    }
}

/* Guards against an instance that stays silent for seconds after the store is back. */
Test (budget, an_answer_ends_the_limit_within_a_few_round_trips)
{
  LpBudget budget;
  LbTime now = LB_SEC;
  int n_allowed = 1;

  lp_budget_init (&budget, 0);
  fail_attempts (&budget, 200, now);
  cr_assert_not (lp_budget_allows_attempt (&budget, now));
  cr_assert_leq (lp_budget_get_time_until_next_attempt (&budget, 1, now), 300 * LB_MSEC + 1);
  now += 300 * LB_MSEC + 1;
  for (int round_trip = 0; round_trip < 5 && lp_budget_is_limited (&budget, now); round_trip++)
    {
      for (int i = 0; i < n_allowed; i++)
        cr_assert (lp_budget_begin_attempt (&budget, now) && i < n_allowed);
      for (int i = 0; i < n_allowed; i++)
        lp_budget_end_attempt (&budget, true, true, now);
      n_allowed *= 2;
    }
  cr_assert_not (lp_budget_is_limited (&budget, now));
}

/* Guards against attempts that grow in number while the store answers none. */
Test (budget, unanswered_attempts_stay_at_five_a_second)
{
  LpBudget budget;
  int n = 0;

  lp_budget_init (&budget, 0);
  fail_attempts (&budget, 40, 0);
  for (LbTime now = 0; now < 20 * LB_SEC; now += 10 * LB_MSEC)
    if (lp_budget_allows_attempt (&budget, now))
      {
        fail_attempts (&budget, 1, now);
        n++;
      }
  cr_assert_leq (n, 100);
  cr_assert_geq (n, 90, "expected the instance to notice soon that the store is back");
}

/* --- the queue --- */

/* Guards against renewals that wait behind lists, and against reads of the configuration that wait
 * for ever behind renewals. */
Test (queue, urgent_items_go_first_and_no_item_waits_forever)
{
  LpQueue queue;
  LpQueueItem list = { 0 };
  LpQueueItem watch = { 0 };
  LpQueueItem renewals[4] = { 0 };

  lp_queue_init (&queue);
  lp_queue_add (&queue, &list, LP_PRIORITY_STATUS, 100, 1);
  lp_queue_add (&queue, &watch, LP_PRIORITY_CONFIG, 100, 2);
  for (int i = 0; i < 4; i++)
    lp_queue_add (&queue, &renewals[i], LP_PRIORITY_LEASE, 100, 3 + i);
  cr_assert_eq (lp_queue_take_next (&queue), &renewals[0]);
  cr_assert_eq (lp_queue_take_next (&queue), &renewals[1]);
  cr_assert_eq (lp_queue_take_next (&queue), &list);
  cr_assert_eq (lp_queue_take_next (&queue), &renewals[2]);
  cr_assert_eq (lp_queue_take_next (&queue), &renewals[3]);
  cr_assert_eq (lp_queue_take_next (&queue), &watch);
  cr_assert_null (lp_queue_take_next (&queue));
}

Test (queue, expired_items_are_taken_out)
{
  LpQueue queue;
  LpQueueItem early = { 0 };
  LpQueueItem late = { 0 };

  lp_queue_init (&queue);
  lp_queue_add (&queue, &late, LP_PRIORITY_LEASE, 200, 1);
  lp_queue_add (&queue, &early, LP_PRIORITY_STATUS, 100, 1);
  cr_assert_eq (lp_queue_get_earliest_deadline (&queue), 100);
  cr_assert_null (lp_queue_take_expired (&queue, 99));
  cr_assert_eq (lp_queue_take_expired (&queue, 100), &early);
  cr_assert_null (lp_queue_take_expired (&queue, 100));
  cr_assert_eq (lp_queue_count (&queue), 1);
}
