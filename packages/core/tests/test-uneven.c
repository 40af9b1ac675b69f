#include "uneven-fixture.h"

#define N_SEEDS 10

static const double uneven_speeds[] = { 0.7, 0.7, 1.7 };
static const double equal_speeds[] = { 1, 1, 1 };

static void
set_condition_switch (bool is_on)
{
  lb_switch_enable_all_optimisations ();
  if (!is_on)
    lb_switch_disable_optimisation ("condition");
}

/* Returns the mean results over the seeds. The engine e1 is slow for SLOW_PHASE_DURATION if
 * has_slow_phase is set. */
static ReplayResult
run_replays (const double speeds[3], double batch_cost, bool has_slow_phase, bool is_on)
{
  static Replay replay;
  ReplayResult sum = { 0 };

  set_condition_switch (is_on);
  for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
    {
      replay_init (&replay, speeds, 3, batch_cost, seed);
      replay.slow_from = has_slow_phase ? SLOW_PHASE_START : 0;

      ReplayResult result = replay_run (&replay);

      sum.last_text += result.last_text / N_SEEDS;
      sum.most_groups += result.most_groups / N_SEEDS;
      sum.n_sent_while_slow += result.n_sent_while_slow;
      replay_clear (&replay);
    }
  set_condition_switch (true);
  return sum;
}

/* Expects that the last text and 90% of the groups are complete within max_part of the time that
 * they take if the switch is off, with and without a cost of full batches. */
static void
expect_step_times (const double speeds[3], double max_part)
{
  for (int batch_cost = 0; batch_cost <= 1; batch_cost++)
    {
      ReplayResult off = run_replays (speeds, batch_cost, false, false);
      ReplayResult on = run_replays (speeds, batch_cost, false, true);

      cr_assert_lt (on.last_text, max_part * off.last_text, "last text after %.2f s, %.2f s if off",
                    on.last_text, off.last_text);
      cr_assert_lt (on.most_groups, max_part * off.most_groups,
                    "groups after %.2f s, %.2f s if off", on.most_groups, off.most_groups);
    }
}

/* Engines differ lastingly by more than a factor of two, and each is also slow for moments. If the
 * pace of the last second decides, long texts are sent to slow engines and the step waits for
 * them. */
Test (uneven, steps_end_earlier_on_uneven_engines)
{
  expect_step_times (uneven_speeds, 0.9);
}

/* Engines that are equally fast must be used as before: texts must not wait for one of them. */
Test (uneven, steps_end_as_before_on_equal_engines)
{
  expect_step_times (equal_speeds, 1.02);
}

/* A slowdown of several seconds must count although short ones do not: the engine must not get more
 * texts than if the pace of the last second decides. */
Test (uneven, engine_that_is_slow_for_seconds_is_avoided)
{
  ReplayResult off = run_replays (equal_speeds, 0, true, false);
  ReplayResult on = run_replays (equal_speeds, 0, true, true);

  cr_assert_leq (on.n_sent_while_slow, off.n_sent_while_slow, "%d texts sent, %d if off",
                 on.n_sent_while_slow, off.n_sent_while_slow);
  cr_assert_lt (on.most_groups, 1.02 * off.most_groups, "groups after %.2f s, %.2f s if off",
                on.most_groups, off.most_groups);
}

/* --- plain services --- */

#define N_SERVICES 12
#define SERVICE_CALLS 3000
#define SERVICE_SECONDS 0.1        /* median duration of a call */
#define SERVICE_SPREAD 0.8         /* standard deviation of the logarithm of durations */
#define MEAN_SERVICE_SECONDS 0.169 /* with SERVICE_SPREAD and the mean slowdown */
#define SERVICE_TICK LB_MSEC
#define N_SERVICE_SEEDS 3

typedef struct
{
  double work_left; /* seconds at the usual speed */
  LbTime submitted;
  uint32_t attempt;
  int endpoint; /* index of the endpoint; -1: waiting or complete */
} ServiceCall;

typedef struct
{
  double mean;
  double p99;
} ServiceResult;

typedef struct
{
  Fixture f;
  gsl_rng *rng;
  const double *speeds; /* speeds of three endpoints, repeated for the others */
  bool reports_work_time;
  bool is_slow[N_SERVICES][REPLAY_MAX_INTERVALS];
  ServiceCall calls[SERVICE_CALLS + 1]; /* by request id */
  double durations[SERVICE_CALLS];
  size_t n_complete;
} ServiceReplay;

static double
get_service_slowdown (const ServiceReplay *replay, int endpoint)
{
  LbTime interval = replay->f.now / NOISE_INTERVAL % REPLAY_MAX_INTERVALS;

  return replay->is_slow[endpoint][interval] ? NOISE_SLOWDOWN : 1;
}

static void
take_service_actions (ServiceReplay *replay)
{
  LbLink *link = NULL;

  while ((link = lb_list_pop (&replay->f.actions)))
    {
      LcAction *action = LB_CONTAINER (link, LcAction, link);

      if (action->type == LC_ACTION_SEND)
        {
          replay->calls[action->request].endpoint = atoi (action->endpoint + 1) - 1;
          replay->calls[action->request].attempt = action->attempt;
        }
      lc_action_free (action);
    }
}

static void
submit_service_call (ServiceReplay *replay)
{
  Fixture *f = &replay->f;
  LcRequestSpec spec = fixture_make_request_spec (f, LC_KIND_SERVICE);

  spec.expected_tokens = 1;
  spec.delivery = LC_DELIVER_BUFFERED;
  replay->calls[spec.id]
      = (ServiceCall){ .work_left
                       = SERVICE_SECONDS * exp (gsl_ran_gaussian (replay->rng, SERVICE_SPREAD)),
                       .submitted = f->now,
                       .endpoint = -1 };
  cr_assert (fixture_submit_request (f, &spec));
  take_service_actions (replay);
}

static void
complete_service_call (ServiceReplay *replay, LcRequestId id)
{
  Fixture *f = &replay->f;
  ServiceCall *call = &replay->calls[id];
  char name[16];
  int64_t n_running = 0;

  for (LcRequestId other = 1; other <= f->last_id; other++)
    n_running += replay->calls[other].endpoint == call->endpoint;
  snprintf (name, sizeof name, "s%d", call->endpoint + 1);

  LcLoadReport report = { .version = 1, .running = n_running, .measured_at = f->now };

  if (replay->reports_work_time)
    report.work_time_percent = (int64_t)(100 * get_service_slowdown (replay, call->endpoint));
  call->endpoint = -1;
  replay->durations[replay->n_complete++] = (double)(f->now - call->submitted) / LB_SEC;
  lc_dispatch_record_load_report (f->dispatch, name, &report, f->now, &f->actions);
  fixture_end_attempt (f, id, call->attempt, LC_END_COMPLETE);
  take_service_actions (replay);
}

static int
compare_durations (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static ServiceResult
run_service_replay (ServiceReplay *replay, double load, uint64_t seed)
{
  static const LcDispatchSettings settings = { .data_centre = "hall-a", .queue_limit = 1000 };
  Fixture *f = &replay->f;
  double calls_per_second = load * N_SERVICES * REPLAY_SLOTS / MEAN_SERVICE_SECONDS;
  ServiceResult result = { 0 };

  fixture_init (f, &settings, 1, REPLAY_SLOTS);
  for (int i = 3; i <= N_SERVICES; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "s%d", i);
      fixture_add_endpoint (f, name, LC_ENDPOINT_SERVICE, "lookup", REPLAY_SLOTS);
    }
  fixture_apply_endpoint_set (f);
  replay->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (replay->rng, seed);
  for (int i = 0; i < N_SERVICES; i++)
    for (int j = 0; j < REPLAY_MAX_INTERVALS; j++)
      replay->is_slow[i][j] = gsl_rng_uniform (replay->rng) < NOISE_SHARE;
  while (replay->n_complete < SERVICE_CALLS)
    {
      unsigned n_new
          = gsl_ran_poisson (replay->rng, calls_per_second * SERVICE_TICK / (double)LB_SEC);

      fixture_tick_dispatch_at (f, f->now + SERVICE_TICK);
      take_service_actions (replay);
      for (; n_new > 0 && f->last_id < SERVICE_CALLS; n_new--)
        submit_service_call (replay);
      for (LcRequestId id = 1; id <= f->last_id; id++)
        {
          ServiceCall *call = &replay->calls[id];

          if (call->endpoint < 0)
            continue;
          call->work_left -= (double)SERVICE_TICK / LB_SEC * replay->speeds[call->endpoint % 3]
                             / get_service_slowdown (replay, call->endpoint);
          if (call->work_left <= 0)
            complete_service_call (replay, id);
        }
    }
  qsort (replay->durations, SERVICE_CALLS, sizeof (double), compare_durations);
  for (size_t i = 0; i < SERVICE_CALLS; i++)
    result.mean += replay->durations[i] / SERVICE_CALLS;
  result.p99 = replay->durations[SERVICE_CALLS * 99 / 100];
  gsl_rng_free (replay->rng);
  fixture_clear (f);
  return result;
}

static ServiceResult
run_service_replays (const double speeds[3], bool reports_work_time, double load, bool is_on)
{
  static ServiceReplay replay;
  ServiceResult sum = { 0 };

  set_condition_switch (is_on);
  for (uint64_t seed = 1; seed <= N_SERVICE_SEEDS; seed++)
    {
      memset (&replay, 0, sizeof replay);
      replay.speeds = speeds;
      replay.reports_work_time = reports_work_time;

      ServiceResult result = run_service_replay (&replay, load, seed);

      sum.mean += result.mean / N_SERVICE_SEEDS;
      sum.p99 += result.p99 / N_SERVICE_SEEDS;
    }
  set_condition_switch (true);
  return sum;
}

/* Compares the durations of calls with those if the switch is off. max_mean: bound on the mean, as
 * a part of the mean if off. */
static void
expect_service_times (const double speeds[3], bool reports_work_time, double max_mean)
{
  static const double loads[] = { 0.25, 0.5, 0.75 };

  for (size_t i = 0; i < sizeof loads / sizeof *loads; i++)
    {
      ServiceResult off = run_service_replays (speeds, reports_work_time, loads[i], false);
      ServiceResult on = run_service_replays (speeds, reports_work_time, loads[i], true);

      cr_assert_lt (on.mean, max_mean * off.mean, "load %.2f: mean %.4f s, %.4f s if off", loads[i],
                    on.mean, off.mean);
      cr_assert_lt (on.p99, 1.02 * off.p99, "load %.2f: p99 %.4f s, %.4f s if off", loads[i],
                    on.p99, off.p99);
    }
}

/* Calls must prefer endpoints that are lastingly fast, without a longer tail: an endpoint must not
 * look fast because of a few short calls. */
Test (uneven, plain_services_of_different_speed)
{
  expect_service_times (uneven_speeds, false, 0.98);
}

/* Endpoints that report that their work takes longer at the moment must get fewer calls. */
Test (uneven, plain_services_that_report_their_work_time)
{
  expect_service_times (equal_speeds, true, 1);
}

/* Durations of calls vary widely, which must not make equally fast endpoints look different. */
Test (uneven, plain_services_of_equal_speed)
{
  expect_service_times (equal_speeds, false, 1.02);
}

/* --- failures --- */

/* Creates the engines e1, fast, e2, slow, and if n_engines is 3, e3, fast. Each has one slot. */
static void
init_fast_and_slow_engines (Fixture *f, int n_engines)
{
  static const LcDispatchSettings settings = { .queue_limit = 100 };
  LcEndpoints *endpoints = NULL;

  fixture_init (f, &settings, n_engines, 1);
  f->pool.live_reserve = 0;
  fixture_apply_endpoint_set (f);
  endpoints = lc_dispatch_get_endpoints (f->dispatch);
  for (LbTime at = f->now; at < f->now + 3 * LB_SEC; at += 20 * LB_MSEC)
    {
      lc_endpoint_tokens_received (lc_endpoints_find (endpoints, "e1"), 1, 20 * LB_MSEC, at);
      if (n_engines == 3)
        lc_endpoint_tokens_received (lc_endpoints_find (endpoints, "e3"), 1, 20 * LB_MSEC, at);
      if (at % (60 * LB_MSEC) == 40 * LB_MSEC)
        lc_endpoint_tokens_received (lc_endpoints_find (endpoints, "e2"), 1, 60 * LB_MSEC, at);
    }
  f->now += 3 * LB_SEC;

  LcLoadReport idle = { .version = 1, .measured_at = f->now };

  lc_dispatch_record_load_report (f->dispatch, "e1", &idle, f->now, &f->actions);
  lc_dispatch_record_load_report (f->dispatch, "e2", &idle, f->now, &f->actions);
  if (n_engines == 3)
    lc_dispatch_record_load_report (f->dispatch, "e3", &idle, f->now, &f->actions);
}

static LcRequestId
submit_text (Fixture *f, int64_t tokens)
{
  LcRequestSpec spec = fixture_make_request_spec (f, LC_KIND_SAMPLE);

  spec.expected_tokens = tokens;
  spec.soft_deadline = f->now + 7 * LB_SEC;
  spec.latest_start = spec.soft_deadline - tokens * 20 * LB_MSEC;
  cr_assert (fixture_submit_request (f, &spec));
  return spec.id;
}

/* A text that waits for a fast engine must not keep shorter texts from a free slow engine. */
Test (uneven, short_text_uses_the_slow_engine_while_a_long_one_waits)
{
  Fixture f;
  LcAction action;

  init_fast_and_slow_engines (&f, 2);

  LcRequestId first = submit_text (&f, 100);
  LcRequestId waiting = submit_text (&f, 200);
  LcRequestId short_text = submit_text (&f, 10);

  cr_assert_str_eq (fixture_expect_action_of_request (&f, LC_ACTION_SEND, first).endpoint, "e1");
  cr_assert_str_eq (fixture_expect_action_of_request (&f, LC_ACTION_SEND, short_text).endpoint,
                    "e2");
  fixture_deliver_piece (&f, first, 1, 0, 100, true);
  fixture_end_attempt (&f, first, 1, LC_END_COMPLETE);
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, waiting, &action));
  cr_assert_str_eq (action.endpoint, "e1");
  fixture_clear (&f);
}

/* If the fast engine leaves, loads weights or stops to respond, a text that waits for it must use
 * the slow engine at once. */
Test (uneven, text_stops_waiting_for_a_fast_engine_that_is_gone)
{
  for (int failure = 0; failure < 3; failure++)
    {
      Fixture f;

      init_fast_and_slow_engines (&f, 2);

      LcEndpoints *endpoints = lc_dispatch_get_endpoints (f.dispatch);
      LcRequestId first = submit_text (&f, 100);
      LcRequestId waiting = submit_text (&f, 200);
      LcAction action;

      fixture_expect_action_of_request (&f, LC_ACTION_SEND, first);
      cr_assert_not (fixture_take_action_of_request (&f, LC_ACTION_SEND, waiting, &action));
      if (failure == 0)
        lc_endpoints_mark_leaving (endpoints, "e1", "", LC_LEAVING_ENDPOINT, f.now);
      else if (failure == 1)
        lc_endpoints_set_weight_swap_state (endpoints, "e1", true, f.now + LB_SEC, f.now);
      else
        f.now += 1200 * LB_MSEC;
      fixture_tick_dispatch_at (&f, f.now + 30 * LB_MSEC);
      cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, waiting, &action),
                 "failure %d: the text still waits", failure);
      cr_assert_str_eq (action.endpoint, "e2");
      fixture_clear (&f);
    }
}

/* A text that is stuck must be hedged at once, not when a fast engine has a free slot. */
Test (uneven, hedge_does_not_wait_for_a_faster_engine)
{
  LcEndpoints *endpoints = NULL;
  Fixture f;
  LcAction action;

  init_fast_and_slow_engines (&f, 3);
  endpoints = lc_dispatch_get_endpoints (f.dispatch);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_SAMPLE);

  spec.expected_tokens = 200;
  spec.hedge_after = 500 * LB_MSEC;
  cr_assert (fixture_submit_request (&f, &spec));
  action = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
  cr_assert_str_neq (action.endpoint, "e2");
  action = fixture_expect_action_of_request (&f, LC_ACTION_SEND, submit_text (&f, 200));
  cr_assert_str_neq (action.endpoint, "e2");
  f.now += 500 * LB_MSEC;
  lc_endpoint_tokens_received (lc_endpoints_find (endpoints, "e1"), 1, 20 * LB_MSEC, f.now);
  lc_endpoint_tokens_received (lc_endpoints_find (endpoints, "e3"), 1, 20 * LB_MSEC, f.now);
  fixture_tick_dispatch_at (&f, f.now + 20 * LB_MSEC);
  action = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
  cr_assert_str_eq (action.endpoint, "e2");
  fixture_clear (&f);
}
