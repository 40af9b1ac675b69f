#include "ln-engine-plans.h"

#include "ln-lag-metrics.h"
#include "ln-stall.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lb-switch.h"
#include "lc-engine-shares.h"
#include "lp-follow.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLAN_TABLE "plan"
/* The rows are in the partition of the weights lease, not in the unnamed partition, whose limited
 * write rate is used by endpoints and operators. */
#define KEY_PREFIX PLAN_TABLE "/weights/"
#define PART_KEY_BYTES 32
/* Duration of one watch request, which also bounds how long a dead connection goes unnoticed. */
#define WATCH_TIMEOUT (900 * LB_MSEC)
#define WATCH_RETRY_DELAY (200 * LB_MSEC)
/* Time between two reads of the plan by an instance that sends nothing to engines. A watch would
 * report changes several times per second, since weight loads change the rows that often. */
#define UNWATCHED_READ_INTERVAL (5 * LB_SEC)
/* Minimum time between two writes of the plan. With many engines, weight loads begin and end
 * several times per second; one write covers them all. */
#define MIN_PLAN_WRITE_PERIOD (150 * LB_MSEC)
/* Time between two divisions of the engines among the models; batches arrive every few seconds, and
 * each updates the demand. */
#define ENGINE_DIVISION_PERIOD (2 * LB_SEC)
/* Longest time between two divisions. Engines are divided once in the shortest period of a trainer,
 * since a division only shows its effect in the trainers' next steps; this bounds that time. */
#define MAX_ENGINE_DIVISION_PERIOD (10 * LB_SEC)
/* If the store has not answered for this time, which is longer than two watches, the last division
 * stays in force: without new rows, trainers would seem to be late or to have stopped. */
#define MAX_STORE_ANSWER_AGE (3 * LB_SEC)
/* An instance that becomes the writer of the plan and knows no demand for models does not divide
 * the engines for this time, since it may not have read the rows of batches yet. */
#define DEMAND_WARM_UP_TIME (3 * LB_SEC)

/* An instance does not divide engines that are already assigned for this time after it has learned
 * of a trainer's first step. After a start, rows arrive in several parts, and the lags computed
 * from the first part alone would move engines. */
#define STEPS_WARM_UP_TIME (500 * LB_MSEC)
/* Time between two removals of outdated paces from the table, which every instance has. */
#define PACE_REMOVAL_PERIOD (10 * LB_SEC)

struct LnEnginePlans
{
  LnContext *context;
  void (*on_plan) (const LcEnginePlan *plan, void *user);
  void *user;
  LcEnginePlan parts[LC_ENGINE_PLAN_PARTS]; /* parts of the plan as stored, one row per part */
  int64_t versions[LC_ENGINE_PLAN_PARTS];   /* version of each part's row; 0: no row was read yet */
  LcEnginePlan plan;                        /* the whole plan: all parts together */
  LcEnginePlan desired;                     /* the plan to be stored, kept by the writer only */
  bool is_writer; /* this instance orders weights and so writes the plan */
  LbTime writer_since;
  LpFollow *row_watch;
  bool is_watched; /* this instance receives changes of the plan at once */
  LcDemand *demand;
  LcTrainerLags *lags;
  LcPaceTable *paces; /* lasting paces of engines, from the rows of batches */
  LbTime next_capacity_record_at;
  LbTime next_pace_removal_at;
  LbTime first_step_at; /* when the first step of a trainer was recorded; 0: none was */
  bool is_write_pending;
  bool must_retry_write;
  bool is_in_write[LC_ENGINE_PLAN_PARTS]; /* the write in progress, or the last write, includes this
                                             part */
  LbTime next_write_at;
  LbTime next_division_at; /* when the engines are next divided among the models */
};

static void
format_plan_part_key (size_t index, char *key)
{
  snprintf (key, PART_KEY_BYTES, KEY_PREFIX "%02zx", index);
}

/* Returns the index of the part that is stored under the key, or LC_ENGINE_PLAN_PARTS if there is
 * none. */
static size_t
find_plan_part_index (const char *key)
{
  char part_key[PART_KEY_BYTES];

  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    {
      format_plan_part_key (i, part_key);
      if (strcmp (key, part_key) == 0)
        return i;
    }
  return LC_ENGINE_PLAN_PARTS;
}

/* Applies a row that holds a part of the plan. Returns true if the row was newer than the last row
 * of that part and could be parsed. */
static bool
apply_plan_row (LnEnginePlans *plans, const LpRow *row)
{
  size_t index = find_plan_part_index (row->key);
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  LcEnginePlan part;
  bool is_applied = false;

  if (index == LC_ENGINE_PLAN_PARTS || row->version <= plans->versions[index])
    goto out;
  plans->versions[index] = row->version;
  is_applied = lc_engine_plan_from_json (object, &part);
  if (!is_applied)
    {
      lb_log (LB_LOG_WARNING, "engine_plan_unreadable", LB_TEXT ("key", row->key),
              LB_INT ("version", row->version));
      goto out;
    }
  lc_engine_plan_clear (&plans->parts[index]);
  plans->parts[index] = part;
out:
  json_object_put (object);
  return is_applied;
}

static void
on_plan_rows_changed (const LpRow *rows, size_t n_rows, void *user)
{
  LnEnginePlans *plans = user;
  bool is_applied = false;

  for (size_t i = 0; i < n_rows; i++)
    is_applied |= apply_plan_row (plans, &rows[i]);
  if (!is_applied)
    return;
  lc_engine_plan_clear (&plans->plan);
  lc_engine_plan_join_parts (plans->parts, &plans->plan);
  plans->on_plan (&plans->plan, plans->user);
}

LnEnginePlans *
ln_engine_plans_new (LnContext *context,
                     void (*on_plan) (const LcEnginePlan *plan, void *user),
                     void *user)
{
  static const char *const prefixes[] = { KEY_PREFIX };
  const LpFollowSettings settings = { .table = PLAN_TABLE,
                                      .prefixes = prefixes,
                                      .n_prefixes = 1,
                                      .watch_timeout = WATCH_TIMEOUT,
                                      .retry_delay = WATCH_RETRY_DELAY };
  LnEnginePlans *plans = LB_NEW (LnEnginePlans);

  plans->context = context;
  plans->on_plan = on_plan;
  plans->user = user;
  plans->demand = lc_demand_new ();
  plans->lags = lc_trainer_lags_new ();
  plans->paces = lc_pace_table_new ();
  plans->row_watch = lp_follow_new (context->platform, &settings, on_plan_rows_changed, plans);
  return plans;
}

void
ln_engine_plans_set_watched (LnEnginePlans *plans, bool is_watched, LbTime now)
{
  plans->is_watched = is_watched;
  lp_follow_set_list_interval (plans->row_watch, is_watched ? 0 : UNWATCHED_READ_INTERVAL, now);
}

void
ln_engine_plans_free (LnEnginePlans *plans)
{
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    lc_engine_plan_clear (&plans->parts[i]);
  lc_engine_plan_clear (&plans->plan);
  lc_engine_plan_clear (&plans->desired);
  lc_demand_free (plans->demand);
  lc_trainer_lags_free (plans->lags);
  lc_pace_table_free (plans->paces);
  lp_follow_free (plans->row_watch);
  free (plans);
}

void
ln_engine_plans_add_demand (LnEnginePlans *plans, const char *model, int64_t tokens, LbTime now)
{
  lc_demand_add (plans->demand, model, (double)tokens, now);
}

void
ln_engine_plans_record_trainer_step (LnEnginePlans *plans,
                                     const LnTrainerStepMessage *message,
                                     LbTime now)
{
  if (plans->first_step_at == 0)
    plans->first_step_at = now;
  lc_pace_table_record (plans->paces, &message->paces, message->step.submitted_at);
  if (!lc_trainer_lags_record_step (plans->lags, &message->step, now))
    lb_log (LB_LOG_WARNING, "trainer_step_ignored", LB_TEXT ("model", message->step.model),
            LB_INT ("max_trainers", LC_MAX_TRAINERS));
}

/* Clears this instance's copy of a part of the plan whose write failed, so that the part is written
 * again. Otherwise the row would be outdated until the next change of the part. */
static void
invalidate_plan_part (LnEnginePlans *plans, size_t index)
{
  lc_engine_plan_clear (&plans->parts[index]);
  plans->must_retry_write = true;
}

static void
on_plan_written (LbErrorCode error, const LpRow *row, void *user)
{
  LnEnginePlans *plans = user;

  plans->is_write_pending = false;
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    if (plans->is_in_write[i] && error != LB_OK)
      invalidate_plan_part (plans, i);
    else if (plans->is_in_write[i] && row->version > plans->versions[i])
      plans->versions[i] = row->version;
  if (error != LB_OK)
    lb_log (LB_LOG_WARNING, "engine_plan_not_written", LB_TEXT ("error", lb_error_name (error)));
}

typedef struct
{
  char keys[LC_ENGINE_PLAN_PARTS][PART_KEY_BYTES];
  struct json_object *objects[LC_ENGINE_PLAN_PARTS];
  LpCondition conditions[LC_ENGINE_PLAN_PARTS];
  LpPut puts[LC_ENGINE_PLAN_PARTS];
  size_t n;
} PlanWrite;

/* Adds a part of the plan to the write, and updates this instance's copy of the part at once,
 * without waiting until the watch delivers the row that this instance writes. */
static void
add_plan_part_to_write (LnEnginePlans *plans, size_t index, LcEnginePlan *part, PlanWrite *write)
{
  size_t n = write->n++;

  format_plan_part_key (index, write->keys[n]);
  write->objects[n] = lc_engine_plan_to_json (part);
  write->conditions[n] = (LpCondition){ .key = write->keys[n], .version = plans->versions[index] };
  write->puts[n] = (LpPut){ .key = write->keys[n],
                            .value = json_object_to_json_string_ext (write->objects[n],
                                                                     JSON_C_TO_STRING_PLAIN) };
  lc_engine_plan_clear (&plans->parts[index]);
  plans->parts[index] = *part;
}

static void
add_changed_plan_parts_to_write (LnEnginePlans *plans, PlanWrite *write)
{
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    {
      LcEnginePlan part;
      lc_engine_plan_copy_part (&plans->desired, i, &part);
      plans->is_in_write[i] = !lc_engine_plan_is_same (&part, &plans->parts[i]);
      if (plans->is_in_write[i])
        add_plan_part_to_write (plans, i, &part, write);
      else
        lc_engine_plan_clear (&part);
    }
}

static void
write_changed_plan_parts (LnEnginePlans *plans, LbTime now)
{
  LpPlatform *platform = plans->context->platform;
  PlanWrite write = { .n = 0 };

  plans->must_retry_write = false;
  add_changed_plan_parts_to_write (plans, &write);
  /* No part differs from its row, for example because a write that was considered failed took
   * effect and the watch has shown its rows since. */
  if (write.n == 0)
    return;
  const LpTransaction transaction = { .token = "",
                                      .conditions = write.conditions,
                                      .n_conditions = write.n,
                                      .puts = write.puts,
                                      .n_puts = write.n };
  plans->is_write_pending = true;
  plans->next_write_at = now + MIN_PLAN_WRITE_PERIOD;
  platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_plan_written, plans);
  for (size_t i = 0; i < write.n; i++)
    json_object_put (write.objects[i]);
  lc_engine_plan_clear (&plans->plan);
  lc_engine_plan_copy (&plans->plan, &plans->desired);
  plans->on_plan (&plans->plan, plans->user);
}

void
ln_engine_plans_record_engine_state (LnEnginePlans *plans, const LcPlanEntry *entry)
{
  const LcPlanEntry *desired = lc_engine_plan_find (&plans->desired, entry->engine);

  /* The state of the model that an engine served before must not revert the assignment of its new
   * model. */
  if (plans->is_writer && (!desired || strcmp (desired->model, entry->model) == 0))
    lc_engine_plan_put (&plans->desired, entry);
}

static size_t
append_model_if_new (LbName *models, size_t n, const char *model)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (models[i], model) == 0)
      return n;
  if (n < LC_MAX_MODELS)
    lb_strlcpy (models[n++], model, LB_NAME_MAX);
  return n;
}

static bool
is_model_demand_known (const LnEnginePlans *plans, LbTime now)
{
  return !lc_demand_is_empty (plans->demand) || now - plans->writer_since >= DEMAND_WARM_UP_TIME;
}

/* The engines that are not leaving, and the models that they can serve. */
typedef struct
{
  LcPlanEntry *engines;
  LbName *names;
  double *capacities; /* slots of each engine, scaled by its pace in relation to the median pace */
  size_t n_engines;
  LbName models[LC_MAX_MODELS];
  size_t n_models;
} EngineList;

static void
engine_list_init (EngineList *list, const LcRoster *roster, const LcPaceTable *paces, LbTime now)
{
  size_t n_endpoints = lc_roster_count_endpoints (roster);

  memset (list, 0, sizeof *list);
  list->engines = LB_NEW_ARRAY (LcPlanEntry, n_endpoints + 1);
  list->names = LB_NEW_ARRAY (LbName, n_endpoints + 1);
  list->capacities = LB_NEW_ARRAY (double, n_endpoints + 1);
  for (size_t i = 0; i < n_endpoints; i++)
    {
      const LcRegistration *registration = lc_roster_registration (roster, i);
      if (registration->n_models == 0 || registration->leaving)
        continue;
      LB_COPY (list->engines[list->n_engines].engine, registration->name);
      LB_COPY (list->names[list->n_engines], registration->name);
      LB_COPY (list->engines[list->n_engines].model, lc_roster_assigned_model (roster, i));
      list->capacities[list->n_engines++] = (double)registration->slots;
      for (size_t model = 0; model < registration->n_models; model++)
        list->n_models
            = append_model_if_new (list->models, list->n_models, registration->models[model].name);
    }
  lc_pace_table_convert_slots_to_capacities (paces, list->names, list->capacities, list->n_engines,
                                             now);
}

static void
engine_list_clear (EngineList *list)
{
  free (list->engines);
  free (list->names);
  free (list->capacities);
}

/* Records the capacity of each model's engines, by which the durations of the trainers' steps are
 * interpreted. Each instance that may become the writer of the plan does so. */
static void
record_capacity_of_models (LnEnginePlans *plans, const EngineList *list, LbTime now)
{
  for (size_t i = 0; i < list->n_models; i++)
    {
      double capacity = 0;
      for (size_t engine = 0; engine < list->n_engines; engine++)
        if (strcmp (list->engines[engine].model, list->models[i]) == 0)
          capacity += list->capacities[engine];
      lc_trainer_lags_record_capacity (plans->lags, list->models[i], capacity, now);
    }
}

static struct json_object *
new_rounded_number (double value)
{
  char text[32];

  snprintf (text, sizeof text, "%.2f", value);
  return json_object_new_double_s (value, text);
}

static struct json_object *
model_share_to_json (const LcModelShare *share, const LcTrainerLag *lag)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "model", json_object_new_string (share->model));
  json_object_object_add (object, "engines", json_object_new_int64 ((int64_t)share->n_engines));
  json_object_object_add (object, "share", new_rounded_number (share->share));
  json_object_object_add (object, "demand", new_rounded_number (share->demand));
  json_object_object_add (object, "correction", new_rounded_number (share->correction));
  json_object_object_add (object, "priority", json_object_new_int64 (share->priority));
  json_object_object_add (object, "lag_steps", new_rounded_number (share->lag_steps));
  if (lag && lag->is_known)
    {
      json_object_object_add (object, "lag_ms", json_object_new_int64 (lag->lag / LB_MSEC));
      json_object_object_add (object, "period_ms", json_object_new_int64 (lag->period / LB_MSEC));
      json_object_object_add (object, "period_observed",
                              json_object_new_boolean (lag->is_period_observed));
      json_object_object_add (object, "steps_ahead", json_object_new_int64 ((int64_t)lag->n_ahead));
      json_object_object_add (object, "stopped", json_object_new_boolean (lag->has_stopped));
    }
  return object;
}

/* Logs the inputs of a division that changed the plan; there are at most LC_MAX_MODELS models. */
static void
log_engine_shares (const LnEnginePlans *plans, const LcModelShare *shares, const EngineList *list)
{
  struct json_object *models = json_object_new_array ();

  for (size_t i = 0; i < list->n_models; i++)
    json_object_array_add (models, model_share_to_json (&shares[i],
                                                        lc_trainer_lags_find (plans->lags,
                                                                              shares[i].model)));
  lb_log (LB_LOG_INFO, "engine_shares", LB_INT ("engines", list->n_engines),
          LB_JSON ("models", json_object_to_json_string_ext (models, JSON_C_TO_STRING_PLAIN)));
  json_object_put (models);
}

static void
divide_engines_among_models (LnEnginePlans *plans, const EngineList *list, LbTime now)
{
  LcModelShare shares[LC_MAX_MODELS];

  ln_stall_set_activity ("division of engines");
  lc_trainer_lags_estimate (plans->lags, now);
  ln_lag_metrics_update (plans->lags);
  lc_engine_shares_init (shares, list->models, list->n_models, plans->demand, plans->lags, now);
  if (lc_engine_plan_divide (&plans->desired, list->engines, list->capacities, list->n_engines,
                             shares, list->n_models))
    log_engine_shares (plans, shares, list);
}

/* Returns the time until the next division, after the lags were estimated. */
static LbTime
get_division_period (const LnEnginePlans *plans)
{
  LbTime period = lc_trainer_lags_get_shortest_period (plans->lags);

  if (!lb_switch_is_on (LB_SWITCH_LAG_SHARES) || period < ENGINE_DIVISION_PERIOD)
    return ENGINE_DIVISION_PERIOD;
  return period < MAX_ENGINE_DIVISION_PERIOD ? period : MAX_ENGINE_DIVISION_PERIOD;
}

static bool
is_reading_trainer_steps (const LnEnginePlans *plans, LbTime now)
{
  return lb_switch_is_on (LB_SWITCH_LAG_SHARES) && plans->desired.n_entries > 0
         && plans->first_step_at > 0 && now - plans->first_step_at < STEPS_WARM_UP_TIME;
}

static bool
may_divide_engines (const LnEnginePlans *plans, LbTime now)
{
  return plans->is_writer && now >= plans->next_division_at && is_model_demand_known (plans, now)
         && !is_reading_trainer_steps (plans, now)
         && now - lp_follow_get_last_answer_time (plans->row_watch) < MAX_STORE_ANSWER_AGE;
}

static void
divide_engines_if_due (LnEnginePlans *plans, const LcRoster *roster, LbTime now)
{
  bool is_division_due = may_divide_engines (plans, now);
  bool is_record_due = plans->is_watched && now >= plans->next_capacity_record_at
                       && lc_trainer_lags_count (plans->lags) > 0;
  EngineList list;

  if (!is_division_due && !is_record_due)
    return;
  engine_list_init (&list, roster, plans->paces, now);
  plans->next_capacity_record_at = now + ENGINE_DIVISION_PERIOD;
  record_capacity_of_models (plans, &list, now);
  if (is_division_due)
    {
      divide_engines_among_models (plans, &list, now);
      plans->next_division_at = now + get_division_period (plans);
    }
  engine_list_clear (&list);
}

/* Sets whether this instance writes the plan. A new writer starts from the plan of the previous
 * writer. */
static void
set_is_plan_writer (LnEnginePlans *plans, bool is_writer, LbTime now)
{
  if (is_writer && !plans->is_writer)
    {
      lc_engine_plan_clear (&plans->desired);
      lc_engine_plan_copy (&plans->desired, &plans->plan);
      plans->writer_since = now;
    }
  else if (!is_writer && plans->is_writer)
    ln_lag_metrics_reset ();
  plans->is_writer = is_writer;
}

void
ln_engine_plans_tick (LnEnginePlans *plans, const LcRoster *roster, bool may_write, LbTime now)
{
  lp_follow_start_call_if_due (plans->row_watch, now);
  set_is_plan_writer (plans, may_write && lp_follow_has_delivered_all_rows (plans->row_watch), now);
  if (now >= plans->next_pace_removal_at)
    {
      lc_pace_table_remove_outdated (plans->paces, now);
      plans->next_pace_removal_at = now + PACE_REMOVAL_PERIOD;
    }
  divide_engines_if_due (plans, roster, now);
  if (!plans->is_writer)
    return;
  if (!plans->is_write_pending && now >= plans->next_write_at
      && (plans->must_retry_write || !lc_engine_plan_is_same (&plans->desired, &plans->plan)))
    write_changed_plan_parts (plans, now);
}
