#include "dispatch-fixture.h"

static const LcDispatchSettings settings = { .max_report_age = LB_TIME_NEVER,
                                             .queue_limit = 1000,
                                             .default_deadline = 30 * LB_SEC,
                                             .retry_budget = 0.2,
                                             .seed = 1 };

/* Fills the only engine, so that what comes next waits. Returns the id of the first that runs. */
static LcRequestId
fill (Fixture *f, int concurrency)
{
  LcRequestId first = f->last_id + 1;

  for (int i = 0; i < concurrency; i++)
    {
      LcRequestSpec spec = fixture_spec (f, LC_KIND_LIVE);

      cr_assert (fixture_submit (f, &spec));
    }
  fixture_drop_actions (f);
  return first;
}

static LcRequestSpec
spec_of (Fixture *f, LcRequestKind kind, const char *caller, double share)
{
  LcRequestSpec spec = fixture_spec (f, kind);

  LB_COPY (spec.caller, caller);
  spec.share = share;
  return spec;
}

/* Ends the running request and returns the one that is sent in its place; 0 when none is. */
static LcRequestId
turn (Fixture *f, LcRequestId running)
{
  LbLink *link = NULL;
  LcRequestId next = 0;

  f->now += 10 * LB_MSEC;
  fixture_end (f, running, 1, LC_END_COMPLETE);
  while ((link = lb_list_pop (&f->actions)))
    {
      LcAction *action = LB_CONTAINER (link, LcAction, link);

      if (action->type == LC_ACTION_SEND)
        next = action->request;
      lc_action_free (action);
    }
  return next;
}

/* A trainer's batch of samples waits when a shopper calls. Behind the batch the shopper would wait
 * for minutes. */
Test (admission, live_calls_go_before_samples_and_by_priority)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestId running = fill (&f, 1);
  LcRequestSpec sample = spec_of (&f, LC_KIND_SAMPLE, "trainer", 1);
  LcRequestSpec low = spec_of (&f, LC_KIND_LIVE, "shop", 1);
  LcRequestSpec high = spec_of (&f, LC_KIND_LIVE, "clerk", 1);
  LcRequestSpec second = spec_of (&f, LC_KIND_LIVE, "clerk", 1);

  sample.priority = 1000;
  high.priority = 5;
  second.priority = 5;
  fixture_submit (&f, &sample);
  fixture_submit (&f, &low);
  fixture_submit (&f, &high);
  fixture_submit (&f, &second);
  cr_assert_eq (lc_dispatch_count_waiting (f.dispatch, LC_KIND_LIVE), 3);
  running = turn (&f, running);
  cr_assert_eq (running, high.id);
  running = turn (&f, running);
  cr_assert_eq (running, second.id);
  running = turn (&f, running);
  cr_assert_eq (running, low.id);
  cr_assert_eq (lc_dispatch_count_waiting (f.dispatch, LC_KIND_SAMPLE), 1);
  fixture_clear (&f);
}

/* Two steps of one trainer wait for the same engine. They took turns, and the long text of the
 * second began behind short ones of the first that had seconds to spare. In one flow what has to
 * begin first goes first, for all callers. */
Test (admission, in_one_flow_what_has_to_begin_first_goes_first)
{
  static const LbTime latest[] = { 30 * LB_SEC, 10 * LB_SEC, 20 * LB_SEC };
  LcRequestId ids[3];
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestId running = fill (&f, 1);

  for (int i = 0; i < 3; i++)
    {
      LcRequestSpec spec = spec_of (&f, LC_KIND_SAMPLE, i == 1 ? "step-2" : "step-1", 1);
      LB_COPY (spec.flow, "trainer");
      spec.latest_start = latest[i];
      ids[i] = spec.id;
      cr_assert (fixture_submit (&f, &spec));
    }
  cr_assert_eq (running = turn (&f, running), ids[1]);
  cr_assert_eq (running = turn (&f, running), ids[2]);
  cr_assert_eq (running = turn (&f, running), ids[0]);
  fixture_clear (&f);
}

/* One trainer sends 300 samples, then two others send 100 each, one of them with twice the share.
 * First come, first served would leave both idle until the 300 are done. */
Test (admission, shares_are_fair_and_weighted)
{
  Fixture f;
  int taken[3] = { 0 };

  fixture_init (&f, &settings, 1, 1);
  f.pool.live_reserve = 0;
  fixture_configure (&f);

  LcRequestId running = fill (&f, 1);
  LcRequestId base = f.last_id;

  for (int i = 0; i < 500; i++)
    {
      const char *caller = i < 300 ? "a" : i < 400 ? "b" : "c";
      LcRequestSpec spec = spec_of (&f, LC_KIND_SAMPLE, caller, i < 400 ? 1 : 2);

      cr_assert (fixture_submit (&f, &spec));
    }
  for (int i = 0; i < 160; i++)
    {
      running = turn (&f, running);
      taken[running - base <= 300 ? 0 : running - base <= 400 ? 1 : 2]++;
    }
  cr_assert (abs (taken[0] - 40) <= 1 && abs (taken[1] - 40) <= 1 && abs (taken[2] - 80) <= 1,
             "%d %d %d", taken[0], taken[1], taken[2]);
  fixture_clear (&f);
}

/* A caller keeps just one call waiting at any time and sends the next when one is taken. If its
 * turn began afresh each time it would get every second turn from ten callers who queue. */
Test (admission, coming_back_empty_handed_gains_no_turn)
{
  Fixture f;
  int mine = 0;

  fixture_init (&f, &settings, 1, 1);

  LcRequestId running = fill (&f, 1);
  LcRequestSpec own = spec_of (&f, LC_KIND_LIVE, "greedy", 1);
  char name[16];

  for (int i = 0; i < 200; i++)
    {
      snprintf (name, sizeof name, "shop-%d", i % 10);

      LcRequestSpec spec = spec_of (&f, LC_KIND_LIVE, name, 1);

      cr_assert (fixture_submit (&f, &spec));
    }
  fixture_submit (&f, &own);
  for (int i = 0; i < 110; i++)
    {
      running = turn (&f, running);
      if (running != own.id)
        continue;
      mine++;
      own = spec_of (&f, LC_KIND_LIVE, "greedy", 1);
      fixture_submit (&f, &own);
    }
  cr_assert (mine >= 9 && mine <= 11, "%d", mine);
  fixture_clear (&f);
}

/* A caller was quiet while others were served a hundred times, and then sends fifty calls at once.
 * If it were owed the turns it did not ask for, the others would stand still meanwhile. */
Test (admission, silence_saves_up_no_turns)
{
  Fixture f;
  int late = 0;

  fixture_init (&f, &settings, 1, 1);

  LcRequestId running = fill (&f, 1);

  for (int i = 0; i < 200; i++)
    {
      LcRequestSpec spec = spec_of (&f, LC_KIND_LIVE, "steady", 1);

      cr_assert (fixture_submit (&f, &spec));
    }
  for (int i = 0; i < 100; i++)
    running = turn (&f, running);

  LcRequestId last_of_steady = f.last_id;

  for (int i = 0; i < 50; i++)
    {
      LcRequestSpec spec = spec_of (&f, LC_KIND_LIVE, "late", 1);

      cr_assert (fixture_submit (&f, &spec));
    }
  for (int i = 0; i < 40; i++)
    {
      running = turn (&f, running);
      late += running > last_of_steady;
    }
  cr_assert (late >= 19 && late <= 21, "%d", late);
  fixture_clear (&f);
}

/* The queue is full of samples when a shopper calls. The shopper gets a place; the sample that is
 * furthest over its trainer's share is told "not run" and when to come back. A further sample of
 * that trainer is refused. */
Test (admission, full_queue_sheds_the_least_valuable)
{
  LcDispatchSettings small = settings;
  Fixture f;

  small.queue_limit = 10;
  fixture_init (&f, &small, 1, 1);
  fill (&f, 1);
  for (int i = 0; i < 10; i++)
    {
      LcRequestSpec spec = spec_of (&f, LC_KIND_SAMPLE, i < 8 ? "many" : "few", 1);

      cr_assert (fixture_submit (&f, &spec));
    }

  LcRequestId last_of_many = f.last_id - 2;
  LcRequestSpec live = spec_of (&f, LC_KIND_LIVE, "shop", 1);

  cr_assert (fixture_submit (&f, &live));

  LcAction finish = fixture_expect (&f, LC_ACTION_FINISH, last_of_many);

  cr_assert_eq (finish.error, LB_ERROR_OVERLOADED);
  cr_assert_gt (finish.retry_after, 0);

  LcRequestSpec more = spec_of (&f, LC_KIND_SAMPLE, "many", 1);
  LcRequestSpec fair = spec_of (&f, LC_KIND_SAMPLE, "new", 1);

  cr_assert_not (fixture_submit (&f, &more));
  cr_assert_eq (f.error.code, LB_ERROR_OVERLOADED);
  cr_assert_gt (f.retry_after, 0);
  cr_assert (fixture_submit (&f, &fair));
  cr_assert_eq (lc_dispatch_count_waiting (f.dispatch, LC_KIND_SAMPLE), 9);
  fixture_clear (&f);
}

/* The queue is longer than what can be served before a call's deadline. Let in, the call would wait
 * in vain and be given up on at its deadline; refused at once, its caller can go elsewhere. The
 * hint covers the queue. A call with more time is let in, and one of a caller with nothing queued
 * has less before it. */
Test (admission, hopeless_calls_are_refused_early)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestId running = fill (&f, 1);

  for (int i = 0; i < 60; i++)
    {
      LcRequestSpec spec = spec_of (&f, LC_KIND_LIVE, "shop", 1);

      cr_assert (fixture_submit (&f, &spec));
    }
  for (int i = 0; i < 10; i++)
    {
      f.now += 490 * LB_MSEC;
      running = turn (&f, running);
    }

  LcRequestSpec hopeless = spec_of (&f, LC_KIND_LIVE, "shop", 1);

  hopeless.deadline = f.now + 20 * LB_SEC;
  cr_assert_not (fixture_submit (&f, &hopeless));
  cr_assert_eq (f.error.code, LB_ERROR_OVERLOADED);
  cr_assert (f.retry_after >= 20 * LB_SEC && f.retry_after <= 40 * LB_SEC, "hint %ld ms",
             (long)(f.retry_after / LB_MSEC));

  LcRequestSpec patient = spec_of (&f, LC_KIND_LIVE, "shop", 1);
  LcRequestSpec other = spec_of (&f, LC_KIND_LIVE, "clerk", 1);

  patient.deadline = f.now + 60 * LB_SEC;
  other.deadline = f.now + 20 * LB_SEC;
  cr_assert (fixture_submit (&f, &patient));
  cr_assert (fixture_submit (&f, &other));
  fixture_clear (&f);
}

/* Samples fill an engine. The places kept for live calls stay free, so the shopper that comes then
 * is served at once. */
Test (admission, reserve_is_kept_for_live_calls)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 8);
  for (int i = 0; i < 20; i++)
    {
      LcRequestSpec spec = spec_of (&f, LC_KIND_SAMPLE, "trainer", 1);

      cr_assert (fixture_submit (&f, &spec));
    }
  cr_assert_eq (lc_dispatch_count_waiting (f.dispatch, LC_KIND_SAMPLE), 14);

  LcRequestSpec live = spec_of (&f, LC_KIND_LIVE, "shop", 1);

  cr_assert (fixture_submit (&f, &live));
  fixture_expect (&f, LC_ACTION_SEND, live.id);
  fixture_clear (&f);
}

/* A sample needs weights that no engine has yet. The samples behind it, of the same trainer and of
 * others, need none in particular and the engines are idle: they must not wait behind it. */
Test (admission, a_sample_that_fits_nowhere_blocks_nobody)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 8);

  LcRequestSpec newest = spec_of (&f, LC_KIND_SAMPLE, "trainer", 1);
  LcRequestSpec same = spec_of (&f, LC_KIND_SAMPLE, "trainer", 1);
  LcRequestSpec other = spec_of (&f, LC_KIND_SAMPLE, "other", 1);

  newest.min_version = 41;
  newest.priority = 1;
  cr_assert (fixture_submit (&f, &newest));
  cr_assert (fixture_submit (&f, &same));
  cr_assert (fixture_submit (&f, &other));
  fixture_expect (&f, LC_ACTION_SEND, same.id);
  fixture_expect (&f, LC_ACTION_SEND, other.id);
  cr_assert_eq (lc_dispatch_count_waiting (f.dispatch, LC_KIND_SAMPLE), 1);

  LcLoadReport report = { .incarnation = "e1-1", .version = 41, .measured_at = f.now };

  lc_dispatch_record_load (f.dispatch, "e1", &report, f.now, &f.actions);
  fixture_expect (&f, LC_ACTION_SEND, newest.id);
  fixture_clear (&f);
}

/* A call that was refused by an engine waits again. It came first and goes first: put at the end, a
 * busy queue could pass it over until its deadline. */
Test (admission, a_retry_keeps_its_place)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);

  LcRequestId first = fill (&f, 1);

  for (int i = 0; i < 5; i++)
    {
      LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

      cr_assert (fixture_submit (&f, &spec));
    }
  fixture_end (&f, first, 1, LC_END_REFUSED);

  LcRequestId running = fixture_expect (&f, LC_ACTION_SEND, first + 1).request;

  fixture_at (&f, f.now + 5 * LB_SEC);
  cr_assert_eq (turn (&f, running), first);
  fixture_clear (&f);
}

/* Hundreds of calls of many callers and kinds, some of which go away: the queue must be empty and
 * whole in the end, whatever was taken, removed or set aside in between. */
Test (admission, nothing_is_lost_in_a_long_queue)
{
  Fixture f;
  LcRequestId running = 0;
  size_t n_turns = 0;

  fixture_init (&f, &settings, 1, 1);
  running = fill (&f, 1);
  for (int i = 0; i < 900; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "caller-%d", i % 37);

      LcRequestSpec spec = spec_of (&f, i % 3 ? LC_KIND_LIVE : LC_KIND_SAMPLE, name, 1 + i % 5);

      spec.priority = i % 7 - 3;
      cr_assert (fixture_submit (&f, &spec));
      if (i % 11 == 0)
        lc_dispatch_cancel (f.dispatch, spec.id - 5, f.now, &f.actions);
    }
  fixture_drop_actions (&f);

  size_t waiting = lc_dispatch_count_waiting (f.dispatch, LC_KIND_LIVE)
                   + lc_dispatch_count_waiting (f.dispatch, LC_KIND_SAMPLE);

  while ((running = turn (&f, running)))
    n_turns++;
  cr_assert_eq (n_turns, waiting);
  cr_assert_eq (lc_dispatch_count_in_progress (f.dispatch), 0);
  fixture_clear (&f);
}
