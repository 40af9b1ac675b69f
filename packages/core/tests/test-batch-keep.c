#include "lc-batch.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MAX_ITEMS 80
#define MAX_PARTS 4000

/* What a store keeps of a part. */
typedef struct
{
  char item[16];
  int64_t run;
  int64_t first;
  int64_t events;
  char *text;
  LcVersion versions[LC_MAX_RESULT_VERSIONS];
  size_t n_versions;
} Kept;

/* An owner and its store, whose answers the test gives. */
typedef struct
{
  LcBatch *batch;
  LcRequestId last_id;
  LcRequestId running[MAX_ITEMS];
  int64_t resume_at[MAX_ITEMS];
  Kept *rows;
  size_t n_rows;
  Kept *asked; /* the KEEP on its way */
  size_t n_asked;
  size_t asked_bytes;
  int64_t bytes; /* that were kept in all */
} Owner;

static LcRequestId
next_id (void *user)
{
  return ++((Owner *)user)->last_id;
}

static void
owner_init (Owner *owner, size_t n_items)
{
  LcBatchSpec spec = { .min_version = 4, .n_items = n_items };
  const LcBatchSettings settings = { .max_failures = 3,
                                     .resumable = true,
                                     .deadline = LB_TIME_NEVER,
                                     .next_request_id = next_id,
                                     .user = owner };

  memset (owner, 0, sizeof *owner);
  LB_COPY (spec.id, "b1");
  LB_COPY (spec.model, "reader");
  spec.items = LB_NEW_ARRAY (LcBatchItemSpec, n_items);
  for (size_t i = 0; i < n_items; i++)
    snprintf (spec.items[i].request.id, LB_NAME_MAX, "item-%zu", i);
  owner->batch = lc_batch_new (&spec, &settings);
  owner->rows = LB_NEW_ARRAY (Kept, MAX_PARTS);
  owner->asked = LB_NEW_ARRAY (Kept, MAX_ITEMS);
}

static void
free_kept (Kept *kept, size_t n)
{
  for (size_t i = 0; i < n; i++)
    free (kept[i].text);
  free (kept);
}

static void
owner_clear (Owner *owner)
{
  lc_batch_free (owner->batch);
  free_kept (owner->asked, owner->n_asked);
  free_kept (owner->rows, owner->n_rows);
}

static void
ask_keep (Owner *owner, const LcBatchAction *action)
{
  cr_assert_eq (owner->n_asked, 0, "one KEEP at a time");
  owner->asked_bytes = 0;
  for (size_t i = 0; i < action->n_parts; i++)
    {
      const LcBatchTextPart *part = &action->parts[i];
      Kept *kept = &owner->asked[owner->n_asked++];
      *kept = (Kept){ .run = part->restarts,
                      .first = part->first_event,
                      .events = part->n_events,
                      .text = lb_strdup (part->text),
                      .n_versions = part->n_versions };
      snprintf (kept->item, sizeof kept->item, "%s", part->item);
      memcpy (kept->versions, part->versions, part->n_versions * sizeof *part->versions);
      owner->asked_bytes += strlen (part->text);
    }
}

static void
take_actions (Owner *owner, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      if (action->type == LC_BATCH_GENERATE)
        {
          owner->running[action->item_index] = action->request;
          owner->resume_at[action->item_index] = action->resume_at;
        }
      else if (action->type == LC_BATCH_CHECKPOINT)
        ask_keep (owner, action);
      lc_batch_action_free (action);
    }
}

/* The row of the same key is replaced. */
static void
put_row (Owner *owner, Kept *kept)
{
  for (size_t i = 0; i < owner->n_rows; i++)
    {
      Kept *row = &owner->rows[i];
      if (strcmp (row->item, kept->item) != 0 || row->run != kept->run || row->first != kept->first)
        continue;
      free (row->text);
      *row = *kept;
      return;
    }
  cr_assert_lt (owner->n_rows, MAX_PARTS);
  owner->rows[owner->n_rows++] = *kept;
}

/* The store carries out the KEEP on its way; `told` is whether the owner hears of it. */
static void
carry_out_keep (Owner *owner, bool told)
{
  for (size_t i = 0; i < owner->n_asked; i++)
    put_row (owner, &owner->asked[i]);
  owner->bytes += (int64_t)owner->asked_bytes;
  owner->n_asked = 0;
  lc_batch_finish_checkpoint (owner->batch, told);
}

static void
lose_keep (Owner *owner)
{
  for (size_t i = 0; i < owner->n_asked; i++)
    free (owner->asked[i].text);
  owner->n_asked = 0;
  lc_batch_finish_checkpoint (owner->batch, false);
}

static void
start (Owner *owner, LbTime now)
{
  LbList actions;

  lb_list_init (&actions);
  lc_batch_start (owner->batch, now, &actions);
  take_actions (owner, &actions);
}

static void
tick (Owner *owner, LbTime now)
{
  LbList actions;

  lb_list_init (&actions);
  lc_batch_tick (owner->batch, now, &actions);
  take_actions (owner, &actions);
}

static void
pieces (Owner *owner, int item, int n, const char *text, LbTime now)
{
  for (int i = 0; i < n; i++)
    lc_batch_add_piece (owner->batch, owner->running[item], 4, "engine-1", text, now);
}

static int
by_key (const void *a, const void *b)
{
  const Kept *x = a;
  const Kept *y = b;
  int order = strcmp (x->item, y->item);

  if (order == 0)
    order = (x->run > y->run) - (x->run < y->run);
  return order != 0 ? order : (x->first > y->first) - (x->first < y->first);
}

/* The owner is gone: the next one reads what was kept. */
static void
take_over (Owner *before, Owner *next, size_t n_items, LbTime now)
{
  owner_init (next, n_items);
  qsort (before->rows, before->n_rows, sizeof *before->rows, by_key);
  for (size_t i = 0; i < before->n_rows; i++)
    {
      const Kept *row = &before->rows[i];
      const LcBatchTextPart part = { .item = row->item,
                                     .restarts = row->run,
                                     .first_event = row->first,
                                     .n_events = row->events,
                                     .text = row->text,
                                     .versions = row->versions,
                                     .n_versions = row->n_versions };
      lc_batch_restore_text_part (next->batch, &part);
    }
  start (next, now);
}

Test (batch_keep, only_what_is_new_is_kept)
{
  Owner owner;

  owner_init (&owner, 1);
  start (&owner, LB_SEC);
  pieces (&owner, 0, 4, "ab", LB_SEC);
  tick (&owner, 2 * LB_SEC);
  cr_assert_eq (owner.n_asked, 1);
  cr_assert_eq (owner.asked[0].first, 0);
  cr_assert_str_eq (owner.asked[0].text, "ab\nab\nab\nab");
  carry_out_keep (&owner, true);
  pieces (&owner, 0, 3, "cd", 2 * LB_SEC);
  tick (&owner, 3 * LB_SEC);
  cr_assert_eq (owner.n_asked, 1);
  cr_assert_eq (owner.asked[0].first, 4);
  cr_assert_eq (owner.asked[0].events, 3);
  cr_assert_str_eq (owner.asked[0].text, "cd\ncd\ncd");
  owner_clear (&owner);
}

/* A write of texts so far fails. The next one holds its events as well, so that the text has no
 * gap.
 */
Test (batch_keep, what_was_not_kept_is_kept_with_the_next_write)
{
  Owner owner;

  owner_init (&owner, 1);
  start (&owner, LB_SEC);
  pieces (&owner, 0, 3, "a", LB_SEC);
  tick (&owner, 2 * LB_SEC);
  lose_keep (&owner);
  pieces (&owner, 0, 3, "b", 2 * LB_SEC);
  tick (&owner, 3 * LB_SEC);
  cr_assert_eq (owner.asked[0].first, 0);
  cr_assert_str_eq (owner.asked[0].text, "a\na\na\nb\nb\nb");
  owner_clear (&owner);
}

/* An owner is killed, and so is the next one. Each goes on where the parts that were kept end. */
Test (batch_keep, the_next_owner_joins_the_parts)
{
  Owner first, second, third;

  owner_init (&first, 2);
  start (&first, LB_SEC);
  pieces (&first, 0, 3, "a", LB_SEC);
  pieces (&first, 1, 3, "x", LB_SEC);
  tick (&first, 2 * LB_SEC);
  carry_out_keep (&first, true);
  pieces (&first, 0, 4, "b", 2 * LB_SEC);
  tick (&first, 3 * LB_SEC);
  carry_out_keep (&first, true);
  take_over (&first, &second, 2, 4 * LB_SEC);
  cr_assert_eq (second.resume_at[0], 7);
  cr_assert_eq (second.resume_at[1], 3);
  pieces (&second, 0, 3, "c", 4 * LB_SEC);
  tick (&second, 5 * LB_SEC);
  cr_assert_eq (second.asked[0].first, 7);
  for (size_t i = 0; i < second.n_asked; i++)
    put_row (&first, &second.asked[i]);
  second.n_asked = 0;
  take_over (&first, &third, 2, 6 * LB_SEC);
  cr_assert_eq (third.resume_at[0], 10);
  owner_clear (&first);
  owner_clear (&second);
  owner_clear (&third);
}

/* A write of texts so far has no answer, so its events are written again, with more behind them.
 * Then the first write is carried out after all and shortens the row: events are missing before
 * those of a later row. The next owner takes what stands before the gap, makes the rest anew, and
 * what stood behind the gap is never joined to it, neither by this owner nor by the one after it.
 */
Test (batch_keep, nothing_behind_a_gap_is_joined)
{
  Owner first, second, third;

  owner_init (&first, 1);
  start (&first, LB_SEC);
  pieces (&first, 0, 3, "a", LB_SEC);
  tick (&first, 2 * LB_SEC);
  Kept late = first.asked[0];
  late.text = lb_strdup (late.text);
  lose_keep (&first);
  pieces (&first, 0, 3, "b", 2 * LB_SEC);
  tick (&first, 3 * LB_SEC);
  carry_out_keep (&first, true);
  pieces (&first, 0, 3, "c", 3 * LB_SEC);
  tick (&first, 4 * LB_SEC);
  carry_out_keep (&first, true);
  put_row (&first, &late);
  take_over (&first, &second, 1, 5 * LB_SEC);
  cr_assert_eq (second.resume_at[0], 3);
  pieces (&second, 0, 3, "d", 5 * LB_SEC);
  tick (&second, 6 * LB_SEC);
  cr_assert_eq (second.asked[0].first, 0, "the text is kept anew");
  cr_assert_str_eq (second.asked[0].text, "a\na\na\nd\nd\nd");
  for (size_t i = 0; i < second.n_asked; i++)
    put_row (&first, &second.asked[i]);
  second.n_asked = 0;
  take_over (&first, &third, 1, 7 * LB_SEC);
  cr_assert_eq (third.resume_at[0], 6, "what stood behind the gap is not taken");
  owner_clear (&first);
  owner_clear (&second);
  owner_clear (&third);
}

/* A step of 78 long texts runs when its owner loses power, at any moment. Texts come at twelve
 * events of 400 bytes a second, so whole texts of a few seconds do not fit in one write of 400 KiB,
 * and those of the last items were never kept: they began anew, and the step was late. */
Test (batch_keep, of_many_long_texts_none_loses_more_than_half_a_second)
{
  enum
  {
    N_TEXTS = 78,
    EVENT_MS = 76,
    WRITE_MS = 40,
    LENGTH_MS = 6000,
    MAX_LOST = 7 /* events, in 0.53 s */
  };
  char event[401];
  Owner owner;
  LbTime answer_at = 0;
  int64_t made = 0;

  memset (event, 'e', sizeof event - 1);
  event[sizeof event - 1] = '\0';
  owner_init (&owner, N_TEXTS);
  start (&owner, LB_SEC);
  for (int ms = 1; ms <= LENGTH_MS; ms++)
    {
      LbTime now = LB_SEC + ms * LB_MSEC;
      if (ms % EVENT_MS == 0)
        {
          made++;
          for (int i = 0; i < N_TEXTS; i++)
            pieces (&owner, i, 1, event, now);
        }
      if (owner.n_asked > 0 && now >= answer_at)
        carry_out_keep (&owner, true);
      bool was_asked = owner.n_asked > 0;
      if (ms % 50 == 0)
        tick (&owner, now);
      if (!was_asked && owner.n_asked > 0)
        answer_at = now + WRITE_MS * LB_MSEC;
      if (ms % 500 != 0)
        continue;
      Owner next;
      take_over (&owner, &next, N_TEXTS, now);
      for (int i = 0; i < N_TEXTS; i++)
        cr_assert_geq (next.resume_at[i], made - MAX_LOST,
                       "item %d has %lld of %lld events at %d ms", i, (long long)next.resume_at[i],
                       (long long)made, ms);
      owner_clear (&next);
    }
  cr_assert_lt (owner.bytes, 2 * N_TEXTS * made * (int64_t)sizeof event, "each event is kept once");
  owner_clear (&owner);
}
