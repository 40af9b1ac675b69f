#include "dispatch-fixture.h"
#include "lc-retry.h"

#include <gsl/gsl_randist.h>

Test (budget, retries_are_a_share_of_successes)
{
  LcRetryBudgets *budgets = lc_retry_budgets_new (0.25);
  int n_retries = 0;

  while (lc_retry_budgets_allow (budgets, "clerk"))
    lc_retry_budgets_spend (budgets, "clerk");
  for (int i = 0; i < 100; i++)
    {
      lc_retry_budgets_earn (budgets, "clerk");
      if (!lc_retry_budgets_allow (budgets, "clerk"))
        continue;
      lc_retry_budgets_spend (budgets, "clerk");
      n_retries++;
    }
  cr_assert_eq (n_retries, 25);
  cr_assert (lc_retry_budgets_allow (budgets, "pipeline"), "one caller's failures cost another");
  lc_retry_budgets_free (budgets);
}

/* Every call brings a new caller name. The table of budgets must not grow with them for ever. */
Test (budget, table_is_bounded)
{
  LcRetryBudgets *budgets = lc_retry_budgets_new (1e-9);
  char name[32];

  while (lc_retry_budgets_allow (budgets, "busy"))
    lc_retry_budgets_spend (budgets, "busy");
  for (int i = 0; i < 100000; i++)
    {
      snprintf (name, sizeof name, "caller-%d", i);
      lc_retry_budgets_earn (budgets, name);
      lc_retry_budgets_earn (budgets, "busy");
    }
  cr_assert_leq (lc_retry_budgets_count (budgets), 16384);
  cr_assert_not (lc_retry_budgets_allow (budgets, "busy"), "the one in use was forgotten");
  lc_retry_budgets_free (budgets);
}

/* A hundred calls fail in the same moment. With a fixed delay all hundred return in one moment too
 * and fail again together. */
Test (delay, spreads_over_its_whole_range)
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

/* One caller's calls break every time while another's go well. The first may not use up what the
 * second has earned at the engines: when one of the good calls breaks it must be tried again. */
Test (budget, belongs_to_the_caller)
{
  const LcDispatchSettings settings
      = { .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .retry_budget = 0.25, .seed = 1 };
  Fixture f;
  LcAction action;
  int n_retries = 0;

  fixture_init (&f, &settings, 4, 10);
  for (int i = 0; i < 200; i++)
    {
      LcRequestSpec good = fixture_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &good));
      fixture_end (&f, good.id, 1, LC_END_COMPLETE);
    }
  for (int i = 0; i < 4; i++)
    {
      LcRequestSpec bad = fixture_spec (&f, LC_KIND_LIVE);

      LB_COPY (bad.caller, "bad");
      cr_assert (fixture_submit (&f, &bad));
      fixture_expect (&f, LC_ACTION_SEND, bad.id);
      for (uint32_t attempt = 1; attempt < 10; attempt++)
        {
          fixture_end (&f, bad.id, attempt, LC_END_BROKEN);
          fixture_at (&f, f.now + 3 * LB_SEC);
          n_retries += fixture_take (&f, LC_ACTION_SEND, bad.id, &action);
        }
    }
  cr_assert (n_retries > 0 && n_retries <= 3, "%d retries", n_retries);

  LcRequestSpec good = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &good));
  fixture_end (&f, good.id, 1, LC_END_BROKEN);
  fixture_drop_actions (&f);
  fixture_at (&f, f.now + 3 * LB_SEC);
  fixture_expect (&f, LC_ACTION_SEND, good.id);
  fixture_clear (&f);
}

/* All engines are slow to begin, and each call is tried at a second one too: the load doubles just
 * when the engines can bear it least. */
Test (budget, hedges_spend_it_too)
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
      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &spec));
    }
  fixture_drop_actions (&f);
  fixture_at (&f, f.now + 10 * LB_SEC);
  cr_assert_eq (f.actions.length, 3, "%zu hedges", f.actions.length);
  fixture_clear (&f);
}

/* One endpoint in virtual time and callers with a steady stream of calls. */

#define CALLS_PER_SECOND 200
#define SERVICE_TIME (50 * LB_MSEC)
#define OUTAGE_BEGINS (20 * LB_SEC)
#define OUTAGE_ENDS (30 * LB_SEC)
#define RUN_ENDS (60 * LB_SEC)
#define MAX_PENDING 4096

typedef enum
{
  OUTAGE_REFUSES, /* connections are refused */
  OUTAGE_BREAKS,  /* takes the call and breaks after a while */
  OUTAGE_SILENT,  /* takes the call and says nothing; the node closes after 3 s */
  OUTAGE_PARTIAL  /* breaks two of five in turn: too few for a breaker */
} OutageKind;

typedef struct
{
  LbTime at;
  LcRequestId request;
  uint32_t attempt;
  LcAttemptEnd end;
} Pending;

typedef struct
{
  Fixture f;
  OutageKind kind;
  gsl_rng *random;
  Pending pending[MAX_PENDING];
  size_t n_pending;
  size_t n_taken;                   /* in the outage */
  int sent[RUN_ENDS / LB_SEC];      /* attempts that the endpoint saw, by second */
  int submitted[RUN_ENDS / LB_SEC]; /* calls of the callers, by second */
  int answered[RUN_ENDS / LB_SEC];
} Storm;

static Pending
outcome (Storm *storm, const LcAction *send)
{
  LbTime now = storm->f.now;
  bool out = now >= OUTAGE_BEGINS && now < OUTAGE_ENDS;
  Pending pending = { .at = now + SERVICE_TIME,
                      .request = send->request,
                      .attempt = send->attempt,
                      .end = LC_END_COMPLETE };

  if (!out || (storm->kind == OUTAGE_PARTIAL && storm->n_taken++ % 5 >= 2))
    return pending;
  pending.end = storm->kind == OUTAGE_REFUSES ? LC_END_NOT_SENT : LC_END_BROKEN;
  if (storm->kind == OUTAGE_SILENT)
    pending.at = now + 3 * LB_SEC;
  return pending;
}

static void
carry_out (Storm *storm)
{
  LbLink *link = NULL;

  while ((link = lb_list_pop (&storm->f.actions)))
    {
      LcAction *action = LB_CONTAINER (link, LcAction, link);
      LbTime second = storm->f.now / LB_SEC;

      if (action->type == LC_ACTION_SEND)
        {
          cr_assert_lt (storm->n_pending, MAX_PENDING);
          storm->pending[storm->n_pending++] = outcome (storm, action);
          storm->sent[second]++;
        }
      storm->answered[second] += action->type == LC_ACTION_FINISH && action->error == LB_OK;
      lc_action_free (action);
    }
}

static void
end_due (Storm *storm)
{
  for (size_t i = 0; i < storm->n_pending;)
    {
      Pending pending = storm->pending[i];

      if (pending.at > storm->f.now)
        {
          i++;
          continue;
        }
      storm->pending[i] = storm->pending[--storm->n_pending];
      if (pending.end == LC_END_COMPLETE)
        fixture_piece (&storm->f, pending.request, pending.attempt, 0, 10, true);
      fixture_end (&storm->f, pending.request, pending.attempt, pending.end);
      carry_out (storm);
    }
}

static void
submit_calls (Storm *storm)
{
  unsigned n = gsl_ran_poisson (storm->random, CALLS_PER_SECOND / 1000.0);

  for (unsigned i = 0; i < n; i++)
    {
      LcRequestSpec spec = fixture_spec (&storm->f, LC_KIND_LIVE);

      snprintf (spec.caller, sizeof spec.caller, "shop-%u",
                (unsigned)gsl_rng_uniform_int (storm->random, 20));
      spec.deadline = storm->f.now + 2 * LB_SEC;
      storm->submitted[storm->f.now / LB_SEC]++;
      fixture_submit (&storm->f, &spec);
      carry_out (storm);
    }
}

static Storm *
run_storm (OutageKind kind)
{
  LcDispatchSettings settings
      = { .max_report_age = LB_TIME_NEVER, .queue_limit = 4096, .retry_budget = 0.1, .seed = 1 };
  Storm *storm = LB_NEW (Storm);

  storm->kind = kind;
  storm->random = gsl_rng_alloc (gsl_rng_taus2);
  fixture_init (&storm->f, &settings, 1, 32);
  for (LbTime now = LB_SEC; now < RUN_ENDS; now += LB_MSEC)
    {
      storm->f.now = now;
      end_due (storm);
      submit_calls (storm);
      if (now >= lc_dispatch_next_tick (storm->f.dispatch))
        fixture_at (&storm->f, now);
      carry_out (storm);
    }
  return storm;
}

static void
free_storm (Storm *storm)
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

/* Holds the load in every second from the outage on against the callers' own, and looks that all is
 * answered again in the end. */
static void
expect_no_storm (OutageKind kind)
{
  Storm *storm = run_storm (kind);
  LbTime last = RUN_ENDS - 20 * LB_SEC;

  for (LbTime at = OUTAGE_BEGINS; at < RUN_ENDS; at += LB_SEC)
    {
      int sent = sum (storm->sent, at, at + LB_SEC);

      cr_expect_leq (sent, CALLS_PER_SECOND * 1.2, "%d sent in second %d", sent,
                     (int)(at / LB_SEC));
    }
  cr_expect_geq (sum (storm->answered, last, RUN_ENDS),
                 sum (storm->submitted, last, RUN_ENDS) * 0.99);
  free_storm (storm);
}

/* An endpoint is away for ten seconds. Callers go on at their pace. If every failed call were tried
 * again as often as it could be, the endpoint would come back to several times its usual load, fail
 * under it and never recover. */
Test (storm, connections_refused)
{
  expect_no_storm (OUTAGE_REFUSES);
}

Test (storm, calls_break)
{
  expect_no_storm (OUTAGE_BREAKS);
}

Test (storm, calls_are_swallowed)
{
  expect_no_storm (OUTAGE_SILENT);
}

/* The same when the endpoint fails only two calls of five, which opens no breaker: here the budgets
 * alone hold the load down. */
Test (storm, some_calls_break)
{
  expect_no_storm (OUTAGE_PARTIAL);
}

/* An engine loads weights and refuses what comes. It looks idle, so a long text was sent there
 * again each 50 to 800 ms, and began a second late although another engine had room. It goes there
 * at once, and a budget without anything left does not stop it. */
Test (retry, a_sample_that_is_refused_goes_to_another_engine_at_once)
{
  const LcDispatchSettings no_budget = {
    .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .default_deadline = 30 * LB_SEC, .seed = 1
  };
  Fixture f;

  fixture_init (&f, &no_budget, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_SAMPLE);

  cr_assert (fixture_submit (&f, &spec));
  LcAction first = fixture_expect (&f, LC_ACTION_SEND, spec.id);
  fixture_end (&f, spec.id, 1, LC_END_REFUSED);
  LcAction second = fixture_expect (&f, LC_ACTION_SEND, spec.id);
  cr_assert_str_neq (second.endpoint, first.endpoint);
  fixture_clear (&f);
}
