#include "dispatch-fixture.h"

static const LcDispatchSettings settings = { .max_report_age = LB_TIME_NEVER,
                                             .queue_limit = 100,
                                             .retry_budget = 0.2,
                                             .hedge_after = LB_SEC,
                                             .seed = 1 };

static void
mark_endpoint_leaving (Fixture *f, const char *endpoint)
{
  lc_dispatch_mark_endpoint_leaving (f->dispatch, endpoint, "", LC_LEAVING_PLATFORM, f->now,
                                     &f->actions);
}

/* Counts the attempts sent to the endpoint among the pending actions. */
static int
count_attempts_sent_to_endpoint (Fixture *f, const char *endpoint)
{
  int n_sends = 0;

  LB_LIST_FOREACH (&f->actions, LcAction, link, action)
  {
    n_sends += action->type == LC_ACTION_SEND && strcmp (action->endpoint, endpoint) == 0;
  }
  return n_sends;
}

/* After engine e2 is marked as leaving, an endpoint is needed for queued calls, a retry, a hedge
 * and a resumed stream. None of these may go to e2, which would shut down before they end. */
Test (leaving, leaving_endpoint_gets_no_new_work_of_any_kind)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 2);

  LcRequestSpec specs[8];

  for (int i = 0; i < 8; i++)
    {
      specs[i] = fixture_make_request_spec (&f, LC_KIND_LIVE);
      cr_assert (fixture_submit_request (&f, &specs[i]));
    }
  mark_endpoint_leaving (&f, "e2");
  fixture_free_pending_actions (&f);
  fixture_deliver_piece (&f, specs[0].id, 1, 0, 3, false);
  fixture_end_attempt (&f, specs[0].id, 1, LC_END_BROKEN);
  fixture_end_attempt (&f, specs[1].id, 1, LC_END_FAILED);
  for (int i = 0; i < 50; i++)
    {
      fixture_tick_dispatch_at (&f, f.now + 100 * LB_MSEC);
      for (int n = 0; n < 8; n++)
        fixture_end_attempt (&f, specs[n].id, 1 + (n < 2), LC_END_COMPLETE);
    }
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, "e2"), 0);
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, "e1"), 6);
  cr_assert_eq (lc_dispatch_count_requests_in_progress (f.dispatch), 0);
  fixture_clear (&f);
}

/* An engine refuses a call because the engine is leaving, without an earlier notice. The call must
 * go to another engine at once, without a charge to the caller's retry budget. The leaving engine
 * must get no further calls. */
Test (leaving, refusal_as_leaving_marks_the_endpoint)
{
  Fixture f;

  fixture_init (&f, &settings, 3, 10);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  spec.repeatable = false;
  cr_assert (fixture_submit_request (&f, &spec));

  LcAction first = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);

  fixture_end_attempt (&f, spec.id, 1, LC_END_REFUSED_LEAVING);
  cr_assert_str_neq (fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id).endpoint,
                     first.endpoint);
  for (int i = 0; i < 10; i++)
    {
      LcRequestSpec next = fixture_make_request_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit_request (&f, &next));
    }
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, first.endpoint), 0);
  fixture_clear (&f);
}

/* Engines refuse a request because a condition that its caller set is not met. They must get other
 * requests at once: the refusal says nothing about them. */
Test (leaving, refusal_for_a_condition_of_the_caller_changes_no_endpoint)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 2);
  for (size_t i = 0; i < f.set.n_endpoints; i++)
    f.members[i].reports_concurrency = true;
  fixture_apply_endpoint_set (&f);

  LcRequestSpec conditional = fixture_make_request_spec (&f, LC_KIND_SAMPLE);
  LcAction action;
  uint32_t n_attempts = 0;

  cr_assert (fixture_submit_request (&f, &conditional));
  while (fixture_take_action_of_request (&f, LC_ACTION_SEND, conditional.id, &action))
    fixture_end_attempt (&f, conditional.id, n_attempts = action.attempt, LC_END_REFUSED_CONDITION);
  cr_assert_geq (n_attempts, 2, "expected the request to be tried at both engines");
  fixture_free_pending_actions (&f);
  cr_assert_eq (lc_dispatch_count_requests_in_progress (f.dispatch), 0);
  for (int i = 0; i < 4; i++)
    {
      LcRequestSpec next = fixture_make_request_spec (&f, LC_KIND_SAMPLE);
      cr_assert (fixture_submit_request (&f, &next));
      fixture_expect_action_of_request (&f, LC_ACTION_SEND, next.id);
    }
  fixture_clear (&f);
}

/* The last engine of a pool leaves while a call is queued. The call must fail as "not run" at once
 * instead of waiting until its deadline. */
Test (leaving, calls_of_a_pool_without_endpoints_fail_at_once)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcRequestSpec waiting = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &running));
  cr_assert (fixture_submit_request (&f, &waiting));
  mark_endpoint_leaving (&f, "e1");

  LcAction finish = fixture_expect_action_of_request (&f, LC_ACTION_FINISH, waiting.id);

  cr_assert_eq (finish.error, LB_ERROR_NO_ENDPOINT);
  cr_assert_gt (finish.retry_after, 0);
  cr_assert_eq (lc_dispatch_count_requests_in_progress (f.dispatch), 1,
                "the running call was ended");

  LcRequestSpec late = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert_not (fixture_submit_request (&f, &late));
  cr_assert_eq (f.error.code, LB_ERROR_NO_ENDPOINT);
  fixture_clear (&f);
}

/* The configuration removes an engine that is streaming an answer. The stream must run to
 * completion. */
Test (leaving, removed_endpoint_completes_running_requests)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &spec));

  LcAction first = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);

  fixture_deliver_piece (&f, spec.id, 1, 0, 3, false);
  f.members[0] = f.members[strcmp (first.endpoint, "e1") == 0 ? 1 : 0];
  memmove (&f.members[1], &f.members[2], 2 * sizeof f.members[0]);
  f.set.n_endpoints--;
  fixture_apply_endpoint_set (&f);
  cr_assert (lb_list_is_empty (&f.actions));
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 3, 3, true), LC_PIECE_FORWARD);
  fixture_end_attempt (&f, spec.id, 1, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
  fixture_apply_endpoint_set (&f);
  fixture_clear (&f);
}

/* An instance drains while one call runs and one waits. New calls are refused as "not run"; both
 * admitted calls are completed. */
Test (leaving, drain_completes_admitted_requests)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcRequestSpec waiting = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcRequestSpec late = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &running));
  cr_assert (fixture_submit_request (&f, &waiting));
  fixture_deliver_piece (&f, running.id, 1, 0, 3, false);
  fixture_free_pending_actions (&f);
  lc_dispatch_drain (f.dispatch, f.now, &f.actions);
  cr_assert (lb_list_is_empty (&f.actions));
  cr_assert_not (fixture_submit_request (&f, &late));
  cr_assert_eq (f.error.code, LB_ERROR_DRAINING);
  cr_assert_gt (f.retry_after, 0);
  cr_assert_eq (fixture_deliver_piece (&f, running.id, 1, 3, 3, true), LC_PIECE_FORWARD);
  fixture_end_attempt (&f, running.id, 1, LC_END_COMPLETE);
  fixture_expect_action_of_request (&f, LC_ACTION_SEND, waiting.id);
  fixture_deliver_piece (&f, waiting.id, 1, 0, 3, true);
  fixture_end_attempt (&f, waiting.id, 1, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, waiting.id).error, LB_OK);
  cr_assert_eq (lc_dispatch_count_requests_in_progress (f.dispatch), 0);
  fixture_clear (&f);
}

/* An engine accepts calls, keeps the connections open and never answers. Each call ends when this
 * instance cancels it at its deadline. Unless that counts as a failure of the engine, the circuit
 * breaker stays closed and every call sent to the engine is lost. */
Test (leaving, unresponsive_endpoint_opens_its_breaker)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 10);
  for (int i = 0; i < 6; i++)
    {
      LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

      spec.deadline = f.now + 2 * LB_SEC;
      cr_assert (fixture_submit_request (&f, &spec));
    }
  fixture_tick_dispatch_at (&f, f.now + 2 * LB_SEC);
  cr_assert_eq (lc_dispatch_count_requests_in_progress (f.dispatch), 0);

  LcRequestSpec next = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert_not (fixture_submit_request (&f, &next));
  cr_assert_eq (f.error.code, LB_ERROR_NO_ENDPOINT);
  fixture_clear (&f);
}

static void
report_endpoint_load (Fixture *f, const char *endpoint, bool leaving)
{
  LcLoadReport load
      = { .incarnation = "1", .version = 1, .leaving = leaving, .measured_at = f->now };

  lc_dispatch_record_load_report (f->dispatch, endpoint, &load, f->now, &f->actions);
}

static const LcDispatchSettings settings_with_default_report_age
    = { .queue_limit = 100, .retry_budget = 0.2, .max_report_age = 0, .seed = 1 };

/* An instance is paused for 5 s while engine e1 begins to leave. When the instance resumes, its
 * stale load reports show e1 as available. New calls must wait for new reports. */
Test (leaving, paused_instance_waits_for_new_reports)
{
  Fixture f;
  LcAction action;

  fixture_init (&f, &settings_with_default_report_age, 2, 4);
  report_endpoint_load (&f, "e1", false);
  report_endpoint_load (&f, "e2", false);
  f.now += 5 * LB_SEC;

  LcRequestSpec specs[2];

  for (int i = 0; i < 2; i++)
    {
      specs[i] = fixture_make_request_spec (&f, LC_KIND_LIVE);
      cr_assert (fixture_submit_request (&f, &specs[i]));
    }
  cr_assert (lb_list_is_empty (&f.actions));
  report_endpoint_load (&f, "e1", true);
  report_endpoint_load (&f, "e2", false);
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, "e1"), 0);
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, "e2"), 2);
  cr_assert_not (fixture_take_action_of_request (&f, LC_ACTION_FINISH, specs[0].id, &action));
  fixture_clear (&f);
}

/* The network path to engine e1 is lost, so its reports become stale and calls go to e2. When e2
 * stops reporting too, a call is held for a short time and then sent anyway, because endpoints that
 * don't report their load must not block a pool. */
Test (leaving, endpoint_with_outdated_report_is_used_last)
{
  Fixture f;

  fixture_init (&f, &settings_with_default_report_age, 2, 10);
  report_endpoint_load (&f, "e1", false);
  for (int i = 0; i < 5; i++)
    {
      f.now += LB_SEC;
      report_endpoint_load (&f, "e2", false);
    }
  for (int i = 0; i < 4; i++)
    {
      LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit_request (&f, &spec));
    }
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, "e2"), 4);
  fixture_free_pending_actions (&f);
  f.now += 10 * LB_SEC;

  LcRequestSpec last = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &last));
  cr_assert (lb_list_is_empty (&f.actions));
  fixture_tick_dispatch_at (&f, f.now + 3 * LB_SEC);
  fixture_expect_action_of_request (&f, LC_ACTION_SEND, last.id);
  fixture_clear (&f);
}

/* The load report of engine e1 is stale, e2 is full, and e3 was just added and has not reported
 * yet. Calls must wait for e2. */
Test (leaving, no_outdated_report_is_used_while_another_is_current)
{
  Fixture f;

  fixture_init (&f, &settings_with_default_report_age, 2, 1);
  for (int i = 0; i < 5; i++)
    {
      f.now += LB_SEC;
      report_endpoint_load (&f, "e2", false);
    }
  fixture_add_endpoint (&f, "e3", LC_ENDPOINT_ENGINE, "reader", 1);
  lc_dispatch_configure (f.dispatch, &f.set, f.now, &f.actions);
  for (int i = 0; i < 3; i++)
    {
      LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit_request (&f, &spec));
    }
  for (int i = 0; i < 5; i++)
    {
      fixture_tick_dispatch_at (&f, f.now + LB_SEC);
      report_endpoint_load (&f, "e2", false);
    }
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, "e1"), 0);
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, "e2"), 1);
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, "e3"), 0);
  fixture_clear (&f);
}

/* The network path to eleven of twelve engines is lost. Their stale reports show them as idle, so
 * the routing policy prefers them. Calls must still go to the twelfth engine. */
Test (leaving, many_outdated_reports_do_not_hide_a_current_one)
{
  Fixture f;

  fixture_init (&f, &settings_with_default_report_age, 12, 10);
  for (int i = 0; i < 5; i++)
    {
      f.now += LB_SEC;
      report_endpoint_load (&f, "e12", false);
    }
  for (int i = 0; i < 5; i++)
    {
      LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit_request (&f, &spec));
    }
  cr_assert_eq (count_attempts_sent_to_endpoint (&f, "e12"), 5);
  fixture_clear (&f);
}

/* A plain service does not report its load, so any reply to the instance's poll counts as a load
 * report. The first call is held back only until that reply arrives. */
Test (leaving, service_without_load_reports_is_used)
{
  Fixture f;

  fixture_init (&f, &settings_with_default_report_age, 1, 1);
  fixture_add_endpoint (&f, "m1", LC_ENDPOINT_SERVICE, "mute", 4);
  lc_dispatch_configure (f.dispatch, &f.set, f.now, &f.actions);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_SERVICE);

  LB_COPY (spec.pool, "mute");
  cr_assert (fixture_submit_request (&f, &spec));
  cr_assert (lb_list_is_empty (&f.actions));

  const LcLoadReport any_answer = { .measured_at = f.now };

  lc_dispatch_record_load_report (f.dispatch, "m1", &any_answer, f.now, &f.actions);
  fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
  fixture_clear (&f);
}

/* An instance is paused twice, an hour apart. After each pause, a call is held until a new load
 * report arrives. The first hold must not shorten the second hold. */
Test (leaving, each_pause_has_its_own_hold)
{
  Fixture f;

  fixture_init (&f, &settings_with_default_report_age, 1, 4);
  for (int i = 0; i < 2; i++)
    {
      LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

      f.now += 3600 * LB_SEC;
      cr_assert (fixture_submit_request (&f, &spec));
      cr_assert (lb_list_is_empty (&f.actions),
                 "the call was sent before a new report, after pause %d", i);
      report_endpoint_load (&f, "e1", false);
      fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
      fixture_end_attempt (&f, spec.id, 1, LC_END_COMPLETE);
      fixture_free_pending_actions (&f);
    }
  fixture_clear (&f);
}
