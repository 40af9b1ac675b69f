#include "lc-roster.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lc-swap-turns.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A list that comes so long after the one before shows that the store was away, for this instance
 * at least: several times the interval at which lists are read. */
#define AWAY (1500 * LB_MSEC)
/* Entries that lapsed while the store was away come back within two seconds of its return if the
 * endpoint lives; a little more for the list that shows them. */
#define RETURN_GRACE (2400 * LB_MSEC)
/* Between two lists of the endpoints, each of which costs every instance a call. */
#define LIST_PERIOD (400 * LB_MSEC)
/* So that a list's bytes and work, which grow with the endpoints, stay within some 400 rows a
 * second up to the longest period. */
#define LIST_PERIOD_PER_ENDPOINT (LB_SEC / 400)
/* An endpoint that leaves gets no new work 2 s after it said so: this period, the list's answer and
 * its taking fit, with half a second to spare. */
#define MAX_LIST_PERIOD (900 * LB_MSEC)
#define FIRST_CAPACITY 16
/* Endpoints that a list adds or removes with a line for each; of more one line tells the number. */
#define MAX_LINES 16
#define POOL_QUEUE_LIMIT 100000

typedef struct
{
  LcRegistration listed;
  size_t model; /* index into listed.models that the engine is used for */
  bool seen;    /* in the list being taken */
} Entry;

struct LcRoster
{
  Entry *entries;
  size_t n_entries;
  size_t capacity;
  LcEnginePlan plan;
  LbTime last_list; /* when the last list was asked for; 0: none came yet */
  LbTime grace_until;
};

LcRoster *
lc_roster_new (void)
{
  return LB_NEW (LcRoster);
}

void
lc_roster_free (LcRoster *roster)
{
  if (!roster)
    return;
  lc_engine_plan_clear (&roster->plan);
  free (roster->entries);
  free (roster);
}

static bool
is_same_member (const LcRegistration *a, const LcRegistration *b)
{
  if (a->n_models != b->n_models || a->leaving != b->leaving || a->slots != b->slots
      || strcmp (a->address, b->address) != 0 || strcmp (a->service, b->service) != 0)
    return false;
  for (size_t i = 0; i < a->n_models; i++)
    if (strcmp (a->models[i].name, b->models[i].name) != 0)
      return false;
  return true;
}

typedef struct
{
  const char *event;  /* of one endpoint */
  const char *events; /* of many */
  size_t n;
} Change;

static void
log_entry (const char *event, const LcRegistration *listed)
{
  lb_log (LB_LOG_INFO, event, LB_TEXT ("endpoint", listed->name),
          LB_TEXT ("address", listed->address), LB_TEXT ("service", listed->service),
          LB_BOOL ("leaving", listed->leaving));
}

/* A change of one endpoint among those of a list. */
static void
log_change (Change *change, const LcRegistration *listed)
{
  if (change->n++ < MAX_LINES)
    log_entry (change->event, listed);
}

static void
log_rest (const LcRoster *roster, const Change *change)
{
  if (change->n > MAX_LINES)
    lb_log (LB_LOG_INFO, change->events, LB_INT ("endpoints", change->n),
            LB_INT ("known", roster->n_entries));
}

static Entry *
add_entry (LcRoster *roster, const LcRegistration *listed, Change *added)
{
  if (roster->n_entries == roster->capacity)
    {
      roster->capacity = roster->capacity > 0 ? 2 * roster->capacity : FIRST_CAPACITY;
      roster->entries = lb_realloc (roster->entries, roster->capacity * sizeof *roster->entries);
    }
  Entry *entry = &roster->entries[roster->n_entries++];
  memset (entry, 0, sizeof *entry);
  log_change (added, listed);
  return entry;
}

static bool
take_entry (LcRoster *roster, Entry *entry, const LcRegistration *listed, Change *added)
{
  bool changed = !entry || !is_same_member (&entry->listed, listed);

  if (!entry)
    entry = add_entry (roster, listed, added);
  else if (listed->leaving && !entry->listed.leaving)
    log_entry ("endpoint_lists_leaving", listed);
  entry->listed = *listed;
  entry->seen = true;
  return changed;
}

static int
compare_listed (const void *a, const void *b)
{
  return strcmp ((*(const LcRegistration *const *)a)->name,
                 (*(const LcRegistration *const *)b)->name);
}

/* In order of the names, as the store and the catalog give it. The caller frees. */
static const LcRegistration **
put_in_order (const LcRegistration *list, size_t n_list)
{
  const LcRegistration **ordered = LB_NEW_ARRAY (const LcRegistration *, n_list + 1);
  bool in_order = true;

  for (size_t i = 0; i < n_list; i++)
    {
      ordered[i] = &list[i];
      in_order &= i == 0 || strcmp (list[i - 1].name, list[i].name) <= 0;
    }
  if (!in_order)
    qsort (ordered, n_list, sizeof *ordered, compare_listed);
  return ordered;
}

/* The entries are in the same order, those that came with this list behind them. Guards against
 * work that grows with the square of the endpoints: looked for one by one, the first list of 3,000
 * took every instance longer than an endpoint that leaves may get new work. */
static bool
take_list (LcRoster *roster, const LcRegistration *list, size_t n_list)
{
  const LcRegistration **ordered = put_in_order (list, n_list);
  Change added = { .event = "endpoint_listed", .events = "endpoints_listed" };
  size_t n_known = roster->n_entries;
  size_t known = 0;
  bool changed = false;

  for (size_t i = 0; i < n_list; i++)
    {
      const char *name = ordered[i]->name;
      while (known < n_known && strcmp (roster->entries[known].listed.name, name) < 0)
        known++;
      size_t at = known;
      if (known == n_known || strcmp (roster->entries[known].listed.name, name) != 0)
        at = roster->n_entries - 1; /* listed twice */
      bool is_there = at < roster->n_entries && strcmp (roster->entries[at].listed.name, name) == 0;
      changed |= take_entry (roster, is_there ? &roster->entries[at] : NULL, ordered[i], &added);
    }
  log_rest (roster, &added);
  free (ordered);
  return changed;
}

static const Entry *
find_address (const LcRoster *roster, const char *address)
{
  for (size_t i = 0; i < roster->n_entries; i++)
    if (roster->entries[i].seen && strcmp (roster->entries[i].listed.address, address) == 0)
      return &roster->entries[i];
  return NULL;
}

/* Whether the list names another endpoint at the address of the one that it does not name: then
 * that one has ended, whatever the store lost while it was away. */
static const Entry *
successor_of (const LcRoster *roster, const Entry *missing)
{
  return missing->seen ? NULL : find_address (roster, missing->listed.address);
}

/* An engine that started again keeps the model that it was used for: divided anew it would have to
 * load another one's weights in the middle of a step. What it has is not known until it says so. */
static void
keep_model (LcRoster *roster, const Entry *before, const Entry *after)
{
  const LcPlanEntry *planned = lc_engine_plan_find (&roster->plan, before->listed.name);
  LcPlanEntry entry = { .version = 0 };

  if (!planned || strcmp (before->listed.service, after->listed.service) != 0)
    return;
  LB_COPY (entry.engine, after->listed.name);
  LB_COPY (entry.model, planned->model);
  lc_engine_plan_put (&roster->plan, &entry);
}

static void
remove_entry (LcRoster *roster, size_t index, Change *removed)
{
  log_change (removed, &roster->entries[index].listed);
  memmove (&roster->entries[index], &roster->entries[index + 1],
           (roster->n_entries - index - 1) * sizeof *roster->entries);
  roster->n_entries--;
}

/* Those whose address another one has taken. */
static bool
drop_succeeded (LcRoster *roster)
{
  Change removed = { .event = "endpoint_gone", .events = "endpoints_gone" };

  for (size_t i = roster->n_entries; i-- > 0;)
    {
      const Entry *after = successor_of (roster, &roster->entries[i]);
      if (!after)
        continue;
      keep_model (roster, &roster->entries[i], after);
      remove_entry (roster, i, &removed);
    }
  log_rest (roster, &removed);
  return removed.n > 0;
}

/* While the store was away it dropped the entries of endpoints that could not renew them, although
 * they live. Were those taken for gone, all work would fall on the few that are left, or on none.
 */
static bool
drop_missing (LcRoster *roster, LbTime now)
{
  Change removed = { .event = "endpoint_gone", .events = "endpoints_gone" };

  if (now < roster->grace_until)
    return false;
  for (size_t i = roster->n_entries; i-- > 0;)
    if (!roster->entries[i].seen)
      remove_entry (roster, i, &removed);
  log_rest (roster, &removed);
  return removed.n > 0;
}

static int
by_name (const void *a, const void *b)
{
  return strcmp (((const Entry *)a)->listed.name, ((const Entry *)b)->listed.name);
}

static uint64_t
affinity (const char *engine, const char *model)
{
  return XXH3_64bits_withSeed (engine, strlen (engine), XXH3_64bits (model, strlen (model)));
}

/* How the engines of one service are divided so far. */
typedef struct
{
  const char *service;
  size_t n_engines;
  size_t of_model[LC_MAX_MODELS];
} Division;

static bool
counts (const Entry *entry)
{
  return !entry->listed.leaving && entry->listed.n_models > 0;
}

static Division *
find_division (Division *divisions, size_t n, const char *service)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (divisions[i].service, service) == 0)
      return &divisions[i];
  return NULL;
}

/* Returns their number. */
static size_t
count_engines (const LcRoster *roster, Division *divisions)
{
  size_t n = 0;

  for (size_t i = 0; i < roster->n_entries; i++)
    {
      const Entry *entry = &roster->entries[i];
      if (entry->listed.n_models == 0)
        continue;
      Division *division = find_division (divisions, n, entry->listed.service);
      if (!division)
        {
          division = &divisions[n++];
          division->service = entry->listed.service;
        }
      division->n_engines += counts (entry);
    }
  return n;
}

static bool
take_planned (const LcRoster *roster, Entry *entry)
{
  const LcPlanEntry *planned = lc_engine_plan_find (&roster->plan, entry->listed.name);

  for (size_t model = 0; planned && model < entry->listed.n_models; model++)
    if (strcmp (entry->listed.models[model].name, planned->model) == 0)
      {
        entry->model = model;
        return true;
      }
  return false;
}

static void
choose_model (Entry *entry, const Division *division)
{
  size_t n_models = entry->listed.n_models;
  size_t most = (division->n_engines + n_models - 1) / n_models;
  uint64_t best = 0;
  bool chosen = false;

  for (size_t model = 0; model < n_models; model++)
    {
      uint64_t score = affinity (entry->listed.name, entry->listed.models[model].name);
      if (division->of_model[model] >= most && !entry->listed.leaving)
        continue;
      if (!chosen || score > best)
        {
          entry->model = model;
          best = score;
        }
      chosen = true;
    }
}

/* Engines that hold several models are divided among them: each new version of a model is then
 * loaded by its own engines only, not by all. Every instance finds the same division from the same
 * list, since the engine's and the model's names alone decide, within an equal share for each
 * model; one that leaves changes the place of few others. */
static void
divide_engines (LcRoster *roster)
{
  Division *divisions = LB_NEW_ARRAY (Division, roster->n_entries + 1);

  if (roster->n_entries > 0)
    qsort (roster->entries, roster->n_entries, sizeof *roster->entries, by_name);
  size_t n = count_engines (roster, divisions);
  for (size_t i = 0; i < roster->n_entries; i++)
    {
      Entry *entry = &roster->entries[i];
      Division *division = find_division (divisions, n, entry->listed.service);
      if (!division || entry->listed.n_models == 0)
        continue;
      if (!take_planned (roster, entry))
        choose_model (entry, division);
      if (counts (entry))
        division->of_model[entry->model]++;
    }
  free (divisions);
}

static void
note_list (LcRoster *roster, LbTime asked_at, LbTime now)
{
  if (roster->last_list > 0 && asked_at - roster->last_list > AWAY)
    roster->grace_until = now + RETURN_GRACE;
  roster->last_list = asked_at;
}

bool
lc_roster_confirm_list (LcRoster *roster, LbTime asked_at, LbTime now)
{
  note_list (roster, asked_at, now);
  bool changed = drop_missing (roster, now);
  if (changed)
    divide_engines (roster);
  return changed;
}

bool
lc_roster_update (
    LcRoster *roster, const LcRegistration *list, size_t n_list, LbTime asked_at, LbTime now)
{
  bool changed = roster->last_list == 0;

  note_list (roster, asked_at, now);
  for (size_t i = 0; i < roster->n_entries; i++)
    roster->entries[i].seen = false;
  changed |= take_list (roster, list, n_list);
  changed |= drop_succeeded (roster);
  changed |= drop_missing (roster, now);
  if (changed)
    divide_engines (roster);
  return changed;
}

bool
lc_roster_set_plan (LcRoster *roster, const LcEnginePlan *plan)
{
  bool changed = false;

  lc_engine_plan_clear (&roster->plan);
  lc_engine_plan_copy (&roster->plan, plan);
  for (size_t i = 0; i < roster->n_entries; i++)
    {
      Entry *entry = &roster->entries[i];
      size_t before = entry->model;
      changed |= take_planned (roster, entry) && entry->model != before;
    }
  return changed;
}

LbTime
lc_roster_list_period (const LcRoster *roster)
{
  LbTime period = (LbTime)roster->n_entries * LIST_PERIOD_PER_ENDPOINT;

  if (period < LIST_PERIOD)
    return LIST_PERIOD;
  return period < MAX_LIST_PERIOD ? period : MAX_LIST_PERIOD;
}

size_t
lc_roster_count (const LcRoster *roster)
{
  return roster->n_entries;
}

const LcRegistration *
lc_roster_registration (const LcRoster *roster, size_t index)
{
  return &roster->entries[index].listed;
}

const char *
lc_roster_model (const LcRoster *roster, size_t index)
{
  const Entry *entry = &roster->entries[index];

  return entry->listed.n_models > 0 ? entry->listed.models[entry->model].name : "";
}

LcVersion
lc_roster_registered_version (const LcRoster *roster, size_t index)
{
  const Entry *entry = &roster->entries[index];

  return entry->listed.n_models > 0 ? entry->listed.models[entry->model].version : 0;
}

LcVersion
lc_roster_latest_version (const LcRoster *roster, size_t index)
{
  const Entry *entry = &roster->entries[index];
  const LcPlanEntry *planned = lc_engine_plan_find (&roster->plan, entry->listed.name);
  LcVersion listed = lc_roster_registered_version (roster, index);
  bool is_told = planned && strcmp (planned->model, lc_roster_model (roster, index)) == 0;

  return is_told && planned->version > listed ? planned->version : listed;
}

static void
add_pool (LcResourceSet *set, const char *model)
{
  if (lc_resource_set_find_pool (set, model))
    return;
  set->pools = lb_realloc (set->pools, (set->n_pools + 1) * sizeof *set->pools);
  LcPool *pool = &set->pools[set->n_pools++];
  memset (pool, 0, sizeof *pool);
  LB_COPY (pool->name, model);
  LB_COPY (pool->model, model);
  pool->roll_out_percent = LC_SWAP_TURNS_MAX_LOADING_PERCENT;
  pool->queue_limit = POOL_QUEUE_LIMIT;
}

static void
fill_member (const LcRoster *roster, size_t index, bool checks_fence, LcEndpointMember *member)
{
  const LcRegistration *listed = &roster->entries[index].listed;
  const char *model = lc_roster_model (roster, index);

  member->kind = listed->n_models > 0 ? LC_ENDPOINT_ENGINE : LC_ENDPOINT_SERVICE;
  LB_COPY (member->name, listed->name);
  LB_COPY (member->pool, listed->n_models > 0 ? model : listed->service);
  LB_COPY (member->service, listed->service);
  LB_COPY (member->address, listed->address);
  member->is_spot = listed->is_spot;
  LB_COPY (member->data_centre, listed->data_centre);
  member->leaving = listed->leaving;
  member->checks_fence = checks_fence;
  member->reports_concurrency = true;
  member->concurrency = listed->slots;
}

LcResourceSet *
lc_roster_to_resources (const LcRoster *roster, int64_t revision, bool checks_fence)
{
  LcResourceSet *set = LB_NEW (LcResourceSet);

  set->revision = revision;
  set->n_endpoints = roster->n_entries;
  set->endpoints = LB_NEW_ARRAY (LcEndpointMember, roster->n_entries);
  for (size_t i = 0; i < roster->n_entries; i++)
    {
      const LcRegistration *listed = &roster->entries[i].listed;
      for (size_t model = 0; model < listed->n_models; model++)
        add_pool (set, listed->models[model].name);
      fill_member (roster, i, checks_fence, &set->endpoints[i]);
    }
  return set;
}
