#include "ln-engine-plans.h"

#include "ln-stall.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
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
/* An instance that becomes the writer of the plan and knows no demand for models does not divide
 * the engines for this time, since it may not have read the rows of batches yet. */
#define DEMAND_WARM_UP_TIME (3 * LB_SEC)

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
  LcDemand *demand;
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
  plans->row_watch = lp_follow_new (context->platform, &settings, on_plan_rows_changed, plans);
  return plans;
}

void
ln_engine_plans_set_watched (LnEnginePlans *plans, bool is_watched, LbTime now)
{
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
  lp_follow_free (plans->row_watch);
  free (plans);
}

void
ln_engine_plans_add_demand (LnEnginePlans *plans, const char *model, int64_t tokens, LbTime now)
{
  lc_demand_add (plans->demand, model, (double)tokens, now);
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

static void
divide_engines_among_models (LnEnginePlans *plans, const LcRoster *roster, LbTime now)
{
  LcPlanEntry *engines = LB_NEW_ARRAY (LcPlanEntry, lc_roster_count_endpoints (roster) + 1);
  LbName models[LC_MAX_MODELS];
  size_t n_engines = 0;
  size_t n_models = 0;

  for (size_t i = 0; i < lc_roster_count_endpoints (roster); i++)
    {
      const LcRegistration *registration = lc_roster_registration (roster, i);
      if (registration->n_models == 0 || registration->leaving)
        continue;
      LB_COPY (engines[n_engines].engine, registration->name);
      LB_COPY (engines[n_engines].model, lc_roster_assigned_model (roster, i));
      n_engines++;
      for (size_t model = 0; model < registration->n_models; model++)
        n_models = append_model_if_new (models, n_models, registration->models[model].name);
    }
  ln_stall_set_activity ("division of engines");
  lc_engine_plan_rebalance (&plans->desired, engines, n_engines, models, n_models, plans->demand,
                            now);
  free (engines);
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
  plans->is_writer = is_writer;
}

void
ln_engine_plans_tick (LnEnginePlans *plans, const LcRoster *roster, bool may_write, LbTime now)
{
  lp_follow_start_call_if_due (plans->row_watch, now);
  set_is_plan_writer (plans, may_write && lp_follow_has_delivered_all_rows (plans->row_watch), now);
  if (!plans->is_writer)
    return;
  if (now >= plans->next_division_at && is_model_demand_known (plans, now))
    {
      plans->next_division_at = now + ENGINE_DIVISION_PERIOD;
      divide_engines_among_models (plans, roster, now);
    }
  if (!plans->is_write_pending && now >= plans->next_write_at
      && (plans->must_retry_write || !lc_engine_plan_is_same (&plans->desired, &plans->plan)))
    write_changed_plan_parts (plans, now);
}
