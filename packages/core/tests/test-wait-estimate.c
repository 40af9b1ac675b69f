#include "dispatch-fixture.h"

#include "lb-switch.h"
#include "lc-wait-estimate.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdlib.h>

#define N_ORGANISATIONS 8
#define SLOTS_PER_ENDPOINT 6
#define N_SLOTS (2 * SLOTS_PER_ENDPOINT)
#define SERVICE_TIME (100 * LB_MSEC)
#define CAPACITY ((double)N_SLOTS * LB_SEC / SERVICE_TIME) /* calls per second */
#define CALL_DEADLINE (1500 * LB_MSEC)
#define SLOWDOWN 2.5
#define USUAL_LOAD 0.4 /* between the waves, as a part of the capacity */
#define WAVE_DURATION (600 * LB_MSEC)
#define BIN (100 * LB_MSEC)
#define N_BINS 400
#define MAX_CALLS 20000

/* A call of a simulated caller. A refused caller submits the call again after the time that the
 * refusal names, until its deadline. */
typedef struct
{
  int organisation;
  LbTime deadline;
  LbTime next_at;      /* when the call is submitted; LB_TIME_NEVER: not again */
  LcRequestId request; /* request of the last submission */
  LbTime ends_at;      /* when the endpoint answers; LB_TIME_NEVER: the call is not running */
  uint32_t attempt;
  bool is_sent;    /* the last submission was sent to an endpoint */
  bool is_refused; /* the last submission was refused */
  bool is_served;
  bool is_held; /* the call waited until its deadline and was not sent */
  bool is_cut;  /* the call was admitted and ended without an answer */
} Call;

typedef struct
{
  Fixture f;
  gsl_rng *random;
  Call calls[MAX_CALLS];
  size_t n_calls;
  size_t first_open; /* all calls before this one have ended */
  size_t n_refusals;
  size_t n_waiting_refusals;  /* refusals of calls that had been admitted */
  LbTime frozen_until;        /* until then, no endpoint answers */
  LbTime min_left_at_refusal; /* least time left when a waiting call was refused */
  int submissions[N_BINS];    /* number of submissions, by time */
} Storm;

typedef struct
{
  LbTime at;
  double load; /* arrivals as a multiple of the capacity */
} Wave;

static Storm *
storm_new (void)
{
  const LcDispatchSettings settings
      = { .max_report_age = LB_TIME_NEVER, .retry_budget = 0.1, .seed = 1 };
  Storm *storm = LB_NEW (Storm);

  storm->min_left_at_refusal = LB_TIME_NEVER;
  storm->random = gsl_rng_alloc (gsl_rng_taus2);
  fixture_init (&storm->f, &settings, 1, SLOTS_PER_ENDPOINT);
  return storm;
}

static void
storm_free (Storm *storm)
{
  fixture_clear (&storm->f);
  gsl_rng_free (storm->random);
  free (storm);
}

static Call *
find_call (Storm *storm, LcRequestId request)
{
  for (size_t i = storm->n_calls; i-- > storm->first_open;)
    if (storm->calls[i].request == request)
      return &storm->calls[i];
  return NULL;
}

static void
execute_actions (Storm *storm, double slowdown)
{
  LbLink *link = NULL;

  while ((link = lb_list_pop (&storm->f.actions)))
    {
      LcAction *action = LB_CONTAINER (link, LcAction, link);
      Call *call = find_call (storm, action->request);

      cr_assert_not_null (call);
      if (action->type == LC_ACTION_SEND)
        {
          cr_assert_not (call->is_refused, "a refused call was run");
          call->attempt = action->attempt;
          call->is_sent = true;
          call->ends_at
              = (storm->f.now > storm->frozen_until ? storm->f.now : storm->frozen_until)
                + (LbTime)(SERVICE_TIME * slowdown * gsl_ran_flat (storm->random, 0.6, 1.4));
        }
      else
        call->ends_at = LB_TIME_NEVER;
      if (action->type == LC_ACTION_FINISH)
        {
          call->is_served = action->error == LB_OK;
          call->is_refused = action->error == LB_ERROR_OVERLOADED;
          call->is_cut = !call->is_served && !call->is_refused;
          call->is_held = !call->is_sent && storm->f.now >= call->deadline;
        }
      if (action->type == LC_ACTION_FINISH && call->is_refused)
        {
          storm->n_refusals++;
          storm->n_waiting_refusals++;
          call->next_at = storm->f.now + action->retry_after;
          if (call->deadline - storm->f.now < storm->min_left_at_refusal)
            storm->min_left_at_refusal = call->deadline - storm->f.now;
        }
      lc_action_free (action);
    }
}

static void
submit_call (Storm *storm, Call *call, double slowdown)
{
  LcRequestSpec spec = fixture_make_request_spec (&storm->f, LC_KIND_SERVICE);

  spec.expected_tokens = 1;
  spec.deadline = call->deadline;
  snprintf (spec.flow, sizeof spec.flow, "org-%d", call->organisation);
  call->request = spec.id;
  call->next_at = LB_TIME_NEVER;
  call->is_refused = false;
  call->is_sent = false;
  storm->submissions[storm->f.now / BIN]++;
  call->is_refused = !fixture_submit_request (&storm->f, &spec);
  if (call->is_refused)
    {
      storm->n_refusals++;
      call->next_at = storm->f.now + storm->f.retry_after;
    }
  execute_actions (storm, slowdown);
}

static void
end_and_submit_due_calls (Storm *storm, double slowdown)
{
  for (size_t i = storm->first_open; i < storm->n_calls; i++)
    {
      Call *call = &storm->calls[i];
      if (call->ends_at <= storm->f.now)
        {
          call->ends_at = LB_TIME_NEVER;
          fixture_deliver_piece (&storm->f, call->request, call->attempt, 0, 1, true);
          fixture_end_attempt (&storm->f, call->request, call->attempt, LC_END_COMPLETE);
          execute_actions (storm, slowdown);
        }
      if (call->next_at <= storm->f.now && storm->f.now < call->deadline)
        submit_call (storm, call, slowdown);
    }
  while (storm->first_open < storm->n_calls
         && storm->calls[storm->first_open].deadline + LB_SEC < storm->f.now)
    storm->first_open++;
}

/* Organisation 0 sends half of all calls, the others send equal parts of the rest. */
static void
add_arrivals (Storm *storm, double load, LbTime step)
{
  unsigned n = gsl_ran_poisson (storm->random, load * CAPACITY * (double)step / LB_SEC);

  for (unsigned i = 0; i < n; i++)
    {
      bool is_big = gsl_rng_uniform (storm->random) < 0.5;
      int small = 1 + (int)gsl_rng_uniform_int (storm->random, N_ORGANISATIONS - 1);
      cr_assert_lt (storm->n_calls, MAX_CALLS);
      storm->calls[storm->n_calls++] = (Call){ .organisation = is_big ? 0 : small,
                                               .deadline = storm->f.now + CALL_DEADLINE,
                                               .next_at = storm->f.now,
                                               .ends_at = LB_TIME_NEVER };
    }
}

/* Runs until `end`. The endpoints are slow during the waves, and in intervals of a wave's duration
 * for a seventh of the time if is_uneven. */
static void
run_storm (Storm *storm, double load, const Wave *waves, size_t n_waves, bool is_uneven, LbTime end)
{
  const LbTime step = 2 * LB_MSEC;

  for (; storm->f.now < end; storm->f.now += step)
    {
      bool is_slow = is_uneven && storm->f.now / WAVE_DURATION % 7 == 3;
      double now_load = load;
      for (size_t i = 0; i < n_waves; i++)
        if (storm->f.now >= waves[i].at && storm->f.now < waves[i].at + WAVE_DURATION)
          {
            is_slow = true;
            now_load = waves[i].load;
          }
      double slowdown = is_slow ? SLOWDOWN : 1;
      add_arrivals (storm, now_load, step);
      end_and_submit_due_calls (storm, slowdown);
      if (storm->f.now >= lc_dispatch_next_tick (storm->f.dispatch))
        fixture_tick_dispatch_at (&storm->f, storm->f.now);
      execute_actions (storm, slowdown);
    }
}

typedef struct
{
  int calls;
  int served;
  int cut; /* admitted, but ended without an answer */
} Count;

/* Counts the calls that arrived from `from` on until `to`, of one organisation or of all (-1). */
static Count
count_calls (const Storm *storm, int organisation, LbTime from, LbTime to)
{
  Count count = { 0 };

  for (size_t i = 0; i < storm->n_calls; i++)
    {
      const Call *call = &storm->calls[i];
      LbTime arrived_at = call->deadline - CALL_DEADLINE;
      if (arrived_at < from || arrived_at >= to
          || (organisation >= 0 && call->organisation != organisation))
        continue;
      count.calls++;
      count.served += call->is_served;
      count.cut += call->is_cut;
    }
  return count;
}

static void
expect_all_are_served (Count count)
{
  cr_expect_eq (count.served, count.calls, "%d of %d served", count.served, count.calls);
}

/* Expects that at most 1% of the calls were admitted and not answered, and that at least min_part
 * of the calls that the endpoints can serve were served. */
static void
expect_few_are_cut (Count count, double possible, double min_part)
{
  cr_expect_leq (count.cut, count.calls / 100, "%d of %d calls were held and not answered",
                 count.cut, count.calls);
  cr_expect_geq (count.served, min_part * possible, "%d served, %.0f possible", count.served,
                 possible);
}

static int
find_most_submissions_per_bin (const Storm *storm, LbTime from, LbTime to)
{
  int most = 0;

  for (LbTime bin = from / BIN; bin < to / BIN; bin++)
    most = storm->submissions[bin] > most ? storm->submissions[bin] : most;
  return most;
}

static void
expect_wave_is_served_fairly (const Storm *storm, const Wave *wave)
{
  LbTime end = wave->at + WAVE_DURATION;
  Count all = count_calls (storm, -1, wave->at, end);
  /* What the endpoints can do during the wave, and then besides the usual load until the deadline
   * of the wave's last call. */
  double possible
      = CAPACITY * (WAVE_DURATION / SLOWDOWN + (1 - USUAL_LOAD) * CALL_DEADLINE) / LB_SEC;

  cr_log_info ("load %.0f: calls %d, served %d of possible %.0f, cut %d, most in a bin %d then %d",
               wave->load, all.calls, all.served, possible, all.cut,
               find_most_submissions_per_bin (storm, wave->at, end),
               find_most_submissions_per_bin (storm, end, end + 2 * LB_SEC));
  expect_few_are_cut (all, possible, 0.9);
  cr_expect_leq (find_most_submissions_per_bin (storm, end, end + 2 * LB_SEC),
                 find_most_submissions_per_bin (storm, wave->at, end),
                 "the callers that return are more than the first wave");
  for (int i = 1; i < N_ORGANISATIONS; i++)
    {
      Count count = count_calls (storm, i, wave->at, end);
      double fair = (double)all.served / N_ORGANISATIONS;
      cr_expect_geq (count.served, 0.6 * (count.calls < fair ? count.calls : fair),
                     "organisation %d: %d of %d served, fair share %.0f", i, count.served,
                     count.calls, fair);
    }
}

/* Calls arrive in waves of 6 and 10 times the capacity while the endpoints are slow, and half of
 * them come from one organisation. Without the service time in the estimate, calls were admitted
 * that ended at their deadline without an answer; with hints as long as the queue, refused callers
 * returned too late. */
Test (wait_estimate, storm_is_served_fairly_and_no_call_is_held)
{
  static const Wave waves[] = { { 8 * LB_SEC, 6 }, { 16 * LB_SEC, 10 } };
  Storm *storm = storm_new ();

  run_storm (storm, USUAL_LOAD, waves, 2, false, 24 * LB_SEC);
  for (size_t i = 0; i < 2; i++)
    expect_wave_is_served_fairly (storm, &waves[i]);
  expect_all_are_served (count_calls (storm, -1, 20 * LB_SEC, 22 * LB_SEC));
  storm_free (storm);
}

/* One of the two endpoints leaves under load. The estimate must follow the rate of the one that is
 * left: what it can't serve is refused, what is admitted is answered. */
Test (wait_estimate, one_endpoint_left_determines_the_estimate)
{
  const LbTime left_at = 6 * LB_SEC;
  const LbTime end = 14 * LB_SEC;
  Storm *storm = storm_new ();

  run_storm (storm, 0.8, NULL, 0, false, left_at);
  cr_expect_eq (storm->n_refusals, 0);
  lc_dispatch_mark_endpoint_leaving (storm->f.dispatch, "s2", "", LC_LEAVING_ENDPOINT, storm->f.now,
                                     &storm->f.actions);
  run_storm (storm, 0.8, NULL, 0, false, end + 2 * LB_SEC);
  Count all = count_calls (storm, -1, left_at, end);
  double possible = CAPACITY / 2 * (double)(end - left_at) / LB_SEC;
  expect_few_are_cut (all, possible, 0.95);
  storm_free (storm);
}

/* All endpoints stop answering from now on, for the given time. */
static void
freeze_endpoints (Storm *storm, LbTime duration)
{
  storm->frozen_until = storm->f.now + duration;
  for (size_t i = storm->first_open; i < storm->n_calls; i++)
    if (storm->calls[i].ends_at != LB_TIME_NEVER)
      storm->calls[i].ends_at += duration;
}

/* All endpoints stop answering while calls wait. Waiting calls were held until their deadline,
 * since nothing checked them again after their admission. They must be refused while their callers
 * can still return to another instance. */
Test (wait_estimate, waiting_calls_are_refused_when_the_endpoints_freeze)
{
  const LbTime frozen_at = 6 * LB_SEC;
  Storm *storm = storm_new ();
  int n_held = 0;

  run_storm (storm, 0.8, NULL, 0, false, frozen_at);
  freeze_endpoints (storm, 100 * LB_SEC);
  run_storm (storm, 0.8, NULL, 0, false, frozen_at + LB_SEC);
  cr_expect_gt (storm->n_refusals, 0);
  cr_expect_geq (storm->min_left_at_refusal, CALL_DEADLINE / 4, "refused with %ld us left",
                 (long)storm->min_left_at_refusal);
  run_storm (storm, 0.8, NULL, 0, false, frozen_at + 6 * LB_SEC);
  for (size_t i = 0; i < storm->n_calls; i++)
    n_held += storm->calls[i].is_held;
  cr_expect_eq (n_held, 0, "%d calls waited until their deadline", n_held);
  storm_free (storm);
}

/* Endpoints that pause for a third of the deadline serve all waiting calls after it, so the check
 * of waiting calls must not refuse any. */
Test (wait_estimate, short_pause_refuses_nothing)
{
  Storm *storm = storm_new ();

  run_storm (storm, 0.6, NULL, 0, false, 6 * LB_SEC);
  freeze_endpoints (storm, CALL_DEADLINE / 3);
  run_storm (storm, 0.6, NULL, 0, false, 12 * LB_SEC);
  cr_expect_eq (storm->n_waiting_refusals, 0, "%zu refusals", storm->n_waiting_refusals);
  expect_all_are_served (count_calls (storm, -1, 0, 10 * LB_SEC));
  storm_free (storm);
}

/* At a moderate load, with endpoints that are slow for a seventh of the time, nothing may be
 * refused: the queue of a slow interval is served before the deadline. */
Test (wait_estimate, moderate_load_is_not_refused)
{
  Storm *storm = storm_new ();

  run_storm (storm, 0.6, NULL, 0, true, 39 * LB_SEC);
  cr_expect_eq (storm->n_refusals, 0, "%zu refusals", storm->n_refusals);
  expect_all_are_served (count_calls (storm, -1, 0, 37 * LB_SEC));
  storm_free (storm);
}

/* The storm without the estimate: calls are admitted that end at their deadline. Shows that
 * storm_is_served_fairly_and_no_call_is_held can fail. */
Test (wait_estimate, without_the_estimate_calls_are_held)
{
  static const Wave wave = { 8 * LB_SEC, 10 };
  Storm *storm = storm_new ();

  lb_switch_disable_optimisation ("wait_estimate");
  run_storm (storm, USUAL_LOAD, &wave, 1, false, 12 * LB_SEC);
  Count all = count_calls (storm, -1, wave.at, wave.at + WAVE_DURATION);
  cr_expect_gt (all.cut, all.calls / 20, "%d of %d calls were held", all.cut, all.calls);
  storm_free (storm);
}

static LcWaitQuery
make_query (double n_ahead)
{
  return (LcWaitQuery){ .kind = LC_KIND_SERVICE,
                        .n_ahead = n_ahead,
                        .expected_tokens = 1,
                        .time_to_start = CALL_DEADLINE,
                        .time_to_end = CALL_DEADLINE };
}

static LcWaitEstimate
make_estimate (int n_running, LbTime duration, LbTime now)
{
  LcWaitEstimate estimate = { 0 };

  for (int i = 0; i < 2 * n_running; i++)
    lc_wait_estimate_record_start (&estimate, LC_KIND_SERVICE, now - duration);
  for (int i = 0; i < n_running; i++)
    lc_wait_estimate_record_end (&estimate, LC_KIND_SERVICE, duration, 1, now);
  return estimate;
}

/* An instance that has just started, or whose endpoints have answered nothing, has no estimate and
 * must not refuse. Endpoints that stop answering must lower the rate that was observed. */
Test (wait_estimate, only_observed_rates_refuse)
{
  const LcWaitQuery query = make_query (100);
  LbTime now = 10 * LB_SEC;
  LcWaitEstimate estimate = { 0 };

  cr_assert (lc_wait_estimate_decide (&estimate, &query, now).is_in_time);
  lc_wait_estimate_record_start (&estimate, LC_KIND_SERVICE, now);
  cr_assert (lc_wait_estimate_decide (&estimate, &query, now + LB_SEC).is_in_time);

  estimate = make_estimate (10, 100 * LB_MSEC, now);
  LcWaitDecision decision = lc_wait_estimate_decide (&estimate, &query, now);
  cr_assert_float_eq (decision.rate, 100, 0.01);
  cr_assert_leq (llabs (decision.wait - LB_SEC), LB_MSEC);
  cr_assert (decision.is_in_time);
  decision = lc_wait_estimate_decide (&estimate, &query, now + 2 * LB_SEC);
  cr_assert_not (decision.is_in_time);
  cr_assert_leq (decision.rate, 8, "the rate is %.1f after 2 s without an answer", decision.rate);
}

/* The hint is the time by which the wait is too long, not the whole wait. Callers return one after
 * the other, at the rate of free slots. If no slot is left before their deadline, a few are sent to
 * other instances, which may be idle, and the others return after their deadline. */
Test (wait_estimate, hints_are_short_and_spread)
{
  const LcWaitQuery query = make_query (160);
  LbTime now = 10 * LB_SEC;
  LcWaitEstimate estimate = make_estimate (10, 100 * LB_MSEC, now);
  LcWaitDecision decision = lc_wait_estimate_decide (&estimate, &query, now);
  LbTime last = 0;

  cr_assert_not (decision.is_in_time);
  for (int i = 0; i < 30; i++)
    {
      LbTime hint = lc_wait_estimate_reserve_retry (&estimate, &decision, 0.5, now);
      cr_assert_leq (llabs (hint - 200 * LB_MSEC - i * 10 * LB_MSEC), LB_MSEC);
      cr_assert_leq (hint, CALL_DEADLINE / 3);
    }
  lc_wait_estimate_reserve_retry (&estimate, &decision, 0.5, now);
  for (int i = 0; i < 16; i++)
    {
      LbTime hint = lc_wait_estimate_reserve_retry (&estimate, &decision, i / 16.0, now);
      cr_assert (hint >= CALL_DEADLINE / 6 && hint < CALL_DEADLINE / 3, "hint %ld us", (long)hint);
      cr_assert_gt (hint, last);
      last = hint;
    }
  for (int i = 0; i < 4; i++)
    {
      LbTime hint = lc_wait_estimate_reserve_retry (&estimate, &decision, i / 4.0, now);
      cr_assert_geq (hint, CALL_DEADLINE);
      cr_assert_gt (hint, last);
      last = hint;
    }
  lc_wait_estimate_record_answer (&estimate);
  cr_assert_lt (lc_wait_estimate_reserve_retry (&estimate, &decision, 0.5, now), CALL_DEADLINE / 3);
  cr_assert_geq (lc_wait_estimate_reserve_retry (&estimate, &decision, 0.5, now), CALL_DEADLINE);
}

/* The endpoints of this instance don't answer, but those of others may. A caller that is refused
 * meanwhile must be told to return early enough to be served elsewhere by its deadline. */
Test (wait_estimate, caller_of_a_frozen_pool_is_sent_elsewhere)
{
  const LcWaitQuery query = make_query (100);
  LbTime now = 10 * LB_SEC;
  LcWaitEstimate estimate = make_estimate (10, 100 * LB_MSEC, now);
  LcWaitDecision decision = lc_wait_estimate_decide (&estimate, &query, now + 2 * LB_SEC);

  cr_assert_not (decision.is_in_time);
  LbTime hint = lc_wait_estimate_reserve_retry (&estimate, &decision, 0.5, now + 2 * LB_SEC);
  cr_assert_lt (hint, CALL_DEADLINE / 3);
  decision.time_left = 120 * LB_MSEC;
  hint = lc_wait_estimate_reserve_retry (&estimate, &decision, 0.5, now + 2 * LB_SEC);
  cr_assert_geq (hint, decision.time_left, "too little time is left to be served elsewhere");
}

static void
init_services (Fixture *f)
{
  const LcDispatchSettings settings = { .max_report_age = LB_TIME_NEVER, .seed = 1 };

  fixture_init (f, &settings, 1, 1);
}

static LcRequestSpec
make_call_spec (Fixture *f)
{
  LcRequestSpec spec = fixture_make_request_spec (f, LC_KIND_SERVICE);

  spec.deadline = f->now + CALL_DEADLINE;
  return spec;
}

/* Without an endpoint, the hint must leave a caller with a deadline time to return. */
Test (wait_estimate, call_without_endpoint_gets_a_useful_hint)
{
  Fixture f;

  init_services (&f);
  LcRequestSpec spec = make_call_spec (&f);
  lc_dispatch_mark_endpoint_leaving (f.dispatch, "s1", "", LC_LEAVING_ENDPOINT, f.now, &f.actions);
  lc_dispatch_mark_endpoint_leaving (f.dispatch, "s2", "", LC_LEAVING_ENDPOINT, f.now, &f.actions);
  cr_assert_not (fixture_submit_request (&f, &spec));
  cr_assert_eq (f.error.code, LB_ERROR_NO_ENDPOINT);
  cr_assert (f.retry_after > 0 && f.retry_after <= CALL_DEADLINE / 3, "hint %ld us",
             (long)f.retry_after);
  fixture_clear (&f);
}

/* All circuit breakers of this instance are open for longer than its callers can wait, but those of
 * other instances may be closed. The hint was the time until a breaker admits a trial, after which
 * the caller's deadline had passed. */
Test (wait_estimate, caller_is_sent_elsewhere_while_all_breakers_are_open)
{
  Fixture f;

  init_services (&f);
  LcRequestSpec spec = make_call_spec (&f);
  while (fixture_submit_request (&f, &spec))
    {
      LcAction send = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
      fixture_end_attempt (&f, spec.id, send.attempt, LC_END_FAILED);
      spec = make_call_spec (&f);
    }
  cr_assert_eq (f.error.code, LB_ERROR_NO_ENDPOINT);
  cr_assert (f.retry_after > 0 && f.retry_after < CALL_DEADLINE / 3, "hint %ld us",
             (long)f.retry_after);
  fixture_clear (&f);
}
