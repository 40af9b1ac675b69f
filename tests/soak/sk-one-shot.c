#include "sk-one-shot.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_ITEMS 3
#define SUBMIT_INTERVAL (400 * LB_MSEC)
#define BATCH_ID_PREFIX "once"
/* After the deletion of a batch is acknowledged, its items may still start for this long. The slack
 * is for a busy machine. */
#define DELETE_EFFECT_TIME (3 * LB_SEC)
#define DELETE_EFFECT_SLACK LB_SEC

typedef enum
{
  BATCH_SUBMITTED,
  BATCH_REFUSED,
  BATCH_ACCEPTED,
  BATCH_DELETING,
  BATCH_DELETED,
  BATCH_UNKNOWN /* no response, or one that does not tell whether it was accepted */
} BatchState;

typedef struct
{
  LbLink link;
  SkOneShots *one_shots;
  SkInstance *instance;
  int64_t number;
  BatchState state;
  LbTime deleted_at;
  bool has_run;
  LhFetch *fetch;
} Batch;

struct SkOneShots
{
  SkWorld *world;
  LbList batches;
  int64_t n_batches;
  LbTime next_submit_at;
  bool stopped;
};

SkOneShots *
sk_one_shots_new (SkWorld *world)
{
  SkOneShots *one_shots = LB_NEW (SkOneShots);

  one_shots->world = world;
  lb_list_init (&one_shots->batches);
  return one_shots;
}

void
sk_one_shots_free (SkOneShots *one_shots)
{
  LB_LIST_FOREACH (&one_shots->batches, Batch, link, batch)
  {
    if (batch->fetch)
      lh_fetch_cancel (batch->fetch);
    lb_list_remove (&one_shots->batches, &batch->link);
    free (batch);
  }
  free (one_shots);
}

static void delete_if_even (Batch *batch);

static bool
is_not_run_status (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
on_submitted (LhFetch *fetch, const LhResult *result, void *user)
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
      delete_if_even (batch);
    }
  else if (is_not_run_status (result->status))
    {
      batch->state = BATCH_REFUSED;
      if (batch->has_run)
        sk_fail (batch->one_shots->world, "a refused batch does not run",
                 "batch " BATCH_ID_PREFIX "%lld was refused, but ran", (long long)batch->number);
    }
}

static void
on_deleted (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Batch *batch = user;

  batch->fetch = NULL;
  if (result->failure != LB_OK || result->status != 200)
    return;
  batch->state = BATCH_DELETED;
  batch->deleted_at = lb_clock_monotonic ();
}

/* Deletes every second batch once it is accepted. */
static void
delete_if_even (Batch *batch)
{
  char path[48];

  if (batch->number % 2 || !sk_instance_is_running (batch->instance))
    return;
  batch->state = BATCH_DELETING;
  snprintf (path, sizeof path, "/-/lots/" BATCH_ID_PREFIX "%lld", (long long)batch->number);
  batch->fetch = sk_call_batch_api (batch->instance, "DELETE", path, "", "", on_deleted, batch);
}

static void
submit_batch (SkOneShots *one_shots, SkInstance *instance)
{
  Batch *batch = LB_NEW (Batch);
  char body[1024];
  char id[32];
  size_t length = 0;

  batch->one_shots = one_shots;
  batch->instance = instance;
  batch->number = one_shots->n_batches++;
  lb_list_append (&one_shots->batches, &batch->link);
  snprintf (id, sizeof id, BATCH_ID_PREFIX "%lld", (long long)batch->number);
  length = (size_t)snprintf (body, sizeof body,
                             "{\"step\": 0, \"model\": \"" SK_MODEL "\", \"minVersion\": 1,"
                             " \"targetGroups\": 1, \"requests\": [");
  for (int i = 0; i < N_ITEMS; i++)
    length += (size_t)snprintf (body + length, sizeof body - length,
                                "%s{\"id\": \"%s-%d\", \"path\": \"/steps/1/x\","
                                " \"body\": \"QUJD\", \"headers\": {\"Token-Counts\": \"5,40\"},"
                                " \"group\": \"g\"}",
                                i ? "," : "", id, i);
  snprintf (body + length, sizeof body - length, "]}");
  batch->fetch = sk_call_batch_api (instance, "POST", "/steps/1", id, body, on_submitted, batch);
}

void
sk_one_shots_tick (SkOneShots *one_shots, LbTime now)
{
  SkWorld *world = one_shots->world;
  SkInstance *instance = NULL;

  if (one_shots->stopped || now < one_shots->next_submit_at)
    return;
  one_shots->next_submit_at = now + SUBMIT_INTERVAL;
  instance = &world->instances[sk_random_int (world, 0, (int64_t)world->n_instances - 1)];
  if (sk_instance_is_running (instance))
    submit_batch (one_shots, instance);
}

void
sk_one_shots_stop (SkOneShots *one_shots)
{
  one_shots->stopped = true;
}

static Batch *
find_batch (SkOneShots *one_shots, int64_t number)
{
  LB_LIST_FOREACH (&one_shots->batches, Batch, link, batch)
  {
    if (batch->number == number)
      return batch;
  }
  return NULL;
}

void
sk_one_shots_record_run (SkOneShots *one_shots, const char *item)
{
  Batch *batch = NULL;
  LbTime time_past_limit = 0;

  if (strncmp (item, BATCH_ID_PREFIX, strlen (BATCH_ID_PREFIX)) != 0)
    return;
  batch = find_batch (one_shots, atoll (item + strlen (BATCH_ID_PREFIX)));
  if (!batch)
    return;
  batch->has_run = true;
  if (batch->state == BATCH_REFUSED)
    sk_fail (one_shots->world, "a refused batch does not run",
             "%s starts, but its batch was refused", item);
  time_past_limit
      = lb_clock_monotonic () - batch->deleted_at - DELETE_EFFECT_TIME - DELETE_EFFECT_SLACK;
  if (batch->state == BATCH_DELETED && time_past_limit > 0
      && one_shots->world->last_disturbed_at < batch->deleted_at - DELETE_EFFECT_TIME
      && one_shots->world->store_last_disturbed_at < batch->deleted_at - DELETE_EFFECT_TIME)
    sk_fail (one_shots->world, "a deleted batch stops",
             "%s starts %.3f s after its batch was deleted", item,
             (double)(lb_clock_monotonic () - batch->deleted_at) / LB_SEC);
}
