#include "sk-trainer.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define N_BATCH_ITEMS 24
#define CALL_RETRY_DELAY (120 * LB_MSEC)
#define RESULTS_READ_INTERVAL (150 * LB_MSEC)
#define WEIGHT_VERSION_LIMIT 1000 /* all weight versions must be below this value */
/* A step that is incomplete after this time counts as lost, since all faults end within seconds. */
#define STEP_TIMEOUT (40 * LB_SEC)

typedef enum
{
  TRAINER_SUBMITTING,
  TRAINER_READING,
  TRAINER_DELETING,
  TRAINER_DONE
} TrainerState;

typedef struct
{
  LbName item;
  char *json; /* JSON of the result when it was first read; NULL: not read yet */
} Result;

struct SkTrainer
{
  SkWorld *world;
  TrainerState state;
  int64_t step;
  int64_t min_version;
  LbName batch;
  Result results[N_BATCH_ITEMS]; /* indexed by position in the results of the batch */
  int64_t n_read;
  LhFetch *fetch;
  SkInstance *called_instance;
  int called_process_start; /* value of the called instance's n_process_starts when the call
                               started, to detect a restart */
  bool is_rereading;
  bool stopped;
  LbTime next_call_at;
  LbTime started_at;
  LbTime accepted_at;
};

static void
begin_trainer_step (SkTrainer *trainer, LbTime now)
{
  for (int i = 0; i < N_BATCH_ITEMS; i++)
    {
      free (trainer->results[i].json);
      trainer->results[i] = (Result){ 0 };
    }
  trainer->state = TRAINER_SUBMITTING;
  trainer->n_read = 0;
  trainer->started_at = now;
  trainer->next_call_at = now;
  trainer->min_version = trainer->step > 0 ? trainer->step : 1;
  snprintf (trainer->batch, sizeof trainer->batch, "step%lld", (long long)trainer->step);
  LB_COPY (trainer->world->trainer_batch, trainer->batch);
}

SkTrainer *
sk_trainer_new (SkWorld *world)
{
  SkTrainer *trainer = LB_NEW (SkTrainer);

  trainer->world = world;
  begin_trainer_step (trainer, lb_clock_monotonic ());
  return trainer;
}

void
sk_trainer_free (SkTrainer *trainer)
{
  if (trainer->fetch)
    lh_fetch_cancel (trainer->fetch);
  for (int i = 0; i < N_BATCH_ITEMS; i++)
    free (trainer->results[i].json);
  free (trainer);
}

/* --- checks of results --- */

/* Returns a description of the first fault in the text of a result; NULL if there is none. The
 * text must have all events in order, and the weight versions in the result must be exactly
 * those of its events. */
static const char *
find_fault_in_result_text (const char *item,
                           struct json_object *result,
                           int64_t min_version,
                           int events)
{
  struct json_object *versions = lb_json_member (result, "versions");
  size_t n_versions
      = json_object_is_type (versions, json_type_array) ? json_object_array_length (versions) : 0;
  const char *rest = lb_json_text (result, "text", "");
  bool is_used_version[WEIGHT_VERSION_LIMIT] = { false };
  char expected[LB_NAME_MAX + 16];
  size_t n_used_versions = 0;

  for (int i = 1; i <= events; i++)
    {
      int length = snprintf (expected, sizeof expected, "%s%s.%d v", i > 1 ? "\n" : "", item, i);
      char *end = NULL;
      if (strncmp (rest, expected, (size_t)length) != 0)
        return "an event is missing or out of order";
      long version = strtol (rest + length, &end, 10);
      if (version < min_version || version >= WEIGHT_VERSION_LIMIT)
        return "its weight version is below the minimum or out of range";
      n_used_versions += !is_used_version[version];
      is_used_version[version] = true;
      rest = end;
    }
  if (*rest != '\0')
    return "its text has trailing data after the last event";
  for (size_t i = 0; i < n_versions; i++)
    {
      int64_t version = json_object_get_int64 (json_object_array_get_idx (versions, i));
      if (version < 0 || version >= WEIGHT_VERSION_LIMIT || !is_used_version[version])
        return "its label has a weight version that generated none of its events";
    }
  return n_versions == n_used_versions
             ? NULL
             : "its label lacks a weight version that generated some of its events";
}

static void
check_completed_result (SkTrainer *trainer, const char *item, struct json_object *result)
{
  char score[LB_NAME_MAX + 16];
  const char *fault = find_fault_in_result_text (item, result, trainer->min_version,
                                                 trainer->world->endpoints[0].standin.n_events);

  snprintf (score, sizeof score, "stamp-score-%s", item);
  if (fault)
    sk_report_violation (trainer->world, "complete text with correct labels", "%s of %s: %s: %s",
                         item, trainer->batch, fault, json_object_to_json_string (result));
  if (strcmp (lb_json_text (result, "score", ""), score) != 0)
    sk_report_violation (trainer->world, "score matches the item",
                         "%s of %s: expected the score of the item, got \"%s\"", item,
                         trainer->batch, lb_json_text (result, "score", ""));
}

static void
record_result_on_first_read (SkTrainer *trainer,
                             int64_t position,
                             const char *item,
                             struct json_object *result)
{
  Result *first = &trainer->results[position];

  for (int i = 0; i < N_BATCH_ITEMS; i++)
    if (trainer->results[i].json && strcmp (trainer->results[i].item, item) == 0)
      sk_report_violation (trainer->world, "each sample is delivered once",
                           "%s of %s is at positions %d and %lld", item, trainer->batch, i,
                           (long long)position);
  LB_COPY (first->item, item);
  first->json = lb_strdup (json_object_to_json_string_ext (result, JSON_C_TO_STRING_PLAIN));
  trainer->world->n_results++;
  if (strcmp (lb_json_text (result, "state", ""), "completed") == 0)
    check_completed_result (trainer, item, result);
  else
    sk_report_violation (trainer->world, "every sample is delivered",
                         "%s of %s did not complete: %s", item, trainer->batch, first->json);
}

static void
check_result_is_new_or_unchanged (SkTrainer *trainer, int64_t position, struct json_object *result)
{
  if (position < 0 || position >= N_BATCH_ITEMS)
    {
      sk_report_violation (trainer->world, "each sample is delivered once",
                           "%s: expected positions within the batch, got a result at position %lld",
                           trainer->batch, (long long)position);
      return;
    }
  if (!trainer->results[position].json)
    record_result_on_first_read (trainer, position, lb_json_text (result, "id", ""), result);
  else if (strcmp (trainer->results[position].json,
                   json_object_to_json_string_ext (result, JSON_C_TO_STRING_PLAIN))
           != 0)
    sk_report_violation (trainer->world, "a position keeps its result",
                         "position %lld of %s: %s became %s at %s", (long long)position,
                         trainer->batch, trainer->results[position].json,
                         json_object_to_json_string_ext (result, JSON_C_TO_STRING_PLAIN),
                         trainer->called_instance->name);
}

static void
check_results_page (SkTrainer *trainer, struct json_object *page)
{
  struct json_object *results = lb_json_member (page, "results");
  int64_t next_position = lb_json_int (page, "next", -1);
  int64_t n = json_object_is_type (results, json_type_array)
                  ? (int64_t)json_object_array_length (results)
                  : 0;

  if (lb_json_int (page, "total", 0) != N_BATCH_ITEMS)
    sk_report_violation (trainer->world, "a batch has all its items",
                         "%s: expected the number of its items as total, got %lld", trainer->batch,
                         (long long)lb_json_int (page, "total", 0));
  for (int64_t i = 0; i < n; i++)
    check_result_is_new_or_unchanged (trainer, next_position - n + i,
                                      json_object_array_get_idx (results, (size_t)i));
  if (next_position > trainer->n_read)
    trainer->n_read = next_position;
}

/* --- calls to the batch API --- */

static char *
format_batch_json (const SkTrainer *trainer)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *items = json_object_new_array ();

  json_object_object_add (object, "step", json_object_new_int64 (trainer->step));
  json_object_object_add (object, "model", json_object_new_string (SK_MODEL));
  json_object_object_add (object, "minVersion", json_object_new_int64 (trainer->min_version));
  json_object_object_add (object, "targetGroups", json_object_new_int (2));
  for (int i = 0; i < N_BATCH_ITEMS; i++)
    {
      char *text = lb_asprintf ("{\"id\": \"%s-%d\", \"path\": \"/steps/1/x\", \"body\": \"QUJD\","
                                " \"headers\": {\"Token-Counts\": \"5,40\"}, \"group\": \"g%d\","
                                " \"scorer\": {\"id\": \"score-%s-%d\", \"host\": \"" SK_HOST
                                "\", \"path\": \"/lookup/s\", \"body\": \"QUJD\"}}",
                                trainer->batch, i, i % 3, trainer->batch, i);
      json_object_array_add (items, json_tokener_parse (text));
      free (text);
    }
  json_object_object_add (object, "requests", items);
  char *body = lb_strdup (json_object_to_json_string (object));
  json_object_put (object);
  return body;
}

static bool
was_called_instance_undisturbed (const SkTrainer *trainer, LbTime since)
{
  return trainer->called_instance->n_process_starts == trainer->called_process_start
         && sk_instance_was_undisturbed_since (trainer->called_instance, since)
         && trainer->world->last_disturbed_at < since;
}

/* Returns true if one of the 256 partitions of table "head" has the row of the batch, whose key
 * is the batch id and a hash of the organisation. */
static bool
is_batch_stored (const SkTrainer *trainer)
{
  char part[8];
  char name[LB_NAME_MAX];

  snprintf (name, sizeof name, "%s~%016llx", trainer->batch,
            (unsigned long long)XXH3_64bits (SK_TRAINER_ORGANISATION,
                                             strlen (SK_TRAINER_ORGANISATION)));

  for (int i = 0; i < 256; i++)
    {
      snprintf (part, sizeof part, "%02x", i);
      if (si_row_store_get_value (&trainer->world->store, "head", part, name))
        return true;
    }
  return false;
}

static void
start_reading_results_if_batch_accepted (SkTrainer *trainer, const LhResult *result, LbTime now)
{
  if (result->failure != LB_OK || result->status != 202)
    return;
  sk_log (trainer->world, "%s accepted by %s", trainer->batch, trainer->called_instance->name);
  trainer->world->n_batches++;
  if (!is_batch_stored (trainer))
    sk_report_violation (trainer->world, "an accepted batch is stored",
                         "%s was accepted by %s, but the store has no row of it", trainer->batch,
                         trainer->called_instance->name);
  trainer->accepted_at = now;
  trainer->state = TRAINER_READING;
}

static void
check_results_response (SkTrainer *trainer, const LhResult *result, LbTime now)
{
  struct json_object *page = NULL;
  char *text = NULL;

  if (result->failure != LB_OK)
    return;
  if (result->status == 404
      && was_called_instance_undisturbed (trainer, trainer->accepted_at - 3 * LB_SEC)
      && now - trainer->accepted_at > LB_SEC)
    sk_report_violation (trainer->world, "an accepted batch is found",
                         "%s: expected results from %s, got status 404", trainer->batch,
                         trainer->called_instance->name);
  if (result->status != 200)
    return;
  text = lb_strndup (result->body, result->body_length);
  page = json_tokener_parse (text);
  if (page)
    check_results_page (trainer, page);
  else
    sk_report_violation (trainer->world, "complete responses",
                         "expected a page of results in JSON, got %s", text);
  free (text);
  json_object_put (page);
  trainer->is_rereading = false;
  if (trainer->state == TRAINER_READING && trainer->n_read == N_BATCH_ITEMS)
    trainer->state = TRAINER_DELETING;
}

static void
begin_next_step_if_batch_deleted (SkTrainer *trainer, const LhResult *result, LbTime now)
{
  if (result->failure != LB_OK || result->status != 200)
    return;
  trainer->step++;
  sk_store_put_weight_version (trainer->world, trainer->step + 1);
  if (trainer->stopped)
    trainer->state = TRAINER_DONE;
  else
    begin_trainer_step (trainer, now);
}

static void
on_call_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  SkTrainer *trainer = user;
  LbTime now = lb_clock_monotonic ();

  trainer->fetch = NULL;
  trainer->next_call_at
      = now + (trainer->state == TRAINER_READING ? RESULTS_READ_INTERVAL : CALL_RETRY_DELAY);
  switch (trainer->state)
    {
    case TRAINER_SUBMITTING:
      start_reading_results_if_batch_accepted (trainer, result, now);
      break;
    case TRAINER_DELETING:
      begin_next_step_if_batch_deleted (trainer, result, now);
      break;
    case TRAINER_READING:
    case TRAINER_DONE:
      check_results_response (trainer, result, now);
      break;
    }
}

static void
start_batch_api_call (SkTrainer *trainer,
                      SkInstance *instance,
                      const char *method,
                      const char *path,
                      const char *body)
{
  trainer->called_instance = instance;
  trainer->called_process_start = instance->n_process_starts;
  trainer->fetch
      = sk_call_batch_api (instance, method, path, trainer->batch, body, on_call_done, trainer);
}

static SkInstance *
choose_random_instance_accepting_calls (SkWorld *world)
{
  SkInstance *instance
      = &world->instances[sk_random_int (world, 0, (int64_t)world->n_instances - 1)];

  return sk_instance_is_running (instance) && !instance->stopping ? instance : NULL;
}

/* Requests the results from the first unread position on; when rereading, and at random in one
 * of five calls, from position 0 on. */
static void
request_batch_results (SkTrainer *trainer, SkInstance *instance)
{
  int64_t from
      = trainer->is_rereading || sk_random_int (trainer->world, 0, 4) == 0 ? 0 : trainer->n_read;
  char path[LB_NAME_MAX + 48];

  snprintf (path, sizeof path, "/-/lots/%s?after=%lld", trainer->batch, (long long)from);
  start_batch_api_call (trainer, instance, "GET", path, "");
}

void
sk_trainer_reread_results (SkTrainer *trainer, SkInstance *instance)
{
  trainer->is_rereading = true;
  request_batch_results (trainer, instance);
}

bool
sk_trainer_has_call_in_progress (const SkTrainer *trainer)
{
  return trainer->fetch != NULL;
}

static void
start_call_for_trainer_state (SkTrainer *trainer, SkInstance *instance)
{
  char path[LB_NAME_MAX + 16];
  char *body = NULL;

  switch (trainer->state)
    {
    case TRAINER_SUBMITTING:
      body = format_batch_json (trainer);
      start_batch_api_call (trainer, instance, "POST", "/steps/1", body);
      free (body);
      break;
    case TRAINER_READING:
      request_batch_results (trainer, instance);
      break;
    case TRAINER_DELETING:
      snprintf (path, sizeof path, "/-/lots/%s", trainer->batch);
      start_batch_api_call (trainer, instance, "DELETE", path, "");
      break;
    case TRAINER_DONE:
      break;
    }
}

void
sk_trainer_start_due_call (SkTrainer *trainer, LbTime now)
{
  SkInstance *instance = NULL;

  if (trainer->fetch || trainer->state == TRAINER_DONE || now < trainer->next_call_at)
    return;
  if (trainer->started_at > 0 && now - trainer->started_at > STEP_TIMEOUT)
    {
      sk_report_violation (trainer->world, "every sample is delivered",
                           "%s has %lld of %d results after %.0f s", trainer->batch,
                           (long long)trainer->n_read, N_BATCH_ITEMS,
                           (double)(now - trainer->started_at) / LB_SEC);
      trainer->started_at = 0;
    }
  instance = choose_random_instance_accepting_calls (trainer->world);
  if (instance)
    start_call_for_trainer_state (trainer, instance);
}

void
sk_trainer_stop_after_step (SkTrainer *trainer)
{
  trainer->stopped = true;
}

bool
sk_trainer_has_completed_last_step (const SkTrainer *trainer)
{
  return trainer->state == TRAINER_DONE;
}
