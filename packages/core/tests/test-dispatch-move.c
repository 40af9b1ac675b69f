#include "dispatch-fixture.h"

#define FAST_INTERVAL (70 * LB_MSEC)
#define SLOW_INTERVAL (170 * LB_MSEC)

/* Two engines with one slot each, of which one is slow. A sample runs on each, a third waits. */
typedef struct
{
  Fixture f;
  LcRequestId slow, fast, waiting;
  LbName slow_engine, fast_engine;
  int64_t n_slow, n_fast; /* pieces received */
} MoveFixture;

static LcRequestId
submit_sample (MoveFixture *m, const char *preferred)
{
  LcRequestSpec spec = fixture_make_request_spec (&m->f, LC_KIND_SAMPLE);

  LB_COPY (spec.preferred_endpoint, preferred);
  cr_assert (fixture_submit_request (&m->f, &spec));
  return spec.id;
}

static void
report_loads (MoveFixture *m)
{
  LcLoadReport report = { .incarnation = "1", .version = 1, .running = 1 };

  report.measured_at = m->f.now;
  lc_dispatch_record_load_report (m->f.dispatch, m->slow_engine, &report, m->f.now, &m->f.actions);
  lc_dispatch_record_load_report (m->f.dispatch, m->fast_engine, &report, m->f.now, &m->f.actions);
}

/* Streams both samples until the lasting paces of the engines are known. */
static void
stream_samples (MoveFixture *m)
{
  LbTime start = m->f.now;

  for (; m->f.now < start + 4 * LB_SEC; m->f.now += 10 * LB_MSEC)
    {
      if ((m->f.now - start) % (200 * LB_MSEC) == 0)
        report_loads (m);
      if ((m->f.now - start) % FAST_INTERVAL == 0)
        fixture_deliver_piece (&m->f, m->fast, 1, m->n_fast++, 1, false);
      if ((m->f.now - start) % SLOW_INTERVAL == 0)
        fixture_deliver_piece (&m->f, m->slow, 1, m->n_slow++, 1, false);
    }
}

static void
move_fixture_init (MoveFixture *m)
{
  const LcDispatchSettings settings = { .queue_limit = 100, .retry_budget = 1, .seed = 3 };

  memset (m, 0, sizeof *m);
  fixture_init (&m->f, &settings, 2, 1);
  m->f.pool.live_reserve = 0;
  fixture_apply_endpoint_set (&m->f);
  m->slow = submit_sample (m, "");
  LB_COPY (m->slow_engine,
           fixture_expect_action_of_request (&m->f, LC_ACTION_SEND, m->slow).endpoint);
  m->fast = submit_sample (m, "");
  LB_COPY (m->fast_engine,
           fixture_expect_action_of_request (&m->f, LC_ACTION_SEND, m->fast).endpoint);
  m->waiting = submit_sample (m, "");
  stream_samples (m);
}

static LcMoveDecision
decide_move_of_slow_sample (MoveFixture *m)
{
  const LcMoveProposal proposal = { .remaining_tokens = 50,
                                    .recent_token_seconds = 0.17,
                                    .usual_token_seconds = 0.1,
                                    .decides_step = true };

  return lc_dispatch_decide_move (m->f.dispatch, m->slow, &proposal, m->f.now);
}

static void
finish_fast_sample (MoveFixture *m)
{
  fixture_deliver_piece (&m->f, m->fast, 1, m->n_fast, 1, true);
  fixture_end_attempt (&m->f, m->fast, 1, LC_END_COMPLETE);
}

/* The slot of the fast sample must be kept for the slow one, which found no free slot. */
static void
finish_fast_sample_and_expect_kept_slot (MoveFixture *m)
{
  LcAction action;

  cr_assert_eq (decide_move_of_slow_sample (m).reason, LC_MOVE_NO_FREE_SLOT);
  finish_fast_sample (m);
  cr_assert_not (fixture_take_action_of_request (&m->f, LC_ACTION_SEND, m->waiting, &action));
}

/* Each slot that becomes free was given to a waiting request at once, so a text for which a whole
 * step waited stayed on its slow engine. */
Test (dispatch_move, next_free_slot_is_kept_for_a_text_that_decides_its_step)
{
  MoveFixture m;
  LcMoveDecision decision;
  LcAction action;

  move_fixture_init (&m);
  finish_fast_sample_and_expect_kept_slot (&m);
  decision = decide_move_of_slow_sample (&m);
  cr_assert_eq (decision.reason, LC_MOVE_LASTING_PACE, "%s", lc_move_reason_name (decision.reason));
  cr_assert_str_eq (decision.endpoint, m.fast_engine);
  lc_dispatch_cancel (m.f.dispatch, m.slow, m.f.now, &m.f.actions);
  action = fixture_expect_action_of_request (&m.f, LC_ACTION_SEND, m.waiting);
  cr_assert_str_eq (action.endpoint, m.slow_engine);
  action = fixture_expect_action_of_request (&m.f, LC_ACTION_SEND,
                                             submit_sample (&m, decision.endpoint));
  cr_assert_str_eq (action.endpoint, m.fast_engine);
  fixture_clear (&m.f);
}

/* A text that ends or breaks off never uses the slot that is kept for it, which would stay idle. */
Test (dispatch_move, kept_slot_is_given_to_a_waiting_request_after_a_while)
{
  MoveFixture m;
  LcAction action;

  move_fixture_init (&m);
  finish_fast_sample_and_expect_kept_slot (&m);
  fixture_tick_dispatch_at (&m.f, m.f.now + 500 * LB_MSEC);
  action = fixture_expect_action_of_request (&m.f, LC_ACTION_SEND, m.waiting);
  cr_assert_str_eq (action.endpoint, m.fast_engine);
  fixture_clear (&m.f);
}

/* A sample that has ended or waits for an endpoint can't move. */
Test (dispatch_move, only_running_samples_move)
{
  const LcMoveProposal proposal = { .remaining_tokens = 50, .recent_token_seconds = 1 };
  MoveFixture m;

  move_fixture_init (&m);
  cr_assert_eq (lc_dispatch_decide_move (m.f.dispatch, m.waiting, &proposal, m.f.now).reason,
                LC_MOVE_NOT_RUNNING);
  finish_fast_sample (&m);
  cr_assert_eq (lc_dispatch_decide_move (m.f.dispatch, m.fast, &proposal, m.f.now).reason,
                LC_MOVE_NOT_RUNNING);
  fixture_clear (&m.f);
}
