#include "dispatch-fixture.h"
#include "lc-retry.h"

#include <gsl/gsl_randist.h>

Test (budget, retries_are_a_share_of_successes)
{
  LcRetryBudgets *budgets = lc_retry_budgets_new (0.25);
  int n_retries = 0;

  while (lc_retry_budgets_allow_retry (budgets, "clerk"))
    lc_retry_budgets_charge_retry (budgets, "clerk");
  for (int i = 0; i < 100; i++)
    {
      lc_retry_budgets_credit_success (budgets, "clerk");
      if (!lc_retry_budgets_allow_retry (budgets, "clerk"))
        continue;
      lc_retry_budgets_charge_retry (budgets, "clerk");
      n_retries++;
    }
  cr_assert_eq (n_retries, 25);
  cr_assert (lc_retry_budgets_allow_retry (budgets, "pipeline"),
             "retries of one caller were charged to another");
  lc_retry_budgets_free (budgets);
}

/* Every call has a new caller name. The table of budgets must not grow without bound. */
Test (budget, table_is_bounded)
{
  LcRetryBudgets *budgets = lc_retry_budgets_new (1e-9);
  char name[32];

  while (lc_retry_budgets_allow_retry (budgets, "busy"))
    lc_retry_budgets_charge_retry (budgets, "busy");
  for (int i = 0; i < 100000; i++)
    {
      snprintf (name, sizeof name, "caller-%d", i);
      lc_retry_budgets_credit_success (budgets, name);
      lc_retry_budgets_credit_success (budgets, "busy");
    }
  cr_assert_leq (lc_retry_budgets_count_buckets (budgets), 16384);
  cr_assert_not (lc_retry_budgets_allow_retry (budgets, "busy"), "a recently used bucket was evicted");
  lc_retry_budgets_free (budgets);
}

/* Calls that fail at the same moment and are retried after a fixed delay would all return, and
 * fail, together again. */
Test (delay, is_spread_over_its_whole_range)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  int low = 0;

  for (int i = 0; i < 1000; i++)
    {
      LbTime delay = lc_retry_delay (random, 3);

      cr_assert (delay >= 0 && delay < 200 * LB_MSEC);
      low += delay < 100 * LB_MSEC;
    }
  cr_assert (low > 400 && low < 600);
  for (int i = 0; i < 1000; i++)
    cr_assert_lt (lc_retry_delay (random, 1000), 2 * LB_SEC);
  gsl_rng_free (random);
}

/* All calls of one caller break. It must not use up what another caller's successes have earned at
 * the engines: a broken call of the other must still be retried. */
Test (budget, is_separate_for_each_caller)
{
  const LcDispatchSettings settings
      = { .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .retry_budget = 0.25, .seed = 1 };
  Fixture f;
  LcAction action;
  int n_retries = 0;

  fixture_init (&f, &settings, 4, 10);
  for (int i = 0; i < 200; i++)
    {
      LcRequestSpec good = fixture_new_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &good));
      fixture_end_attempt (&f, good.id, 1, LC_END_COMPLETE);
    }
  for (int i = 0; i < 4; i++)
    {
      LcRequestSpec bad = fixture_new_spec (&f, LC_KIND_LIVE);

      LB_COPY (bad.caller, "bad");
      cr_assert (fixture_submit (&f, &bad));
      fixture_expect_action (&f, LC_ACTION_SEND, bad.id);
      for (uint32_t attempt = 1; attempt < 10; attempt++)
        {
          fixture_end_attempt (&f, bad.id, attempt, LC_END_BROKEN);
          fixture_tick_at (&f, f.now + 3 * LB_SEC);
          n_retries += fixture_take_action (&f, LC_ACTION_SEND, bad.id, &action);
        }
    }
  cr_assert (n_retries > 0 && n_retries <= 3, "%d retries, expected 1 to 3", n_retries);

  LcRequestSpec good = fixture_new_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &good));
  fixture_end_attempt (&f, good.id, 1, LC_END_BROKEN);
  fixture_drop_actions (&f);
  fixture_tick_at (&f, f.now + 3 * LB_SEC);
  fixture_expect_action (&f, LC_ACTION_SEND, good.id);
  fixture_clear (&f);
}

/* When all engines are slow to start, hedging every call would double the load at the worst
 * moment. */
Test (budget, hedges_spend_the_budget_too)
{
  const LcDispatchSettings settings = { .max_report_age = LB_TIME_NEVER,
                                        .queue_limit = 100,
                                        .retry_budget = 0.25,
                                        .hedge_after = LB_SEC,
                                        .seed = 1 };
  Fixture f;

  fixture_init (&f, &settings, 8, 10);
  for (int i = 0; i < 20; i++)
    {
      LcRequestSpec spec = fixture_new_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &spec));
    }
  fixture_drop_actions (&f);
  fixture_tick_at (&f, f.now + 10 * LB_SEC);
  cr_assert_eq (f.actions.length, 3, "%zu hedges, expected 3", f.actions.length);
  fixture_clear (&f);
}

/* Simulation in virtual time: one endpoint, and callers with a steady rate of calls. */

#define CALLS_PER_SECOND 200
#define SERVICE_TIME (50 * LB_MSEC)
#define OUTAGE_BEGINS (20 * LB_SEC)
#define OUTAGE_ENDS (30 * LB_SEC)
#define RUN_ENDS (60 * LB_SEC)
#define MAX_PENDING 4096

typedef enum
{
  OUTAGE_REFUSES, /* refuses connections */
  OUTAGE_BREAKS,  /* accepts the call, then breaks the connection */
  OUTAGE_SILENT,  /* accepts the call and never answers; the node closes after 3 s */
  OUTAGE_PARTIAL  /* breaks two calls of five: too few to open a breaker */
} OutageKind;

typedef struct
{
  LbTime at;
  LcRequestId request;
  uint32_t attempt;
  LcAttemptEnd end;
} PendingEnd;

typedef struct
{
  Fixture f;
  OutageKind kind;
  gsl_rng *random;
  PendingEnd pending[MAX_PENDING];
  size_t n_pending;
  size_t n_accepted;                /* during the outage */
  int sent[RUN_ENDS / LB_SEC];      /* attempts that reached the endpoint, by second */
  int submitted[RUN_ENDS / LB_SEC]; /* calls submitted, by second */
  int answered[RUN_ENDS / LB_SEC];
} StormSimulation;

static PendingEnd
pending_end_of (StormSimulation *storm, const LcAction *send)
{
  LbTime now = storm->f.now;
  bool is_out = now >= OUTAGE_BEGINS && now < OUTAGE_ENDS;
  PendingEnd pending = { .at = now + SERVICE_TIME,
                         .request = send->request,
                         .attempt = send->attempt,
                         .end = LC_END_COMPLETE };

  if (!is_out || (storm->kind == OUTAGE_PARTIAL && storm->n_accepted++ % 5 >= 2))
    return pending;
  pending.end = storm->kind == OUTAGE_REFUSES ? LC_END_NOT_SENT : LC_END_BROKEN;
  if (storm->kind == OUTAGE_SILENT)
    pending.at = now + 3 * LB_SEC;
  return pending;
}

static void
handle_actions (StormSimulation *storm)
{
  LbLink *link = NULL;

  while ((link = lb_list_pop (&storm->f.actions)))
    {
      LcAction *action = LB_CONTAINER (link, LcAction, link);
      LbTime second = storm->f.now / LB_SEC;

      if (action->type == LC_ACTION_SEND)
        {
          cr_assert_lt (storm->n_pending, MAX_PENDING);
          storm->pending[storm->n_pending++] = pending_end_of (storm, action);
          storm->sent[second]++;
        }
      storm->answered[second] += action->type == LC_ACTION_FINISH && action->error == LB_OK;
      lc_action_free (action);
    }
}

static void
end_due (StormSimulation *storm)
{
  for (size_t i = 0; i < storm->n_pending;)
    {
      PendingEnd pending = storm->pending[i];

      if (pending.at > storm->f.now)
        {
          i++;
          continue;
        }
      storm->pending[i] = storm->pending[--storm->n_pending];
      if (pending.end == LC_END_COMPLETE)
        fixture_deliver_piece (&storm->f, pending.request, pending.attempt, 0, 10, true);
      fixture_end_attempt (&storm->f, pending.request, pending.attempt, pending.end);
      handle_actions (storm);
    }
}

static void
submit_calls (StormSimulation *storm)
{
  unsigned n = gsl_ran_poisson (storm->random, CALLS_PER_SECOND / 1000.0);

  for (unsigned i = 0; i < n; i++)
    {
      LcRequestSpec spec = fixture_new_spec (&storm->f, LC_KIND_LIVE);

      snprintf (spec.caller, sizeof spec.caller, "shop-%u",
                (unsigned)gsl_rng_uniform_int (storm->random, 20));
      spec.deadline = storm->f.now + 2 * LB_SEC;
      storm->submitted[storm->f.now / LB_SEC]++;
      fixture_submit (&storm->f, &spec);
      handle_actions (storm);
    }
}

static StormSimulation *
run_storm (OutageKind kind)
{
  LcDispatchSettings settings
      = { .max_report_age = LB_TIME_NEVER, .queue_limit = 4096, .retry_budget = 0.1, .seed = 1 };
  StormSimulation *storm = LB_NEW (StormSimulation);

  storm->kind = kind;
  storm->random = gsl_rng_alloc (gsl_rng_taus2);
  fixture_init (&storm->f, &settings, 1, 32);
  for (LbTime now = LB_SEC; now < RUN_ENDS; now += LB_MSEC)
    {
      storm->f.now = now;
      end_due (storm);
      submit_calls (storm);
      if (now >= lc_dispatch_next_tick (storm->f.dispatch))
        fixture_tick_at (&storm->f, now);
      handle_actions (storm);
    }
  return storm;
}

static void
free_storm (StormSimulation *storm)
{
  fixture_clear (&storm->f);
  gsl_rng_free (storm->random);
  free (storm);
}

static int
sum (const int *by_second, LbTime from, LbTime to)
{
  int total = 0;

  for (LbTime second = from / LB_SEC; second < to / LB_SEC; second++)
    total += by_second[second];
  return total;
}

/* Checks that from the outage on the endpoint's load stays near the callers' own rate in every
 * second, and that all calls are answered again at the end. */
static void
expect_no_storm (OutageKind kind)
{
  StormSimulation *storm = run_storm (kind);
  LbTime last = RUN_ENDS - 20 * LB_SEC;

  for (LbTime at = OUTAGE_BEGINS; at < RUN_ENDS; at += LB_SEC)
    {
      int sent = sum (storm->sent, at, at + LB_SEC);

      cr_expect_leq (sent, CALLS_PER_SECOND * 1.2, "%d attempts sent in second %d", sent,
                     (int)(at / LB_SEC));
    }
  cr_expect_geq (sum (storm->answered, last, RUN_ENDS),
                 sum (storm->submitted, last, RUN_ENDS) * 0.99);
  free_storm (storm);
}

/* An endpoint is down for ten seconds while callers continue at their rate. If every failed call
 * were retried without a budget, the endpoint would return to several times its usual load, fail
 * under it and never recover. */
Test (storm, connections_refused)
{
  expect_no_storm (OUTAGE_REFUSES);
}

Test (storm, calls_break)
{
  expect_no_storm (OUTAGE_BREAKS);
}

Test (storm, calls_are_never_answered)
{
  expect_no_storm (OUTAGE_SILENT);
}

/* The endpoint fails only two calls of five, which opens no breaker: only the budgets limit the
 * load. */
Test (storm, some_calls_break)
{
  expect_no_storm (OUTAGE_PARTIAL);
}

/* An engine that loads weights refuses requests and looks idle, so a long sample was sent to it
 * again every 50 to 800 ms and started a second late although another engine had capacity. It must
 * go to the other engine at once, even with an empty budget. */
Test (retry, a_sample_that_is_refused_goes_to_another_engine_at_once)
{
  const LcDispatchSettings no_budget = {
    .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .default_deadline = 30 * LB_SEC, .seed = 1
  };
  Fixture f;

  fixture_init (&f, &no_budget, 2, 4);

  LcRequestSpec spec = fixture_new_spec (&f, LC_KIND_SAMPLE);

  cr_assert (fixture_submit (&f, &spec));
  LcAction first = fixture_expect_action (&f, LC_ACTION_SEND, spec.id);
  fixture_end_attempt (&f, spec.id, 1, LC_END_REFUSED);
  LcAction second = fixture_expect_action (&f, LC_ACTION_SEND, spec.id);
  cr_assert_str_neq (second.endpoint, first.endpoint);
  fixture_clear (&f);
}
