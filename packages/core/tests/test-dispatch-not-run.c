#include "dispatch-fixture.h"

static const LcDispatchSettings settings = { .max_report_age = LB_TIME_NEVER,
                                             .queue_limit = 100,
                                             .default_deadline = 30 * LB_SEC,
                                             .retry_budget = 0.2,
                                             .hedge_after = LB_SEC,
                                             .seed = 1 };

/* Ends every attempt of the request with `end` until the request finishes. Returns the FINISH
 * action and counts the attempts. */
static LcAction
end_attempts_until_request_finished (Fixture *f,
                                     const LcRequestSpec *spec,
                                     LcAttemptEnd end,
                                     int *n_attempts)
{
  LcAction action = { .type = LC_ACTION_SEND };

  *n_attempts = 0;
  for (int i = 0; i < 1000; i++)
    {
      LbLink *link = lb_list_pop (&f->actions);

      if (!link)
        {
          fixture_tick_dispatch_at (f, f->now + 100 * LB_MSEC);
          continue;
        }
      action = *LB_CONTAINER (link, LcAction, link);
      lc_action_free (LB_CONTAINER (link, LcAction, link));
      if (action.type == LC_ACTION_FINISH)
        return action;
      if (action.type == LC_ACTION_SEND)
        fixture_end_attempt (f, spec->id, ++*n_attempts, end);
    }
  cr_assert_fail ("expected a FINISH action within 1000 actions and ticks, got none");
  return action;
}

/* All engines of a pool refuse connections. The caller gets "not run" and a retry time after a few
 * attempts, not only at its deadline. */
Test (not_run, unsent_request_is_not_run)
{
  Fixture f;
  int n_attempts = 0;

  fixture_init (&f, &settings, 3, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LbTime submitted = f.now;

  cr_assert (fixture_submit_request (&f, &spec));

  LcAction finish = end_attempts_until_request_finished (&f, &spec, LC_END_NOT_SENT, &n_attempts);

  cr_assert (lb_error_proves_request_not_run (finish.error));
  cr_assert_gt (finish.retry_after, 0);
  cr_assert_gt (n_attempts, 1);
  cr_assert_lt (f.now - submitted, 10 * LB_SEC);
  fixture_clear (&f);
}

/* The connection to an engine breaks, so the engine may have run the call. Then a second engine
 * refuses to start the call. Reporting the refusal would mean "not run", and the caller would
 * submit the call again. */
Test (not_run, a_later_refusal_proves_nothing_about_an_earlier_attempt)
{
  Fixture f;
  int n_attempts = 0;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &spec));
  fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
  fixture_end_attempt (&f, spec.id, 1, LC_END_BROKEN);
  fixture_tick_dispatch_at (&f, f.now + LB_SEC);
  fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
  fixture_end_attempt (&f, spec.id, 2, LC_END_REFUSED);
  n_attempts = 2;
  for (int i = 0; i < 100 && lc_dispatch_count_requests_in_progress (f.dispatch); i++)
    {
      fixture_tick_dispatch_at (&f, f.now + LB_SEC);
      fixture_end_attempt (&f, spec.id, ++n_attempts, LC_END_REFUSED);
    }

  LcAction finish = fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id);

  cr_assert_eq (finish.error, LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_not (lb_error_proves_request_not_run (finish.error));
  fixture_clear (&f);
}

/* The engine of a non-repeatable call is silent for 10 s, then the attempt breaks or fails. A retry
 * or a hedge could run the call twice. */
Test (not_run, non_repeatable_call_gets_no_second_attempt)
{
  static const LcAttemptEnd ends[] = { LC_END_BROKEN, LC_END_FAILED };

  for (size_t i = 0; i < 2; i++)
    {
      Fixture f;

      fixture_init (&f, &settings, 3, 4);

      LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

      spec.repeatable = false;
      cr_assert (fixture_submit_request (&f, &spec));
      fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
      fixture_tick_dispatch_at (&f, f.now + 10 * LB_SEC);
      cr_assert (lb_list_is_empty (&f.actions), "a non-repeatable call was hedged");
      fixture_end_attempt (&f, spec.id, 1, ends[i]);

      LcAction finish = fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id);

      cr_assert_not (lb_error_proves_request_not_run (finish.error));
      cr_assert (lb_list_is_empty (&f.actions));
      fixture_tick_dispatch_at (&f, f.now + 60 * LB_SEC);
      cr_assert (lb_list_is_empty (&f.actions));
      fixture_clear (&f);
    }
}

/* An engine refuses a non-repeatable call before starting it, or no byte of the call was sent. Both
 * prove that the call did not run, so it may be sent to another engine. */
Test (not_run, non_repeatable_call_is_sent_again_if_proven_not_run)
{
  static const LcAttemptEnd ends[] = { LC_END_REFUSED, LC_END_REFUSED_LEAVING, LC_END_NOT_SENT };

  for (size_t i = 0; i < 3; i++)
    {
      Fixture f;

      fixture_init (&f, &settings, 3, 4);

      LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

      spec.repeatable = false;
      cr_assert (fixture_submit_request (&f, &spec));

      LcAction first = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);

      fixture_end_attempt (&f, spec.id, 1, ends[i]);
      fixture_tick_dispatch_at (&f, f.now + LB_SEC);
      cr_assert_str_neq (fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id).endpoint,
                         first.endpoint);
      fixture_deliver_piece (&f, spec.id, 2, 0, 1, true);
      fixture_end_attempt (&f, spec.id, 2, LC_END_COMPLETE);
      cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
      fixture_clear (&f);
    }
}

/* A faulty engine sends pieces and then a refusal. The pieces prove that the call ran. */
Test (not_run, a_refusal_after_output_is_no_proof_of_not_run)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  spec.repeatable = false;
  spec.resumable = false;
  cr_assert (fixture_submit_request (&f, &spec));
  fixture_deliver_piece (&f, spec.id, 1, 0, 1, false);
  fixture_end_attempt (&f, spec.id, 1, LC_END_REFUSED);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error,
                LB_ERROR_STREAM_BROKEN);
  fixture_clear (&f);
}

/* All engines are busy, and a waiting call fails as "not run" at its deadline. When an engine
 * becomes free a second later, the call must not be sent. */
Test (not_run, call_past_its_deadline_in_the_queue_is_not_sent)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcRequestSpec waiting = fixture_make_request_spec (&f, LC_KIND_LIVE);

  waiting.deadline = f.now + 2 * LB_SEC;
  waiting.repeatable = false;
  cr_assert (fixture_submit_request (&f, &running));
  cr_assert (fixture_submit_request (&f, &waiting));
  cr_assert_eq (lc_dispatch_count_waiting_requests (f.dispatch, LC_KIND_LIVE), 1);
  fixture_free_pending_actions (&f);
  fixture_tick_dispatch_at (&f, waiting.deadline);

  LcAction finish = fixture_expect_action_of_request (&f, LC_ACTION_FINISH, waiting.id);

  cr_assert_eq (finish.error, LB_ERROR_DEADLINE_BEFORE_START);
  cr_assert_gt (finish.retry_after, 0);
  fixture_end_attempt (&f, running.id, 1, LC_END_COMPLETE);
  fixture_tick_dispatch_at (&f, f.now + LB_SEC);
  cr_assert_not (fixture_take_action_of_request (&f, LC_ACTION_SEND, waiting.id, &finish));
  fixture_clear (&f);
}

/* A queued call whose caller has disconnected must not be sent. */
Test (not_run, a_cancelled_call_is_not_sent)
{
  Fixture f;
  LcAction action;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcRequestSpec waiting = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &running));
  cr_assert (fixture_submit_request (&f, &waiting));
  lc_dispatch_cancel (f.dispatch, waiting.id, f.now, &f.actions);
  fixture_end_attempt (&f, running.id, 1, LC_END_COMPLETE);
  cr_assert_not (fixture_take_action_of_request (&f, LC_ACTION_SEND, waiting.id, &action));
  cr_assert_eq (lc_dispatch_count_requests_in_progress (f.dispatch), 0);
  fixture_clear (&f);
}

/* A request that crashes engines must not be retried until the whole pool is down. */
Test (not_run, a_request_that_crashes_engines_is_not_retried_everywhere)
{
  Fixture f;
  int n_attempts = 0;

  fixture_init (&f, &settings, 8, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &spec));
  cr_assert_eq (end_attempts_until_request_finished (&f, &spec, LC_END_BROKEN, &n_attempts).error,
                LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_leq (n_attempts, 3);
  fixture_clear (&f);
}

/* One of two engines is down. If retries chose an engine at random, half of them would go to the
 * failed engine again, and calls would fail although the other engine works. */
Test (not_run, a_retry_goes_to_another_engine)
{
  for (uint64_t seed = 1; seed <= 16; seed++)
    {
      LcDispatchSettings random = {
        .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .retry_budget = 0.2, .seed = seed
      };
      Fixture f;

      LB_COPY (random.policy, "random");
      fixture_init (&f, &random, 2, 4);

      LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit_request (&f, &spec));

      LcAction first = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);

      fixture_end_attempt (&f, spec.id, 1, LC_END_BROKEN);
      fixture_tick_dispatch_at (&f, f.now + LB_SEC);
      cr_assert_str_neq (fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id).endpoint,
                         first.endpoint);
      fixture_clear (&f);
    }
}

/* Half of the endpoints of a service restart at once. A call with two allowed attempts failed
 * within milliseconds after two failed connections, although no endpoint had received the call and
 * the other endpoints were idle. */
Test (not_run, failed_connections_do_not_count_against_the_route_limit)
{
  Fixture f;
  int n_attempts = 0;

  fixture_init (&f, &settings, 0, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_SERVICE);

  spec.max_attempts = 2;
  cr_assert (fixture_submit_request (&f, &spec));

  LcAction finish = end_attempts_until_request_finished (&f, &spec, LC_END_NOT_SENT, &n_attempts);

  cr_assert (lb_error_proves_request_not_run (finish.error));
  cr_assert_gt (n_attempts, 2);
  cr_assert_leq (n_attempts, 6, "expected at most 6 attempts, the dispatch's own limit");
  fixture_clear (&f);
}
