#include "dispatch-fixture.h"
#include "lc-dispatch-private.h"

/* Each promise has a last check at the point where it is kept. These tests put a fault before the
 * check by hand and look that it refuses that one action and that all else goes on. */

static const LcDispatchSettings settings
    = { .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .retry_budget = 0.2, .seed = 1 };

static LcRequest *
find (Fixture *f, LcRequestId id)
{
  LcRequest *request = NULL;

  HASH_FIND (hh, f->dispatch->requests, &id, sizeof id, request);
  return request;
}

/* One failure was counted; forgets it, since the fixture allows none. */
static void
expect_one_failure (Fixture *f)
{
  cr_assert_eq (lc_dispatch_invariant_failures (f->dispatch), 1);
  f->dispatch->invariant_failures = 0;
}

static LcRouteDecision
choose_any (LcRouter *router, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  (void)router;
  (void)now;
  return (LcRouteDecision){
    .endpoint = lc_endpoints_find (endpoints, query->kind == LC_KIND_SERVICE ? "s1" : "e1"),
    .reason = "careless"
  };
}

static const LcRouterClass careless = { .name = "careless", .choose = choose_any };

/* A routing policy has a fault and names an engine that leaves. The last look before a request goes
 * out catches it: that one request fails, it is counted, and the others go on. */
Test (invariant, faulty_policy_is_caught)
{
  Fixture f;
  LcRouter router = { .klass = &careless };

  fixture_init (&f, &settings, 2, 4);
  lc_dispatch_mark_leaving (f.dispatch, "e1", "", LC_LEAVING_PLATFORM, f.now, &f.actions);

  LcRouter *sound = f.dispatch->router;
  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);
  LcRequestSpec other = fixture_spec (&f, LC_KIND_SERVICE);

  f.dispatch->router = &router;
  cr_assert (fixture_submit (&f, &spec));
  cr_assert_eq (f.actions.length, 1);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_ERROR_INVARIANT);
  expect_one_failure (&f);
  cr_assert (fixture_submit (&f, &other));
  fixture_expect (&f, LC_ACTION_SEND, other.id);
  f.dispatch->router = sound;
  fixture_clear (&f);
}

/* By a fault a call that may have run already is still in the queue, and must not be repeated. When
 * an engine comes free it would be sent a second time. */
Test (invariant, second_run_is_caught)
{
  Fixture f;
  LcAction action;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_spec (&f, LC_KIND_LIVE);
  LcRequestSpec order = fixture_spec (&f, LC_KIND_LIVE);

  order.repeatable = false;
  cr_assert (fixture_submit (&f, &running));
  cr_assert (fixture_submit (&f, &order));
  find (&f, order.id)->may_have_run = true;
  fixture_end (&f, running.id, 1, LC_END_COMPLETE);
  cr_assert_not (fixture_take (&f, LC_ACTION_SEND, order.id, &action));
  cr_assert_eq (lc_dispatch_count_in_progress (f.dispatch), 0);
  expect_one_failure (&f);
  fixture_clear (&f);
}

/* By a fault a call that may have run is given up with a reason that says "not run". Its caller
 * would order again. */
Test (invariant, false_not_run_is_caught)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &spec));
  lc_dispatch_fail_request (f.dispatch, find (&f, spec.id), LB_ERROR_OVERLOADED, 0, f.now,
                            &f.actions);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_ERROR_OUTCOME_UNKNOWN);
  expect_one_failure (&f);
  fixture_clear (&f);
}

/* By a fault the count of what was passed on is wrong. The next piece would leave a hole in the
 * answer. */
Test (invariant, hole_in_an_answer_is_caught)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &spec));
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 0, 2, false), LC_PIECE_FORWARD);
  find (&f, spec.id)->next_token = 1;
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 2, 2, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_ERROR_STREAM_BROKEN);
  expect_one_failure (&f);

  LcRequestSpec last = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &last));
  cr_assert_eq (fixture_piece (&f, last.id, 1, 0, 2, true), LC_PIECE_FORWARD);
  find (&f, last.id)->next_token = 1;
  fixture_end (&f, last.id, 1, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, last.id).error, LB_ERROR_STREAM_BROKEN);
  expect_one_failure (&f);
  fixture_clear (&f);
}

/* By a fault a change of configuration gives up a reply that runs. */
Test (invariant, cut_by_configuration_is_caught)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &spec));
  fixture_drop_actions (&f);
  f.dispatch->forbid_cancel = true;
  lc_dispatch_fail_request (f.dispatch, find (&f, spec.id), LB_ERROR_DEADLINE, 0, f.now,
                            &f.actions);
  f.dispatch->forbid_cancel = false;
  cr_assert (lb_list_is_empty (&f.actions));
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 0, 2, true), LC_PIECE_FORWARD);
  expect_one_failure (&f);
  fixture_clear (&f);
}
