#include "dispatch-fixture.h"

static const LcDispatchSettings settings
    = { .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .retry_budget = 0.2, .seed = 1 };

static const LcDispatchSettings hedging = { .max_report_age = LB_TIME_NEVER,
                                            .queue_limit = 100,
                                            .retry_budget = 0.2,
                                            .hedge_after = LB_SEC,
                                            .seed = 1 };

/* Submits a live call and returns its first attempt. */
static LcAction
start (Fixture *f, LcRequestSpec *spec)
{
  cr_assert (fixture_submit (f, spec));
  return fixture_expect (f, LC_ACTION_SEND, spec->id);
}

/* The next attempt after a failure, when its delay is over. */
static LcAction
next_attempt (Fixture *f, const LcRequestSpec *spec)
{
  fixture_at (f, f->now + 3 * LB_SEC);
  return fixture_expect (f, LC_ACTION_SEND, spec->id);
}

/* A clerk's call is sent to an engine whose connection breaks before the first word, and is sent to
 * another. Then words of the first arrive after all, from a buffer on the way. Taken for the
 * second's they would give the clerk an answer mixed from two. */
Test (answers, late_pieces_of_an_earlier_attempt_are_dropped)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);
  LcAction first = start (&f, &spec);

  fixture_end (&f, spec.id, 1, LC_END_BROKEN);

  LcAction second = next_attempt (&f, &spec);

  cr_assert_eq (second.attempt, 2);
  cr_assert_str_neq (second.endpoint, first.endpoint);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 0, 2, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_piece (&f, spec.id, 2, 0, 2, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 2, 2, true), LC_PIECE_DROP);
  fixture_end (&f, spec.id, 1, LC_END_COMPLETE);
  cr_assert_eq (lc_dispatch_count_in_progress (f.dispatch), 1);
  cr_assert_eq (fixture_piece (&f, spec.id, 2, 2, 2, true), LC_PIECE_FORWARD);
  fixture_end (&f, spec.id, 2, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
  cr_assert_eq (fixture_piece (&f, spec.id, 2, 4, 1, false), LC_PIECE_DROP);
  fixture_clear (&f);
}

/* A piece comes twice, and later one is missing. What the clerk reads would repeat a word, or jump
 * over one without anybody noticing. The repeat is dropped; at the gap the stream counts as broken
 * and goes on elsewhere from the last word that was passed on. */
Test (answers, repeats_are_dropped_and_gaps_break_the_attempt)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  start (&f, &spec);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 0, 2, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 0, 2, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 2, 1, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 5, 1, false), LC_PIECE_DROP);
  fixture_expect (&f, LC_ACTION_CANCEL, spec.id);
  cr_assert_eq (next_attempt (&f, &spec).resume_at, 3);
  cr_assert_eq (fixture_piece (&f, spec.id, 2, 2, 2, false), LC_PIECE_DROP,
                "a piece that overlaps what was passed on");
  cr_assert_eq (next_attempt (&f, &spec).resume_at, 3);
  cr_assert_eq (fixture_piece (&f, spec.id, 3, 3, 1, true), LC_PIECE_FORWARD);
  fixture_end (&f, spec.id, 3, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
  fixture_clear (&f);
}

/* A shopper reads a reply when its engine crashes. The reply goes on at another engine with the
 * first word not yet shown. */
Test (answers, broken_stream_resumes_at_the_last_offset)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);
  LcAction first = start (&f, &spec);

  fixture_piece (&f, spec.id, 1, 0, 5, false);
  fixture_end (&f, spec.id, 1, LC_END_BROKEN);

  LcAction second = next_attempt (&f, &spec);

  cr_assert_eq (second.resume_at, 5);
  cr_assert_str_neq (second.endpoint, first.endpoint);
  cr_assert_eq (fixture_piece (&f, spec.id, 2, 5, 5, true), LC_PIECE_FORWARD);
  fixture_end (&f, spec.id, 2, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
  fixture_clear (&f);
}

/* The same with an answer that can't be taken up in the middle. A second generation from the start
 * would not fit to what the shopper has read: the answer fails at once, saying that it is broken.
 */
Test (answers, broken_stream_that_cannot_resume_fails)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  spec.resumable = false;
  start (&f, &spec);
  fixture_piece (&f, spec.id, 1, 0, 5, false);
  fixture_end (&f, spec.id, 1, LC_END_BROKEN);

  LcAction finish = fixture_expect (&f, LC_ACTION_FINISH, spec.id);

  cr_assert_eq (finish.error, LB_ERROR_STREAM_BROKEN);
  cr_assert_gt (finish.retry_after, 0);
  fixture_clear (&f);
}

/* The connection closes without the end marker, which looks just like the end of a short answer. It
 * is none. When the marker did come, the closing afterwards takes nothing away. */
Test (answers, only_the_end_marker_makes_it_whole)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 4);

  LcRequestSpec cut = fixture_spec (&f, LC_KIND_LIVE);

  cut.resumable = false;
  start (&f, &cut);
  fixture_piece (&f, cut.id, 1, 0, 10, false);
  fixture_end (&f, cut.id, 1, LC_END_BROKEN);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, cut.id).error, LB_ERROR_STREAM_BROKEN);

  LcRequestSpec whole = fixture_spec (&f, LC_KIND_LIVE);

  start (&f, &whole);
  fixture_piece (&f, whole.id, 1, 0, 10, true);
  cr_assert_eq (fixture_piece (&f, whole.id, 1, 10, 1, false), LC_PIECE_DROP);
  fixture_end (&f, whole.id, 1, LC_END_BROKEN);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, whole.id).error, LB_OK);
  fixture_clear (&f);
}

/* An engine is slow to begin and the call is tried at a second one. Both then begin to answer. The
 * shopper must read one of the two answers, not words of both in turn. */
Test (answers, first_of_two_attempts_is_the_only_one)
{
  Fixture f;

  fixture_init (&f, &hedging, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);
  LcAction first = start (&f, &spec);

  fixture_at (&f, f.now + 2 * LB_SEC);

  LcAction second = fixture_expect (&f, LC_ACTION_SEND, spec.id);

  cr_assert_str_neq (second.endpoint, first.endpoint);
  cr_assert_eq (fixture_piece (&f, spec.id, 2, 0, 1, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_CANCEL, spec.id).attempt, 1);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 0, 1, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 1, 1, false), LC_PIECE_DROP);
  cr_assert_eq (fixture_piece (&f, spec.id, 2, 1, 1, true), LC_PIECE_FORWARD);
  fixture_end (&f, spec.id, 2, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).attempt, 2);
  fixture_clear (&f);
}

/* Two attempts of a call that is answered in one piece both gather words. The first whole one is
 * the answer and names its attempt; the other is closed. */
Test (answers, first_whole_of_two_gathered_attempts_wins)
{
  Fixture f;

  fixture_init (&f, &hedging, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  spec.delivery = LC_DELIVER_BUFFERED;
  start (&f, &spec);
  fixture_at (&f, f.now + 2 * LB_SEC);
  fixture_expect (&f, LC_ACTION_SEND, spec.id);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 0, 3, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_piece (&f, spec.id, 2, 0, 4, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_piece (&f, spec.id, 2, 4, 4, true), LC_PIECE_FORWARD);
  fixture_end (&f, spec.id, 2, LC_END_COMPLETE);

  cr_assert_eq (fixture_expect (&f, LC_ACTION_CANCEL, spec.id).attempt, 1);

  LcAction finish = fixture_expect (&f, LC_ACTION_FINISH, spec.id);

  cr_assert_eq (finish.error, LB_OK);
  cr_assert_eq (finish.attempt, 2);
  fixture_clear (&f);
}

/* An answer is still coming at its deadline. The caller is told at once and the engine is freed. */
Test (answers, deadline_cuts_a_running_answer)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_spec (&f, LC_KIND_LIVE);

  spec.deadline = f.now + 5 * LB_SEC;
  start (&f, &spec);
  fixture_piece (&f, spec.id, 1, 0, 1, false);
  cr_assert_eq (lc_dispatch_next_tick (f.dispatch), spec.deadline);
  fixture_at (&f, spec.deadline);
  fixture_expect (&f, LC_ACTION_CANCEL, spec.id);
  cr_assert_eq (fixture_expect (&f, LC_ACTION_FINISH, spec.id).error, LB_ERROR_DEADLINE);
  cr_assert_eq (fixture_piece (&f, spec.id, 1, 1, 1, true), LC_PIECE_DROP);
  fixture_clear (&f);
}

/* An engine crashes with fifteen streams on it while another engine is free. Each stream has words
 * at its caller already. Were the resumes bounded like retries, the budget would be gone after
 * three and twelve callers would keep half an answer. */
Test (answers, crash_under_many_streams_leaves_none_broken)
{
  Fixture f;
  LcRequestSpec specs[30];
  int moved = 0;

  fixture_init (&f, &settings, 2, 30);
  for (int i = 0; i < 30; i++)
    {
      specs[i] = fixture_spec (&f, LC_KIND_LIVE);
      cr_assert (fixture_submit (&f, &specs[i]));
    }
  bool on_first[30];
  for (int i = 0; i < 30; i++)
    on_first[i] = strcmp (fixture_expect (&f, LC_ACTION_SEND, specs[i].id).endpoint, "e1") == 0;
  for (int i = 0; i < 30; i++)
    fixture_piece (&f, specs[i].id, 1, 0, 5, false);
  for (int i = 0; i < 30; i++)
    if (on_first[i])
      fixture_end (&f, specs[i].id, 1, LC_END_BROKEN);
  fixture_drop_actions (&f);
  fixture_at (&f, f.now + 2 * LB_SEC);
  LB_LIST_FOREACH (&f.actions, LcAction, link, action)
  {
    cr_assert_neq (action->type, LC_ACTION_FINISH);
    moved += action->type == LC_ACTION_SEND && strcmp (action->endpoint, "e2") == 0
             && action->resume_at == 5;
  }
  int expected = 0;
  for (int i = 0; i < 30; i++)
    expected += on_first[i];
  cr_assert_geq (expected, 10);
  cr_assert_eq (moved, expected);
  fixture_clear (&f);
}

/* A submitter that counts the failures of endpoints itself must hear of each one: were the dispatch
 * to try again by itself, an item would run more often than its route allows. */
Test (dispatch_answers, a_failure_is_final_for_who_counts_failures)
{
  Fixture f;
  LcAction send;
  LcAction finish;
  const LcDispatchSettings eager = { .retry_budget = 1, .seed = 1 };

  fixture_init (&f, &eager, 2, 4);
  LcRequestSpec spec = fixture_spec (&f, LC_KIND_SAMPLE);
  spec.failure_is_final = true;
  cr_assert (fixture_submit (&f, &spec));
  cr_assert (fixture_take (&f, LC_ACTION_SEND, spec.id, &send));
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, send.attempt, LC_END_FAILED, f.now,
                                  &f.actions);
  cr_assert (fixture_take (&f, LC_ACTION_FINISH, spec.id, &finish));
  cr_assert_eq (finish.error, LB_ERROR_ENDPOINT_FAILED);
  fixture_clear (&f);
}

/* An engine says that the request can never be done: no other engine is asked. */
Test (dispatch_answers, a_rejection_is_final)
{
  Fixture f;
  LcAction send;
  LcAction finish;
  const LcDispatchSettings eager = { .retry_budget = 1, .seed = 1 };

  fixture_init (&f, &eager, 2, 4);
  LcRequestSpec spec = fixture_spec (&f, LC_KIND_SAMPLE);
  cr_assert (fixture_submit (&f, &spec));
  cr_assert (fixture_take (&f, LC_ACTION_SEND, spec.id, &send));
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, send.attempt, LC_END_REJECTED, f.now,
                                  &f.actions);
  cr_assert (fixture_take (&f, LC_ACTION_FINISH, spec.id, &finish));
  cr_assert_eq (finish.error, LB_ERROR_REJECTED);
  fixture_clear (&f);
}

/* The operator allows two endpoints for one request: a third attempt would break that, however many
 * retries the budgets hold. */
Test (dispatch_answers, no_more_attempts_than_the_request_allows)
{
  Fixture f;
  LcAction action;
  const LcDispatchSettings eager = { .retry_budget = 10, .seed = 1 };
  int sent = 0;

  fixture_init (&f, &eager, 4, 4);
  LcRequestSpec spec = fixture_spec (&f, LC_KIND_SAMPLE);
  spec.max_attempts = 2;
  cr_assert (fixture_submit (&f, &spec));
  for (int i = 0; i < 20; i++)
    {
      while (fixture_take (&f, LC_ACTION_SEND, spec.id, &action))
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

/* A plain service swallows a lookup. The clerk waited until the deadline; a second endpoint is
 * asked once most of the time is gone in which the answer is worth most. */
Test (dispatch_answers, a_repeatable_call_of_a_service_is_hedged_by_its_own_time)
{
  Fixture f;
  LcAction first;
  LcAction second;
  const LcDispatchSettings eager = { .retry_budget = 1, .seed = 1 };

  fixture_init (&f, &eager, 1, 4);
  LcRequestSpec spec = fixture_spec (&f, LC_KIND_SERVICE);
  spec.hedge_after = 100 * LB_MSEC;
  spec.max_attempts = 2;
  spec.deadline = f.now + 2 * LB_SEC;
  cr_assert (fixture_submit (&f, &spec));
  cr_assert (fixture_take (&f, LC_ACTION_SEND, spec.id, &first));
  f.now += 50 * LB_MSEC;
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  cr_assert_not (fixture_take (&f, LC_ACTION_SEND, spec.id, &second));
  f.now += 60 * LB_MSEC;
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  cr_assert (fixture_take (&f, LC_ACTION_SEND, spec.id, &second));
  cr_assert_str_neq (first.endpoint, second.endpoint);
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, second.attempt, LC_END_COMPLETE, f.now,
                                  &f.actions);
  fixture_clear (&f);
}

/* A service has one endpoint that has gone dark and one that is gone. A lookup hangs at the first;
 * its second try can't connect, and the clerk waits out the deadline although the third endpoint is
 * idle. A try that asked nobody leaves the hedge open. */
Test (dispatch_answers, a_hedge_that_could_not_connect_is_made_elsewhere)
{
  Fixture f;
  LcAction first;
  LcAction second;
  LcAction third;
  const LcDispatchSettings eager = { .retry_budget = 1, .seed = 1 };

  fixture_init (&f, &eager, 1, 4);
  fixture_member (&f, "s3", LC_ENDPOINT_SERVICE, "lookup", 4);
  fixture_configure (&f);
  LcRequestSpec spec = fixture_spec (&f, LC_KIND_SERVICE);
  spec.hedge_after = 100 * LB_MSEC;
  spec.max_attempts = 2;
  spec.deadline = f.now + 2 * LB_SEC;
  cr_assert (fixture_submit (&f, &spec));
  cr_assert (fixture_take (&f, LC_ACTION_SEND, spec.id, &first));
  f.now += 110 * LB_MSEC;
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  cr_assert (fixture_take (&f, LC_ACTION_SEND, spec.id, &second));
  f.now += 250 * LB_MSEC;
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, second.attempt, LC_END_NOT_SENT, f.now,
                                  &f.actions);
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  cr_assert (fixture_take (&f, LC_ACTION_SEND, spec.id, &third));
  cr_assert_str_neq (third.endpoint, first.endpoint);
  cr_assert_str_neq (third.endpoint, second.endpoint);
  lc_dispatch_record_attempt_end (f.dispatch, spec.id, third.attempt, LC_END_COMPLETE, f.now,
                                  &f.actions);
  fixture_clear (&f);
}

static LcRequestSpec
text_spec (Fixture *f)
{
  LcRequestSpec spec = fixture_spec (f, LC_KIND_SAMPLE);

  spec.delivery = LC_DELIVER_STREAM;
  spec.hedge_after = 600 * LB_MSEC;
  return spec;
}

/* The next SEND of any request; all actions before it are dropped. */
static bool
take_send (Fixture *f, LcAction *action)
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

/* Ticks as often as an instance does. */
static void
run_for (Fixture *f, LbTime time)
{
  for (LbTime end = f->now + time; f->now < end;)
    fixture_at (f, f->now + 20 * LB_MSEC);
}

/* The text begins to come. */
static void
begin_text (Fixture *f, const LcAction *sent)
{
  cr_assert_eq (fixture_piece (f, sent->request, sent->attempt, 0, 1, false), LC_PIECE_FORWARD);
}

/* Sends one text to each place and returns how many of them went to the engine. */
static int
send_texts (Fixture *f, LcAction *sent, int n, const char *engine)
{
  int count = 0;

  for (int i = 0; i < n; i++)
    {
      LcRequestSpec spec = text_spec (f);
      cr_assert (fixture_submit (f, &spec));
      cr_assert (fixture_take (f, LC_ACTION_SEND, spec.id, &sent[i]));
      count += strcmp (sent[i].endpoint, engine) == 0;
    }
  return count;
}

/* An engine goes dark just before a step's texts are sent: it takes them and answers nothing. The
 * trainer waited for two of the step's eight seconds until their streams counted as broken, and the
 * engine, which then looked the emptiest, got the next ones. */
Test (dispatch_answers, texts_at_an_engine_gone_dark_go_on_elsewhere)
{
  LcAction sent[12];
  LcAction second;
  Fixture f;

  fixture_init (&f, &settings, 3, 6);
  f.pool.live_reserve = 0;
  fixture_configure (&f);
  int dark = send_texts (&f, sent, 12, "e1");
  cr_assert_gt (dark, 3);
  f.now += 100 * LB_MSEC;
  for (int i = 0; i < 12; i++)
    if (strcmp (sent[i].endpoint, "e1") != 0)
      begin_text (&f, &sent[i]);
  run_for (&f, 520 * LB_MSEC);
  int hedged = 0;
  while (take_send (&f, &second))
    {
      cr_assert_str_neq (second.endpoint, "e1");
      begin_text (&f, &second);
      hedged++;
    }
  cr_assert_eq (hedged, dark, "%d of %d", hedged, dark);
  cr_assert_eq (lc_endpoints_find (lc_dispatch_endpoints (f.dispatch), "e1")->consecutive_failures,
                dark);
  fixture_clear (&f);
}

/* All other engines are full when the text is missed. One becomes free a moment later: the text was
 * not tried there, since its only second attempt had been made and found no place. */
Test (dispatch_answers, a_text_that_found_no_second_place_is_tried_again)
{
  LcAction sent[4];
  LcAction second;
  Fixture f;

  fixture_init (&f, &settings, 2, 2);
  send_texts (&f, sent, 4, "e1");
  f.now += 100 * LB_MSEC;
  for (int i = 1; i < 4; i++)
    begin_text (&f, &sent[i]);
  run_for (&f, 520 * LB_MSEC);
  cr_assert_not (take_send (&f, &second));
  for (int i = 1; i < 4; i++)
    if (strcmp (sent[i].endpoint, sent[0].endpoint) != 0)
      lc_dispatch_record_attempt_end (f.dispatch, sent[i].request, sent[i].attempt, LC_END_COMPLETE,
                                      f.now, &f.actions);
  run_for (&f, 120 * LB_MSEC);
  cr_assert (take_send (&f, &second));
  fixture_clear (&f);
}

/* This instance stands still for a second. All its texts seem to be silent, and each of them was
 * made twice; their first pieces wait to be read. */
Test (dispatch_answers, a_pause_of_this_instance_makes_no_text_twice)
{
  LcAction sent[4];
  LcAction second;
  Fixture f;

  fixture_init (&f, &settings, 3, 6);
  send_texts (&f, sent, 4, "e1");
  f.now += 2 * LB_SEC;
  lc_dispatch_tick (f.dispatch, f.now, &f.actions);
  for (int i = 0; i < 4; i++)
    {
      cr_assert_not (take_send (&f, &second));
      begin_text (&f, &sent[i]);
    }
  run_for (&f, LB_SEC);
  cr_assert (lb_list_is_empty (&f.actions));
  fixture_clear (&f);
}

/* Engines take long to begin. A text is missed only once it is several times as late as usual. */
Test (dispatch_answers, texts_of_slow_engines_are_not_made_twice)
{
  LcAction sent[8];
  LcAction second;
  Fixture f;

  fixture_init (&f, &settings, 3, 6);
  send_texts (&f, sent, 8, "e1");
  f.now += 500 * LB_MSEC;
  for (int i = 0; i < 7; i++)
    begin_text (&f, &sent[i]);
  run_for (&f, LB_SEC);
  cr_assert_not (take_send (&f, &second));
  run_for (&f, LB_SEC);
  cr_assert (take_send (&f, &second));
  fixture_clear (&f);
}
