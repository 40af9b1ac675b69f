#include "ln-engine-plans.h"

#include "ln-stall.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lp-follow.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define TABLE "plan"
/* With the lease, away from the unnamed part, to which endpoints and operators write. */
#define KEY TABLE "/weights/engines"
#define WATCH_WAIT (900 * LB_MSEC) /* a watch whose connection went silent is given up after it */
#define WATCH_RETRY (200 * LB_MSEC)
/* Of an instance that sends nothing to engines: the row changes with each load, several times a
 * second, and was an eighth of the bytes that each of 295 instances read (24 of 196 kB/s). */
#define IDLE_PAUSE (5 * LB_SEC)
/* Loads begin and end several times a second where there are many engines; one write tells of all.
 */
#define WRITE_PERIOD (150 * LB_MSEC)
/* Between two divisions; batches come every few seconds, and each brings the demand up to date. */
#define DIVIDE_PERIOD (2 * LB_SEC)
/* A writer that knows of no step may just not have read the rows of batches yet. */
#define LISTING_TIME (3 * LB_SEC)

struct LnEnginePlans
{
  LnContext *context;
  void (*on_plan) (const LcEnginePlan *plan, void *user);
  void *user;
  LcEnginePlan plan;   /* as the row says */
  LcEnginePlan wanted; /* as it shall say, where this instance writes it */
  bool is_writer;
  LbTime writer_since;
  int64_t version; /* of the row */
  LpFollow *rows;
  LcDemand *demand;
  bool writing;
  LbTime next_write;
  LbTime next_division;
};

static void
take_row (LnEnginePlans *plans, const LpRow *row)
{
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  LcEnginePlan plan;

  if (row->version <= plans->version)
    goto out;
  plans->version = row->version;
  if (!lc_engine_plan_from_json (object, &plan))
    {
      lb_log (LB_LOG_WARNING, "engine_plan_unreadable", LB_INT ("version", row->version));
      goto out;
    }
  lc_engine_plan_clear (&plans->plan);
  plans->plan = plan;
  plans->on_plan (&plans->plan, plans->user);
out:
  json_object_put (object);
}

static void
on_rows (const LpRow *rows, size_t n_rows, void *user)
{
  for (size_t i = 0; i < n_rows; i++)
    if (strcmp (rows[i].key, KEY) == 0)
      take_row (user, &rows[i]);
}

LnEnginePlans *
ln_engine_plans_new (LnContext *context,
                     void (*on_plan) (const LcEnginePlan *plan, void *user),
                     void *user)
{
  static const char *const prefixes[] = { TABLE "/weights/" };
  const LpFollowSettings settings = {
    .table = TABLE, .prefixes = prefixes, .n_prefixes = 1, .wait = WATCH_WAIT, .retry = WATCH_RETRY
  };
  LnEnginePlans *plans = LB_NEW (LnEnginePlans);

  plans->context = context;
  plans->on_plan = on_plan;
  plans->user = user;
  plans->demand = lc_demand_new ();
  plans->rows = lp_follow_new (context->platform, &settings, on_rows, plans);
  return plans;
}

void
ln_engine_plans_set_needed (LnEnginePlans *plans, bool needed, LbTime now)
{
  lp_follow_set_pause (plans->rows, needed ? 0 : IDLE_PAUSE, now);
}

void
ln_engine_plans_free (LnEnginePlans *plans)
{
  lc_engine_plan_clear (&plans->plan);
  lc_engine_plan_clear (&plans->wanted);
  lc_demand_free (plans->demand);
  lp_follow_free (plans->rows);
  free (plans);
}

void
ln_engine_plans_demand (LnEnginePlans *plans, const char *model, int64_t tokens, LbTime now)
{
  lc_demand_add (plans->demand, model, (double)tokens, now);
}

static void
on_written (LbErrorCode error, const LpRow *row, void *user)
{
  LnEnginePlans *plans = user;

  plans->writing = false;
  if (error == LB_OK && row->version > plans->version)
    plans->version = row->version;
  if (error != LB_OK)
    lb_log (LB_LOG_WARNING, "engine_plan_not_written", LB_TEXT ("error", lb_error_name (error)));
}

static void
write_plan (LnEnginePlans *plans, LbTime now)
{
  LpPlatform *platform = plans->context->platform;
  struct json_object *object = lc_engine_plan_to_json (&plans->wanted);
  const LpCondition condition = { .key = KEY, .version = plans->version };
  const LpPut put = { .key = KEY, .value = json_object_to_json_string (object) };
  const LpTransaction transaction
      = { .token = "", .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  plans->writing = true;
  plans->next_write = now + WRITE_PERIOD;
  platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_written, plans);
  json_object_put (object);
  /* This instance need not wait for its own row. */
  lc_engine_plan_clear (&plans->plan);
  lc_engine_plan_copy (&plans->plan, &plans->wanted);
  plans->on_plan (&plans->plan, plans->user);
}

void
ln_engine_plans_note (LnEnginePlans *plans, const LcPlanEntry *entry)
{
  const LcPlanEntry *wanted = lc_engine_plan_find (&plans->wanted, entry->engine);

  /* What was learnt of the model that the engine served before does not bring it back. */
  if (plans->is_writer && (!wanted || strcmp (wanted->model, entry->model) == 0))
    lc_engine_plan_note (&plans->wanted, entry);
}

static size_t
add_model (LbName *models, size_t n, const char *model)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (models[i], model) == 0)
      return n;
  if (n < LC_MAX_MODELS)
    lb_strlcpy (models[n++], model, LB_NAME_MAX);
  return n;
}

static bool
knows_demand (const LnEnginePlans *plans, LbTime now)
{
  return !lc_demand_is_empty (plans->demand) || now - plans->writer_since >= LISTING_TIME;
}

static void
divide (LnEnginePlans *plans, const LcRoster *roster, LbTime now)
{
  LcPlanEntry *engines = LB_NEW_ARRAY (LcPlanEntry, lc_roster_count (roster) + 1);
  LbName models[LC_MAX_MODELS];
  size_t n_engines = 0;
  size_t n_models = 0;

  for (size_t i = 0; i < lc_roster_count (roster); i++)
    {
      const LcListed *listed = lc_roster_at (roster, i);
      if (listed->n_models == 0 || listed->leaving)
        continue;
      LB_COPY (engines[n_engines].engine, listed->name);
      LB_COPY (engines[n_engines].model, lc_roster_model (roster, i));
      n_engines++;
      for (size_t model = 0; model < listed->n_models; model++)
        n_models = add_model (models, n_models, listed->models[model].name);
    }
  ln_stall_note ("division of engines");
  lc_engine_plan_divide (&plans->wanted, engines, n_engines, models, n_models, plans->demand, now);
  free (engines);
}

/* The writer begins with what the one before it wrote. */
static void
set_writer (LnEnginePlans *plans, bool is_writer, LbTime now)
{
  if (is_writer && !plans->is_writer)
    {
      lc_engine_plan_clear (&plans->wanted);
      lc_engine_plan_copy (&plans->wanted, &plans->plan);
      plans->writer_since = now;
    }
  plans->is_writer = is_writer;
}

void
ln_engine_plans_tick (LnEnginePlans *plans, const LcRoster *roster, bool may_write, LbTime now)
{
  lp_follow_tick (plans->rows, now);
  set_writer (plans, may_write && lp_follow_has_listed (plans->rows), now);
  if (!plans->is_writer)
    return;
  if (now >= plans->next_division && knows_demand (plans, now))
    {
      plans->next_division = now + DIVIDE_PERIOD;
      divide (plans, roster, now);
    }
  if (!plans->writing && now >= plans->next_write
      && !lc_engine_plan_is_same (&plans->wanted, &plans->plan))
    write_plan (plans, now);
}
