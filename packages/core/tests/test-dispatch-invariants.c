/* The dispatch checks each invariant right before the action that could violate it. These tests
 * inject a fault before the check. The check must suppress the faulty action and nothing else. */
#include "dispatch-fixture.h"
#include "lc-dispatch-private.h"

static const LcDispatchSettings settings
    = { .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .retry_budget = 0.2, .seed = 1 };

static LcRequest *
find_dispatch_request (Fixture *f, LcRequestId id)
{
  LcRequest *request = NULL;

  HASH_FIND (hh, f->dispatch->requests, &id, sizeof id, request);
  return request;
}

/* Expects one counted violation and resets the count, because fixture_clear expects no violation.
 */
static void
expect_one_invariant_failure_and_reset_count (Fixture *f)
{
  cr_assert_eq (lc_dispatch_count_invariant_failures (f->dispatch), 1);
  f->dispatch->invariant_failures = 0;
}

static LcRouteDecision
choose_first_endpoint_even_if_leaving (LcRouter *router,
                                       LcEndpoints *endpoints,
                                       const LcRouteQuery *query,
                                       LbTime now)
{
  (void)router;
  (void)now;
  return (LcRouteDecision){
    .endpoint = lc_endpoints_find (endpoints, query->kind == LC_KIND_SERVICE ? "s1" : "e1"),
    .reason = "faulty"
  };
}

static const LcRouterClass faulty_policy
    = { .name = "faulty", .choose = choose_first_endpoint_even_if_leaving };

/* A faulty routing policy chooses a leaving engine. The check before the send fails the request and
 * counts a violation; other requests continue. */
Test (invariant, leaving_endpoint_of_faulty_policy_is_caught)
{
  Fixture f;
  LcRouter router = { .klass = &faulty_policy };

  fixture_init (&f, &settings, 2, 4);
  lc_dispatch_mark_endpoint_leaving (f.dispatch, "e1", "", LC_LEAVING_PLATFORM, f.now, &f.actions);

  LcRouter *working_router = f.dispatch->router;
  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcRequestSpec other = fixture_make_request_spec (&f, LC_KIND_SERVICE);

  f.dispatch->router = &router;
  cr_assert (fixture_submit_request (&f, &spec));
  cr_assert_eq (f.actions.length, 1);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error,
                LB_ERROR_INVARIANT);
  expect_one_invariant_failure_and_reset_count (&f);
  cr_assert (fixture_submit_request (&f, &other));
  fixture_expect_action_of_request (&f, LC_ACTION_SEND, other.id);
  f.dispatch->router = working_router;
  fixture_clear (&f);
}

/* Because of a fault, a non-repeatable call that may have run is still in the queue. It must not be
 * sent again when an engine becomes free. */
Test (invariant, second_run_of_non_repeatable_call_is_caught)
{
  Fixture f;
  LcAction action;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcRequestSpec order = fixture_make_request_spec (&f, LC_KIND_LIVE);

  order.repeatable = false;
  cr_assert (fixture_submit_request (&f, &running));
  cr_assert (fixture_submit_request (&f, &order));
  find_dispatch_request (&f, order.id)->may_have_run = true;
  fixture_end_attempt (&f, running.id, 1, LC_END_COMPLETE);
  cr_assert_not (fixture_take_action_of_request (&f, LC_ACTION_SEND, order.id, &action));
  cr_assert_eq (lc_dispatch_count_requests_in_progress (f.dispatch), 0);
  expect_one_invariant_failure_and_reset_count (&f);
  fixture_clear (&f);
}

/* Because of a fault, a call that may have run is about to fail with a "not run" error, after which
 * the caller would submit the call again. */
Test (invariant, false_not_run_error_is_caught)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &spec));
  lc_dispatch_fail_request (f.dispatch, find_dispatch_request (&f, spec.id), LB_ERROR_OVERLOADED, 0,
                            f.now, &f.actions);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error,
                LB_ERROR_OUTCOME_UNKNOWN);
  expect_one_invariant_failure_and_reset_count (&f);
  fixture_clear (&f);
}

/* Because of a fault, the count of forwarded tokens is too low. The next piece would leave a gap in
 * the answer. */
Test (invariant, gap_in_an_answer_is_caught)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &spec));
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 0, 2, false), LC_PIECE_FORWARD);
  find_dispatch_request (&f, spec.id)->next_token = 1;
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 2, 2, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error,
                LB_ERROR_STREAM_BROKEN);
  expect_one_invariant_failure_and_reset_count (&f);

  LcRequestSpec last = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &last));
  cr_assert_eq (fixture_deliver_piece (&f, last.id, 1, 0, 2, true), LC_PIECE_FORWARD);
  find_dispatch_request (&f, last.id)->next_token = 1;
  fixture_end_attempt (&f, last.id, 1, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, last.id).error,
                LB_ERROR_STREAM_BROKEN);
  expect_one_invariant_failure_and_reset_count (&f);
  fixture_clear (&f);
}

/* Because of a fault, a configuration change tries to fail a running request. The request must
 * continue. */
Test (invariant, cancel_by_configuration_change_is_caught)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &spec));
  fixture_free_pending_actions (&f);
  f.dispatch->forbid_cancel = true;
  lc_dispatch_fail_request (f.dispatch, find_dispatch_request (&f, spec.id), LB_ERROR_DEADLINE, 0,
                            f.now, &f.actions);
  f.dispatch->forbid_cancel = false;
  cr_assert (lb_list_is_empty (&f.actions));
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 0, 2, true), LC_PIECE_FORWARD);
  expect_one_invariant_failure_and_reset_count (&f);
  fixture_clear (&f);
}
