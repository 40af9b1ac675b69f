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

/* Number of partitions of each table. All rows of a batch are in one partition, so that one
 * transaction can write them. Batches are spread over the partitions because each partition accepts
 * a limited rate of writes. */
#define N_PARTITIONS_PER_TABLE 16
#define BATCH_TABLE "head" /* table with one row per batch, an LcBatchHead as JSON */
/* Time limit of one watch request, by which a silently dead connection is noticed. The owner of
 * a batch must learn of the batch's end within 3 s even over such a connection. */
#define ROW_WATCH_TIMEOUT (800 * LB_MSEC)
#define ROW_WATCH_RETRY_DELAY (150 * LB_MSEC)
/* Time for the preferred instance to claim an offered batch; longer than several store round
 * trips. */
#define BATCH_OFFER_TIMEOUT (300 * LB_MSEC)
/* An owner that is missing from the list of instances is presumed alive for this time, because the
 * owner may just have started its first batch. Its row reaches all instances within this time. */
#define UNKNOWN_OWNER_GRACE_PERIOD (2500 * LB_MSEC)
/* The instances that can take over a batch are ranked for the batch's model. An instance waits this
 * long per rank before it takes the batch over, so that the instances do not all write at once. */
#define BATCH_TAKEOVER_DELAY_PER_RANK (400 * LB_MSEC)

static unsigned
compute_batch_partition (const char *id)
{
  return (unsigned)(XXH3_64bits (id, strlen (id)) % N_PARTITIONS_PER_TABLE);
}

void
ln_batch_format_row_key (const char *id, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, BATCH_TABLE "/%02x/%s", compute_batch_partition (id), id);
}

void
ln_batch_format_result_prefix (const char *id, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, "result/%02x/%s:", compute_batch_partition (id), id);
}

void
ln_batch_format_checkpoint_prefix (const char *id, char *key)
{
  /* The table "begun" holds the checkpoints, which are parts of incomplete texts. */
  snprintf (key, LN_BATCH_KEY_SIZE, "begun/%02x/%s:", compute_batch_partition (id), id);
}

void
ln_batch_format_all_text_chunks_prefix (const char *id, char *key)
{
  /* The table "more" holds the chunks of complete texts that do not fit into one row. */
  snprintf (key, LN_BATCH_KEY_SIZE, "more/%02x/%s:", compute_batch_partition (id), id);
}

void
ln_batch_format_text_chunks_prefix (const char *id, int64_t position, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, "more/%02x/%s:%06lld:", compute_batch_partition (id), id,
            (long long)position);
}

void
ln_batch_format_content_key (const char *id, char *key)
{
  snprintf (key, LN_BATCH_KEY_SIZE, "batch-%s", id);
}

static bool
is_owned_by_this_process (const LnBatch *batch)
{
  const LnContext *context = batch->batches->context;

  return strcmp (batch->head.owner, context->instance) == 0
         && strcmp (batch->head.incarnation, context->incarnation) == 0;
}

/* Loads a batch whose row names this process as the owner, after a claim that succeeded or that was
 * reported as failed but took effect. */
static void
load_owned_batch (LnBatch *batch)
{
  if (batch->batches->draining)
    return;
  lb_log (LB_LOG_INFO, "batch_adopted", LB_TEXT ("batch", batch->id),
          LB_INT ("epoch", batch->head.epoch));
  ln_batch_load_and_run (batch);
}

static bool
is_batch_loading_running_or_offered (const LnBatch *batch)
{
  return batch->state == LN_BATCH_RUNNING || batch->state == LN_BATCH_LOADING
         || batch->state == LN_BATCH_OFFERED;
}

void
ln_batch_load_and_run_if_owned (LnBatch *batch)
{
  if (batch->state == LN_BATCH_NOT_OWNED && is_owned_by_this_process (batch) && !batch->head.ended)
    load_owned_batch (batch);
}

static void claim_batch (LnBatch *batch);

/* Whether the instance that accepted the batch, its owner in epoch 1, offers it to this instance.
 * This instance accepts the offer by claiming the batch. */
static bool
is_offered_to_this_instance (const LnBatch *batch)
{
  return batch->head.epoch == 1 && !batch->head.ended && !batch->batches->draining
         && strcmp (batch->head.preferred_instance, batch->batches->context->instance) == 0;
}

static void
start_or_stop_run_after_row_change (LnBatch *batch, const LcBatchHead *old_head)
{
  if (batch->head.ended && !old_head->ended)
    {
      batch->ended_at = lb_clock_monotonic ();
      lb_log (LB_LOG_INFO, "batch_ended", LB_TEXT ("batch", batch->id));
    }
  if (batch->head.epoch != old_head->epoch)
    batch->owner_gone_since = 0;
  /* If the row has a new epoch but still names this process, a claim that was reported as failed
   * took effect. The current run was started under the previous version of the row, so all its
   * writes of results would fail. */
  if (is_batch_loading_running_or_offered (batch)
      && (batch->head.ended || !is_owned_by_this_process (batch)
          || batch->head.epoch != old_head->epoch))
    ln_batch_owner_stop_run (batch);
  if (batch->state == LN_BATCH_NOT_OWNED && !is_owned_by_this_process (batch)
      && is_offered_to_this_instance (batch))
    claim_batch (batch);
  ln_batch_load_and_run_if_owned (batch);
}

void
ln_batches_publish_token_demand (LnBatches *batches, const LcBatchHead *head)
{
  static const char *const tasks[] = { "config", "duties" };
  LnDemandMessage message = { .base = LN_MESSAGE (LN_DEMAND),
                              .tokens = head->expected_tokens,
                              .n_items = head->n_items };

  LB_COPY (message.model, head->model);
  for (size_t i = 0; i < sizeof tasks / sizeof tasks[0]; i++)
    {
      LnTask *task = ln_hub_find_task (batches->task.hub, tasks[i]);
      if (task)
        LN_POST (batches->task.hub, task, message);
    }
}

/* Converts a time of the store's clock to this instance's. Returns 0 if it is not known. */
static LbTime
convert_store_ms (const LnBatches *batches, int64_t ms, LbTime now)
{
  int64_t store_now_ms = lp_platform_get_store_clock_ms_at (batches->context->platform, now);
  LbTime at = now - (store_now_ms - ms) * LB_MSEC;

  if (ms <= 0 || store_now_ms <= 0)
    return 0;
  return at < now ? at : now;
}

/* If the row has no times, uses those at which this instance saw the changes of the row. Rows that
 * it read when it started show nothing of when they were written. */
void
ln_batches_publish_trainer_step (LnBatches *batches, const LnBatch *batch)
{
  LbTime now = lb_clock_monotonic ();
  LnTask *task = ln_hub_find_task (batches->task.hub, "config");
  LnTrainerStepMessage message
      = { .base = LN_MESSAGE (LN_TRAINER_STEP),
          .step = { .tokens = (double)batch->head.expected_tokens,
                    .priority = batch->head.organisation_priority,
                    .submitted_at = convert_store_ms (batches, batch->head.accepted_ms, now),
                    .ended_at = convert_store_ms (batches, batch->head.ended_ms, now) } };

  message.paces = batch->head.paces;
  LB_COPY (message.step.batch, batch->id);
  LB_COPY (message.step.model, batch->head.model);
  if (message.step.submitted_at == 0 && lp_follow_has_delivered_all_rows (batches->row_watch))
    message.step.submitted_at = batch->first_seen_at;
  if (message.step.ended_at == 0 && batch->head.ended)
    message.step.ended_at = batch->ended_at;
  if (task && message.step.submitted_at > 0)
    LN_POST (batches->task.hub, task, message);
}

bool
ln_batches_update_batch_from_row (LnBatches *batches, const LpRow *row)
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
  LnBatch *batch = ln_batches_find_or_create (batches, head.batch);
  LcBatchHead old_head = batch->head;
  if (row->version <= batch->version)
    return true;
  /* Publishes the demand of ended batches too. Otherwise an instance that has just started and
   * assigns engines to models would know only the demand of the few open batches, and would
   * reassign engines because of random differences between those batches. */
  bool is_new = batch->version == 0;
  if (is_new)
    ln_batches_publish_token_demand (batches, &head);
  batch->head = head;
  batch->version = row->version;
  batch->version_seen_at = lb_clock_monotonic ();
  start_or_stop_run_after_row_change (batch, &old_head);
  if (is_new || head.ended != old_head.ended || head.epoch != old_head.epoch)
    ln_batches_publish_trainer_step (batches, batch);
  return true;
}

/* --- taking over batches without a live owner --- */

/* Looks up the batch's owner in the member list. If the owner is listed with another incarnation
 * and its member row is newer than the batch's row, the owner has restarted and lost the batch.
 * If its member row is older, the list is outdated, and the owner counts as alive. */
static LnOwnerState
compute_batch_owner_state (const LnBatch *batch)
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

/* Caches the owner's state: the function runs 20 times per second for each batch, and the list of
 * hundreds of members rarely changes. */
static bool
is_batch_owner_alive (LnBatch *batch, LbTime now)
{
  const LnBatches *batches = batch->batches;

  if (batch->owner_members_change != batches->members_change_count
      || batch->owner_row_version != batch->version)
    batch->owner_state = compute_batch_owner_state (batch);
  batch->owner_members_change = batches->members_change_count;
  batch->owner_row_version = batch->version;
  return batch->owner_state == LN_OWNER_ALIVE
         || (batch->owner_state == LN_OWNER_UNKNOWN
             && now - batch->version_seen_at < UNKNOWN_OWNER_GRACE_PERIOD);
}

static size_t
add_live_members_as_candidates (const LnBatches *batches,
                                bool without_store_connection,
                                LcDutyCandidate *candidates)
{
  size_t n = 0;

  for (size_t i = 0; i < batches->n_members; i++)
    {
      const LnMember *member = &batches->members[i];
      if (!member->alive || !member->confirmed || member->draining
          || member->cut != without_store_connection)
        continue;
      LB_COPY (candidates[n].name, member->name);
      candidates[n++].strength = member->strength;
    }
  return n;
}

/* Excludes instances that have no working connection to the store, unless all instances have none.
 * An owner without a connection learns late of its batch, and each write of results passes through
 * another instance. */
LcDutyCandidate *
ln_batches_list_duty_candidates (const LnBatches *batches, size_t *n)
{
  LcDutyCandidate *candidates = LB_NEW_ARRAY (LcDutyCandidate, batches->n_members + 1);

  *n = add_live_members_as_candidates (batches, false, candidates);
  if (*n == 0)
    *n = add_live_members_as_candidates (batches, true, candidates);
  return candidates;
}

static bool
is_open_batch_assigned_to_instance (const LnBatch *batch, const char *instance)
{
  return batch->version > 0 && !batch->head.ended
         && strcmp (lc_batch_head_assigned_instance (&batch->head), instance) == 0;
}

/* Whether the hash table has no earlier batch of the same model that is assigned to the instance.
 * By this check, a model with several batches is counted once. */
static bool
is_first_batch_of_model_on_instance (const LnBatches *batches,
                                     const LnBatch *batch,
                                     const char *instance)
{
  for (const LnBatch *other = batches->by_id; other != batch; other = other->hh.next)
    if (is_open_batch_assigned_to_instance (other, instance)
        && strcmp (other->head.model, batch->head.model) == 0)
      return false;
  return true;
}

size_t
ln_batches_count_assigned_models (const LnBatches *batches, const char *instance)
{
  size_t n = 0;

  for (const LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    n += is_open_batch_assigned_to_instance (batch, instance)
         && is_first_batch_of_model_on_instance (batches, batch, instance);
  return n;
}

size_t
ln_batch_get_rank_of_this_instance (const LnBatch *batch, const char *duty)
{
  size_t n;
  LcDutyCandidate *candidates = ln_batches_list_duty_candidates (batch->batches, &n);
  size_t rank = lc_duty_rank (duty, batch->batches->context->instance, candidates, n);

  free (candidates);
  return rank;
}

/* Applies the batch's row that was written, unless the watch has already shown that version of the
 * row or a newer one. */
static void
apply_written_batch_row (LnBatch *batch, int64_t version)
{
  if (version <= batch->version)
    return;
  batch->version = version;
  batch->head = batch->pending_head;
  ln_batches_publish_trainer_step (batch->batches, batch);
}

static void
on_batch_claim_written (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;

  if (batch->state != LN_BATCH_CLAIMING)
    return;
  batch->state = LN_BATCH_NOT_OWNED;
  batch->owner_gone_since = 0;
  lb_log (LB_LOG_INFO, "batch_taken_over", LB_TEXT ("batch", batch->id),
          LB_INT ("epoch", batch->pending_head.epoch), LB_TEXT ("outcome", lb_error_name (error)));
  if (error == LB_OK)
    apply_written_batch_row (batch, row->version);
  else if (error == LB_ERROR_CONDITION_FAILED && row->value)
    ln_batches_update_batch_from_row (batch->batches, row);
  /* If the claim after an expired offer got no answer, the row still names this process. The batch
   * is then run here, because possibly no other instance was able to claim it. */
  ln_batch_load_and_run_if_owned (batch);
}

void
ln_batch_write_rows_if_batch_row_unchanged (const LnBatch *batch,
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

  ln_batch_format_row_key (batch->id, key);
  platform->klass->transact (platform, &transaction, priority, done, user);
}

/* Writes head as the batch's row, and more_puts, on the condition that the batch's row is
 * unchanged. */
static void
write_batch_row (LnBatch *batch,
                 const LcBatchHead *head,
                 const LpPut *more_puts,
                 size_t n_more_puts,
                 LpTransactDone done)
{
  struct json_object *object = lc_batch_head_to_json (head);
  char key[LN_BATCH_KEY_SIZE];
  LpPut puts[LN_BATCH_MAX_CHECKPOINT_PARTS + 1]
      = { { .key = key, .value = json_object_to_json_string (object) } };

  for (size_t i = 0; i < n_more_puts; i++)
    puts[i + 1] = more_puts[i];
  ln_batch_format_row_key (batch->id, key);
  ln_batch_write_rows_if_batch_row_unchanged (batch, puts, n_more_puts + 1, LP_PRIORITY_LEDGER,
                                              done, batch);
  json_object_put (object);
}

static void
claim_batch (LnBatch *batch)
{
  LcBatchHead head = batch->head;

  batch->state = LN_BATCH_CLAIMING;
  ln_batches_publish_ownership (batch->batches, true);
  head.epoch++;
  LB_COPY (head.owner, batch->batches->context->instance);
  LB_COPY (head.incarnation, batch->batches->context->incarnation);
  head.paces = batch->batches->engine_paces;
  batch->pending_head = head;
  write_batch_row (batch, &head, NULL, 0, on_batch_claim_written);
}

/* Claims a batch that the preferred instance did not accept in time, instead of running it in
 * the old epoch. If the preferred instance has accepted but the watch has not shown this yet,
 * the claim fails; a run would generate each text twice and could record no result. If the
 * preferred instance sees the offer late, the new epoch has ended the offer; otherwise it would
 * take over the running batch and lose all texts since the last checkpoint. */
static void
claim_batch_after_offer_expired (LnBatch *batch)
{
  claim_batch (batch);
}

/* Claims a batch whose owner is not alive or whose offer expired. Candidates are ranked by the
 * model, so that one instance runs all batches of a model over one set of connections to the
 * engines. If the old owner was only paused, its conditional writes fail, so it cannot record more
 * results. */
static void
claim_batch_if_unowned_or_offer_expired (LnBatch *batch, LbTime now)
{
  if (batch->state == LN_BATCH_OFFERED && now >= batch->offer_expires_at)
    claim_batch_after_offer_expired (batch);
  if (batch->state != LN_BATCH_NOT_OWNED || batch->head.ended || batch->version == 0
      || batch->batches->members_change_count == 0 || batch->batches->draining
      || is_batch_owner_alive (batch, now))
    {
      batch->owner_gone_since = 0;
      return;
    }
  if (batch->owner_gone_since == 0)
    batch->owner_gone_since = now;
  if (now - batch->owner_gone_since
      >= (LbTime)ln_batch_get_rank_of_this_instance (batch, batch->head.model)
             * BATCH_TAKEOVER_DELAY_PER_RANK)
    claim_batch (batch);
}

static void
on_batch_release_written (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;

  if (error == LB_OK)
    apply_written_batch_row (batch, row->version);
  lb_log (LB_LOG_INFO, "batch_released", LB_TEXT ("batch", batch->id),
          LB_TEXT ("outcome", lb_error_name (error)));
  batch->state = LN_BATCH_NOT_OWNED;
}

/* Called on shutdown. Clears the owner from the row, so that another instance can continue the
 * batch without first detecting that this instance is gone. */
void
ln_batch_release_ownership (LnBatch *batch)
{
  LcBatchHead head = batch->head;

  LpPut puts[LN_BATCH_MAX_CHECKPOINT_PARTS];
  size_t n = 0;
  LbList actions;
  LbLink *link;

  if (!is_batch_loading_running_or_offered (batch))
    return;
  lb_list_init (&actions);
  if (batch->run)
    lc_batch_begin_checkpoint (batch->run, lb_clock_monotonic (), &actions);
  while ((link = lb_list_pop (&actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      n = ln_batch_owner_build_checkpoint_puts (batch, action, puts, LN_BATCH_MAX_CHECKPOINT_PARTS);
      lc_batch_action_free (action);
    }
  ln_batch_owner_stop_run (batch);
  batch->state = LN_BATCH_RELEASING;
  LB_COPY (head.owner, "");
  LB_COPY (head.incarnation, "");
  batch->pending_head = head;
  write_batch_row (batch, &head, puts, n, on_batch_release_written);
  ln_batch_owner_free_put_strings (puts, n);
}

/* Offers the batch to the preferred instance. If the offer times out, this instance claims the
 * batch itself, because the preferred instance may have been killed without its death being
 * detected yet. */
bool
ln_batch_offer_to_preferred_instance (LnBatch *batch, LbTime now)
{
  if (!batch->head.preferred_instance[0] || !lb_switch_is_on (LB_SWITCH_OFFERS)
      || strcmp (batch->head.preferred_instance, batch->batches->context->instance) == 0)
    return false;
  batch->state = LN_BATCH_OFFERED;
  batch->offer_expires_at = now + BATCH_OFFER_TIMEOUT;
  return true;
}

/* --- watch of the rows of all batches --- */

/* Applies a change of a row that the watch reported. A row without a value was removed by the
 * cleanup of an ended batch. */
static void
update_or_remove_batch_from_row (LnBatches *batches, const LpRow *row)
{
  LnBatch *batch = NULL;

  if (row->value)
    {
      ln_batches_update_batch_from_row (batches, row);
      return;
    }
  batch = ln_batches_find (batches, row->key + strlen (BATCH_TABLE "/00/"));
  if (batch && batch != batches->cleanup_batch && batch->state == LN_BATCH_NOT_OWNED)
    ln_batches_remove (batch);
}

static void
on_batch_rows_changed (const LpRow *rows, size_t n_rows, void *user)
{
  for (size_t i = 0; i < n_rows; i++)
    update_or_remove_batch_from_row (user, &rows[i]);
}

void
ln_batches_start_row_watch (LnBatches *batches)
{
  static const char *const prefixes[]
      = { BATCH_TABLE "/00/", BATCH_TABLE "/01/", BATCH_TABLE "/02/", BATCH_TABLE "/03/",
          BATCH_TABLE "/04/", BATCH_TABLE "/05/", BATCH_TABLE "/06/", BATCH_TABLE "/07/",
          BATCH_TABLE "/08/", BATCH_TABLE "/09/", BATCH_TABLE "/0a/", BATCH_TABLE "/0b/",
          BATCH_TABLE "/0c/", BATCH_TABLE "/0d/", BATCH_TABLE "/0e/", BATCH_TABLE "/0f/" };
  const LpFollowSettings settings = { .table = BATCH_TABLE,
                                      .prefixes = prefixes,
                                      .n_prefixes = N_PARTITIONS_PER_TABLE,
                                      .watch_timeout = ROW_WATCH_TIMEOUT,
                                      .retry_delay = ROW_WATCH_RETRY_DELAY,
                                      .tries_history = true };

  _Static_assert(sizeof prefixes / sizeof prefixes[0] == N_PARTITIONS_PER_TABLE,
                 "one prefix for each partition");
  batches->row_watch
      = lp_follow_new (batches->context->platform, &settings, on_batch_rows_changed, batches);
}

void
ln_batches_claim_unowned_and_tick_watch (LnBatches *batches, LbTime now)
{
  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    claim_batch_if_unowned_or_offer_expired (batch, now);
  lp_follow_start_call_if_due (batches->row_watch, now);
}
