#include "lc-batch.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MAX_ITEMS 9

/* Batch under test and the actions that it has requested most recently. */
typedef struct
{
  LcBatch *batch;
  LcRequestId last_request_id;
  LbList actions;
  LbTime now;
  LcRequestId generating[MAX_ITEMS]; /* latest generation request of each item; 0: none */
  int64_t resume_at[MAX_ITEMS];
  LbTime latest_start[MAX_ITEMS];
  bool is_group_incomplete[MAX_ITEMS];
  LcRequestId scoring[MAX_ITEMS];
  int n_cancelled;
  int n_preempted;
  LcBatchAction last_preempt;
  LbName preferred_endpoint; /* of the last generation request */
  int64_t first_position;    /* position in the batch's results of the last write's first result */
  char written_items[MAX_ITEMS][16];
  bool completed[MAX_ITEMS];
  size_t n_written; /* number of results in the last write */
  int n_writes;
  size_t n_parts;
  int64_t part_events;
  char part_text[64];
} Fixture;

static LcRequestId
next_request_id (void *user)
{
  return ++((Fixture *)user)->last_request_id;
}

static LcBatchSpec
make_batch_spec (size_t n_items, bool scored)
{
  LcBatchSpec spec = { .min_version = 4, .n_items = n_items };

  LB_COPY (spec.id, "b1");
  LB_COPY (spec.model, "reader");
  spec.items = LB_NEW_ARRAY (LcBatchItemSpec, n_items);
  for (size_t i = 0; i < n_items; i++)
    {
      snprintf (spec.items[i].request.id, LB_NAME_MAX, "item-%zu", i);
      spec.items[i].has_scorer = scored;
      spec.items[i].max_tokens = 10000;
    }
  return spec;
}

static void
record_result_write (Fixture *f, const LcBatchAction *action)
{
  f->n_writes++;
  f->first_position = action->first_position;
  f->n_written = action->n_results;
  for (size_t i = 0; i < action->n_results && i < MAX_ITEMS; i++)
    {
      snprintf (f->written_items[i], sizeof f->written_items[i], "%s", action->results[i]->item);
      f->completed[i] = action->results[i]->completed;
    }
}

static void
record_and_free_batch_actions (Fixture *f)
{
  LbLink *link;

  while ((link = lb_list_pop (&f->actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      switch (action->type)
        {
        case LC_BATCH_GENERATE:
          f->generating[action->item_index] = action->request;
          f->resume_at[action->item_index] = action->resume_at;
          LB_COPY (f->preferred_endpoint, action->preferred_endpoint);
          f->latest_start[action->item_index] = action->latest_start;
          f->is_group_incomplete[action->item_index] = action->is_group_incomplete;
          break;
        case LC_BATCH_SCORE:
          f->scoring[action->item_index] = action->request;
          break;
        case LC_BATCH_CANCEL:
          f->n_cancelled++;
          break;
        case LC_BATCH_PREEMPT:
          f->n_preempted++;
          f->last_preempt = *action;
          break;
        case LC_BATCH_WRITE_RESULTS:
          record_result_write (f, action);
          break;
        case LC_BATCH_CHECKPOINT:
          f->n_parts = action->n_parts;
          f->part_events = action->parts[0].n_events;
          snprintf (f->part_text, sizeof f->part_text, "%s", action->parts[0].text);
          break;
        }
      lc_batch_action_free (action);
    }
}

static void
fixture_init (Fixture *f, size_t n_items, bool scored, LcBatchSettings settings)
{
  LcBatchSpec spec = make_batch_spec (n_items, scored);

  memset (f, 0, sizeof *f);
  lb_list_init (&f->actions);
  f->now = LB_SEC;
  settings.next_request_id = next_request_id;
  settings.user = f;
  if (settings.max_failures == 0)
    settings.max_failures = 3;
  if (settings.max_score_failures == 0)
    settings.max_score_failures = 3;
  if (settings.deadline == 0)
    settings.deadline = LB_TIME_NEVER;
  f->batch = lc_batch_new (&spec, &settings);
}

static void
start_batch (Fixture *f)
{
  lc_batch_start (f->batch, f->now, &f->actions);
  record_and_free_batch_actions (f);
}

static void
add_streamed_event (Fixture *f, int item, LcVersion version, const char *text)
{
  lc_batch_add_streamed_event (f->batch, f->generating[item], version, "engine-1", text, f->now);
}

static void
finish_generation (Fixture *f, int item, LbErrorCode error)
{
  lc_batch_finish_generation (f->batch, f->generating[item], error, f->now, &f->actions);
  record_and_free_batch_actions (f);
}

static void
finish_result_write (Fixture *f, bool ok)
{
  lc_batch_finish_result_write (f->batch, ok, f->now, &f->actions);
  record_and_free_batch_actions (f);
}

static void
advance_time_and_tick_batch (Fixture *f, LbTime duration)
{
  f->now += duration;
  lc_batch_tick (f->batch, f->now, &f->actions);
  record_and_free_batch_actions (f);
}

static void
fixture_clear (Fixture *f)
{
  lc_batch_free (f->batch);
}

Test (batch, complete_text_is_scored_before_it_is_listed)
{
  Fixture f;

  fixture_init (&f, 1, true, (LcBatchSettings){ .resumable = true });
  start_batch (&f);
  add_streamed_event (&f, 0, 4, "a");
  add_streamed_event (&f, 0, 5, "b");
  cr_assert_eq (f.scoring[0], 0);
  finish_generation (&f, 0, LB_OK);
  cr_assert_neq (f.scoring[0], 0);
  cr_assert_eq (f.n_writes, 0, "a result must not be written before it is scored");
  lc_batch_finish_scoring (f.batch, f.scoring[0], LB_OK, "0.5", f.now, &f.actions);
  record_and_free_batch_actions (&f);
  cr_assert_eq (f.n_writes, 1);
  cr_assert (f.completed[0]);
  finish_result_write (&f, true);
  cr_assert (lc_batch_has_stored_all_results (f.batch));
  fixture_clear (&f);
}

/* An engine crashes after two events of a text. The next request must continue the text after the
 * second event; the result then lists the weight versions of both requests. */
Test (batch, broken_stream_resumes_after_its_last_event)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start_batch (&f);
  add_streamed_event (&f, 0, 4, "a");
  add_streamed_event (&f, 0, 4, "b");
  LcRequestId previous = f.generating[0];
  finish_generation (&f, 0, LB_ERROR_STREAM_BROKEN);
  advance_time_and_tick_batch (&f, LB_SEC);
  cr_assert_neq (f.generating[0], previous);
  cr_assert_eq (f.resume_at[0], 2);
  add_streamed_event (&f, 0, 5, "c");
  finish_generation (&f, 0, LB_OK);
  cr_assert_eq (f.n_written, 1);
  fixture_clear (&f);
}

/* A text generated by weights older than min_version must be discarded and restarted. Otherwise a
 * stale or falsely labelled sample would reach the trainer. */
Test (batch, text_of_too_old_version_restarts)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start_batch (&f);
  add_streamed_event (&f, 0, 3, "a");
  finish_generation (&f, 0, LB_OK);
  cr_assert_eq (f.n_writes, 0);
  advance_time_and_tick_batch (&f, LB_SEC);
  cr_assert_eq (f.resume_at[0], 0);
  fixture_clear (&f);
}

/* The first event shows that the weights are too old. Waiting for the complete text would waste six
 * seconds. */
Test (batch, unusable_text_is_cancelled_before_it_is_complete)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start_batch (&f);
  LcRequestId previous = f.generating[0];
  add_streamed_event (&f, 0, 3, "a");
  advance_time_and_tick_batch (&f, 200 * LB_MSEC);
  cr_assert_eq (f.n_cancelled, 1);
  advance_time_and_tick_batch (&f, LB_SEC);
  cr_assert_neq (f.generating[0], previous);
  cr_assert_eq (f.resume_at[0], 0);
  fixture_clear (&f);
}

Test (batch, single_version_text_restarts_after_a_version_change)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true, .single_version = true });
  start_batch (&f);
  add_streamed_event (&f, 0, 4, "a");
  add_streamed_event (&f, 0, 5, "b");
  finish_generation (&f, 0, LB_OK);
  cr_assert_eq (f.n_writes, 0);
  fixture_clear (&f);
}

/* The store carries out a write, but its answer is lost. The retry must write the same results at
 * the same positions, even if another result became ready meanwhile. Otherwise a position would
 * hold two results. */
Test (batch, failed_write_is_repeated_with_the_same_results)
{
  Fixture f;

  fixture_init (&f, 2, false, (LcBatchSettings){ .resumable = true });
  start_batch (&f);
  add_streamed_event (&f, 1, 4, "x");
  finish_generation (&f, 1, LB_OK);
  cr_assert_str_eq (f.written_items[0], "item-1");
  add_streamed_event (&f, 0, 4, "y");
  finish_generation (&f, 0, LB_OK);
  cr_assert_eq (f.n_writes, 1, "only one write may be in progress");
  finish_result_write (&f, false);
  advance_time_and_tick_batch (&f, 200 * LB_MSEC);
  cr_assert_eq (f.n_writes, 2);
  cr_assert_eq (f.first_position, 0);
  cr_assert_eq (f.n_written, 1);
  cr_assert_str_eq (f.written_items[0], "item-1");
  finish_result_write (&f, true);
  cr_assert_eq (f.first_position, 1);
  cr_assert_str_eq (f.written_items[0], "item-0");
  fixture_clear (&f);
}

/* An engine fails each request of an item. The item must be abandoned after max_failures failures.
 * Abandoning the item earlier would cost the trainer a sample that could have been generated. */
Test (batch, item_is_abandoned_after_max_failures)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true, .max_failures = 2 });
  start_batch (&f);
  finish_generation (&f, 0, LB_ERROR_ENDPOINT_FAILED);
  cr_assert_eq (f.n_writes, 0);
  advance_time_and_tick_batch (&f, LB_SEC);
  finish_generation (&f, 0, LB_ERROR_NO_ENDPOINT);
  advance_time_and_tick_batch (&f, LB_SEC);
  cr_assert_eq (f.n_writes, 0, "only LB_ERROR_ENDPOINT_FAILED counts as a failure");
  finish_generation (&f, 0, LB_ERROR_ENDPOINT_FAILED);
  cr_assert_eq (f.n_writes, 1);
  cr_assert_not (f.completed[0]);
  fixture_clear (&f);
}

static void
put_items_into_groups_of_three (Fixture *f)
{
  LcBatchSpec *spec = (LcBatchSpec *)lc_batch_get_spec (f->batch);

  for (size_t i = 0; i < spec->n_items; i++)
    snprintf (spec->items[i].group, LB_NAME_MAX, "group-%zu", i / 3);
}

/* An item is abandoned, so its group can't be completed, and the trainer waits for other groups.
 * The waiting texts of the group must be requested again as the last ones; a text that has begun
 * must continue, and other groups must not be disturbed. */
Test (batch, texts_of_incomplete_groups_run_last)
{
  Fixture f;

  fixture_init (&f, 6, false, (LcBatchSettings){ .resumable = true });
  put_items_into_groups_of_three (&f);
  start_batch (&f);
  add_streamed_event (&f, 1, 5, "begun");
  LcRequestId begun = f.generating[1];
  LcRequestId waiting = f.generating[2];
  LcRequestId other = f.generating[3];
  finish_generation (&f, 0, LB_ERROR_REJECTED);
  cr_assert_eq (f.generating[1], begun);
  cr_assert_neq (f.generating[2], waiting);
  cr_assert (f.is_group_incomplete[2]);
  cr_assert_eq (f.n_cancelled, 1);
  cr_assert_eq (f.generating[3], other);
  cr_assert_not (f.is_group_incomplete[3]);

  finish_generation (&f, 1, LB_ERROR_STREAM_BROKEN);
  advance_time_and_tick_batch (&f, LB_SEC);
  cr_assert (f.is_group_incomplete[1], "a text that is retried runs last too");
  fixture_clear (&f);
}

/* The next owner of the batch finds the abandoned item in the store. */
Test (batch, next_owner_runs_texts_of_incomplete_groups_last)
{
  Fixture f;

  fixture_init (&f, 6, false, (LcBatchSettings){ .resumable = true });
  put_items_into_groups_of_three (&f);
  lc_batch_mark_item_result_stored (f.batch, "item-0", false);
  lc_batch_mark_item_result_stored (f.batch, "item-3", true);
  start_batch (&f);
  cr_assert (f.is_group_incomplete[1] && f.is_group_incomplete[2]);
  cr_assert_not (f.is_group_incomplete[4] || f.is_group_incomplete[5]);
  fixture_clear (&f);
}

Test (batch, rejected_item_is_abandoned_at_once)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start_batch (&f);
  finish_generation (&f, 0, LB_ERROR_REJECTED);
  cr_assert_eq (f.n_writes, 1);
  cr_assert_not (f.completed[0]);
  fixture_clear (&f);
}

Test (batch, unfinished_items_are_cancelled_and_abandoned_at_the_deadline)
{
  Fixture f;

  fixture_init (&f, 2, false, (LcBatchSettings){ .resumable = true, .deadline = 5 * LB_SEC });
  start_batch (&f);
  advance_time_and_tick_batch (&f, LB_SEC);
  cr_assert_eq (f.n_cancelled, 0);
  advance_time_and_tick_batch (&f, 5 * LB_SEC);
  cr_assert_eq (f.n_cancelled, 2);
  cr_assert_eq (f.n_written, 1,
                "the first write must hold only the results that were ready when it started");
  finish_result_write (&f, true);
  finish_result_write (&f, true);
  cr_assert (lc_batch_has_stored_all_results (f.batch));
  fixture_clear (&f);
}

/* The owner of a batch is killed. The next owner finds in the store two complete results and part
 * of a third text. The next owner must not generate the two complete items again, must write new
 * results after theirs, and must continue the third text. */
Test (batch, next_owner_skips_listed_items_and_continues_partial_text)
{
  const LcVersion versions[] = { 4 };
  const LcBatchTextPart part = {
    .item = "item-2", .n_events = 3, .text = "a\nb\nc", .versions = versions, .n_versions = 1
  };
  Fixture f;

  fixture_init (&f, 4, false, (LcBatchSettings){ .resumable = true });
  lc_batch_mark_item_result_stored (f.batch, "item-0", true);
  lc_batch_mark_item_result_stored (f.batch, "item-3", true);
  lc_batch_restore_checkpointed_text (f.batch, &part);
  start_batch (&f);
  cr_assert_eq (f.generating[0], 0);
  cr_assert_eq (f.generating[3], 0);
  cr_assert_neq (f.generating[1], 0);
  cr_assert_eq (f.resume_at[2], 3);
  add_streamed_event (&f, 1, 5, "z");
  finish_generation (&f, 1, LB_OK);
  cr_assert_eq (f.first_position, 2);
  fixture_clear (&f);
}

Test (batch, checkpoint_is_written_only_for_new_events)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start_batch (&f);
  for (int i = 0; i < 9; i++)
    add_streamed_event (&f, 0, 4, "w");
  advance_time_and_tick_batch (&f, 2 * LB_SEC);
  cr_assert_eq (f.n_parts, 1);
  cr_assert_eq (f.part_events, 9);
  cr_assert_str_eq (f.part_text, "w\nw\nw\nw\nw\nw\nw\nw\nw");
  f.n_parts = 0;
  lc_batch_finish_checkpoint (f.batch, true);
  advance_time_and_tick_batch (&f, 2 * LB_SEC);
  cr_assert_eq (f.n_parts, 0, "expected no checkpoint without new events");
  fixture_clear (&f);
}

/* Starts a batch of two items; the first is expected to be ten times as long as the second. */
static void
start_batch_of_long_and_short_item (Fixture *f, LbTime due_at)
{
  LcBatchSpec spec = make_batch_spec (2, false);
  LcBatchSettings settings = { .due_at = due_at,
                               .max_failures = 3,
                               .deadline = LB_TIME_NEVER,
                               .next_request_id = next_request_id,
                               .user = f };

  memset (f, 0, sizeof *f);
  lb_list_init (&f->actions);
  spec.items[0].expected_tokens = 100;
  spec.items[1].expected_tokens = 10;
  f->batch = lc_batch_new (&spec, &settings);
  start_batch (f);
}

/* A trainer that is behind submits a second step one second after the first. If the long texts of
 * the second step start after the short texts of the first, which have seconds to spare, the second
 * step is late. */
Test (batch, latest_start_orders_texts_across_steps)
{
  Fixture first_step;
  Fixture second_step;

  start_batch_of_long_and_short_item (&first_step, 7 * LB_SEC);
  start_batch_of_long_and_short_item (&second_step, 8 * LB_SEC);
  cr_assert_lt (first_step.latest_start[0], first_step.latest_start[1],
                "the longest text of a step must start first");
  cr_assert_lt (second_step.latest_start[0], first_step.latest_start[1]);
  cr_assert_lt (first_step.latest_start[0], second_step.latest_start[0]);
  fixture_clear (&first_step);
  fixture_clear (&second_step);
}

/* Records eight texts of 20 events each, 20 ms apart, in the history, which holds the text lengths
 * and stream speeds that later batches of the model expect. */
static void
fill_batch_history (LcBatchHistory *history)
{
  Fixture f;

  fixture_init (&f, MAX_ITEMS, false,
                (LcBatchSettings){ .resumable = true, .history = history, .tokens_per_event = 50 });
  start_batch (&f);
  for (int item = 0; item < MAX_ITEMS - 1; item++)
    {
      for (int event = 0; event < 20; event++)
        {
          f.now += 20 * LB_MSEC;
          add_streamed_event (&f, item, 4, "w");
        }
      finish_generation (&f, item, LB_OK);
    }
  fixture_clear (&f);
}

/* Starts a batch of two items with a filled history, which the caller frees. Ticks review the
 * batch's streams every 100 ms. */
static LcBatchHistory *
start_batch_with_history (Fixture *f)
{
  LcBatchHistory *history = lc_batch_history_new ();

  fill_batch_history (history);
  fixture_init (f, 2, false,
                (LcBatchSettings){ .resumable = true, .history = history, .tokens_per_event = 50 });
  start_batch (f);
  return history;
}

static void
add_streamed_events_at_interval (Fixture *f, int events, LbTime interval)
{
  for (int event = 0; event < events; event++)
    {
      advance_time_and_tick_batch (f, interval);
      add_streamed_event (f, 0, 4, "w");
    }
}

/* One engine in five becomes five times slower. Its texts must move to other endpoints and continue
 * after their last events, so that the step does not wait for the slow engine. */
Test (batch, text_at_a_slow_engine_is_moved)
{
  Fixture f;
  LcBatchHistory *history = start_batch_with_history (&f);

  add_streamed_events_at_interval (&f, 6, 200 * LB_MSEC);
  cr_assert_eq (f.n_preempted, 1);
  LcRequestId previous = f.generating[0];
  finish_generation (&f, 0, LB_ERROR_CLOSED);
  cr_assert_neq (f.generating[0], previous, "expected a new request at once");
  cr_assert_eq (f.resume_at[0], 6);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* A refused move must leave the stream unchanged. Without a delay, each of a hundred texts would be
 * proposed again ten times per second. */
Test (batch, refused_move_leaves_the_text_and_is_proposed_again_later)
{
  Fixture f;
  LcBatchHistory *history = start_batch_with_history (&f);

  add_streamed_events_at_interval (&f, 6, 200 * LB_MSEC);
  LcRequestId previous = f.generating[0];
  cr_assert (f.last_preempt.needs_move_decision);
  cr_assert_float_eq (f.last_preempt.move.recent_token_seconds, 0.2, 0.03);
  cr_assert_float_eq (f.last_preempt.move.usual_token_seconds, 0.02, 0.005);
  lc_batch_refuse_move (f.batch, f.generating[0], LC_MOVE_NO_FREE_SLOT, f.now);
  cr_assert (f.last_preempt.move.decides_step, "the only running text decides when the step ends");
  add_streamed_events_at_interval (&f, 1, 90 * LB_MSEC);
  cr_assert_eq (f.n_preempted, 1);
  add_streamed_events_at_interval (&f, 1, 200 * LB_MSEC);
  cr_assert_eq (f.n_preempted, 2);
  cr_assert_eq (f.generating[0], previous);
  finish_generation (&f, 0, LB_OK);
  cr_assert_eq (f.n_written, 1);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* The text must continue at the endpoint whose free slot was the reason for the move. */
Test (batch, accepted_move_names_the_chosen_endpoint)
{
  const LcMoveDecision move = { .reason = LC_MOVE_LASTING_PACE, .endpoint = "engine-2" };
  Fixture f;
  LcBatchHistory *history = start_batch_with_history (&f);

  cr_assert_str_eq (f.preferred_endpoint, "");
  add_streamed_events_at_interval (&f, 6, 200 * LB_MSEC);
  lc_batch_accept_move (f.batch, f.generating[0], &move);
  finish_generation (&f, 0, LB_ERROR_CLOSED);
  cr_assert_str_eq (f.preferred_endpoint, "engine-2");
  cr_assert_eq (f.resume_at[0], 6);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* An engine becomes four times slower after it has generated a text for two seconds. By the mean
 * over the whole stream, the text looked normal for more seconds and made the step late. The recent
 * pace must decide. */
Test (batch, text_is_moved_soon_after_its_engine_slows_down)
{
  Fixture f;
  LcBatchHistory *history = start_batch_with_history (&f);

  add_streamed_events_at_interval (&f, 100, 20 * LB_MSEC);
  cr_assert_eq (f.n_preempted, 0);
  add_streamed_events_at_interval (&f, 12, 80 * LB_MSEC);
  cr_assert_eq (f.n_preempted, 1);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* An engine stops sending on connections that stay open. Without a move, the text waits for two
 * seconds until the stream counts as broken. */
Test (batch, stalled_text_is_moved_before_its_stream_counts_as_broken)
{
  Fixture f;
  LcBatchHistory *history = start_batch_with_history (&f);

  add_streamed_events_at_interval (&f, 20, 20 * LB_MSEC);
  for (int i = 0; i < 3; i++)
    advance_time_and_tick_batch (&f, 100 * LB_MSEC);
  cr_assert_eq (f.n_preempted, 0, "a silence of 300 ms must not move the text");
  for (int i = 0; i < 5; i++)
    advance_time_and_tick_batch (&f, 100 * LB_MSEC);
  cr_assert_eq (f.n_preempted, 1);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* The instance itself is paused for two seconds. Afterwards its timer fires before it reads the
 * events that arrived during the pause, so all streams look silent and all texts would be moved. */
Test (batch, pause_of_the_instance_moves_no_text)
{
  Fixture f;
  LcBatchHistory *history = start_batch_with_history (&f);

  add_streamed_events_at_interval (&f, 20, 20 * LB_MSEC);
  advance_time_and_tick_batch (&f, 2 * LB_SEC);
  for (int event = 0; event < 100; event++)
    add_streamed_event (&f, 0, 4, "w");
  for (int i = 0; i < 3; i++)
    advance_time_and_tick_batch (&f, 100 * LB_MSEC);
  cr_assert_eq (f.n_preempted, 0);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* After the trainer ends a step, no request may start and no result may be written. */
Test (batch, stopped_batch_cancels_its_requests_and_writes_nothing)
{
  Fixture f;

  fixture_init (&f, 3, false, (LcBatchSettings){ .resumable = true });
  start_batch (&f);
  finish_generation (&f, 0, LB_ERROR_NO_ENDPOINT);
  lc_batch_stop (f.batch, f.now, &f.actions);
  record_and_free_batch_actions (&f);
  cr_assert_eq (f.n_cancelled, 2);
  memset (f.generating, 0, sizeof f.generating);
  advance_time_and_tick_batch (&f, 10 * LB_SEC);
  cr_assert_eq (f.generating[0], 0);
  cr_assert_eq (f.n_writes, 0);
  cr_assert_eq (lc_batch_next_tick_at (f.batch), LB_TIME_NEVER);
  fixture_clear (&f);
}

/* --- reuse of texts by a later batch --- */

/* Stops the current batch and starts another batch of the model with the same text cache. */
static void
start_next_batch_with_text_cache (Fixture *f,
                                  LcTextCache *cache,
                                  LcVersion min_version,
                                  size_t n_items)
{
  const LcBatchSettings settings = { .max_failures = 3,
                                     .max_score_failures = 3,
                                     .resumable = true,
                                     .text_cache = cache,
                                     .next_request_id = next_request_id,
                                     .user = f };
  LcBatchSpec spec = make_batch_spec (n_items, true);

  lc_batch_stop (f->batch, f->now, &f->actions);
  record_and_free_batch_actions (f);
  lc_batch_free (f->batch);
  memset (f->generating, 0, sizeof f->generating);
  memset (f->scoring, 0, sizeof f->scoring);
  f->n_writes = 0;
  spec.min_version = min_version;
  f->batch = lc_batch_new (&spec, &settings);
  lc_batch_start (f->batch, f->now, &f->actions);
  record_and_free_batch_actions (f);
}

static void
add_streamed_events (Fixture *f, size_t item, int n, LcVersion version)
{
  for (int i = 0; i < n; i++)
    lc_batch_add_streamed_event (f->batch, f->generating[item], version, "engine-1", "x", f->now);
}

/* A trainer ends its step when most groups are complete and requests the incomplete groups again,
 * with the same ids, in the next step. Without reuse, a long text restarts and is late again, and
 * complete texts of its group are generated a second time. */
Test (batch, later_batch_reuses_texts_of_incomplete_groups)
{
  Fixture f;
  LcTextCache *cache = lc_text_cache_new (1 << 20);

  fixture_init (&f, 3, true, (LcBatchSettings){ .resumable = true, .text_cache = cache });
  start_batch (&f);
  add_streamed_events (&f, 0, 5, 6);
  add_streamed_events (&f, 1, 2, 6);
  lc_batch_finish_generation (f.batch, f.generating[1], LB_OK, f.now, &f.actions);
  record_and_free_batch_actions (&f);
  lc_batch_finish_scoring (f.batch, f.scoring[1], LB_OK, "stamp", f.now, &f.actions);
  record_and_free_batch_actions (&f);
  lc_batch_finish_result_write (f.batch, true, f.now, &f.actions);
  start_next_batch_with_text_cache (&f, cache, 5, 3);
  cr_assert_eq (f.resume_at[0], 5);
  cr_assert_neq (f.generating[0], 0);
  cr_assert_eq (f.generating[1], 0, "a complete text must not be generated again");
  cr_assert_eq (f.scoring[1], 0, "a scored text must not be scored again");
  cr_assert_eq (f.n_written, 1);
  cr_assert_str_eq (f.written_items[0], "item-1");
  cr_assert_eq (f.resume_at[2], 0);
  lc_batch_free (f.batch);
  lc_text_cache_free (cache);
}

/* A weight version of the cached text exceeds the staleness bound of the next batch, so the text
 * must restart. Its length is still used to order the requests. */
Test (batch, cached_text_of_too_old_version_restarts)
{
  Fixture f;
  LcTextCache *cache = lc_text_cache_new (1 << 20);

  fixture_init (&f, 2, true, (LcBatchSettings){ .resumable = true, .text_cache = cache });
  start_batch (&f);
  add_streamed_events (&f, 0, 3, 5);
  add_streamed_events (&f, 0, 40, 6);
  lc_batch_finish_generation (f.batch, f.generating[0], LB_OK, f.now, &f.actions);
  record_and_free_batch_actions (&f);
  start_next_batch_with_text_cache (&f, cache, 6, 2);
  cr_assert_eq (f.resume_at[0], 0);
  cr_assert_gt (f.latest_start[0], f.latest_start[1],
                "the cached length must replace the longer estimate");
  lc_batch_free (f.batch);
  lc_text_cache_free (cache);
}

/* A trainer that has read a complete group does not request it again, so caching the group's texts
 * would waste memory. */
Test (batch, texts_of_complete_groups_are_not_cached)
{
  Fixture f;
  LcTextCache *cache = lc_text_cache_new (1 << 20);

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true, .text_cache = cache });
  start_batch (&f);
  add_streamed_events (&f, 0, 3, 6);
  lc_batch_finish_generation (f.batch, f.generating[0], LB_OK, f.now, &f.actions);
  record_and_free_batch_actions (&f);
  lc_batch_finish_result_write (f.batch, true, f.now, &f.actions);
  f.now += 5 * LB_SEC;
  lc_batch_stop (f.batch, f.now, &f.actions);
  record_and_free_batch_actions (&f);
  cr_assert_eq (lc_text_cache_count_bytes (cache), 0);
  lc_batch_free (f.batch);
  lc_text_cache_free (cache);
}
