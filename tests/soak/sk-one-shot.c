#include "sk-one-shot.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_BATCH_ITEMS 3
#define BATCH_SUBMIT_INTERVAL (400 * LB_MSEC)
#define BATCH_ID_PREFIX "once"
/* Items of a batch may still start for this long after the deletion of the batch is acknowledged.
 */
#define DELETE_EFFECT_TIME (3 * LB_SEC)
#define DELETE_EFFECT_SLACK LB_SEC /* allowance for a slow test machine */

typedef enum
{
  BATCH_SUBMITTED,
  BATCH_REFUSED,
  BATCH_ACCEPTED,
  BATCH_DELETING,
  BATCH_DELETED,
  BATCH_UNKNOWN /* no response, or a response that does not tell whether the batch was accepted */
} BatchState;

typedef struct
{
  LbLink link;
  SkOneShotTrainers *one_shot_trainers;
  SkInstance *instance;
  int64_t number;
  BatchState state;
  LbTime deleted_at;
  bool has_run;
  LhFetch *fetch;
} Batch;

struct SkOneShotTrainers
{
  SkWorld *world;
  LbList batches;
  int64_t n_batches;
  LbTime next_submit_at;
  bool stopped;
};

SkOneShotTrainers *
sk_one_shot_trainers_new (SkWorld *world)
{
  SkOneShotTrainers *one_shot_trainers = LB_NEW (SkOneShotTrainers);

  one_shot_trainers->world = world;
  lb_list_init (&one_shot_trainers->batches);
  return one_shot_trainers;
}

void
sk_one_shot_trainers_free (SkOneShotTrainers *one_shot_trainers)
{
  LB_LIST_FOREACH (&one_shot_trainers->batches, Batch, link, batch)
  {
    if (batch->fetch)
      lh_fetch_cancel (batch->fetch);
    lb_list_remove (&one_shot_trainers->batches, &batch->link);
    free (batch);
  }
  free (one_shot_trainers);
}

static void delete_batch_if_number_is_even (Batch *batch);

static bool
is_not_run_status (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
on_batch_submitted (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Batch *batch = user;

  batch->fetch = NULL;
  batch->state = BATCH_UNKNOWN;
  if (result->failure != LB_OK)
    return;
  if (result->status == 202)
    {
      batch->state = BATCH_ACCEPTED;
      delete_batch_if_number_is_even (batch);
    }
  else if (is_not_run_status (result->status))
    {
      batch->state = BATCH_REFUSED;
      if (batch->has_run)
        sk_report_violation (batch->one_shot_trainers->world, "a refused batch does not run",
                             "batch " BATCH_ID_PREFIX "%lld was refused, but ran",
                             (long long)batch->number);
    }
}

static void
on_batch_deleted (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Batch *batch = user;

  batch->fetch = NULL;
  if (result->failure != LB_OK || result->status != 200)
    return;
  batch->state = BATCH_DELETED;
  batch->deleted_at = lb_clock_monotonic ();
}

/* Deletes an accepted batch if its number is even and the instance that accepted it runs. */
static void
delete_batch_if_number_is_even (Batch *batch)
{
  char path[48];

  if (batch->number % 2 || !sk_instance_is_running (batch->instance))
    return;
  batch->state = BATCH_DELETING;
  snprintf (path, sizeof path, "/-/lots/" BATCH_ID_PREFIX "%lld", (long long)batch->number);
  batch->fetch
      = sk_call_batch_api (batch->instance, "DELETE", path, "", "", on_batch_deleted, batch);
}

static void
submit_batch (SkOneShotTrainers *one_shot_trainers, SkInstance *instance)
{
  Batch *batch = LB_NEW (Batch);
  char body[1024];
  char id[32];
  size_t length = 0;

  batch->one_shot_trainers = one_shot_trainers;
  batch->instance = instance;
  batch->number = one_shot_trainers->n_batches++;
  lb_list_append (&one_shot_trainers->batches, &batch->link);
  snprintf (id, sizeof id, BATCH_ID_PREFIX "%lld", (long long)batch->number);
  length = (size_t)snprintf (body, sizeof body,
                             "{\"step\": 0, \"model\": \"" SK_MODEL "\", \"minVersion\": 1,"
                             " \"targetGroups\": 1, \"requests\": [");
  for (int i = 0; i < N_BATCH_ITEMS; i++)
    length += (size_t)snprintf (body + length, sizeof body - length,
                                "%s{\"id\": \"%s-%d\", \"path\": \"/steps/1/x\","
                                " \"body\": \"QUJD\", \"headers\": {\"Token-Counts\": \"5,40\"},"
                                " \"group\": \"g\"}",
                                i ? "," : "", id, i);
  snprintf (body + length, sizeof body - length, "]}");
  batch->fetch
      = sk_call_batch_api (instance, "POST", "/steps/1", id, body, on_batch_submitted, batch);
}

void
sk_one_shot_trainers_submit_batch_if_due (SkOneShotTrainers *one_shot_trainers, LbTime now)
{
  SkWorld *world = one_shot_trainers->world;
  SkInstance *instance = NULL;

  if (one_shot_trainers->stopped || now < one_shot_trainers->next_submit_at)
    return;
  one_shot_trainers->next_submit_at = now + BATCH_SUBMIT_INTERVAL;
  instance = &world->instances[sk_random_int (world, 0, (int64_t)world->n_instances - 1)];
  if (sk_instance_is_running (instance))
    submit_batch (one_shot_trainers, instance);
}

void
sk_one_shot_trainers_stop_new_batches (SkOneShotTrainers *one_shot_trainers)
{
  one_shot_trainers->stopped = true;
}

static Batch *
find_batch_by_number (SkOneShotTrainers *one_shot_trainers, int64_t number)
{
  LB_LIST_FOREACH (&one_shot_trainers->batches, Batch, link, batch)
  {
    if (batch->number == number)
      return batch;
  }
  return NULL;
}

void
sk_one_shot_trainers_record_item_start (SkOneShotTrainers *one_shot_trainers, const char *item)
{
  Batch *batch = NULL;
  LbTime time_past_limit = 0;

  if (strncmp (item, BATCH_ID_PREFIX, strlen (BATCH_ID_PREFIX)) != 0)
    return;
  batch = find_batch_by_number (one_shot_trainers, atoll (item + strlen (BATCH_ID_PREFIX)));
  if (!batch)
    return;
  batch->has_run = true;
  if (batch->state == BATCH_REFUSED)
    sk_report_violation (one_shot_trainers->world, "a refused batch does not run",
                         "%s starts, but its batch was refused", item);
  time_past_limit
      = lb_clock_monotonic () - batch->deleted_at - DELETE_EFFECT_TIME - DELETE_EFFECT_SLACK;
  if (batch->state == BATCH_DELETED && time_past_limit > 0
      && one_shot_trainers->world->last_disturbed_at < batch->deleted_at - DELETE_EFFECT_TIME
      && one_shot_trainers->world->store_last_disturbed_at < batch->deleted_at - DELETE_EFFECT_TIME)
    sk_report_violation (one_shot_trainers->world, "a deleted batch stops",
                         "%s starts %.3f s after its batch was deleted", item,
                         (double)(lb_clock_monotonic () - batch->deleted_at) / LB_SEC);
}
