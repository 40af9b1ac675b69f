#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Rows of one batch lie in one part, so that they can be written together; batches are spread over
 * parts because each takes a bounded number of writes a second. */
#define N_PARTS 16
#define TABLE "head"
#define WATCH_WAIT                                                                                 \
  (800 * LB_MSEC) /* an end must reach the owner within 3 s, also over a silent                    \
                   * connection, which is found after this wait */
#define WATCH_RETRY (150 * LB_MSEC)
/* Instances take a batch over in turn, one after the other, so that they do not all write. */
#define RANK_DELAY (400 * LB_MSEC)

static unsigned
part_of (const char *id)
{
  return (unsigned)(XXH3_64bits (id, strlen (id)) % N_PARTS);
}

void
ln_batch_head_key (const char *id, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, TABLE "/%02x/%s", part_of (id), id);
}

void
ln_batch_result_prefix (const char *id, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, "result/%02x/%s:", part_of (id), id);
}

static bool
is_ours (const LnBatch *batch)
{
  const LnContext *context = batch->batches->context;

  return strcmp (batch->head.owner, context->instance) == 0
         && strcmp (batch->head.incarnation, context->incarnation) == 0;
}

/* Ours by the row, though nothing runs here: the write that made it ours was taken for lost. */
static void
adopt (LnBatch *batch)
{
  if (batch->batches->draining)
    return;
  lb_log (LB_LOG_INFO, "batch_adopted", LB_TEXT ("batch", batch->id),
          LB_INT ("epoch", batch->head.epoch));
  ln_batch_owner_load (batch);
}

void
ln_batch_heads_review (LnBatch *batch)
{
  if (batch->held == LN_HELD_NOT && is_ours (batch) && !batch->head.ended)
    adopt (batch);
}

static void
note_change (LnBatch *batch, const LcBatchHead *before)
{
  bool same_owner = batch->head.epoch == before->epoch;

  if (batch->head.ended && !before->ended)
    lb_log (LB_LOG_INFO, "batch_ended", LB_TEXT ("batch", batch->id));
  if (!same_owner)
    batch->orphan_since = 0;
  if (batch->held == LN_HELD_RUNNING || batch->held == LN_HELD_LOADING)
    {
      if (batch->head.ended || !is_ours (batch))
        ln_batch_owner_stop (batch);
      return;
    }
  ln_batch_heads_review (batch);
}

bool
ln_batch_heads_take (LnBatches *batches, const LpRow *row)
{
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  LcBatchHead head;
  bool ok = object && lc_batch_head_from_json (object, &head);

  json_object_put (object);
  if (!ok)
    {
      lb_log (LB_LOG_WARNING, "batch_row_unreadable", LB_TEXT ("key", row->key));
      return false;
    }
  LnBatch *batch = ln_batches_ensure (batches, head.batch);
  LcBatchHead before = batch->head;
  if (row->version <= batch->version)
    return true;
  batch->head = head;
  batch->version = row->version;
  note_change (batch, &before);
  return true;
}

/* --- taking over --- */

static bool
owner_is_alive (const LnBatch *batch)
{
  const LnBatches *batches = batch->batches;

  for (size_t i = 0; i < batches->n_members; i++)
    {
      const LnMember *member = &batches->members[i];
      if (strcmp (member->name, batch->head.owner) == 0)
        return member->alive && strcmp (member->incarnation, batch->head.incarnation) == 0;
    }
  return false;
}

static size_t
own_rank (const LnBatch *batch)
{
  const LnBatches *batches = batch->batches;
  LbName *alive = LB_NEW_ARRAY (LbName, batches->n_members + 1);
  size_t n = 0;

  for (size_t i = 0; i < batches->n_members; i++)
    if (batches->members[i].alive && !batches->members[i].draining)
      lb_strlcpy (alive[n++], batches->members[i].name, LB_NAME_MAX);
  size_t rank = lc_batch_head_rank (batch->id, batches->context->instance, alive, n);
  free (alive);
  return rank;
}

static void
on_taken (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;

  if (batch->held != LN_HELD_TAKING)
    return;
  batch->held = LN_HELD_NOT;
  lb_log (LB_LOG_INFO, "batch_taken_over", LB_TEXT ("batch", batch->id),
          LB_TEXT ("from", batch->head.owner), LB_INT ("epoch", batch->head.epoch + 1),
          LB_TEXT ("outcome", lb_error_name (error)));
  if (error == LB_OK)
    {
      batch->version = row->version;
      batch->head.epoch++;
      LB_COPY (batch->head.owner, batch->batches->context->instance);
      LB_COPY (batch->head.incarnation, batch->batches->context->incarnation);
      ln_batch_owner_load (batch);
    }
  else if (error == LB_ERROR_CONDITION_FAILED && row->value)
    ln_batch_heads_take (batch->batches, row);
  batch->orphan_since = 0;
}

/* Writes the row with another owner under the condition that it is as this instance knows it. */
static void
write_head (LnBatch *batch, const LcBatchHead *head, LpTransactDone done)
{
  LpPlatform *platform = batch->batches->context->platform;
  struct json_object *object = lc_batch_head_to_json (head);
  char key[LN_BATCH_KEY_SIZE];
  const LpCondition condition = { .key = key, .version = batch->version };
  const LpPut put = { .key = key, .value = json_object_to_json_string (object) };
  const LpTransaction transaction
      = { .token = "", .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  ln_batch_head_key (batch->id, key);
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, done, batch);
  json_object_put (object);
}

static void
take_over (LnBatch *batch)
{
  LcBatchHead head = batch->head;

  batch->held = LN_HELD_TAKING;
  head.epoch++;
  LB_COPY (head.owner, batch->batches->context->instance);
  LB_COPY (head.incarnation, batch->batches->context->incarnation);
  write_head (batch, &head, on_taken);
}

/* A batch whose owner is gone is run by the next instance in the order of this batch. An owner that
 * was only paused finds its row changed, and lists nothing more. */
static void
look_after (LnBatch *batch, LbTime now)
{
  if (batch->held != LN_HELD_NOT || batch->head.ended || batch->version == 0
      || !batch->batches->members_known || batch->batches->draining || owner_is_alive (batch))
    {
      batch->orphan_since = 0;
      return;
    }
  if (batch->orphan_since == 0)
    batch->orphan_since = now;
  if (now - batch->orphan_since >= (LbTime)own_rank (batch) * RANK_DELAY)
    take_over (batch);
}

static void
on_released (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;

  if (error == LB_OK)
    batch->version = row->version;
  lb_log (LB_LOG_INFO, "batch_released", LB_TEXT ("batch", batch->id),
          LB_TEXT ("outcome", lb_error_name (error)));
  batch->held = LN_HELD_NOT;
}

/* This instance stops: another one shall not wait until it is missed. */
void
ln_batch_heads_release (LnBatch *batch)
{
  LcBatchHead head = batch->head;

  if (batch->held != LN_HELD_RUNNING && batch->held != LN_HELD_LOADING)
    return;
  ln_batch_owner_stop (batch);
  batch->held = LN_HELD_RELEASING;
  LB_COPY (head.owner, "");
  LB_COPY (head.incarnation, "");
  write_head (batch, &head, on_released);
}

/* --- all rows --- */

static void
on_part (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  LnBatches *batches = user;

  if (error != LB_OK)
    batches->list_failed = true;
  else if (batches->list_version == 0 || version < batches->list_version)
    batches->list_version = version;
  for (size_t i = 0; i < n_rows; i++)
    ln_batch_heads_take (batches, &rows[i]);
  if (--batches->parts_left > 0)
    return;
  batches->watching = false;
  batches->next_watch = lb_clock_monotonic () + (batches->list_failed ? WATCH_RETRY : 0);
  if (batches->list_failed)
    return;
  batches->listed = true;
  batches->table_version = batches->list_version;
}

static void
list_all (LnBatches *batches)
{
  LpPlatform *platform = batches->context->platform;
  char prefix[32];

  batches->parts_left = N_PARTS;
  batches->list_failed = false;
  batches->list_version = 0;
  for (unsigned part = 0; part < N_PARTS; part++)
    {
      snprintf (prefix, sizeof prefix, TABLE "/%02x/", part);
      platform->klass->list (platform, prefix, NULL, 0, on_part, batches);
    }
}

static void
on_changes (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  LnBatches *batches = user;
  LbTime now = lb_clock_monotonic ();

  batches->watching = false;
  batches->next_watch = now;
  if (error == LB_OK)
    {
      for (size_t i = 0; i < n_rows; i++)
        if (rows[i].value)
          ln_batch_heads_take (batches, &rows[i]);
      batches->table_version = version;
      return;
    }
  if (error == LB_ERROR_NOT_FOUND)
    batches->table_version = 0;
  batches->next_watch = now + WATCH_RETRY;
}

void
ln_batch_heads_tick (LnBatches *batches, LbTime now)
{
  LpPlatform *platform = batches->context->platform;

  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    look_after (batch, now);
  if (batches->watching || now < batches->next_watch)
    return;
  batches->watching = true;
  if (batches->table_version == 0)
    list_all (batches);
  else
    platform->klass->watch (platform, TABLE, batches->table_version, WATCH_WAIT, on_changes,
                            batches);
}
