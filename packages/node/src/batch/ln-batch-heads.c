#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lb-switch.h"

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
#define OFFER_TIME (300 * LB_MSEC) /* several round trips to the store */
/* An owner that no list shows may have just got its first duty: its row on duty is written, listed
 * and published within this time. */
#define UNKNOWN_OWNER_TIME (2500 * LB_MSEC)
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

void
ln_batch_part_prefix (const char *id, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, "begun/%02x/%s:", part_of (id), id);
}

void
ln_batch_texts_prefix (const char *id, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, "more/%02x/%s:", part_of (id), id);
}

void
ln_batch_text_prefix (const char *id, int64_t position, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, "more/%02x/%s:%06lld:", part_of (id), id, (long long)position);
}

void
ln_batch_object_key (const char *id, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, "batch-%s", id);
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
  ln_batch_load (batch);
}

static bool
is_held (const LnBatch *batch)
{
  return batch->held == LN_HELD_RUNNING || batch->held == LN_HELD_LOADING
         || batch->held == LN_HELD_OFFERED;
}

void
ln_batch_heads_review (LnBatch *batch)
{
  if (batch->held == LN_HELD_NOT && is_ours (batch) && !batch->head.ended)
    adopt (batch);
}

static void take_over (LnBatch *batch);

/* The first owner offers the batch to the instance that shall run it. */
static bool
is_offered_here (const LnBatch *batch)
{
  return batch->head.epoch == 1 && !batch->head.ended && !batch->batches->draining
         && strcmp (batch->head.preferred_instance, batch->batches->context->instance) == 0;
}

static void
note_change (LnBatch *batch, const LcBatchHead *before)
{
  if (batch->head.ended && !before->ended)
    {
      batch->ended_at = lb_clock_monotonic ();
      lb_log (LB_LOG_INFO, "batch_ended", LB_TEXT ("batch", batch->id));
    }
  if (batch->head.epoch != before->epoch)
    batch->orphan_since = 0;
  /* A younger row of ours: a write that was taken for lost was carried out after all, and what runs
   * here could list nothing more under the row before. */
  if (is_held (batch)
      && (batch->head.ended || !is_ours (batch) || batch->head.epoch != before->epoch))
    ln_batch_owner_stop (batch);
  if (batch->held == LN_HELD_NOT && !is_ours (batch) && is_offered_here (batch))
    take_over (batch);
  ln_batch_heads_review (batch);
}

void
ln_batch_heads_tell_demand (LnBatches *batches, const LcBatchHead *head)
{
  static const char *const tasks[] = { "config", "duties" };
  LnDemandMessage message
      = { .base = LN_MESSAGE (LN_DEMAND), .tokens = head->expected_tokens, .texts = head->n_items };

  LB_COPY (message.model, head->model);
  for (size_t i = 0; i < sizeof tasks / sizeof tasks[0]; i++)
    {
      LnTask *task = ln_hub_find_task (batches->task.hub, tasks[i]);
      if (task)
        LN_POST (batches->task.hub, task, message);
    }
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
  /* Ended ones count as well: an instance that has just begun, and divides the engines, would know
   * the one or two steps alone that are open, and move engines for the lengths of their texts. */
  if (batch->version == 0)
    ln_batch_heads_tell_demand (batches, &head);
  batch->head = head;
  batch->version = row->version;
  batch->version_at = lb_clock_monotonic ();
  note_change (batch, &before);
  return true;
}

/* --- taking over --- */

/* An owner that runs under another incarnation now has lost the batch, if its present row is
 * younger than the batch's: else it is this instance's view of it that is old. */
static LnOwnerState
find_owner (const LnBatch *batch)
{
  const LnBatches *batches = batch->batches;

  for (size_t i = 0; i < batches->n_members; i++)
    {
      const LnMember *member = &batches->members[i];
      if (strcmp (member->name, batch->head.owner) != 0)
        continue;
      return member->alive
                     && (strcmp (member->incarnation, batch->head.incarnation) == 0
                         || member->version < batch->version)
                 ? LN_OWNER_ALIVE
                 : LN_OWNER_GONE;
    }
  return LN_OWNER_UNKNOWN;
}

/* Asked for each batch twenty times a second, of hundreds of members, which change seldom. */
static bool
owner_is_alive (LnBatch *batch, LbTime now)
{
  const LnBatches *batches = batch->batches;

  if (batch->owner_members != batches->members_change || batch->owner_version != batch->version)
    batch->owner_state = find_owner (batch);
  batch->owner_members = batches->members_change;
  batch->owner_version = batch->version;
  return batch->owner_state == LN_OWNER_ALIVE
         || (batch->owner_state == LN_OWNER_UNKNOWN
             && now - batch->version_at < UNKNOWN_OWNER_TIME);
}

static size_t
add_candidates (const LnBatches *batches, bool cut, LcDutyCandidate *candidates)
{
  size_t n = 0;

  for (size_t i = 0; i < batches->n_members; i++)
    {
      const LnMember *member = &batches->members[i];
      if (!member->alive || !member->confirmed || member->draining || member->cut != cut)
        continue;
      LB_COPY (candidates[n].name, member->name);
      candidates[n++].strength = member->strength;
    }
  return n;
}

/* Guards against an owner that can't reach the store: it hears late of the batch, and each list of
 * results goes through another instance. Only when all are cut are cut ones taken. */
LcDutyCandidate *
ln_batches_candidates (const LnBatches *batches, size_t *n)
{
  LcDutyCandidate *candidates = LB_NEW_ARRAY (LcDutyCandidate, batches->n_members + 1);

  *n = add_candidates (batches, false, candidates);
  if (*n == 0)
    *n = add_candidates (batches, true, candidates);
  return candidates;
}

static bool
is_run_by (const LnBatch *batch, const char *instance)
{
  return batch->version > 0 && !batch->head.ended
         && strcmp (lc_batch_head_assigned_instance (&batch->head), instance) == 0;
}

/* A model counts with the first of its batches. */
static bool
is_first_of_model (const LnBatches *batches, const LnBatch *batch, const char *instance)
{
  for (const LnBatch *other = batches->by_id; other != batch; other = other->hh.next)
    if (is_run_by (other, instance) && strcmp (other->head.model, batch->head.model) == 0)
      return false;
  return true;
}

size_t
ln_batches_count_models (const LnBatches *batches, const char *instance)
{
  size_t n = 0;

  for (const LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    n += is_run_by (batch, instance) && is_first_of_model (batches, batch, instance);
  return n;
}

size_t
ln_batch_heads_rank (const LnBatch *batch, const char *duty)
{
  size_t n;
  LcDutyCandidate *candidates = ln_batches_candidates (batch->batches, &n);
  size_t rank = lc_duty_rank (duty, batch->batches->context->instance, candidates, n);

  free (candidates);
  return rank;
}

/* The batch's row as it is now that the write went through; the watch may have shown it, or a later
 * one, already. */
static void
note_written (LnBatch *batch, int64_t version)
{
  if (version <= batch->version)
    return;
  batch->version = version;
  batch->head = batch->written;
}

static void
on_taken (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;

  if (batch->held != LN_HELD_TAKING)
    return;
  batch->held = LN_HELD_NOT;
  batch->orphan_since = 0;
  lb_log (LB_LOG_INFO, "batch_taken_over", LB_TEXT ("batch", batch->id),
          LB_INT ("epoch", batch->written.epoch), LB_TEXT ("outcome", lb_error_name (error)));
  if (error == LB_OK)
    note_written (batch, row->version);
  else if (error == LB_ERROR_CONDITION_FAILED && row->value)
    ln_batch_heads_take (batch->batches, row);
  ln_batch_heads_review (batch);
}

void
ln_batch_heads_transact (const LnBatch *batch,
                         const LpPut *puts,
                         size_t n_puts,
                         LpPriority priority,
                         LpTransactDone done,
                         void *user)
{
  LpPlatform *platform = batch->batches->context->platform;
  char key[LN_BATCH_KEY_SIZE];
  const LpCondition condition = { .key = key, .version = batch->version };
  const LpTransaction transaction = {
    .token = "", .conditions = &condition, .n_conditions = 1, .puts = puts, .n_puts = n_puts
  };

  ln_batch_head_key (batch->id, key);
  platform->klass->transact (platform, &transaction, priority, done, user);
}

/* Writes the row with another owner, and further rows beside it. */
static void
write_rows (
    LnBatch *batch, const LcBatchHead *head, const LpPut *more, size_t n_more, LpTransactDone done)
{
  struct json_object *object = lc_batch_head_to_json (head);
  char key[LN_BATCH_KEY_SIZE];
  LpPut puts[LN_BATCH_MAX_PARTS + 1]
      = { { .key = key, .value = json_object_to_json_string (object) } };

  for (size_t i = 0; i < n_more; i++)
    puts[i + 1] = more[i];
  ln_batch_head_key (batch->id, key);
  ln_batch_heads_transact (batch, puts, n_more + 1, LP_PRIORITY_LEDGER, done, batch);
  json_object_put (object);
}

static void
take_over (LnBatch *batch)
{
  LcBatchHead head = batch->head;

  batch->held = LN_HELD_TAKING;
  ln_batches_note_owned (batch->batches, true);
  head.epoch++;
  LB_COPY (head.owner, batch->batches->context->instance);
  LB_COPY (head.incarnation, batch->batches->context->incarnation);
  batch->written = head;
  write_rows (batch, &head, NULL, 0, on_taken);
}

/* The offer's time is over: this instance takes the batch back by a write of its own, before it
 * runs it. Guards against two late ones. The watch that tells of a taken offer may be late here: a
 * run would make each text a second time and could list nothing; the write's condition fails
 * instead. And the instance that it was offered to may hear of it late, when it is cut off: it
 * would take the batch in the middle of the run, with the loss of all texts that were not kept.
 * Without an answer the batch is run here: nobody else may have been able to take it. */
static void
end_offer (LnBatch *batch)
{
  take_over (batch);
}

/* A batch whose owner is gone is run by the next instance in the order of its model, so that all
 * batches of the model go to one instance, which opens one set of connections to the engines. An
 * owner that was only paused finds its row changed, and lists nothing more. */
static void
look_after (LnBatch *batch, LbTime now)
{
  if (batch->held == LN_HELD_OFFERED && now >= batch->offered_until)
    end_offer (batch);
  if (batch->held != LN_HELD_NOT || batch->head.ended || batch->version == 0
      || batch->batches->members_change == 0 || batch->batches->draining
      || owner_is_alive (batch, now))
    {
      batch->orphan_since = 0;
      return;
    }
  if (batch->orphan_since == 0)
    batch->orphan_since = now;
  if (now - batch->orphan_since
      >= (LbTime)ln_batch_heads_rank (batch, batch->head.model) * RANK_DELAY)
    take_over (batch);
}

static void
on_released (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;

  if (error == LB_OK)
    note_written (batch, row->version);
  lb_log (LB_LOG_INFO, "batch_released", LB_TEXT ("batch", batch->id),
          LB_TEXT ("outcome", lb_error_name (error)));
  batch->held = LN_HELD_NOT;
}

/* This instance stops: another one shall not wait until it is missed, and gets the texts so far. */
void
ln_batch_heads_release (LnBatch *batch)
{
  LcBatchHead head = batch->head;

  LpPut puts[LN_BATCH_MAX_PARTS];
  size_t n = 0;
  LbList actions;
  LbLink *link;

  if (!is_held (batch))
    return;
  lb_list_init (&actions);
  if (batch->run)
    lc_batch_checkpoint (batch->run, lb_clock_monotonic (), &actions);
  while ((link = lb_list_pop (&actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      n = ln_batch_owner_puts (batch, action, puts, LN_BATCH_MAX_PARTS);
      lc_batch_action_free (action);
    }
  ln_batch_owner_stop (batch);
  batch->held = LN_HELD_RELEASING;
  LB_COPY (head.owner, "");
  LB_COPY (head.incarnation, "");
  batch->written = head;
  write_rows (batch, &head, puts, n, on_released);
  ln_batch_owner_clear_puts (puts, n);
}

/* An instance that was killed a moment ago is still taken for alive: the instance that accepted the
 * batch runs it itself when the offer is not taken at once. */
bool
ln_batch_heads_offer (LnBatch *batch, LbTime now)
{
  if (!batch->head.preferred_instance[0] || !lb_switch_is_on (LB_SWITCH_OFFERS)
      || strcmp (batch->head.preferred_instance, batch->batches->context->instance) == 0)
    return false;
  batch->held = LN_HELD_OFFERED;
  batch->offered_until = now + OFFER_TIME;
  return true;
}

/* --- all rows --- */

/* A row that is gone belonged to a batch that was ended long ago. */
static void
take_change (LnBatches *batches, const LpRow *row)
{
  LnBatch *batch = NULL;

  if (row->value)
    {
      ln_batch_heads_take (batches, row);
      return;
    }
  batch = ln_batches_find (batches, row->key + strlen (TABLE "/00/"));
  if (batch && batch != batches->cleaned && batch->held == LN_HELD_NOT)
    ln_batches_forget (batch);
}

static void
on_rows (const LpRow *rows, size_t n_rows, void *user)
{
  for (size_t i = 0; i < n_rows; i++)
    take_change (user, &rows[i]);
}

void
ln_batch_heads_follow (LnBatches *batches)
{
  static const char *const parts[]
      = { TABLE "/00/", TABLE "/01/", TABLE "/02/", TABLE "/03/", TABLE "/04/", TABLE "/05/",
          TABLE "/06/", TABLE "/07/", TABLE "/08/", TABLE "/09/", TABLE "/0a/", TABLE "/0b/",
          TABLE "/0c/", TABLE "/0d/", TABLE "/0e/", TABLE "/0f/" };
  const LpFollowSettings settings = { .table = TABLE,
                                      .prefixes = parts,
                                      .n_prefixes = N_PARTS,
                                      .wait = WATCH_WAIT,
                                      .retry = WATCH_RETRY,
                                      .tries_history = true };

  _Static_assert(sizeof parts / sizeof parts[0] == N_PARTS, "a prefix for each part");
  batches->rows = lp_follow_new (batches->context->platform, &settings, on_rows, batches);
}

void
ln_batch_heads_tick (LnBatches *batches, LbTime now)
{
  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    look_after (batch, now);
  lp_follow_tick (batches->rows, now);
}
