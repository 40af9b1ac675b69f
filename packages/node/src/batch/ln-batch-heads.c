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
/* Bound on the claims in one tick. There are fewer open batches than this, except after a failure
 * of many instances; the rest are claimed at the next ticks. */
#define MAX_CLAIMS_PER_TICK 64

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
 * reported as failed but took effect. If this instance shuts down meanwhile, it passes the batch
 * on. */
static void
load_owned_batch (LnBatch *batch)
{
  lb_log (LB_LOG_INFO, "batch_adopted", LB_TEXT ("batch", batch->id),
          LB_INT ("epoch", batch->head.epoch));
  if (batch->batches->draining)
    ln_batch_release_ownership (batch);
  else
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

/* Whether the row offers the batch to this instance, which accepts the offer by claiming it. */
static bool
is_offered_to_this_instance (const LnBatch *batch)
{
  return batch->state == LN_BATCH_NOT_OWNED && !batch->batches->draining
         && !is_owned_by_this_process (batch)
         && lc_batch_is_offered_to (&batch->head, batch->batches->context->instance);
}

static void
start_or_stop_run_after_row_change (LnBatch *batch, const LcBatchHead *old_head)
{
  if (batch->head.ended && !old_head->ended)
    {
      batch->ended_at = lb_clock_monotonic ();
      lb_log (LB_LOG_INFO, "batch_ended", LB_TEXT ("batch", batch->id));
    }
  if (batch->head.epoch != old_head->epoch || strcmp (batch->head.owner, old_head->owner) != 0)
    batch->owner_gone_since = 0;
  /* If the row has a new epoch but still names this process, a claim that was reported as failed
   * took effect. The current run was started under the previous version of the row, so all its
   * writes of results would fail. */
  if (is_batch_loading_running_or_offered (batch)
      && (batch->head.ended || !is_owned_by_this_process (batch)
          || batch->head.epoch != old_head->epoch))
    ln_batch_owner_stop_run (batch);
  batch->is_offer_new = is_offered_to_this_instance (batch);
  batch->batches->has_new_offer |= batch->is_offer_new;
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
  LB_COPY (message.host, head->host);
  LB_COPY (message.path, head->path);
  for (size_t i = 0; i < sizeof tasks / sizeof tasks[0]; i++)
    {
      LnTask *task = ln_hub_find_task (batches->task.hub, tasks[i]);
      if (task)
        LN_POST (batches->task.hub, task, message);
    }
}

/* Converts a time of the store's clock to this instance's monotonic clock; times in the future
 * become now. Returns 0 if one of the times is unknown. */
static LbTime
convert_store_time (const LnBatches *batches, int64_t ms, LbTime now)
{
  int64_t store_now_ms = lp_platform_get_store_clock_ms_at (batches->context->platform, now);
  LbTime at = now - (store_now_ms - ms) * LB_MSEC;

  if (ms <= 0 || store_now_ms <= 0)
    return 0;
  return at < now ? at : now;
}

/* If the row has no times, uses those at which this instance saw the row change. Posts nothing for
 * such a row that was read at the start of this instance, since its age is unknown. */
void
ln_batches_publish_trainer_step (LnBatches *batches, const LnBatch *batch)
{
  LbTime now = lb_clock_monotonic ();
  LnTask *task = ln_hub_find_task (batches->task.hub, "config");
  LnTrainerStepMessage message
      = { .base = LN_MESSAGE (LN_TRAINER_STEP),
          .step = { .tokens = (double)batch->head.expected_tokens,
                    .has_step = batch->head.has_step,
                    .step = batch->head.step,
                    .priority = batch->head.organisation_priority,
                    .submitted_at = convert_store_time (batches, batch->head.accepted_ms, now),
                    .ended_at = convert_store_time (batches, batch->head.ended_ms, now) } };

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
  /* The row of a batch that an instance of an earlier build released has no released_by. */
  if (!head.owner[0] && !head.released_by[0])
    LB_COPY (head.released_by, old_head.owner);
  batch->head = head;
  batch->version = row->version;
  batch->version_seen_at = lb_clock_monotonic ();
  start_or_stop_run_after_row_change (batch, &old_head);
  if (is_new || head.ended != old_head.ended || head.epoch != old_head.epoch)
    ln_batches_publish_trainer_step (batches, batch);
  return true;
}

/* --- taking over batches without a live owner --- */

static LcBatchMember
make_batch_member (const LnMember *member)
{
  return (LcBatchMember){ .name = member->name,
                          .incarnation = member->incarnation,
                          .version = member->version,
                          .alive = member->alive };
}

static LcBatchOwnerState
compute_batch_owner_state (const LnBatch *batch)
{
  const LnBatches *batches = batch->batches;

  for (size_t i = 0; i < batches->n_members; i++)
    if (strcmp (batches->members[i].name, batch->head.owner) == 0)
      {
        const LcBatchMember member = make_batch_member (&batches->members[i]);
        return lc_batch_get_owner_state (&batch->head, batch->version, &member);
      }
  return lc_batch_get_owner_state (&batch->head, batch->version, NULL);
}

/* Caches the owner's state: the function runs 20 times per second for each batch, and the list of
 * hundreds of members rarely changes. */
static bool
is_batch_owner_missing (LnBatch *batch, LbTime now)
{
  const LnBatches *batches = batch->batches;

  if (batch->owner_members_change != batches->members_change_count
      || batch->owner_row_version != batch->version)
    batch->owner_state = compute_batch_owner_state (batch);
  batch->owner_members_change = batches->members_change_count;
  batch->owner_row_version = batch->version;
  return lc_batch_owner_is_missing (batch->owner_state, now - batch->version_seen_at);
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

const LcBatchHead *
ln_batch_get_latest_head (const LnBatch *batch)
{
  return batch->state == LN_BATCH_RELEASING ? &batch->pending_head : &batch->head;
}

static bool
is_open_batch_assigned_to_instance (const LnBatch *batch, const char *instance)
{
  return batch->version > 0 && !batch->head.ended
         && strcmp (lc_batch_head_assigned_instance (ln_batch_get_latest_head (batch)), instance)
                == 0;
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

static bool
was_batch_released_by (const LnBatch *batch, const LnMember *member)
{
  const LcBatchMember batch_member = make_batch_member (member);

  return lc_batch_was_released_by (&batch->head, batch->version, &batch_member);
}

/* Whether the next owner that the row of a released batch names is expected to claim the batch. */
static bool
is_next_owner_available (const LnBatch *batch)
{
  const LnBatches *batches = batch->batches;

  for (size_t i = 0; i < batches->n_members; i++)
    {
      const LnMember *member = &batches->members[i];
      if (strcmp (member->name, batch->head.preferred_instance) == 0)
        return member->alive && !member->draining && !was_batch_released_by (batch, member);
    }
  return false;
}

static void
remove_candidate (const char *name, LcDutyCandidate *candidates, size_t *n)
{
  for (size_t i = 0; i < *n; i++)
    if (strcmp (candidates[i].name, name) == 0)
      {
        candidates[i] = candidates[--*n];
        return;
      }
}

/* Removes the instances that do not claim a released batch by rank, and would delay the others: the
 * one that released it, whose draining state may not be known here yet, and the next owner that the
 * row names, unless it is this instance. */
static void
remove_releasing_instance_and_next_owner (const LnBatch *batch,
                                          LcDutyCandidate *candidates,
                                          size_t *n)
{
  const LnBatches *batches = batch->batches;

  if (batch->head.owner[0])
    return;
  for (size_t i = 0; i < batches->n_members; i++)
    if (was_batch_released_by (batch, &batches->members[i]))
      remove_candidate (batches->members[i].name, candidates, n);
  if (strcmp (batch->head.preferred_instance, batches->context->instance) != 0)
    remove_candidate (batch->head.preferred_instance, candidates, n);
}

size_t
ln_batch_get_rank_of_this_instance (const LnBatch *batch, const char *duty)
{
  size_t n;
  LcDutyCandidate *candidates = ln_batches_list_duty_candidates (batch->batches, &n);

  remove_releasing_instance_and_next_owner (batch, candidates, &n);
  size_t rank = lc_duty_rank (duty, batch->batches->context->instance, candidates, n);

  free (candidates);
  return rank;
}

void
ln_batch_apply_written_row (LnBatch *batch, int64_t version)
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
          LB_INT ("epoch", batch->pending_head.epoch), LB_TEXT ("outcome", lb_error_name (error)),
          LB_TEXT ("reason", lc_takeover_reason_name (batch->claim_reason)),
          LB_TEXT ("released_by", batch->head.released_by),
          LB_INT ("since_release_ms",
                  ln_batch_get_time_since_release (batch, batch->head.released_ms,
                                                   lb_clock_monotonic ())
                      / LB_MSEC));
  if (error == LB_OK)
    ln_batch_apply_written_row (batch, row->version);
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

void
ln_batch_write_row (LnBatch *batch,
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
claim_batch (LnBatch *batch, LcTakeoverReason reason)
{
  LcBatchHead head = batch->head;

  batch->state = LN_BATCH_CLAIMING;
  batch->claim_reason = reason;
  batch->taken_over_release_ms = head.owner[0] ? 0 : head.released_ms;
  ln_batches_publish_ownership (batch->batches, true);
  head.epoch++;
  LB_COPY (head.owner, batch->batches->context->instance);
  LB_COPY (head.incarnation, batch->batches->context->incarnation);
  LB_COPY (head.released_by, "");
  head.released_ms = 0;
  head.paces = batch->batches->engine_paces;
  batch->pending_head = head;
  ln_batch_write_row (batch, &head, NULL, 0, on_batch_claim_written);
}

/* Claims a batch that the preferred instance did not accept in time, instead of running it in
 * the old epoch. If the preferred instance has accepted but the watch has not shown this yet,
 * the claim fails; a run would generate each text twice and could record no result. If the
 * preferred instance sees the offer late, the new epoch has ended the offer; otherwise it would
 * take over the running batch and lose all texts since the last checkpoint. */
static void
claim_batch_after_offer_expired (LnBatch *batch)
{
  claim_batch (batch, LC_TAKEOVER_OFFER_EXPIRED);
}

/* Returns whether this instance should now claim the batch, which is offered to it or has no live
 * owner, and the reason. Updates the time since which the owner is missing. Candidates are ranked
 * by the model, so that one instance runs all batches of a model over one set of connections to the
 * engines. If the old owner was only paused, its conditional writes fail, so it cannot record more
 * results. */
static bool
check_claim_due (LnBatch *batch, LbTime now, LcTakeoverReason *reason)
{
  const LnBatches *batches = batch->batches;

  *reason = LC_TAKEOVER_OFFERED;
  if (batch->is_offer_new && is_offered_to_this_instance (batch))
    return true;
  if (batch->state != LN_BATCH_NOT_OWNED || batch->head.ended || batch->version == 0
      || batches->members_change_count == 0 || batches->draining
      || !is_batch_owner_missing (batch, now))
    {
      batch->owner_gone_since = 0;
      return false;
    }
  if (batch->owner_gone_since == 0)
    batch->owner_gone_since = now;
  const LcTakeover takeover
      = lc_batch_plan_takeover (&batch->head, batch->owner_state, batches->context->instance,
                                is_next_owner_available (batch),
                                ln_batch_get_rank_of_this_instance (batch, batch->head.model));
  *reason = takeover.reason;
  return now - batch->owner_gone_since >= takeover.delay;
}

typedef struct
{
  LnBatch *batch;
  LcTakeoverReason reason;
} DueClaim;

static int
compare_claims_by_due_time (const void *a, const void *b)
{
  return lc_batch_head_compare_by_due_time (&((const DueClaim *)a)->batch->head,
                                            &((const DueClaim *)b)->batch->head);
}

/* Claims the batches that lack an owner or are offered to this instance, those first that are due
 * first. */
static void
claim_due_batches (LnBatches *batches, LbTime now)
{
  DueClaim claims[MAX_CLAIMS_PER_TICK];
  size_t n = 0;

  batches->has_new_offer = false;
  for (LnBatch *batch = batches->by_id; batch && n < MAX_CLAIMS_PER_TICK; batch = batch->hh.next)
    if (check_claim_due (batch, now, &claims[n].reason))
      claims[n++].batch = batch;
  qsort (claims, n, sizeof claims[0], compare_claims_by_due_time);
  for (size_t i = 0; i < n; i++)
    {
      claims[i].batch->is_offer_new = false;
      claim_batch (claims[i].batch, claims[i].reason);
    }
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
  LnBatches *batches = user;

  for (size_t i = 0; i < n_rows; i++)
    update_or_remove_batch_from_row (batches, &rows[i]);
  if (batches->has_new_offer)
    claim_due_batches (batches, lb_clock_monotonic ());
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
    {
      if (batch->state == LN_BATCH_OFFERED && now >= batch->offer_expires_at)
        claim_batch_after_offer_expired (batch);
      ln_batch_retry_release_if_due (batch, now);
    }
  claim_due_batches (batches, now);
  lp_follow_start_call_if_due (batches->row_watch, now);
}
