#include "dispatch-fixture.h"

static const LcDispatchSettings settings = { .max_report_age = LB_TIME_NEVER,
                                             .queue_limit = 100,
                                             .retry_budget = 0.2,
                                             .hedge_after = LB_SEC,
                                             .seed = 1 };

static void
leave (Fixture *f, const char *endpoint)
{
  lc_dispatch_mark_leaving (f->dispatch, endpoint, "", LC_LEAVING_PLATFORM, f->now, &f->actions);
}

/* Counts what is sent to the endpoint among the actions so far. */
static int
count_sends (Fixture *f, const char *endpoint)
{
  int n_sends = 0;

  LB_LIST_FOREACH (&f->actions, LcAction, link, action)
  {
    n_sends += action->type == LC_ACTION_SEND && strcmp (action->endpoint, endpoint) == 0;
  }
  return n_sends;
}

/* Engine e2 is being replaced. Calls wait in the queue, one is retried, one is hedged and one is
 * resumed, all after e2 said that it leaves. Each of them is new work to e2, though none is a new
 * call: e2 would be shut down under it. */
Test (leaving, no_kind_of_new_work_goes_there)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 2);

  LcRequestSpec specs[8];

  for (int i = 0; i < 8; i++)
    {
      specs[i] = fixture_spec (&f, LC_KIND_LIVE);
      cr_assert (fixture_submit (&f, &specs[i]));
    }
  leave (&f, "e2");
  fixture_drop_actions (&f);
  fixture_piece (&f, specs[0].id, 1, 0, 3, false);
  fixture_end (&f, specs[0].id, 1, LC_END_BROKEN);
  fixture_end (&f, specs[1].id, 1, LC_END_FAILED);
  for (int i = 0; i < 50; i++)
    {
      fixture_at (&f, f.now + 100 * LB_MSEC);
      for (int n = 0; n < 8; n++)
        fixture_end (&f, specs[n].id, 1 + (n < 2), LC_END_COMPLETE);
    }
  cr_assert_eq (count_sends (&f, "e2"), 0);
  cr_assert_eq (count_sends (&f, "e1"), 6);
  cr_assert_eq (lc_dispatch_count_in_progress (f.dispatch), 0);
  fixture_clear (&f);
}

/* The first to know is the engine itself: it refuses a call because it leaves. The call goes on to
 * another engine at once, at no cost to its caller's budget, and nothing else is sent there. */
Test (leaving, refusal_marks_the_endpoint)
{
  Fixture f;

  fixture_init (&f, &settings, 3, 10);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  spec.repeatable = false;
  cr_assert (fixture_submit (&f, &spec));

  LcAction first = fixture_expect (&f, LC_ACTION_SEND, spec.id);

  fixture_end (&f, spec.id, 1, LC_END_REFUSED_LEAVING);
  cr_assert_str_neq (fixture_expect (&f, LC_ACTION_SEND, spec.id).endpoint, first.endpoint);
  for (int i = 0; i < 10; i++)
    {
      LcRequestSpec next = fixture_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &next));
    }
  cr_assert_eq (count_sends (&f, first.endpoint), 0);
  fixture_clear (&f);
}

/* The last engine of a pool leaves while calls wait for it. Nobody can serve them: they hear so at
 * once, as "not run", and are not kept until their deadlines. */
Test (leaving, calls_for_a_pool_that_nobody_serves_are_answered)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_spec (&f, LC_KIND_LIVE);
  LcRequestSpec waiting = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &running));
  cr_assert (fixture_submit (&f, &waiting));
  leave (&f, "e1");

  LcAction finish = fixture_expect (&f, LC_ACTION_FINISH, waiting.id);

  cr_assert_eq (finish.error, LB_ERROR_NO_ENDPOINT);
  cr_assert_gt (finish.retry_after, 0);
  cr_assert_eq (lc_dispatch_count_in_progress (f.dispatch), 1, "what runs there goes on");

  LcRequestSpec late = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert_not (fixture_submit (&f, &late));
  cr_assert_eq (f.error.code, LB_ERROR_NO_ENDPOINT);
  fixture_clear (&f);
}

/* An operator removes an engine that is in the middle of a shopper's reply. The reply goes on to
 * its end. */
Test (leaving, removed_endpoint_finishes_what_it_runs)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &spec));

  LcAction first = fixture_expect (&f, LC_ACTION_SEND, spec.id);

  fixture_piece (&f, spec.id, 1, 0, 3, false);
  f.members[0] = f.members[strcmp (first.endpoint, "e1") == 0 ? 1 : 0];
  memmove (&f.members[1], &f.members[2], 2 * sizeof f.members[0]);
  f.set.n_endpoints--;
  fixture_configure (&f);
  cr_assert (lb_list_is_empty (&f.actions));
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 3, 3, true), LC_PIECE_FORWARD);
  fixture_end (&f, spec.id, 1, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
  fixture_configure (&f);
  fixture_clear (&f);
}

/* An instance is told to stop while one reply runs and one call waits. New calls are sent away with
 * "not run"; the reply and the call that was let in are both finished. */
Test (leaving, drain_cuts_nothing)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestSpec running = fixture_spec (&f, LC_KIND_LIVE);
  LcRequestSpec waiting = fixture_spec (&f, LC_KIND_LIVE);
  LcRequestSpec late = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &running));
  cr_assert (fixture_submit (&f, &waiting));
  fixture_piece (&f, running.id, 1, 0, 3, false);
  fixture_drop_actions (&f);
  lc_dispatch_drain (f.dispatch, f.now, &f.actions);
  cr_assert (lb_list_is_empty (&f.actions));
  cr_assert_not (fixture_submit (&f, &late));
  cr_assert_eq (f.error.code, LB_ERROR_DRAINING);
  cr_assert_gt (f.retry_after, 0);
  cr_assert_eq (fixture_piece (&f, running.id, 1, 3, 3, true), LC_PIECE_FORWARD);
  fixture_end (&f, running.id, 1, LC_END_COMPLETE);
  fixture_expect (&f, LC_ACTION_SEND, waiting.id);
  fixture_piece (&f, waiting.id, 1, 0, 3, true);
  fixture_end (&f, waiting.id, 1, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, waiting.id).error, LB_OK);
  cr_assert_eq (lc_dispatch_count_in_progress (f.dispatch), 0);
  fixture_clear (&f);
}

/* An engine takes calls and never says anything, though its connections stay open. Each call ends
 * by our own cancel at its deadline, so no failure is ever seen, and every call to it is lost. */
Test (leaving, endpoint_that_swallows_calls_is_found)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 10);
  for (int i = 0; i < 6; i++)
    {
      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      spec.deadline = f.now + 2 * LB_SEC;
      cr_assert (fixture_submit (&f, &spec));
    }
  fixture_at (&f, f.now + 2 * LB_SEC);
  cr_assert_eq (lc_dispatch_count_in_progress (f.dispatch), 0);

  LcRequestSpec next = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert_not (fixture_submit (&f, &next));
  cr_assert_eq (f.error.code, LB_ERROR_NO_ENDPOINT);
  fixture_clear (&f);
}

static void
report (Fixture *f, const char *endpoint, bool leaving)
{
  LcLoadReport load
      = { .incarnation = "1", .version = 1, .leaving = leaving, .measured_at = f->now };

  lc_dispatch_record_load (f->dispatch, endpoint, &load, f->now, &f->actions);
}

static const LcDispatchSettings asking
    = { .queue_limit = 100, .retry_budget = 0.2, .max_report_age = 0, .seed = 1 };

/* An instance is paused for five seconds. Meanwhile e1 begins to leave and everybody else hears of
 * it. The instance wakes with a call in its socket and an old view in which e1 is fine. */
Test (leaving, instance_that_was_paused_asks_first)
{
  Fixture f;
  LcAction action;

  fixture_init (&f, &asking, 2, 4);
  report (&f, "e1", false);
  report (&f, "e2", false);
  f.now += 5 * LB_SEC;

  LcRequestSpec specs[2];

  for (int i = 0; i < 2; i++)
    {
      specs[i] = fixture_spec (&f, LC_KIND_LIVE);
      cr_assert (fixture_submit (&f, &specs[i]));
    }
  cr_assert (lb_list_is_empty (&f.actions));
  report (&f, "e1", true);
  report (&f, "e2", false);
  cr_assert_eq (count_sends (&f, "e1"), 0);
  cr_assert_eq (count_sends (&f, "e2"), 2);
  cr_assert_not (fixture_take (&f, LC_ACTION_FINISH, specs[0].id, &action));
  fixture_clear (&f);
}

/* Only the way to e1 is lost: its reports stop. Calls go to e2, whose view is fresh. When e2 stops
 * reporting too, calls are held for a moment and then sent all the same, since endpoints that don't
 * tell their load must not stop a pool. */
Test (leaving, endpoint_with_an_old_view_comes_last)
{
  Fixture f;

  fixture_init (&f, &asking, 2, 10);
  report (&f, "e1", false);
  for (int i = 0; i < 5; i++)
    {
      f.now += LB_SEC;
      report (&f, "e2", false);
    }
  for (int i = 0; i < 4; i++)
    {
      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &spec));
    }
  cr_assert_eq (count_sends (&f, "e2"), 4);
  fixture_drop_actions (&f);
  f.now += 10 * LB_SEC;

  LcRequestSpec last = fixture_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit (&f, &last));
  cr_assert (lb_list_is_empty (&f.actions));
  fixture_at (&f, f.now + 3 * LB_SEC);
  fixture_expect (&f, LC_ACTION_SEND, last.id);
  fixture_clear (&f);
}

/* The same while e2, whose view is fresh, has no place free: calls wait for it and are not sent to
 * e1 on an old view. Nor to e3, which has just been named and not been heard of. */
Test (leaving, no_old_view_is_used_while_another_is_fresh)
{
  Fixture f;

  fixture_init (&f, &asking, 2, 1);
  for (int i = 0; i < 5; i++)
    {
      f.now += LB_SEC;
      report (&f, "e2", false);
    }
  fixture_member (&f, "e3", LC_ENDPOINT_ENGINE, "reader", 1);
  lc_dispatch_configure (f.dispatch, &f.set, f.now, &f.actions);
  for (int i = 0; i < 3; i++)
    {
      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &spec));
    }
  for (int i = 0; i < 5; i++)
    {
      fixture_at (&f, f.now + LB_SEC);
      report (&f, "e2", false);
    }
  cr_assert_eq (count_sends (&f, "e1"), 0);
  cr_assert_eq (count_sends (&f, "e2"), 1);
  cr_assert_eq (count_sends (&f, "e3"), 0);
  fixture_clear (&f);
}

/* The way to a whole data centre is lost, eleven engines of twelve. By their last reports they are
 * idle, so a policy prefers them. Calls must still find the twelfth. */
Test (leaving, many_old_views_hide_no_fresh_one)
{
  Fixture f;

  fixture_init (&f, &asking, 12, 10);
  for (int i = 0; i < 5; i++)
    {
      f.now += LB_SEC;
      report (&f, "e12", false);
    }
  for (int i = 0; i < 5; i++)
    {
      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &spec));
    }
  cr_assert_eq (count_sends (&f, "e12"), 5);
  fixture_clear (&f);
}

/* A plain service has no page for its load: the poller takes any answer for a first word. Its first
 * call waits for that and no longer, though no load ever comes. */
Test (leaving, service_that_states_no_load_is_used)
{
  Fixture f;

  fixture_init (&f, &asking, 1, 1);
  fixture_member (&f, "m1", LC_ENDPOINT_SERVICE, "mute", 4);
  lc_dispatch_configure (f.dispatch, &f.set, f.now, &f.actions);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_SERVICE);

  LB_COPY (spec.pool, "mute");
  cr_assert (fixture_submit (&f, &spec));
  cr_assert (lb_list_is_empty (&f.actions));

  const LcLoadReport any_answer = { .measured_at = f.now };

  lc_dispatch_record_load (f.dispatch, "m1", &any_answer, f.now, &f.actions);
  fixture_expect (&f, LC_ACTION_SEND, spec.id);
  fixture_clear (&f);
}

/* An instance sleeps twice, an hour apart. That it was held back after the first sleep must not
 * count as having waited long enough after the second. */
Test (leaving, each_sleep_is_waited_out_afresh)
{
  Fixture f;

  fixture_init (&f, &asking, 1, 4);
  for (int i = 0; i < 2; i++)
    {
      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      f.now += 3600 * LB_SEC;
      cr_assert (fixture_submit (&f, &spec));
      cr_assert (lb_list_is_empty (&f.actions), "sleep %d", i);
      report (&f, "e1", false);
      fixture_expect (&f, LC_ACTION_SEND, spec.id);
      fixture_end (&f, spec.id, 1, LC_END_COMPLETE);
      fixture_drop_actions (&f);
    }
  fixture_clear (&f);
}
