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

#define TABLE "plan"
/* With the lease, away from the unnamed part, to which endpoints and operators write. */
#define PREFIX TABLE "/weights/"
#define KEY_SIZE 32
#define WATCH_WAIT (900 * LB_MSEC) /* a watch whose connection went silent is given up after it */
#define WATCH_RETRY (200 * LB_MSEC)
/* Of an instance that sends nothing to engines: rows change with each load, several times a second.
 */
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
  LcEnginePlan parts[LC_ENGINE_PLAN_PARTS]; /* as the rows say */
  int64_t versions[LC_ENGINE_PLAN_PARTS];
  LcEnginePlan plan;   /* of all parts */
  LcEnginePlan wanted; /* as it shall be, where this instance writes it */
  bool is_writer;
  LbTime writer_since;
  LpFollow *rows;
  LcDemand *demand;
  bool writing;
  bool writes_again;                     /* the last write failed */
  bool is_written[LC_ENGINE_PLAN_PARTS]; /* by the write on its way, or the last */
  LbTime next_write;
  LbTime next_division;
};

static void
part_key (size_t index, char *key)
{
  snprintf (key, KEY_SIZE, PREFIX "%02zx", index);
}

/* Index of the part that the row holds; LC_ENGINE_PLAN_PARTS: none. */
static size_t
part_of_key (const char *key)
{
  char known[KEY_SIZE];

  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    {
      part_key (i, known);
      if (strcmp (key, known) == 0)
        return i;
    }
  return LC_ENGINE_PLAN_PARTS;
}

/* True when it is news. */
static bool
take_row (LnEnginePlans *plans, const LpRow *row)
{
  size_t index = part_of_key (row->key);
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  LcEnginePlan part;
  bool is_taken = false;

  if (index == LC_ENGINE_PLAN_PARTS || row->version <= plans->versions[index])
    goto out;
  plans->versions[index] = row->version;
  is_taken = lc_engine_plan_from_json (object, &part);
  if (!is_taken)
    {
      lb_log (LB_LOG_WARNING, "engine_plan_unreadable", LB_TEXT ("key", row->key),
              LB_INT ("version", row->version));
      goto out;
    }
  lc_engine_plan_clear (&plans->parts[index]);
  plans->parts[index] = part;
out:
  json_object_put (object);
  return is_taken;
}

static void
on_rows (const LpRow *rows, size_t n_rows, void *user)
{
  LnEnginePlans *plans = user;
  bool is_taken = false;

  for (size_t i = 0; i < n_rows; i++)
    is_taken |= take_row (plans, &rows[i]);
  if (!is_taken)
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
  static const char *const prefixes[] = { PREFIX };
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
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    lc_engine_plan_clear (&plans->parts[i]);
  lc_engine_plan_clear (&plans->plan);
  lc_engine_plan_clear (&plans->wanted);
  lc_demand_free (plans->demand);
  lp_follow_free (plans->rows);
  free (plans);
}

void
ln_engine_plans_add_demand (LnEnginePlans *plans, const char *model, int64_t tokens, LbTime now)
{
  lc_demand_add (plans->demand, model, (double)tokens, now);
}

/* Guards against a part whose write failed and that says what no row says until it changes. */
static void
forget_part (LnEnginePlans *plans, size_t index)
{
  lc_engine_plan_clear (&plans->parts[index]);
  plans->writes_again = true;
}

static void
on_written (LbErrorCode error, const LpRow *row, void *user)
{
  LnEnginePlans *plans = user;

  plans->writing = false;
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    if (plans->is_written[i] && error != LB_OK)
      forget_part (plans, i);
    else if (plans->is_written[i] && row->version > plans->versions[i])
      plans->versions[i] = row->version;
  if (error != LB_OK)
    lb_log (LB_LOG_WARNING, "engine_plan_not_written", LB_TEXT ("error", lb_error_name (error)));
}

typedef struct
{
  char keys[LC_ENGINE_PLAN_PARTS][KEY_SIZE];
  struct json_object *objects[LC_ENGINE_PLAN_PARTS];
  LpCondition conditions[LC_ENGINE_PLAN_PARTS];
  LpPut puts[LC_ENGINE_PLAN_PARTS];
  size_t n;
} Write;

/* This instance need not wait for its own row. */
static void
add_part (LnEnginePlans *plans, size_t index, LcEnginePlan *part, Write *write)
{
  size_t n = write->n++;

  part_key (index, write->keys[n]);
  write->objects[n] = lc_engine_plan_to_json (part);
  write->conditions[n] = (LpCondition){ .key = write->keys[n], .version = plans->versions[index] };
  write->puts[n] = (LpPut){ .key = write->keys[n],
                            .value = json_object_to_json_string_ext (write->objects[n],
                                                                     JSON_C_TO_STRING_PLAIN) };
  lc_engine_plan_clear (&plans->parts[index]);
  plans->parts[index] = *part;
}

static void
add_changed_parts (LnEnginePlans *plans, Write *write)
{
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    {
      LcEnginePlan part;
      lc_engine_plan_copy_part (&plans->wanted, i, &part);
      plans->is_written[i] = !lc_engine_plan_is_same (&part, &plans->parts[i]);
      if (plans->is_written[i])
        add_part (plans, i, &part, write);
      else
        lc_engine_plan_clear (&part);
    }
}

static void
write_plan (LnEnginePlans *plans, LbTime now)
{
  LpPlatform *platform = plans->context->platform;
  Write write = { .n = 0 };

  plans->writes_again = false;
  add_changed_parts (plans, &write);
  /* The rows that failed have shown as wanted since then. */
  if (write.n == 0)
    return;
  const LpTransaction transaction = { .token = "",
                                      .conditions = write.conditions,
                                      .n_conditions = write.n,
                                      .puts = write.puts,
                                      .n_puts = write.n };
  plans->writing = true;
  plans->next_write = now + WRITE_PERIOD;
  platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_written, plans);
  for (size_t i = 0; i < write.n; i++)
    json_object_put (write.objects[i]);
  lc_engine_plan_clear (&plans->plan);
  lc_engine_plan_copy (&plans->plan, &plans->wanted);
  plans->on_plan (&plans->plan, plans->user);
}

void
ln_engine_plans_update_engine (LnEnginePlans *plans, const LcPlanEntry *entry)
{
  const LcPlanEntry *wanted = lc_engine_plan_find (&plans->wanted, entry->engine);

  /* What was learnt of the model that the engine served before does not bring it back. */
  if (plans->is_writer && (!wanted || strcmp (wanted->model, entry->model) == 0))
    lc_engine_plan_put (&plans->wanted, entry);
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
      const LcRegistration *listed = lc_roster_registration (roster, i);
      if (listed->n_models == 0 || listed->leaving)
        continue;
      LB_COPY (engines[n_engines].engine, listed->name);
      LB_COPY (engines[n_engines].model, lc_roster_model (roster, i));
      n_engines++;
      for (size_t model = 0; model < listed->n_models; model++)
        n_models = add_model (models, n_models, listed->models[model].name);
    }
  ln_stall_set_activity ("division of engines");
  lc_engine_plan_rebalance (&plans->wanted, engines, n_engines, models, n_models, plans->demand,
                            now);
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
      && (plans->writes_again || !lc_engine_plan_is_same (&plans->wanted, &plans->plan)))
    write_plan (plans, now);
}
