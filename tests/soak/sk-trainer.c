#include "sk-trainer.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define N_ITEMS 24
#define RETRY (120 * LB_MSEC)
#define READ_PERIOD (150 * LB_MSEC)
/* A step that is not whole after so long although all is well again counts as lost. */
#define MAX_STEP_TIME (40 * LB_SEC)

typedef enum
{
  TRAINER_SUBMITS,
  TRAINER_READS,
  TRAINER_ENDS,
  TRAINER_DONE
} State;

typedef struct
{
  LbName item;
  char *result; /* as it was first read; NULL: nothing stands there yet */
} Position;

struct SkTrainer
{
  SkWorld *world;
  State state;
  int64_t step;
  int64_t min_version;
  LbName batch;
  Position positions[N_ITEMS];
  int64_t n_read;
  LhFetch *fetch;
  SkInstance *asked;
  int asked_start;
  bool reads_again;
  bool stopped;
  LbTime next;
  LbTime began;
  LbTime accepted_at;
};

static void
begin_step (SkTrainer *trainer, LbTime now)
{
  for (int i = 0; i < N_ITEMS; i++)
    {
      free (trainer->positions[i].result);
      trainer->positions[i] = (Position){ 0 };
    }
  trainer->state = TRAINER_SUBMITS;
  trainer->n_read = 0;
  trainer->began = now;
  trainer->next = now;
  trainer->min_version = trainer->step > 0 ? trainer->step : 1;
  snprintf (trainer->batch, sizeof trainer->batch, "step%lld", (long long)trainer->step);
  LB_COPY (trainer->world->batch, trainer->batch);
}

SkTrainer *
sk_trainer_new (SkWorld *world)
{
  SkTrainer *trainer = LB_NEW (SkTrainer);

  trainer->world = world;
  begin_step (trainer, lb_clock_monotonic ());
  return trainer;
}

void
sk_trainer_free (SkTrainer *trainer)
{
  if (trainer->fetch)
    lh_fetch_cancel (trainer->fetch);
  for (int i = 0; i < N_ITEMS; i++)
    free (trainer->positions[i].result);
  free (trainer);
}

/* --- results --- */

/* Every event in order, and the versions that they name are those of the result. */
static const char *
fault_of_text (const char *item, struct json_object *result, int64_t min_version, int events)
{
  struct json_object *versions = lb_json_member (result, "versions");
  size_t n_versions
      = json_object_is_type (versions, json_type_array) ? json_object_array_length (versions) : 0;
  const char *at = lb_json_text (result, "text", "");
  bool named[1000] = { false };
  char expected[LB_NAME_MAX + 16];
  size_t distinct = 0;

  for (int i = 1; i <= events; i++)
    {
      int length = snprintf (expected, sizeof expected, "%s%s.%d v", i > 1 ? "\n" : "", item, i);
      char *end = NULL;
      if (strncmp (at, expected, (size_t)length) != 0)
        return "an event is missing or out of order";
      long version = strtol (at + length, &end, 10);
      if (version < min_version || version >= 1000)
        return "made by weights that are too old";
      distinct += !named[version];
      named[version] = true;
      at = end;
    }
  if (*at != '\0')
    return "something stands behind its last event";
  for (size_t i = 0; i < n_versions; i++)
    {
      int64_t version = json_object_get_int64 (json_object_array_get_idx (versions, i));
      if (version < 0 || version >= 1000 || !named[version])
        return "it names a version that made none of it";
    }
  return n_versions == distinct ? NULL : "it does not name each version that made it";
}

static void
check_completed (SkTrainer *trainer, const char *item, struct json_object *result)
{
  char score[LB_NAME_MAX + 16];
  const char *fault = fault_of_text (item, result, trainer->min_version,
                                     trainer->world->endpoints[0].sampler.n_events);

  snprintf (score, sizeof score, "stamp-score-%s", item);
  if (fault)
    sk_fail (trainer->world, "whole texts with honest labels", "%s of %s: %s: %s", item,
             trainer->batch, fault, json_object_to_json_string (result));
  if (strcmp (lb_json_text (result, "score", ""), score) != 0)
    sk_fail (trainer->world, "scores", "%s of %s: %s", item, trainer->batch,
             lb_json_text (result, "score", ""));
}

static void
note_first (SkTrainer *trainer, int64_t at, const char *item, struct json_object *result)
{
  Position *position = &trainer->positions[at];

  for (int i = 0; i < N_ITEMS; i++)
    if (trainer->positions[i].result && strcmp (trainer->positions[i].item, item) == 0)
      sk_fail (trainer->world, "each sample once", "%s of %s stands at %d and at %lld", item,
               trainer->batch, i, (long long)at);
  LB_COPY (position->item, item);
  position->result = lb_strdup (json_object_to_json_string_ext (result, JSON_C_TO_STRING_PLAIN));
  trainer->world->n_results++;
  if (strcmp (lb_json_text (result, "state", ""), "completed") == 0)
    check_completed (trainer, item, result);
  else
    sk_fail (trainer->world, "every sample to its trainer", "%s of %s: %s", item, trainer->batch,
             position->result);
}

static void
take_result (SkTrainer *trainer, int64_t at, struct json_object *result)
{
  if (at < 0 || at >= N_ITEMS)
    {
      sk_fail (trainer->world, "each sample once", "%s has a result at %lld", trainer->batch,
               (long long)at);
      return;
    }
  if (!trainer->positions[at].result)
    note_first (trainer, at, lb_json_text (result, "id", ""), result);
  else if (strcmp (trainer->positions[at].result,
                   json_object_to_json_string_ext (result, JSON_C_TO_STRING_PLAIN))
           != 0)
    sk_fail (trainer->world, "a position keeps its result", "%lld of %s: %s became %s at %s",
             (long long)at, trainer->batch, trainer->positions[at].result,
             json_object_to_json_string_ext (result, JSON_C_TO_STRING_PLAIN), trainer->asked->name);
}

static void
take_page (SkTrainer *trainer, struct json_object *page)
{
  struct json_object *results = lb_json_member (page, "results");
  int64_t next = lb_json_int (page, "next", -1);
  int64_t n = json_object_is_type (results, json_type_array)
                  ? (int64_t)json_object_array_length (results)
                  : 0;

  if (lb_json_int (page, "total", 0) != N_ITEMS)
    sk_fail (trainer->world, "whole batches", "%s has a total of %lld", trainer->batch,
             (long long)lb_json_int (page, "total", 0));
  for (int64_t i = 0; i < n; i++)
    take_result (trainer, next - n + i, json_object_array_get_idx (results, (size_t)i));
  if (next > trainer->n_read)
    trainer->n_read = next;
}

/* --- calls --- */

static char *
make_body (const SkTrainer *trainer)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *items = json_object_new_array ();

  json_object_object_add (object, "step", json_object_new_int64 (trainer->step));
  json_object_object_add (object, "model", json_object_new_string (SK_MODEL));
  json_object_object_add (object, "minVersion", json_object_new_int64 (trainer->min_version));
  json_object_object_add (object, "targetGroups", json_object_new_int (2));
  for (int i = 0; i < N_ITEMS; i++)
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
was_calm (const SkTrainer *trainer, LbTime since)
{
  return trainer->asked->starts == trainer->asked_start
         && sk_instance_is_calm (trainer->asked, since) && trainer->world->disturbed_at < since;
}

/* The row that stands for the batch, in whichever part, under its id and a hash of its
 * organisation.
 */
static bool
is_stored (const SkTrainer *trainer)
{
  char part[8];
  char name[LB_NAME_MAX];

  snprintf (name, sizeof name, "%s~%016llx", trainer->batch,
            (unsigned long long)XXH3_64bits (SK_TRAINER, strlen (SK_TRAINER)));

  for (int i = 0; i < 256; i++)
    {
      snprintf (part, sizeof part, "%02x", i);
      if (si_row_store_get (&trainer->world->rows, "head", part, name))
        return true;
    }
  return false;
}

static void
on_submitted (SkTrainer *trainer, const LhResult *result, LbTime now)
{
  if (result->failure != LB_OK || result->status != 202)
    return;
  sk_tell (trainer->world, "%s accepted by %s", trainer->batch, trainer->asked->name);
  trainer->world->n_batches++;
  if (!is_stored (trainer))
    sk_fail (trainer->world, "an accepted batch is kept", "%s was accepted by %s and is not stored",
             trainer->batch, trainer->asked->name);
  trainer->accepted_at = now;
  trainer->state = TRAINER_READS;
}

static void
on_read (SkTrainer *trainer, const LhResult *result, LbTime now)
{
  struct json_object *page = NULL;
  char *text = NULL;

  if (result->failure != LB_OK)
    return;
  if (result->status == 404 && was_calm (trainer, trainer->accepted_at - 3 * LB_SEC)
      && now - trainer->accepted_at > LB_SEC)
    sk_fail (trainer->world, "an accepted batch is kept", "%s is not known at %s", trainer->batch,
             trainer->asked->name);
  if (result->status != 200)
    return;
  text = lb_strndup (result->body, result->body_length);
  page = json_tokener_parse (text);
  if (page)
    take_page (trainer, page);
  else
    sk_fail (trainer->world, "whole answers", "%s", text);
  free (text);
  json_object_put (page);
  trainer->reads_again = false;
  if (trainer->state == TRAINER_READS && trainer->n_read == N_ITEMS)
    trainer->state = TRAINER_ENDS;
}

static void
on_ended (SkTrainer *trainer, const LhResult *result, LbTime now)
{
  if (result->failure != LB_OK || result->status != 200)
    return;
  trainer->step++;
  sk_version_put (trainer->world, trainer->step + 1);
  if (trainer->stopped)
    trainer->state = TRAINER_DONE;
  else
    begin_step (trainer, now);
}

static void
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  SkTrainer *trainer = user;
  LbTime now = lb_clock_monotonic ();

  trainer->fetch = NULL;
  trainer->next = now + (trainer->state == TRAINER_READS ? READ_PERIOD : RETRY);
  switch (trainer->state)
    {
    case TRAINER_SUBMITS:
      on_submitted (trainer, result, now);
      break;
    case TRAINER_ENDS:
      on_ended (trainer, result, now);
      break;
    case TRAINER_READS:
    case TRAINER_DONE:
      on_read (trainer, result, now);
      break;
    }
}

static void
ask (SkTrainer *trainer,
     SkInstance *instance,
     const char *method,
     const char *path,
     const char *body)
{
  trainer->asked = instance;
  trainer->asked_start = instance->starts;
  trainer->fetch = sk_call_batches (instance, method, path, trainer->batch, body, on_done, trainer);
}

static SkInstance *
choose_instance (SkWorld *world)
{
  SkInstance *instance = &world->instances[sk_draw (world, 0, (int64_t)world->n_instances - 1)];

  return sk_instance_runs (instance) && !instance->stopping ? instance : NULL;
}

/* From where it is now, or from an earlier position. */
static void
read_results (SkTrainer *trainer, SkInstance *instance)
{
  int64_t from = trainer->reads_again || sk_draw (trainer->world, 0, 4) == 0 ? 0 : trainer->n_read;
  char path[LB_NAME_MAX + 48];

  snprintf (path, sizeof path, "/-/lots/%s?after=%lld", trainer->batch, (long long)from);
  ask (trainer, instance, "GET", path, "");
}

void
sk_trainer_read_again (SkTrainer *trainer, SkInstance *instance)
{
  trainer->reads_again = true;
  read_results (trainer, instance);
}

bool
sk_trainer_is_reading (const SkTrainer *trainer)
{
  return trainer->fetch != NULL;
}

static void
call_next (SkTrainer *trainer, SkInstance *instance)
{
  char path[LB_NAME_MAX + 16];
  char *body = NULL;

  switch (trainer->state)
    {
    case TRAINER_SUBMITS:
      body = make_body (trainer);
      ask (trainer, instance, "POST", "/steps/1", body);
      free (body);
      break;
    case TRAINER_READS:
      read_results (trainer, instance);
      break;
    case TRAINER_ENDS:
      snprintf (path, sizeof path, "/-/lots/%s", trainer->batch);
      ask (trainer, instance, "DELETE", path, "");
      break;
    case TRAINER_DONE:
      break;
    }
}

void
sk_trainer_tick (SkTrainer *trainer, LbTime now)
{
  SkInstance *instance = NULL;

  if (trainer->fetch || trainer->state == TRAINER_DONE || now < trainer->next)
    return;
  if (trainer->began > 0 && now - trainer->began > MAX_STEP_TIME)
    {
      sk_fail (trainer->world, "every sample to its trainer", "%s has %lld of %d after %.0f s",
               trainer->batch, (long long)trainer->n_read, N_ITEMS,
               (double)(now - trainer->began) / LB_SEC);
      trainer->began = 0;
    }
  instance = choose_instance (trainer->world);
  if (instance)
    call_next (trainer, instance);
}

void
sk_trainer_stop (SkTrainer *trainer)
{
  trainer->stopped = true;
}

bool
sk_trainer_is_done (const SkTrainer *trainer)
{
  return trainer->state == TRAINER_DONE;
}
