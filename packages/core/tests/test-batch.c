#include "lc-batch.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MAX_ITEMS 9

/* A batch, and the last thing that it asked for each item. */
typedef struct
{
  LcBatch *batch;
  LcRequestId last_id;
  LbList actions;
  LbTime now;
  LcRequestId running[MAX_ITEMS]; /* 0: none */
  int64_t resume_at[MAX_ITEMS];
  LbTime latest_start[MAX_ITEMS];
  LcRequestId scoring[MAX_ITEMS];
  int stopped;
  int recalled;
  int64_t position; /* of the last WRITE */
  char written[MAX_ITEMS][16];
  bool completed[MAX_ITEMS];
  size_t n_written; /* results in the last WRITE */
  int writes;
  size_t n_parts;
  int64_t part_events;
  char part_text[64];
} Fixture;

static LcRequestId
next_id (void *user)
{
  return ++((Fixture *)user)->last_id;
}

static LcBatchSpec
make_spec (size_t n_items, bool scored)
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
take_write (Fixture *f, const LcBatchAction *action)
{
  f->writes++;
  f->position = action->first_position;
  f->n_written = action->n_results;
  for (size_t i = 0; i < action->n_results && i < MAX_ITEMS; i++)
    {
      snprintf (f->written[i], sizeof f->written[i], "%s", action->results[i]->item);
      f->completed[i] = action->results[i]->completed;
    }
}

static void
take_actions (Fixture *f)
{
  LbLink *link;

  while ((link = lb_list_pop (&f->actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      switch (action->type)
        {
        case LC_BATCH_GENERATE:
          f->running[action->item_index] = action->request;
          f->resume_at[action->item_index] = action->resume_at;
          f->latest_start[action->item_index] = action->latest_start;
          break;
        case LC_BATCH_SCORE:
          f->scoring[action->item_index] = action->request;
          break;
        case LC_BATCH_CANCEL:
          f->stopped++;
          break;
        case LC_BATCH_PREEMPT:
          f->recalled++;
          break;
        case LC_BATCH_WRITE_RESULTS:
          take_write (f, action);
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
  LcBatchSpec spec = make_spec (n_items, scored);

  memset (f, 0, sizeof *f);
  lb_list_init (&f->actions);
  f->now = LB_SEC;
  settings.next_request_id = next_id;
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
start (Fixture *f)
{
  lc_batch_start (f->batch, f->now, &f->actions);
  take_actions (f);
}

static void
piece (Fixture *f, int item, LcVersion version, const char *text)
{
  lc_batch_add_piece (f->batch, f->running[item], version, "engine-1", text, f->now);
}

static void
end (Fixture *f, int item, LbErrorCode error)
{
  lc_batch_finish_generation (f->batch, f->running[item], error, f->now, &f->actions);
  take_actions (f);
}

static void
written (Fixture *f, bool ok)
{
  lc_batch_finish_write (f->batch, ok, f->now, &f->actions);
  take_actions (f);
}

static void
tick (Fixture *f, LbTime later)
{
  f->now += later;
  lc_batch_tick (f->batch, f->now, &f->actions);
  take_actions (f);
}

static void
fixture_clear (Fixture *f)
{
  lc_batch_free (f->batch);
}

Test (batch, a_text_is_scored_only_when_it_is_whole_and_listed_with_its_score)
{
  Fixture f;

  fixture_init (&f, 1, true, (LcBatchSettings){ .resumable = true });
  start (&f);
  piece (&f, 0, 4, "a");
  piece (&f, 0, 5, "b");
  cr_assert_eq (f.scoring[0], 0);
  end (&f, 0, LB_OK);
  cr_assert_neq (f.scoring[0], 0);
  cr_assert_eq (f.writes, 0, "nothing is listed without its score");
  lc_batch_finish_scoring (f.batch, f.scoring[0], LB_OK, "0.5", f.now, &f.actions);
  take_actions (&f);
  cr_assert_eq (f.writes, 1);
  cr_assert (f.completed[0]);
  written (&f, true);
  cr_assert (lc_batch_is_done (f.batch));
  fixture_clear (&f);
}

/* An engine crashes after two events of a text. It goes on elsewhere behind them, and the label
 * names the versions of both runs, since the text holds events of both. */
Test (batch, a_broken_run_goes_on_behind_what_it_brought)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start (&f);
  piece (&f, 0, 4, "a");
  piece (&f, 0, 4, "b");
  LcRequestId first = f.running[0];
  end (&f, 0, LB_ERROR_STREAM_BROKEN);
  tick (&f, LB_SEC);
  cr_assert_neq (f.running[0], first);
  cr_assert_eq (f.resume_at[0], 2);
  piece (&f, 0, 5, "c");
  end (&f, 0, LB_OK);
  cr_assert_eq (f.n_written, 1);
  fixture_clear (&f);
}

/* A text is made under weights that are older than the step allows. It is thrown away whole and
 * made again: neither a label that hides them nor a stale sample may reach the trainer. */
Test (batch, a_text_of_weights_too_old_is_made_again_from_the_start)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start (&f);
  piece (&f, 0, 3, "a");
  end (&f, 0, LB_OK);
  cr_assert_eq (f.writes, 0);
  tick (&f, LB_SEC);
  cr_assert_eq (f.resume_at[0], 0);
  fixture_clear (&f);
}

/* The first event shows that the weights are too old. The rest of the text, six seconds of it, is
 * not awaited. */
Test (batch, a_text_that_cannot_be_used_is_stopped_early)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start (&f);
  LcRequestId first = f.running[0];
  piece (&f, 0, 3, "a");
  tick (&f, 200 * LB_MSEC);
  cr_assert_eq (f.stopped, 1);
  tick (&f, LB_SEC);
  cr_assert_neq (f.running[0], first);
  cr_assert_eq (f.resume_at[0], 0);
  fixture_clear (&f);
}

Test (batch, a_text_of_two_versions_is_made_again_where_one_is_asked_for)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true, .single_version = true });
  start (&f);
  piece (&f, 0, 4, "a");
  piece (&f, 0, 5, "b");
  end (&f, 0, LB_OK);
  cr_assert_eq (f.writes, 0);
  fixture_clear (&f);
}

/* The store carries a write out and its answer is lost. The same results are written again at the
 * same positions, also when another one got ready meanwhile: were that one put first, a position
 * would hold two results. */
Test (batch, a_write_without_answer_is_repeated_with_the_same_content)
{
  Fixture f;

  fixture_init (&f, 2, false, (LcBatchSettings){ .resumable = true });
  start (&f);
  piece (&f, 1, 4, "x");
  end (&f, 1, LB_OK);
  cr_assert_str_eq (f.written[0], "item-1");
  piece (&f, 0, 4, "y");
  end (&f, 0, LB_OK);
  cr_assert_eq (f.writes, 1, "one write is on its way at a time");
  written (&f, false);
  tick (&f, 200 * LB_MSEC);
  cr_assert_eq (f.writes, 2);
  cr_assert_eq (f.position, 0);
  cr_assert_eq (f.n_written, 1);
  cr_assert_str_eq (f.written[0], "item-1");
  written (&f, true);
  cr_assert_eq (f.position, 1);
  cr_assert_str_eq (f.written[0], "item-0");
  fixture_clear (&f);
}

/* An engine answers each run of an item with a failure. After the route's number of attempts the
 * item is given up; one less would take a sample from the trainer that could have been made. */
Test (batch, an_item_is_given_up_after_the_failures_that_the_route_allows)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true, .max_failures = 2 });
  start (&f);
  end (&f, 0, LB_ERROR_ENDPOINT_FAILED);
  cr_assert_eq (f.writes, 0);
  tick (&f, LB_SEC);
  end (&f, 0, LB_ERROR_NO_ENDPOINT);
  tick (&f, LB_SEC);
  cr_assert_eq (f.writes, 0, "only answers that say so count as failures");
  end (&f, 0, LB_ERROR_ENDPOINT_FAILED);
  cr_assert_eq (f.writes, 1);
  cr_assert_not (f.completed[0]);
  fixture_clear (&f);
}

Test (batch, an_item_that_can_never_be_done_is_given_up_at_once)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start (&f);
  end (&f, 0, LB_ERROR_REJECTED);
  cr_assert_eq (f.writes, 1);
  cr_assert_not (f.completed[0]);
  fixture_clear (&f);
}

Test (batch, what_is_not_done_in_time_is_given_up_and_its_work_stopped)
{
  Fixture f;

  fixture_init (&f, 2, false, (LcBatchSettings){ .resumable = true, .deadline = 5 * LB_SEC });
  start (&f);
  tick (&f, LB_SEC);
  cr_assert_eq (f.stopped, 0);
  tick (&f, 5 * LB_SEC);
  cr_assert_eq (f.stopped, 2);
  cr_assert_eq (f.n_written, 1, "the first write holds what was ready when it was made");
  written (&f, true);
  written (&f, true);
  cr_assert (lc_batch_is_done (f.batch));
  fixture_clear (&f);
}

/* The owner is killed. The next one finds two results listed and the beginning of a third text: it
 * runs neither of the two again, writes behind them, and goes on with the third. */
Test (batch, the_next_owner_goes_on_where_the_last_one_ended)
{
  const LcVersion versions[] = { 4 };
  const LcBatchTextPart part = {
    .item = "item-2", .n_events = 3, .text = "a\nb\nc", .versions = versions, .n_versions = 1
  };
  Fixture f;

  fixture_init (&f, 4, false, (LcBatchSettings){ .resumable = true });
  lc_batch_mark_listed (f.batch, "item-0");
  lc_batch_mark_listed (f.batch, "item-3");
  lc_batch_restore_text_part (f.batch, &part);
  start (&f);
  cr_assert_eq (f.running[0], 0);
  cr_assert_eq (f.running[3], 0);
  cr_assert_neq (f.running[1], 0);
  cr_assert_eq (f.resume_at[2], 3);
  piece (&f, 1, 5, "z");
  end (&f, 1, LB_OK);
  cr_assert_eq (f.position, 2);
  fixture_clear (&f);
}

Test (batch, keeps_the_texts_so_far_once_a_second)
{
  Fixture f;

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true });
  start (&f);
  for (int i = 0; i < 9; i++)
    piece (&f, 0, 4, "w");
  tick (&f, 2 * LB_SEC);
  cr_assert_eq (f.n_parts, 1);
  cr_assert_eq (f.part_events, 9);
  cr_assert_str_eq (f.part_text, "w\nw\nw\nw\nw\nw\nw\nw\nw");
  f.n_parts = 0;
  lc_batch_finish_checkpoint (f.batch, true);
  tick (&f, 2 * LB_SEC);
  cr_assert_eq (f.n_parts, 0, "nothing has come since");
  fixture_clear (&f);
}

/* A step of two texts, the first ten times as long as the second. */
static void
start_step (Fixture *f, LbTime due_at)
{
  LcBatchSpec spec = make_spec (2, false);
  LcBatchSettings settings = { .due_at = due_at,
                               .max_failures = 3,
                               .deadline = LB_TIME_NEVER,
                               .next_request_id = next_id,
                               .user = f };

  memset (f, 0, sizeof *f);
  lb_list_init (&f->actions);
  spec.items[0].expected_tokens = 100;
  spec.items[1].expected_tokens = 10;
  f->batch = lc_batch_new (&spec, &settings);
  start (f);
}

/* A trainer that is behind submits a step a second after another. The long texts of the second
 * began after the short ones of the first, which had seconds to spare, and its step was late. What
 * has to begin first goes first, whichever step it is of. */
Test (batch, what_has_to_begin_first_goes_first)
{
  Fixture first;
  Fixture second;

  start_step (&first, 7 * LB_SEC);
  start_step (&second, 8 * LB_SEC);
  cr_assert_lt (first.latest_start[0], first.latest_start[1], "the longest of a step");
  cr_assert_lt (second.latest_start[0], first.latest_start[1]);
  cr_assert_lt (first.latest_start[0], second.latest_start[0]);
  fixture_clear (&first);
  fixture_clear (&second);
}

/* A batch whose texts were all well: 20 events, one each 20 ms. */
static void
teach (LcBatchHistory *history)
{
  Fixture f;

  fixture_init (&f, MAX_ITEMS, false,
                (LcBatchSettings){ .resumable = true, .history = history, .tokens_per_event = 50 });
  start (&f);
  for (int item = 0; item < MAX_ITEMS - 1; item++)
    {
      for (int event = 0; event < 20; event++)
        {
          f.now += 20 * LB_MSEC;
          piece (&f, item, 4, "w");
        }
      end (&f, item, LB_OK);
    }
  fixture_clear (&f);
}

/* Another batch after it, with looks for slow texts each 100 ms. */
static void
start_taught (Fixture *f, LcBatchHistory *history)
{
  fixture_init (f, 2, false,
                (LcBatchSettings){ .resumable = true, .history = history, .tokens_per_event = 50 });
  start (f);
}

static void
stream (Fixture *f, int events, LbTime interval)
{
  for (int event = 0; event < events; event++)
    {
      tick (f, interval);
      piece (f, 0, 4, "w");
    }
}

/* One engine in five has turned five times slower. The step would wait for the texts there; they go
 * on elsewhere, each from what it has. */
Test (batch, texts_at_a_slow_engine_are_recalled)
{
  LcBatchHistory *history = lc_batch_history_new ();
  Fixture f;

  teach (history);
  start_taught (&f, history);
  stream (&f, 6, 200 * LB_MSEC);
  cr_assert_eq (f.recalled, 1);
  LcRequestId before = f.running[0];
  end (&f, 0, LB_ERROR_CLOSED);
  cr_assert_neq (f.running[0], before, "it goes on at once");
  cr_assert_eq (f.resume_at[0], 6);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* An engine turns four times slower when a long text has run there for two seconds. By the mean
 * over its whole run the text looks well for seconds more, and the step comes late by what is left
 * of it. What came of late counts. */
Test (batch, a_text_whose_engine_turns_slow_late_is_recalled_soon)
{
  LcBatchHistory *history = lc_batch_history_new ();
  Fixture f;

  teach (history);
  start_taught (&f, history);
  stream (&f, 100, 20 * LB_MSEC);
  cr_assert_eq (f.recalled, 0);
  stream (&f, 12, 80 * LB_MSEC);
  cr_assert_eq (f.recalled, 1);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* An engine goes dark: its connections stay open and nothing comes. The text waited there for the
 * two seconds after which a stream counts as broken. */
Test (batch, a_text_that_stopped_is_recalled_soon)
{
  LcBatchHistory *history = lc_batch_history_new ();
  Fixture f;

  teach (history);
  start_taught (&f, history);
  stream (&f, 20, 20 * LB_MSEC);
  for (int i = 0; i < 3; i++)
    tick (&f, 100 * LB_MSEC);
  cr_assert_eq (f.recalled, 0, "a short silence proves nothing");
  for (int i = 0; i < 5; i++)
    tick (&f, 100 * LB_MSEC);
  cr_assert_eq (f.recalled, 1);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* The instance itself is frozen for two seconds. When it wakes its timer comes before what its
 * streams brought meanwhile: all of them look silent, and it would move every text. */
Test (batch, an_own_pause_moves_no_text)
{
  LcBatchHistory *history = lc_batch_history_new ();
  Fixture f;

  teach (history);
  start_taught (&f, history);
  stream (&f, 20, 20 * LB_MSEC);
  tick (&f, 2 * LB_SEC);
  for (int event = 0; event < 100; event++)
    piece (&f, 0, 4, "w");
  for (int i = 0; i < 3; i++)
    tick (&f, 100 * LB_MSEC);
  cr_assert_eq (f.recalled, 0);
  fixture_clear (&f);
  lc_batch_history_free (history);
}

/* The trainer ends the step: nothing of it may start any more, and nothing more is listed. */
Test (batch, an_ended_batch_stops_its_work_and_writes_nothing)
{
  Fixture f;

  fixture_init (&f, 3, false, (LcBatchSettings){ .resumable = true });
  start (&f);
  end (&f, 0, LB_ERROR_NO_ENDPOINT);
  lc_batch_stop (f.batch, f.now, &f.actions);
  take_actions (&f);
  cr_assert_eq (f.stopped, 2);
  memset (f.running, 0, sizeof f.running);
  tick (&f, 10 * LB_SEC);
  cr_assert_eq (f.running[0], 0);
  cr_assert_eq (f.writes, 0);
  cr_assert_eq (lc_batch_next_tick_at (f.batch), LB_TIME_NEVER);
  fixture_clear (&f);
}

/* --- texts that go from one batch to the next --- */

/* A second batch of the same model, with what the first one left. */
static void
begin_next (Fixture *f, LcTextCache *carried, LcVersion min_version, size_t n_items)
{
  const LcBatchSettings settings = { .max_failures = 3,
                                     .max_score_failures = 3,
                                     .resumable = true,
                                     .text_cache = carried,
                                     .next_request_id = next_id,
                                     .user = f };
  LcBatchSpec spec = make_spec (n_items, true);

  lc_batch_stop (f->batch, f->now, &f->actions);
  take_actions (f);
  lc_batch_free (f->batch);
  memset (f->running, 0, sizeof f->running);
  memset (f->scoring, 0, sizeof f->scoring);
  f->writes = 0;
  spec.min_version = min_version;
  f->batch = lc_batch_new (&spec, &settings);
  lc_batch_start (f->batch, f->now, &f->actions);
  take_actions (f);
}

static void
add_pieces (Fixture *f, size_t item, int n, LcVersion version)
{
  for (int i = 0; i < n; i++)
    lc_batch_add_piece (f->batch, f->running[item], version, "engine-1", "x", f->now);
}

/* A trainer ends its step when most groups are whole and asks for the others again, under the same
 * ids, in its next one. The long text on which it waited began from its first event there, and was
 * late again; texts of its group that were whole were made a second time. */
Test (batch, a_text_goes_on_in_the_batch_that_asks_for_it_again)
{
  Fixture f;
  LcTextCache *carried = lc_text_cache_new (1 << 20);

  fixture_init (&f, 3, true, (LcBatchSettings){ .resumable = true, .text_cache = carried });
  start (&f);
  add_pieces (&f, 0, 5, 6);
  add_pieces (&f, 1, 2, 6);
  lc_batch_finish_generation (f.batch, f.running[1], LB_OK, f.now, &f.actions);
  take_actions (&f);
  lc_batch_finish_scoring (f.batch, f.scoring[1], LB_OK, "stamp", f.now, &f.actions);
  take_actions (&f);
  lc_batch_finish_write (f.batch, true, f.now, &f.actions);
  begin_next (&f, carried, 5, 3);
  cr_assert_eq (f.resume_at[0], 5);
  cr_assert_neq (f.running[0], 0);
  cr_assert_eq (f.running[1], 0, "it is whole");
  cr_assert_eq (f.scoring[1], 0, "and has its score");
  cr_assert_eq (f.n_written, 1);
  cr_assert_str_eq (f.written[0], "item-1");
  cr_assert_eq (f.resume_at[2], 0);
  lc_batch_free (f.batch);
  lc_text_cache_free (carried);
}

/* The next batch takes no weights as old as those that made the text: a part of it would break the
 * bound of staleness. Its length is known all the same. */
Test (batch, a_text_of_weights_that_are_too_old_is_made_again)
{
  Fixture f;
  LcTextCache *carried = lc_text_cache_new (1 << 20);

  fixture_init (&f, 2, true, (LcBatchSettings){ .resumable = true, .text_cache = carried });
  start (&f);
  add_pieces (&f, 0, 3, 5);
  add_pieces (&f, 0, 40, 6);
  lc_batch_finish_generation (f.batch, f.running[0], LB_OK, f.now, &f.actions);
  take_actions (&f);
  begin_next (&f, carried, 6, 2);
  cr_assert_eq (f.resume_at[0], 0);
  cr_assert_gt (f.latest_start[0], f.latest_start[1], "it is shorter than its estimate");
  lc_batch_free (f.batch);
  lc_text_cache_free (carried);
}

/* What a group that was whole and read long ago left is of no use, and holds memory. */
Test (batch, texts_of_whole_groups_are_not_kept)
{
  Fixture f;
  LcTextCache *carried = lc_text_cache_new (1 << 20);

  fixture_init (&f, 1, false, (LcBatchSettings){ .resumable = true, .text_cache = carried });
  start (&f);
  add_pieces (&f, 0, 3, 6);
  lc_batch_finish_generation (f.batch, f.running[0], LB_OK, f.now, &f.actions);
  take_actions (&f);
  lc_batch_finish_write (f.batch, true, f.now, &f.actions);
  f.now += 5 * LB_SEC;
  lc_batch_stop (f.batch, f.now, &f.actions);
  take_actions (&f);
  cr_assert_eq (lc_text_cache_count_bytes (carried), 0);
  lc_batch_free (f.batch);
  lc_text_cache_free (carried);
}
