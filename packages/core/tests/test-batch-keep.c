#include "lc-batch.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MAX_ITEMS 80
#define MAX_ROWS 4000

/* Row of the store that holds a checkpointed part of a text. */
typedef struct
{
  char item[16];
  int64_t restarts;
  int64_t first_event;
  int64_t n_events;
  char *text;
  LcVersion versions[LC_MAX_RESULT_VERSIONS];
  size_t n_versions;
} SavedPart;

/* Owner of a batch with a simulated store; the test decides how the store answers. */
typedef struct
{
  LcBatch *batch;
  LcRequestId last_request_id;
  LcRequestId requests[MAX_ITEMS];
  int64_t resume_at[MAX_ITEMS];
  SavedPart *rows; /* rows in the store */
  size_t n_rows;
  SavedPart *pending; /* parts of the checkpoint in progress */
  size_t n_pending;
  size_t pending_bytes;
  int64_t saved_bytes; /* total text size of all checkpoints that the store carried out */
} Owner;

static LcRequestId
next_request_id (void *user)
{
  return ++((Owner *)user)->last_request_id;
}

static void
owner_init (Owner *owner, size_t n_items)
{
  LcBatchSpec spec = { .min_version = 4, .n_items = n_items };
  const LcBatchSettings settings = { .max_failures = 3,
                                     .resumable = true,
                                     .deadline = LB_TIME_NEVER,
                                     .next_request_id = next_request_id,
                                     .user = owner };

  memset (owner, 0, sizeof *owner);
  LB_COPY (spec.id, "b1");
  LB_COPY (spec.model, "reader");
  spec.items = LB_NEW_ARRAY (LcBatchItemSpec, n_items);
  for (size_t i = 0; i < n_items; i++)
    snprintf (spec.items[i].request.id, LB_NAME_MAX, "item-%zu", i);
  owner->batch = lc_batch_new (&spec, &settings);
  owner->rows = LB_NEW_ARRAY (SavedPart, MAX_ROWS);
  owner->pending = LB_NEW_ARRAY (SavedPart, MAX_ITEMS);
}

static void
free_saved_parts (SavedPart *saved, size_t n)
{
  for (size_t i = 0; i < n; i++)
    free (saved[i].text);
  free (saved);
}

static void
owner_clear (Owner *owner)
{
  lc_batch_free (owner->batch);
  free_saved_parts (owner->pending, owner->n_pending);
  free_saved_parts (owner->rows, owner->n_rows);
}

static void
record_checkpoint_parts (Owner *owner, const LcBatchAction *action)
{
  cr_assert_eq (owner->n_pending, 0, "only one checkpoint may be in progress");
  owner->pending_bytes = 0;
  for (size_t i = 0; i < action->n_parts; i++)
    {
      const LcBatchTextPart *part = &action->parts[i];
      SavedPart *saved = &owner->pending[owner->n_pending++];
      *saved = (SavedPart){ .restarts = part->restarts,
                            .first_event = part->first_event,
                            .n_events = part->n_events,
                            .text = lb_strdup (part->text),
                            .n_versions = part->n_versions };
      snprintf (saved->item, sizeof saved->item, "%s", part->item);
      memcpy (saved->versions, part->versions, part->n_versions * sizeof *part->versions);
      owner->pending_bytes += strlen (part->text);
    }
}

static void
record_and_free_batch_actions (Owner *owner, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      if (action->type == LC_BATCH_GENERATE)
        {
          owner->requests[action->item_index] = action->request;
          owner->resume_at[action->item_index] = action->resume_at;
        }
      else if (action->type == LC_BATCH_CHECKPOINT)
        record_checkpoint_parts (owner, action);
      lc_batch_action_free (action);
    }
}

/* Stores a row; replaces the row with the same key, if there is one. */
static void
put_row_in_store (Owner *owner, SavedPart *saved)
{
  for (size_t i = 0; i < owner->n_rows; i++)
    {
      SavedPart *row = &owner->rows[i];
      if (strcmp (row->item, saved->item) != 0 || row->restarts != saved->restarts
          || row->first_event != saved->first_event)
        continue;
      free (row->text);
      *row = *saved;
      return;
    }
  cr_assert_lt (owner->n_rows, MAX_ROWS);
  owner->rows[owner->n_rows++] = *saved;
}

/* Carries out the checkpoint in progress. is_acknowledged: whether the store's answer reaches the
 * owner. */
static void
execute_pending_checkpoint (Owner *owner, bool is_acknowledged)
{
  for (size_t i = 0; i < owner->n_pending; i++)
    put_row_in_store (owner, &owner->pending[i]);
  owner->saved_bytes += (int64_t)owner->pending_bytes;
  owner->n_pending = 0;
  lc_batch_finish_checkpoint (owner->batch, is_acknowledged);
}

static void
fail_pending_checkpoint (Owner *owner)
{
  for (size_t i = 0; i < owner->n_pending; i++)
    free (owner->pending[i].text);
  owner->n_pending = 0;
  lc_batch_finish_checkpoint (owner->batch, false);
}

static void
start_batch (Owner *owner, LbTime now)
{
  LbList actions;

  lb_list_init (&actions);
  lc_batch_start (owner->batch, now, &actions);
  record_and_free_batch_actions (owner, &actions);
}

static void
tick_batch (Owner *owner, LbTime now)
{
  LbList actions;

  lb_list_init (&actions);
  lc_batch_tick (owner->batch, now, &actions);
  record_and_free_batch_actions (owner, &actions);
}

static void
add_streamed_events (Owner *owner, int item, int n, const char *text, LbTime now)
{
  for (int i = 0; i < n; i++)
    lc_batch_add_streamed_event (owner->batch, owner->requests[item], 4, "engine-1", text, now);
}

static int
compare_row_keys (const void *a, const void *b)
{
  const SavedPart *x = a;
  const SavedPart *y = b;
  int order = strcmp (x->item, y->item);

  if (order == 0)
    order = (x->restarts > y->restarts) - (x->restarts < y->restarts);
  return order != 0 ? order : (x->first_event > y->first_event) - (x->first_event < y->first_event);
}

/* Starts the next owner from the rows that the previous owner has saved. */
static void
start_next_owner_from_saved_rows (Owner *before, Owner *next, size_t n_items, LbTime now)
{
  owner_init (next, n_items);
  qsort (before->rows, before->n_rows, sizeof *before->rows, compare_row_keys);
  for (size_t i = 0; i < before->n_rows; i++)
    {
      const SavedPart *row = &before->rows[i];
      const LcBatchTextPart part = { .item = row->item,
                                     .restarts = row->restarts,
                                     .first_event = row->first_event,
                                     .n_events = row->n_events,
                                     .text = row->text,
                                     .versions = row->versions,
                                     .n_versions = row->n_versions };
      lc_batch_restore_checkpointed_text (next->batch, &part);
    }
  start_batch (next, now);
}

Test (batch_keep, checkpoint_holds_only_new_events)
{
  Owner owner;

  owner_init (&owner, 1);
  start_batch (&owner, LB_SEC);
  add_streamed_events (&owner, 0, 4, "ab", LB_SEC);
  tick_batch (&owner, 2 * LB_SEC);
  cr_assert_eq (owner.n_pending, 1);
  cr_assert_eq (owner.pending[0].first_event, 0);
  cr_assert_str_eq (owner.pending[0].text, "ab\nab\nab\nab");
  execute_pending_checkpoint (&owner, true);
  add_streamed_events (&owner, 0, 3, "cd", 2 * LB_SEC);
  tick_batch (&owner, 3 * LB_SEC);
  cr_assert_eq (owner.n_pending, 1);
  cr_assert_eq (owner.pending[0].first_event, 4);
  cr_assert_eq (owner.pending[0].n_events, 3);
  cr_assert_str_eq (owner.pending[0].text, "cd\ncd\ncd");
  owner_clear (&owner);
}

/* The checkpoint after a failed one must include the events of the failed one. Otherwise the saved
 * text has a gap. */
Test (batch_keep, next_checkpoint_includes_the_events_of_a_failed_one)
{
  Owner owner;

  owner_init (&owner, 1);
  start_batch (&owner, LB_SEC);
  add_streamed_events (&owner, 0, 3, "a", LB_SEC);
  tick_batch (&owner, 2 * LB_SEC);
  fail_pending_checkpoint (&owner);
  add_streamed_events (&owner, 0, 3, "b", 2 * LB_SEC);
  tick_batch (&owner, 3 * LB_SEC);
  cr_assert_eq (owner.pending[0].first_event, 0);
  cr_assert_str_eq (owner.pending[0].text, "a\na\na\nb\nb\nb");
  owner_clear (&owner);
}

/* Two owners are killed one after the other. Each successor must continue after the last saved
 * part. */
Test (batch_keep, each_next_owner_continues_after_the_last_saved_part)
{
  Owner first, second, third;

  owner_init (&first, 2);
  start_batch (&first, LB_SEC);
  add_streamed_events (&first, 0, 3, "a", LB_SEC);
  add_streamed_events (&first, 1, 3, "x", LB_SEC);
  tick_batch (&first, 2 * LB_SEC);
  execute_pending_checkpoint (&first, true);
  add_streamed_events (&first, 0, 4, "b", 2 * LB_SEC);
  tick_batch (&first, 3 * LB_SEC);
  execute_pending_checkpoint (&first, true);
  start_next_owner_from_saved_rows (&first, &second, 2, 4 * LB_SEC);
  cr_assert_eq (second.resume_at[0], 7);
  cr_assert_eq (second.resume_at[1], 3);
  add_streamed_events (&second, 0, 3, "c", 4 * LB_SEC);
  tick_batch (&second, 5 * LB_SEC);
  cr_assert_eq (second.pending[0].first_event, 7);
  for (size_t i = 0; i < second.n_pending; i++)
    put_row_in_store (&first, &second.pending[i]);
  second.n_pending = 0;
  start_next_owner_from_saved_rows (&first, &third, 2, 6 * LB_SEC);
  cr_assert_eq (third.resume_at[0], 10);
  owner_clear (&first);
  owner_clear (&second);
  owner_clear (&third);
}

/* The answer to a checkpoint is lost, so its events are written again in a longer row. The store
 * then carries out the first write late, which shortens the row and leaves a gap before the next
 * row. The next owner must continue the text before the gap, and neither the next owner nor its
 * successor may join the rows after the gap. */
Test (batch_keep, parts_after_a_gap_are_ignored)
{
  Owner first, second, third;

  owner_init (&first, 1);
  start_batch (&first, LB_SEC);
  add_streamed_events (&first, 0, 3, "a", LB_SEC);
  tick_batch (&first, 2 * LB_SEC);
  SavedPart late_row = first.pending[0];
  late_row.text = lb_strdup (late_row.text);
  fail_pending_checkpoint (&first);
  add_streamed_events (&first, 0, 3, "b", 2 * LB_SEC);
  tick_batch (&first, 3 * LB_SEC);
  execute_pending_checkpoint (&first, true);
  add_streamed_events (&first, 0, 3, "c", 3 * LB_SEC);
  tick_batch (&first, 4 * LB_SEC);
  execute_pending_checkpoint (&first, true);
  put_row_in_store (&first, &late_row);
  start_next_owner_from_saved_rows (&first, &second, 1, 5 * LB_SEC);
  cr_assert_eq (second.resume_at[0], 3);
  add_streamed_events (&second, 0, 3, "d", 5 * LB_SEC);
  tick_batch (&second, 6 * LB_SEC);
  cr_assert_eq (second.pending[0].first_event, 0,
                "the text must be saved again from its first event");
  cr_assert_str_eq (second.pending[0].text, "a\na\na\nd\nd\nd");
  for (size_t i = 0; i < second.n_pending; i++)
    put_row_in_store (&first, &second.pending[i]);
  second.n_pending = 0;
  start_next_owner_from_saved_rows (&first, &third, 1, 7 * LB_SEC);
  cr_assert_eq (third.resume_at[0], 6, "parts after the gap must be ignored");
  owner_clear (&first);
  owner_clear (&second);
  owner_clear (&third);
}

/* The owner of a step of 78 long texts is killed at any moment. At twelve events of 400 bytes a
 * second, the whole texts exceed one write of 400 KiB after a few seconds. If each checkpoint saved
 * whole texts, the texts of the last items would never fit into the write, would restart from the
 * beginning after a takeover, and would make the step late. */
Test (batch_keep, takeover_loses_at_most_half_a_second_of_any_long_text)
{
  enum
  {
    N_TEXTS = 78,
    EVENT_INTERVAL_MS = 76,
    WRITE_DURATION_MS = 40,
    GENERATION_MS = 6000,
    MAX_LOST_EVENTS = 7 /* events that an engine generates in 0.53 s */
  };
  char event[401];
  Owner owner;
  LbTime completes_at = 0;
  int64_t n_generated = 0;

  memset (event, 'e', sizeof event - 1);
  event[sizeof event - 1] = '\0';
  owner_init (&owner, N_TEXTS);
  start_batch (&owner, LB_SEC);
  for (int ms = 1; ms <= GENERATION_MS; ms++)
    {
      LbTime now = LB_SEC + ms * LB_MSEC;
      if (ms % EVENT_INTERVAL_MS == 0)
        {
          n_generated++;
          for (int i = 0; i < N_TEXTS; i++)
            add_streamed_events (&owner, i, 1, event, now);
        }
      if (owner.n_pending > 0 && now >= completes_at)
        execute_pending_checkpoint (&owner, true);
      bool was_pending = owner.n_pending > 0;
      if (ms % 50 == 0)
        tick_batch (&owner, now);
      if (!was_pending && owner.n_pending > 0)
        completes_at = now + WRITE_DURATION_MS * LB_MSEC;
      if (ms % 500 != 0)
        continue;
      Owner next;
      start_next_owner_from_saved_rows (&owner, &next, N_TEXTS, now);
      for (int i = 0; i < N_TEXTS; i++)
        cr_assert_geq (
            next.resume_at[i], n_generated - MAX_LOST_EVENTS,
            "item %d resumes at event %lld of %lld after %d ms, expected at most 7 lost events", i,
            (long long)next.resume_at[i], (long long)n_generated, ms);
      owner_clear (&next);
    }
  cr_assert_lt (owner.saved_bytes, 2 * N_TEXTS * n_generated * (int64_t)sizeof event,
                "each event must be saved only once");
  owner_clear (&owner);
}
