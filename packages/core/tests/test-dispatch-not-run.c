#include "dispatch-fixture.h"

static const LcDispatchSettings settings = { .max_report_age = LB_TIME_NEVER,
                                             .queue_limit = 100,
                                             .default_deadline = 30 * LB_SEC,
                                             .retry_budget = 0.2,
                                             .hedge_after = LB_SEC,
                                             .seed = 1 };

/* Ends each attempt the same way until the request is answered; counts the attempts. */
static LcAction
fail_until_answered (Fixture *f, const LcRequestSpec *spec, LcAttemptEnd end, int *n_attempts)
{
  LcAction action = { .type = LC_ACTION_SEND };

  *n_attempts = 0;
  for (int i = 0; i < 1000; i++)
    {
      LbLink *link = lb_list_pop (&f->actions);

      if (!link)
        {
          fixture_at (f, f->now + 100 * LB_MSEC);
          continue;
        }
      action = *LB_CONTAINER (link, LcAction, link);
      lc_action_free (LB_CONTAINER (link, LcAction, link));
      if (action.type == LC_ACTION_FINISH)
        return action;
      if (action.type == LC_ACTION_SEND)
        fixture_end (f, spec->id, ++*n_attempts, end);
    }
  cr_assert_fail ("no answer");
  return action;
}

/* All engines of a pool are down, each connection is refused. Nothing ran, and the caller is told
 * so together with when to come back, after a few tries and not at its deadline. */
Test (not_run, never_handed_over_is_not_run)
{
  Fixture f;
  int n_attempts = 0;

  fixture_init (&f, &settings, 3, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);
  LbTime submitted = f.now;

  cr_assert (fixture_submit (&f, &spec));

  LcAction finish = fail_until_answered (&f, &spec, LC_END_NOT_SENT, &n_attempts);

  cr_assert (lb_error_is_not_run (finish.error));
  cr_assert_gt (finish.retry_after, 0);
  cr_assert_gt (n_attempts, 1);
  cr_assert_lt (f.now - submitted, 10 * LB_SEC);
  fixture_clear (&f);
}

/* An engine takes an order, perhaps runs it, and its connection breaks. A second engine then
 * refuses it before the start. To the caller that last word would read as "not run" and it would
 * order again. */
Test (not_run, a_later_refusal_proves_nothing_of_an_earlier_attempt)
{
  Fixture f;
  int n_attempts = 0;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &spec));
  fixture_expect (&f, LC_ACTION_SEND, spec.id);
  fixture_end (&f, spec.id, 1, LC_END_BROKEN);
  fixture_at (&f, f.now + LB_SEC);
  fixture_expect (&f, LC_ACTION_SEND, spec.id);
  fixture_end (&f, spec.id, 2, LC_END_REFUSED);
  n_attempts = 2;
  for (int i = 0; i < 100 && lc_dispatch_count_in_progress (f.dispatch); i++)
    {
      fixture_at (&f, f.now + LB_SEC);
      fixture_end (&f, spec.id, ++n_attempts, LC_END_REFUSED);
    }

  LcAction finish = fixture_expect (&f, LC_ACTION_FINISH, spec.id);

  cr_assert_eq (finish.error, LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_not (lb_error_is_not_run (finish.error));
  fixture_clear (&f);
}

/* A call that orders something is on its way when the connection breaks, is silent for long, or
 * gets an error. Any second attempt, hedge included, may order twice. */
Test (not_run, not_repeatable_gets_no_second_attempt)
{
  static const LcAttemptEnd ends[] = { LC_END_BROKEN, LC_END_FAILED };

  for (size_t i = 0; i < 2; i++)
    {
      Fixture f;

      fixture_init (&f, &settings, 3, 4);

      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      spec.repeatable = false;
      cr_assert (fixture_submit (&f, &spec));
      fixture_expect (&f, LC_ACTION_SEND, spec.id);
      fixture_at (&f, f.now + 10 * LB_SEC);
      cr_assert (lb_list_is_empty (&f.actions), "hedged");
      fixture_end (&f, spec.id, 1, ends[i]);

      LcAction finish = fixture_expect (&f, LC_ACTION_FINISH, spec.id);

      cr_assert_not (lb_error_is_not_run (finish.error));
      cr_assert (lb_list_is_empty (&f.actions));
      fixture_at (&f, f.now + 60 * LB_SEC);
      cr_assert (lb_list_is_empty (&f.actions));
      fixture_clear (&f);
    }
}

/* The same call is refused by an engine before it started, or no byte of it left. That proves that
 * it did not run: it may go to another engine and needn't fail. */
Test (not_run, not_repeatable_is_sent_again_after_a_proof)
{
  static const LcAttemptEnd ends[] = { LC_END_REFUSED, LC_END_REFUSED_LEAVING, LC_END_NOT_SENT };

  for (size_t i = 0; i < 3; i++)
    {
      Fixture f;

      fixture_init (&f, &settings, 3, 4);

      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      spec.repeatable = false;
      cr_assert (fixture_submit (&f, &spec));

      LcAction first = fixture_expect (&f, LC_ACTION_SEND, spec.id);

      fixture_end (&f, spec.id, 1, ends[i]);
      fixture_at (&f, f.now + LB_SEC);
      cr_assert_str_neq (fixture_expect (&f, LC_ACTION_SEND, spec.id).endpoint, first.endpoint);
      fixture_piece (&f, spec.id, 2, 0, 1, true);
      fixture_end (&f, spec.id, 2, LC_END_COMPLETE);
      cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
      fixture_clear (&f);
    }
}

/* An engine sends words and the node then reports a refusal, by a fault of the engine. Words are
 * the better evidence: the order ran. */
Test (not_run, a_refusal_after_output_is_no_proof)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  spec.repeatable = false;
  spec.resumable = false;
  cr_assert (fixture_submit (&f, &spec));
  fixture_piece (&f, spec.id, 1, 0, 1, false);
  fixture_end (&f, spec.id, 1, LC_END_REFUSED);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_ERROR_STREAM_BROKEN);
  fixture_clear (&f);
}

/* All engines are busy and a call's deadline passes in the queue. It is told "not run" at that
 * moment. An engine comes free a second later: the call must not run after all. */
Test (not_run, deadline_in_the_queue_takes_it_out_first)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_spec (&f, LC_KIND_LIVE);
  LcRequestSpec waiting = fixture_spec (&f, LC_KIND_LIVE);

  waiting.deadline = f.now + 2 * LB_SEC;
  waiting.repeatable = false;
  cr_assert (fixture_submit (&f, &running));
  cr_assert (fixture_submit (&f, &waiting));
  cr_assert_eq (lc_dispatch_count_waiting (f.dispatch, LC_KIND_LIVE), 1);
  fixture_drop_actions (&f);
  fixture_at (&f, waiting.deadline);

  LcAction finish = fixture_expect (&f, LC_ACTION_FINISH, waiting.id);

  cr_assert_eq (finish.error, LB_ERROR_DEADLINE_BEFORE_START);
  cr_assert_gt (finish.retry_after, 0);
  fixture_end (&f, running.id, 1, LC_END_COMPLETE);
  fixture_at (&f, f.now + LB_SEC);
  cr_assert_not (fixture_take (&f, LC_ACTION_SEND, waiting.id, &finish));
  fixture_clear (&f);
}

/* A caller goes away while its call waits. Sent later, it would run for nobody. */
Test (not_run, a_call_whose_caller_left_is_not_sent)
{
  Fixture f;
  LcAction action;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_spec (&f, LC_KIND_LIVE);
  LcRequestSpec waiting = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &running));
  cr_assert (fixture_submit (&f, &waiting));
  lc_dispatch_cancel (f.dispatch, waiting.id, f.now, &f.actions);
  fixture_end (&f, running.id, 1, LC_END_COMPLETE);
  cr_assert_not (fixture_take (&f, LC_ACTION_SEND, waiting.id, &action));
  cr_assert_eq (lc_dispatch_count_in_progress (f.dispatch), 0);
  fixture_clear (&f);
}

/* A prompt that makes an engine crash is sent to the next engine, and the next, until the pool is
 * down. */
Test (not_run, a_request_that_breaks_engines_does_not_go_round)
{
  Fixture f;
  int n_attempts = 0;

  fixture_init (&f, &settings, 8, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &spec));
  cr_assert_eq (fail_until_answered (&f, &spec, LC_END_BROKEN, &n_attempts).error,
                LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_leq (n_attempts, 3);
  fixture_clear (&f);
}

/* One of two engines is down. Retries that go by chance hit it again half the time, and a call
 * fails although a sound engine stands by. */
Test (not_run, a_retry_goes_elsewhere)
{
  for (uint64_t seed = 1; seed <= 16; seed++)
    {
      LcDispatchSettings random = {
        .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .retry_budget = 0.2, .seed = seed
      };
      Fixture f;

      LB_COPY (random.policy, "random");
      fixture_init (&f, &random, 2, 4);

      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &spec));

      LcAction first = fixture_expect (&f, LC_ACTION_SEND, spec.id);

      fixture_end (&f, spec.id, 1, LC_END_BROKEN);
      fixture_at (&f, f.now + LB_SEC);
      cr_assert_str_neq (fixture_expect (&f, LC_ACTION_SEND, spec.id).endpoint, first.endpoint);
      fixture_clear (&f);
    }
}

/* Half of a service's endpoints restart at the same moment. A caller's lookup that may be sent to
 * two of them meets two that do not open a connection and is given up after some milliseconds,
 * though nobody was asked and the others are idle. */
Test (not_run, connections_that_do_not_open_use_up_no_attempt_of_the_route)
{
  Fixture f;
  int n_attempts = 0;

  fixture_init (&f, &settings, 0, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_SERVICE);

  spec.max_attempts = 2;
  cr_assert (fixture_submit (&f, &spec));

  LcAction finish = fail_until_answered (&f, &spec, LC_END_NOT_SENT, &n_attempts);

  cr_assert (lb_error_is_not_run (finish.error));
  cr_assert_gt (n_attempts, 2);
  cr_assert_leq (n_attempts, 6, "the dispatch's own bound");
  fixture_clear (&f);
}
