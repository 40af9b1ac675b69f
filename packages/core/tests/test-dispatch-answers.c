#include "dispatch-fixture.h"

static const LcDispatchSettings settings
    = { .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .retry_budget = 0.2, .seed = 1 };

static const LcDispatchSettings hedging_settings = { .max_report_age = LB_TIME_NEVER,
                                                     .queue_limit = 100,
                                                     .retry_budget = 0.2,
                                                     .hedge_after = LB_SEC,
                                                     .seed = 1 };

/* Submits a request and returns its first attempt. */
static LcAction
submit_request_and_take_first_attempt (Fixture *f, LcRequestSpec *spec)
{
  cr_assert (fixture_submit_request (f, spec));
  return fixture_expect_action_of_request (f, LC_ACTION_SEND, spec->id);
}

/* Advances the time past the retry delay and returns the next attempt of the request. */
static LcAction
wait_for_retry_and_take_attempt (Fixture *f, const LcRequestSpec *spec)
{
  fixture_tick_dispatch_at (f, f->now + 3 * LB_SEC);
  return fixture_expect_action_of_request (f, LC_ACTION_SEND, spec->id);
}

/* The connection of the first attempt breaks before its first piece, and a second attempt starts at
 * another engine. Buffered pieces of the first attempt arrive later. Forwarding them would mix two
 * answers. */
Test (answers, late_pieces_of_an_earlier_attempt_are_dropped)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcAction first = submit_request_and_take_first_attempt (&f, &spec);

  fixture_end_attempt (&f, spec.id, 1, LC_END_BROKEN);

  LcAction second = wait_for_retry_and_take_attempt (&f, &spec);

  cr_assert_eq (second.attempt, 2);
  cr_assert_str_neq (second.endpoint, first.endpoint);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 0, 2, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 2, 0, 2, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 2, 2, true), LC_PIECE_DROP);
  fixture_end_attempt (&f, spec.id, 1, LC_END_COMPLETE);
  cr_assert_eq (lc_dispatch_count_requests_in_progress (f.dispatch), 1);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 2, 2, 2, true), LC_PIECE_FORWARD);
  fixture_end_attempt (&f, spec.id, 2, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 2, 4, 1, false), LC_PIECE_DROP);
  fixture_clear (&f);
}

/* An engine repeats a piece and later skips one. Without a check of the offsets, the answer would
 * repeat or lack tokens unnoticed. The repeated piece must be dropped. At the gap, the attempt must
 * count as broken and another engine resume the answer after the last forwarded token. */
Test (answers, repeated_pieces_are_dropped_and_gaps_break_the_attempt)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  submit_request_and_take_first_attempt (&f, &spec);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 0, 2, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 0, 2, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 2, 1, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 5, 1, false), LC_PIECE_DROP);
  fixture_expect_action_of_request (&f, LC_ACTION_CANCEL, spec.id);
  cr_assert_eq (wait_for_retry_and_take_attempt (&f, &spec).resume_at, 3);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 2, 2, 2, false), LC_PIECE_DROP,
                "a piece that overlaps forwarded tokens was forwarded");
  cr_assert_eq (wait_for_retry_and_take_attempt (&f, &spec).resume_at, 3);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 3, 3, 1, true), LC_PIECE_FORWARD);
  fixture_end_attempt (&f, spec.id, 3, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
  fixture_clear (&f);
}

/* An engine crashes while it streams an answer. Another engine must resume the answer at the first
 * token that was not forwarded yet. */
Test (answers, broken_stream_resumes_at_the_last_offset)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcAction first = submit_request_and_take_first_attempt (&f, &spec);

  fixture_deliver_piece (&f, spec.id, 1, 0, 5, false);
  fixture_end_attempt (&f, spec.id, 1, LC_END_BROKEN);

  LcAction second = wait_for_retry_and_take_attempt (&f, &spec);

  cr_assert_eq (second.resume_at, 5);
  cr_assert_str_neq (second.endpoint, first.endpoint);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 2, 5, 5, true), LC_PIECE_FORWARD);
  fixture_end_attempt (&f, spec.id, 2, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
  fixture_clear (&f);
}

/* A broken stream of a request that can't be resumed must fail at once. A second generation from
 * the start would not match the tokens that the caller has already received. */
Test (answers, broken_stream_that_cannot_resume_fails)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  spec.resumable = false;
  submit_request_and_take_first_attempt (&f, &spec);
  fixture_deliver_piece (&f, spec.id, 1, 0, 5, false);
  fixture_end_attempt (&f, spec.id, 1, LC_END_BROKEN);

  LcAction finish = fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id);

  cr_assert_eq (finish.error, LB_ERROR_STREAM_BROKEN);
  cr_assert_gt (finish.retry_after, 0);
  fixture_clear (&f);
}

/* A connection that closes before the end marker must not look like the end of a short answer. The
 * loss of a connection after the end marker must not fail a complete answer. */
Test (answers, only_the_end_marker_completes_an_answer)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 4);

  LcRequestSpec truncated = fixture_make_request_spec (&f, LC_KIND_LIVE);

  truncated.resumable = false;
  submit_request_and_take_first_attempt (&f, &truncated);
  fixture_deliver_piece (&f, truncated.id, 1, 0, 10, false);
  fixture_end_attempt (&f, truncated.id, 1, LC_END_BROKEN);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, truncated.id).error,
                LB_ERROR_STREAM_BROKEN);

  LcRequestSpec complete = fixture_make_request_spec (&f, LC_KIND_LIVE);

  submit_request_and_take_first_attempt (&f, &complete);
  fixture_deliver_piece (&f, complete.id, 1, 0, 10, true);
  cr_assert_eq (fixture_deliver_piece (&f, complete.id, 1, 10, 1, false), LC_PIECE_DROP);
  fixture_end_attempt (&f, complete.id, 1, LC_END_BROKEN);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, complete.id).error, LB_OK);
  fixture_clear (&f);
}

/* A slow attempt is hedged, then both attempts start to answer. The caller must receive the pieces
 * of one attempt only. */
Test (answers, only_the_first_attempt_to_answer_is_forwarded)
{
  Fixture f;

  fixture_init (&f, &hedging_settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);
  LcAction first = submit_request_and_take_first_attempt (&f, &spec);

  fixture_tick_dispatch_at (&f, f.now + 2 * LB_SEC);

  LcAction second = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);

  cr_assert_str_neq (second.endpoint, first.endpoint);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 2, 0, 1, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_CANCEL, spec.id).attempt, 1);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 0, 1, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 1, 1, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 2, 1, 1, true), LC_PIECE_FORWARD);
  fixture_end_attempt (&f, spec.id, 2, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).attempt, 2);
  fixture_clear (&f);
}

/* Pieces of two attempts of a buffered request are collected. The final result must name the
 * attempt that is complete first, and the other attempt is cancelled. */
Test (answers, first_complete_buffered_attempt_wins)
{
  Fixture f;

  fixture_init (&f, &hedging_settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  spec.delivery = LC_DELIVER_BUFFERED;
  submit_request_and_take_first_attempt (&f, &spec);
  fixture_tick_dispatch_at (&f, f.now + 2 * LB_SEC);
  fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 0, 3, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 2, 0, 4, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 2, 4, 4, true), LC_PIECE_FORWARD);
  fixture_end_attempt (&f, spec.id, 2, LC_END_COMPLETE);

  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_CANCEL, spec.id).attempt, 1);

  LcAction finish = fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id);

  cr_assert_eq (finish.error, LB_OK);
  cr_assert_eq (finish.attempt, 2);
  fixture_clear (&f);
}

/* At the deadline of a running request, the caller gets the failure at once, and the attempt is
 * cancelled, which frees the engine. */
Test (answers, deadline_ends_a_running_answer)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  spec.deadline = f.now + 5 * LB_SEC;
  submit_request_and_take_first_attempt (&f, &spec);
  fixture_deliver_piece (&f, spec.id, 1, 0, 1, false);
  cr_assert_eq (lc_dispatch_next_tick (f.dispatch), spec.deadline);
  fixture_tick_dispatch_at (&f, spec.deadline);
  fixture_expect_action_of_request (&f, LC_ACTION_CANCEL, spec.id);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error,
                LB_ERROR_DEADLINE);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 1, 1, true), LC_PIECE_DROP);
  fixture_clear (&f);
}

/* An engine crashes during about fifteen streams of which pieces were forwarded, while another
 * engine has capacity. If resumed streams were charged to the retry budget like retries, the budget
 * would be exhausted after three, and twelve callers would be left with half an answer. */
Test (answers, all_streams_of_a_crashed_engine_resume)
{
  Fixture f;
  LcRequestSpec specs[30];
  int n_resumed = 0;

  fixture_init (&f, &settings, 2, 30);
  for (int i = 0; i < 30; i++)
    {
      specs[i] = fixture_make_request_spec (&f, LC_KIND_LIVE);
      cr_assert (fixture_submit_request (&f, &specs[i]));
    }
  bool on_first[30];
  for (int i = 0; i < 30; i++)
    on_first[i]
        = strcmp (fixture_expect_action_of_request (&f, LC_ACTION_SEND, specs[i].id).endpoint, "e1")
          == 0;
  for (int i = 0; i < 30; i++)
    fixture_deliver_piece (&f, specs[i].id, 1, 0, 5, false);
  for (int i = 0; i < 30; i++)
    if (on_first[i])
      fixture_end_attempt (&f, specs[i].id, 1, LC_END_BROKEN);
  fixture_free_pending_actions (&f);
  fixture_tick_dispatch_at (&f, f.now + 2 * LB_SEC);
  LB_LIST_FOREACH (&f.actions, LcAction, link, action)
  {
    cr_assert_neq (action->type, LC_ACTION_FINISH);
    n_resumed += action->type == LC_ACTION_SEND && strcmp (action->endpoint, "e2") == 0
                 && action->resume_at == 5;
  }
  int expected = 0;
  for (int i = 0; i < 30; i++)
    expected += on_first[i];
  cr_assert_geq (expected, 10);
  cr_assert_eq (n_resumed, expected);
  fixture_clear (&f);
}

/* If a submitter counts endpoint failures itself, each failure must be final. If the dispatch
 * retried too, an item would run more often than its route allows. */
Test (dispatch_answers, a_failure_is_final_for_a_submitter_that_counts_failures)
{
  Fixture f;
  LcAction send;
  LcAction finish;
  const LcDispatchSettings large_retry_budget = { .retry_budget = 1, .seed = 1 };

  fixture_init (&f, &large_retry_budget, 2, 4);
  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_SAMPLE);
  spec.failure_is_final = true;
  cr_assert (fixture_submit_request (&f, &spec));
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, spec.id, &send));
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, send.attempt, LC_END_FAILED, f.now,
                                  &f.actions);
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_FINISH, spec.id, &finish));
  cr_assert_eq (finish.error, LB_ERROR_ENDPOINT_FAILED);
  fixture_clear (&f);
}

/* If an engine replies that a request can never succeed, no other engine may be tried. */
Test (dispatch_answers, a_rejection_is_final)
{
  Fixture f;
  LcAction send;
  LcAction finish;
  const LcDispatchSettings large_retry_budget = { .retry_budget = 1, .seed = 1 };

  fixture_init (&f, &large_retry_budget, 2, 4);
  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_SAMPLE);
  cr_assert (fixture_submit_request (&f, &spec));
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, spec.id, &send));
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, send.attempt, LC_END_REJECTED, f.now,
                                  &f.actions);
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_FINISH, spec.id, &finish));
  cr_assert_eq (finish.error, LB_ERROR_REJECTED);
  fixture_clear (&f);
}

/* The route allows two attempts. There must be no third attempt, even if the retry budget has room.
 */
Test (dispatch_answers, no_more_attempts_than_the_request_allows)
{
  Fixture f;
  LcAction action;
  const LcDispatchSettings large_retry_budget = { .retry_budget = 10, .seed = 1 };
  int sent = 0;

  fixture_init (&f, &large_retry_budget, 4, 4);
  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_SAMPLE);
  spec.max_attempts = 2;
  cr_assert (fixture_submit_request (&f, &spec));
  for (int i = 0; i < 20; i++)
    {
      while (fixture_take_action_of_request (&f, LC_ACTION_SEND, spec.id, &action))
        {
          sent++;
          lc_dispatch_record_attempt_end (f.dispatch, spec.id, action.attempt, LC_END_BROKEN, f.now,
                                          &f.actions);
        }
      f.now += 100 * LB_MSEC;
      lc_dispatch_tick (f.dispatch, f.now, &f.actions);
    }
  cr_assert_eq (sent, 2);
  fixture_clear (&f);
}

/* A service endpoint never answers. Without a hedge, the caller waited until its deadline. When the
 * time hedge_after of the request has passed, the call must be sent to a second endpoint. */
Test (dispatch_answers, a_repeatable_service_call_is_hedged_after_its_own_delay)
{
  Fixture f;
  LcAction first;
  LcAction second;
  const LcDispatchSettings large_retry_budget = { .retry_budget = 1, .seed = 1 };

  fixture_init (&f, &large_retry_budget, 1, 4);
  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_SERVICE);
  spec.hedge_after = 100 * LB_MSEC;
  spec.max_attempts = 2;
  spec.deadline = f.now + 2 * LB_SEC;
  cr_assert (fixture_submit_request (&f, &spec));
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, spec.id, &first));
  f.now += 50 * LB_MSEC;
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  cr_assert_not (fixture_take_action_of_request (&f, LC_ACTION_SEND, spec.id, &second));
  f.now += 60 * LB_MSEC;
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, spec.id, &second));
  cr_assert_str_neq (first.endpoint, second.endpoint);
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, second.attempt, LC_END_COMPLETE, f.now,
                                  &f.actions);
  fixture_clear (&f);
}

/* The first attempt hangs at an unresponsive service endpoint, and the hedge can't connect to an
 * unreachable one. If the failed connection used up the hedge, the caller would wait until its
 * deadline although a third endpoint is idle. */
Test (dispatch_answers, a_hedge_that_could_not_connect_is_retried_elsewhere)
{
  Fixture f;
  LcAction first;
  LcAction second;
  LcAction third;
  const LcDispatchSettings large_retry_budget = { .retry_budget = 1, .seed = 1 };

  fixture_init (&f, &large_retry_budget, 1, 4);
  fixture_add_endpoint (&f, "s3", LC_ENDPOINT_SERVICE, "lookup", 4);
  fixture_apply_endpoint_set (&f);
  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_SERVICE);
  spec.hedge_after = 100 * LB_MSEC;
  spec.max_attempts = 2;
  spec.deadline = f.now + 2 * LB_SEC;
  cr_assert (fixture_submit_request (&f, &spec));
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, spec.id, &first));
  f.now += 110 * LB_MSEC;
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, spec.id, &second));
  f.now += 250 * LB_MSEC;
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, second.attempt, LC_END_NOT_SENT, f.now,
                                  &f.actions);
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, spec.id, &third));
  cr_assert_str_neq (third.endpoint, first.endpoint);
  cr_assert_str_neq (third.endpoint, second.endpoint);
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, third.attempt, LC_END_COMPLETE, f.now,
                                  &f.actions);
  fixture_clear (&f);
}

static LcRequestSpec
new_hedged_sample_spec (Fixture *f)
{
  LcRequestSpec spec = fixture_make_request_spec (f, LC_KIND_SAMPLE);

  spec.delivery = LC_DELIVER_STREAM;
  spec.hedge_after = 600 * LB_MSEC;
  return spec;
}

/* Removes actions from the list until one is a SEND, and copies the SEND to *action. Returns false
 * if there is none. */
static bool
take_next_send_action (Fixture *f, LcAction *action)
{
  LbLink *link = NULL;
  bool found = false;

  while (!found && (link = lb_list_pop (&f->actions)))
    {
      LcAction *next = LB_CONTAINER (link, LcAction, link);
      found = next->type == LC_ACTION_SEND;
      *action = *next;
      lc_action_free (next);
    }
  return found;
}

/* Advances the time with a tick every 20 ms, as in a running instance. */
static void
advance_time_with_ticks (Fixture *f, LbTime time)
{
  for (LbTime end = f->now + time; f->now < end;)
    fixture_tick_dispatch_at (f, f->now + 20 * LB_MSEC);
}

static void
deliver_first_piece_of_attempt (Fixture *f, const LcAction *sent)
{
  cr_assert_eq (fixture_deliver_piece (f, sent->request, sent->attempt, 0, 1, false),
                LC_PIECE_FORWARD);
}

/* Submits n samples and returns how many of them were sent to the engine. */
static int
submit_samples_and_count_sent_to_engine (Fixture *f, LcAction *sent, int n, const char *engine)
{
  int count = 0;

  for (int i = 0; i < n; i++)
    {
      LcRequestSpec spec = new_hedged_sample_spec (f);
      cr_assert (fixture_submit_request (f, &spec));
      cr_assert (fixture_take_action_of_request (f, LC_ACTION_SEND, spec.id, &sent[i]));
      count += strcmp (sent[i].endpoint, engine) == 0;
    }
  return count;
}

/* An engine becomes unresponsive just before the samples of a step are sent: it accepts samples and
 * never answers. The trainer waited 2 s, of a step of 8 s, until these streams counted as broken.
 * The engine then looked the least loaded and got further samples. */
Test (dispatch_answers, samples_at_an_unresponsive_engine_are_hedged_elsewhere)
{
  LcAction sent[12];
  LcAction second;
  Fixture f;

  fixture_init (&f, &settings, 3, 6);
  f.pool.live_reserve = 0;
  fixture_apply_endpoint_set (&f);
  int n_hung = submit_samples_and_count_sent_to_engine (&f, sent, 12, "e1");
  cr_assert_gt (n_hung, 3);
  f.now += 100 * LB_MSEC;
  for (int i = 0; i < 12; i++)
    if (strcmp (sent[i].endpoint, "e1") != 0)
      deliver_first_piece_of_attempt (&f, &sent[i]);
  advance_time_with_ticks (&f, 520 * LB_MSEC);
  int hedged = 0;
  while (take_next_send_action (&f, &second))
    {
      cr_assert_str_neq (second.endpoint, "e1");
      deliver_first_piece_of_attempt (&f, &second);
      hedged++;
    }
  cr_assert_eq (hedged, n_hung, "%d of %d samples were hedged, expected all", hedged, n_hung);
  cr_assert_eq (
      lc_endpoints_find (lc_dispatch_get_endpoints (f.dispatch), "e1")->consecutive_failures,
      n_hung);
  fixture_clear (&f);
}

/* All other engines are full when the hedge of a sample is due; one of them has capacity a moment
 * later. The sample was not sent to that engine, because its only hedge counted as used although no
 * engine had been found for it. */
Test (dispatch_answers, a_hedge_without_an_endpoint_is_tried_again)
{
  LcAction sent[4];
  LcAction second;
  Fixture f;

  fixture_init (&f, &settings, 2, 2);
  submit_samples_and_count_sent_to_engine (&f, sent, 4, "e1");
  f.now += 100 * LB_MSEC;
  for (int i = 1; i < 4; i++)
    deliver_first_piece_of_attempt (&f, &sent[i]);
  advance_time_with_ticks (&f, 520 * LB_MSEC);
  cr_assert_not (take_next_send_action (&f, &second));
  for (int i = 1; i < 4; i++)
    if (strcmp (sent[i].endpoint, sent[0].endpoint) != 0)
      lc_dispatch_record_attempt_end (f.dispatch, sent[i].request, sent[i].attempt, LC_END_COMPLETE,
                                      f.now, &f.actions);
  advance_time_with_ticks (&f, 120 * LB_MSEC);
  cr_assert (take_next_send_action (&f, &second));
  fixture_clear (&f);
}

/* After this instance was paused for 2 s, all its samples seem to be silent. Each sample was
 * hedged, although its first piece was waiting to be read. */
Test (dispatch_answers, a_pause_of_this_instance_causes_no_hedges)
{
  LcAction sent[4];
  LcAction second;
  Fixture f;

  fixture_init (&f, &settings, 3, 6);
  submit_samples_and_count_sent_to_engine (&f, sent, 4, "e1");
  f.now += 2 * LB_SEC;
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  for (int i = 0; i < 4; i++)
    {
      cr_assert_not (take_next_send_action (&f, &second));
      deliver_first_piece_of_attempt (&f, &sent[i]);
    }
  advance_time_with_ticks (&f, LB_SEC);
  cr_assert (lb_list_is_empty (&f.actions));
  fixture_clear (&f);
}

/* All engines are slow to send a first piece. A sample is hedged only after several times the usual
 * time to the first piece. */
Test (dispatch_answers, samples_of_slow_engines_are_hedged_late)
{
  LcAction sent[8];
  LcAction second;
  Fixture f;

  fixture_init (&f, &settings, 3, 6);
  submit_samples_and_count_sent_to_engine (&f, sent, 8, "e1");
  f.now += 500 * LB_MSEC;
  for (int i = 0; i < 7; i++)
    deliver_first_piece_of_attempt (&f, &sent[i]);
  advance_time_with_ticks (&f, LB_SEC);
  cr_assert_not (take_next_send_action (&f, &second));
  advance_time_with_ticks (&f, LB_SEC);
  cr_assert (take_next_send_action (&f, &second));
  fixture_clear (&f);
}
