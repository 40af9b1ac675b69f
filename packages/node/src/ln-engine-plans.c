#include "ln-engine-plans.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lp-platform.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define KEY "plan//engines"
#define READ_PERIOD (600 * LB_MSEC)
/* Between two divisions; batches come every few seconds, and each brings the demand up to date. */
#define DIVIDE_PERIOD (2 * LB_SEC)

struct LnEnginePlans
{
  LnContext *context;
  void (*on_plan) (const LcEnginePlan *plan, void *user);
  void *user;
  LcEnginePlan plan;
  int64_t version; /* of the row */
  LcDemand *demand;
  bool reading;
  bool writing;
  bool read; /* at least once */
  LbTime next_read;
  LbTime next_division;
};

LnEnginePlans *
ln_engine_plans_new (LnContext *context,
                     void (*on_plan) (const LcEnginePlan *plan, void *user),
                     void *user)
{
  LnEnginePlans *plans = LB_NEW (LnEnginePlans);

  plans->context = context;
  plans->on_plan = on_plan;
  plans->user = user;
  plans->demand = lc_demand_new ();
  return plans;
}

void
ln_engine_plans_free (LnEnginePlans *plans)
{
  lc_engine_plan_clear (&plans->plan);
  lc_demand_free (plans->demand);
  free (plans);
}

void
ln_engine_plans_demand (LnEnginePlans *plans, const char *model, int64_t tokens, LbTime now)
{
  lc_demand_add (plans->demand, model, (double)tokens, now);
}

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
on_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  LnEnginePlans *plans = user;

  plans->reading = false;
  plans->read |= error == LB_OK || error == LB_ERROR_NOT_FOUND;
  if (error == LB_OK && n_rows > 0)
    take_row (plans, &rows[0]);
}

static void
on_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnEnginePlans *plans = user;

  plans->writing = false;
  plans->next_read = lb_clock_monotonic ();
  lb_log (LB_LOG_INFO, "engine_plan_written", LB_TEXT ("outcome", lb_error_name (error)));
}

static void
write_plan (LnEnginePlans *plans, const LcEnginePlan *plan)
{
  LpPlatform *platform = plans->context->platform;
  struct json_object *object = lc_engine_plan_to_json (plan);
  const LpCondition condition = { .key = KEY, .version = plans->version };
  const LpPut put = { .key = KEY, .value = json_object_to_json_string (object) };
  const LpTransaction transaction
      = { .token = "", .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  plans->writing = true;
  platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_written, plans);
  json_object_put (object);
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

static void
divide (LnEnginePlans *plans, const LcRoster *roster, LbTime now)
{
  LcPlanEntry *engines = LB_NEW_ARRAY (LcPlanEntry, lc_roster_count (roster) + 1);
  LbName models[LC_MAX_MODELS];
  LcEnginePlan plan;
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
  lc_engine_plan_copy (&plan, &plans->plan);
  if (lc_engine_plan_divide (&plan, engines, n_engines, models, n_models, plans->demand, now))
    write_plan (plans, &plan);
  lc_engine_plan_clear (&plan);
  free (engines);
}

void
ln_engine_plans_tick (LnEnginePlans *plans, const LcRoster *roster, bool may_write, LbTime now)
{
  LpPlatform *platform = plans->context->platform;

  if (!plans->reading && now >= plans->next_read)
    {
      plans->reading = true;
      plans->next_read = now + READ_PERIOD;
      platform->klass->get (platform, KEY, on_read, plans);
    }
  if (!may_write || !plans->read || plans->writing || now < plans->next_division)
    return;
  plans->next_division = now + DIVIDE_PERIOD;
  divide (plans, roster, now);
}
