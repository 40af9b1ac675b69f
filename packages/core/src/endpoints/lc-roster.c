#include "lc-roster.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lc-swap-turns.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A longer gap between two lists of the registered endpoints shows that the store was unavailable,
 * at least to this instance. The usual time between two lists is several times shorter. */
#define MIN_OUTAGE_GAP (1500 * LB_MSEC)
/* Time after an outage of the store during which endpoints missing in the list are kept. Live
 * endpoints renew their expired registrations within two seconds of the store's recovery; the rest
 * of this time is for the next list, which contains the renewed registrations. */
#define OUTAGE_GRACE (2400 * LB_MSEC)
/* Minimum time between two lists. Limits the load on the store, because every instance makes one
 * call to the store for each list. */
#define MIN_LIST_PERIOD (400 * LB_MSEC)
/* Time between two lists for each listed endpoint, up to MAX_LIST_PERIOD. Limits the cost of
 * listing, which grows with the number of endpoints, to about 400 rows per second. */
#define LIST_PERIOD_PER_ENDPOINT (LB_SEC / 400)
/* A leaving endpoint must get no new requests later than 2 s after its announcement. This period,
 * the store's reply and the processing of the reply add up to half a second less. */
#define MAX_LIST_PERIOD (900 * LB_MSEC)
#define INITIAL_ENTRY_CAPACITY 16
/* Maximum number of endpoints added or removed by one list that are logged individually; further
 * ones are only counted. */
#define MAX_LOGGED_CHANGES 16
#define POOL_QUEUE_LIMIT 100000

typedef struct
{
  LcRegistration registration;
  size_t model;   /* index into registration.models of the model that the engine is used for */
  bool is_listed; /* the latest list contains the endpoint */
} Entry;

struct LcRoster
{
  Entry *entries;
  size_t n_entries;
  size_t capacity;
  LcEnginePlan plan;
  LbTime last_list_at; /* when the latest list was requested; 0: none received yet */
  LbTime grace_until;  /* endpoints missing in the list are kept until this time */
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
describe_same_resource (const LcRegistration *a, const LcRegistration *b)
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
  const char *single_event;  /* log event for one endpoint */
  const char *summary_event; /* log event with the number of endpoints */
  size_t n_changes;
} ChangeLog;

static void
log_registration_event (const char *single_event, const LcRegistration *registration)
{
  lb_log (LB_LOG_INFO, single_event, LB_TEXT ("endpoint", registration->name),
          LB_TEXT ("address", registration->address), LB_TEXT ("service", registration->service),
          LB_BOOL ("leaving", registration->leaving));
}

static void
log_endpoint_change (ChangeLog *change_log, const LcRegistration *registration)
{
  if (change_log->n_changes++ < MAX_LOGGED_CHANGES)
    log_registration_event (change_log->single_event, registration);
}

static void
log_change_summary (const LcRoster *roster, const ChangeLog *change_log)
{
  if (change_log->n_changes > MAX_LOGGED_CHANGES)
    lb_log (LB_LOG_INFO, change_log->summary_event, LB_INT ("endpoints", change_log->n_changes),
            LB_INT ("known", roster->n_entries));
}

static Entry *
add_endpoint_entry (LcRoster *roster, const LcRegistration *registration, ChangeLog *added)
{
  if (roster->n_entries == roster->capacity)
    {
      roster->capacity = roster->capacity > 0 ? 2 * roster->capacity : INITIAL_ENTRY_CAPACITY;
      roster->entries = lb_realloc (roster->entries, roster->capacity * sizeof *roster->entries);
    }
  Entry *entry = &roster->entries[roster->n_entries++];
  memset (entry, 0, sizeof *entry);
  log_endpoint_change (added, registration);
  return entry;
}

static bool
apply_registration (LcRoster *roster,
                    Entry *entry,
                    const LcRegistration *registration,
                    ChangeLog *added)
{
  bool changed = !entry || !describe_same_resource (&entry->registration, registration);

  if (!entry)
    entry = add_endpoint_entry (roster, registration, added);
  else if (registration->leaving && !entry->registration.leaving)
    log_registration_event ("endpoint_lists_leaving", registration);
  entry->registration = *registration;
  entry->is_listed = true;
  return changed;
}

static int
compare_registration_names (const void *a, const void *b)
{
  return strcmp ((*(const LcRegistration *const *)a)->name,
                 (*(const LcRegistration *const *)b)->name);
}

/* Returns the list sorted by name, the usual order of the store and the catalog. The caller frees
 * the result. */
static const LcRegistration **
sort_registrations_by_name (const LcRegistration *list, size_t n_list)
{
  const LcRegistration **sorted = LB_NEW_ARRAY (const LcRegistration *, n_list + 1);
  bool is_sorted = true;

  for (size_t i = 0; i < n_list; i++)
    {
      sorted[i] = &list[i];
      is_sorted &= i == 0 || strcmp (list[i - 1].name, list[i].name) <= 0;
    }
  if (!is_sorted)
    qsort (sorted, n_list, sizeof *sorted, compare_registration_names);
  return sorted;
}

/* Merges the list into the entries. Both are sorted by name, so one pass finds the known entries;
 * new entries are appended. A search for each endpoint takes quadratic time: with 3,000 endpoints,
 * every instance processed the first list for longer than the time limit for sending requests to a
 * leaving endpoint. */
static bool
merge_registration_list (LcRoster *roster, const LcRegistration *list, size_t n_list)
{
  const LcRegistration **sorted = sort_registrations_by_name (list, n_list);
  ChangeLog added = { .single_event = "endpoint_listed", .summary_event = "endpoints_listed" };
  size_t n_sorted = roster->n_entries;
  size_t index = 0;
  bool changed = false;

  for (size_t i = 0; i < n_list; i++)
    {
      const char *name = sorted[i]->name;
      while (index < n_sorted && strcmp (roster->entries[index].registration.name, name) < 0)
        index++;
      size_t position = index;
      if (index == n_sorted || strcmp (roster->entries[index].registration.name, name) != 0)
        /* A list may name an endpoint twice; the entry of its first occurrence was then appended
         * last. */
        position = roster->n_entries - 1;
      bool is_known = position < roster->n_entries
                      && strcmp (roster->entries[position].registration.name, name) == 0;
      changed |= apply_registration (roster, is_known ? &roster->entries[position] : NULL,
                                     sorted[i], &added);
    }
  log_change_summary (roster, &added);
  free (sorted);
  return changed;
}

static const Entry *
find_entry_in_list_by_address (const LcRoster *roster, const char *address)
{
  for (size_t i = 0; i < roster->n_entries; i++)
    if (roster->entries[i].is_listed
        && strcmp (roster->entries[i].registration.address, address) == 0)
      return &roster->entries[i];
  return NULL;
}

/* Returns the listed entry with the same address as the missing entry, or NULL. A listed entry at
 * the address shows that the earlier process has ended, even if the store lost registrations in an
 * outage. */
static const Entry *
find_successor_at_same_address (const LcRoster *roster, const Entry *missing)
{
  return missing->is_listed ? NULL
                            : find_entry_in_list_by_address (roster, missing->registration.address);
}

/* A restarted engine keeps its planned model: another assignment would make it load other weights
 * in the middle of a step. The version of its weights is unknown until the engine reports it. */
static void
inherit_planned_model (LcRoster *roster, const Entry *previous, const Entry *successor)
{
  const LcPlanEntry *planned = lc_engine_plan_find (&roster->plan, previous->registration.name);
  LcPlanEntry entry = { .version = 0 };

  if (!planned || strcmp (previous->registration.service, successor->registration.service) != 0)
    return;
  LB_COPY (entry.engine, successor->registration.name);
  LB_COPY (entry.model, planned->model);
  lc_engine_plan_put (&roster->plan, &entry);
}

static void
remove_endpoint_entry (LcRoster *roster, size_t index, ChangeLog *removed)
{
  log_endpoint_change (removed, &roster->entries[index].registration);
  memmove (&roster->entries[index], &roster->entries[index + 1],
           (roster->n_entries - index - 1) * sizeof *roster->entries);
  roster->n_entries--;
}

/* Removes entries whose address is now used by another endpoint. */
static bool
remove_replaced_entries (LcRoster *roster)
{
  ChangeLog removed = { .single_event = "endpoint_gone", .summary_event = "endpoints_gone" };

  for (size_t i = roster->n_entries; i-- > 0;)
    {
      const Entry *successor = find_successor_at_same_address (roster, &roster->entries[i]);
      if (!successor)
        continue;
      inherit_planned_model (roster, &roster->entries[i], successor);
      remove_endpoint_entry (roster, i, &removed);
    }
  log_change_summary (roster, &removed);
  return removed.n_changes > 0;
}

/* Keeps entries that are missing in the list during the grace period. In an outage of the store,
 * registrations expire because live endpoints can't renew them; if these endpoints were removed,
 * all requests would go to the few remaining endpoints, or fail. */
static bool
remove_entries_missing_in_list (LcRoster *roster, LbTime now)
{
  ChangeLog removed = { .single_event = "endpoint_gone", .summary_event = "endpoints_gone" };

  if (now < roster->grace_until)
    return false;
  for (size_t i = roster->n_entries; i-- > 0;)
    if (!roster->entries[i].is_listed)
      remove_endpoint_entry (roster, i, &removed);
  log_change_summary (roster, &removed);
  return removed.n_changes > 0;
}

static int
compare_entry_names (const void *a, const void *b)
{
  return strcmp (((const Entry *)a)->registration.name, ((const Entry *)b)->registration.name);
}

static uint64_t
compute_rendezvous_score (const char *engine, const char *model)
{
  return XXH3_64bits_withSeed (engine, strlen (engine), XXH3_64bits (model, strlen (model)));
}

/* The engines of one service and how many of them are assigned to each model. */
typedef struct
{
  const char *service;
  size_t n_engines;
  size_t n_engines_of_model[LC_MAX_MODELS];
} ModelAssignment;

static bool
is_assignable_engine (const Entry *entry)
{
  return !entry->registration.leaving && entry->registration.n_models > 0;
}

static ModelAssignment *
find_assignment_of_service (ModelAssignment *assignments, size_t n, const char *service)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (assignments[i].service, service) == 0)
      return &assignments[i];
  return NULL;
}

/* Counts the engines of each service that has any. Returns the number of these services. */
static size_t
count_engines_per_service (const LcRoster *roster, ModelAssignment *assignments)
{
  size_t n = 0;

  for (size_t i = 0; i < roster->n_entries; i++)
    {
      const Entry *entry = &roster->entries[i];
      if (entry->registration.n_models == 0)
        continue;
      ModelAssignment *assignment
          = find_assignment_of_service (assignments, n, entry->registration.service);
      if (!assignment)
        {
          assignment = &assignments[n++];
          assignment->service = entry->registration.service;
        }
      assignment->n_engines += is_assignable_engine (entry);
    }
  return n;
}

static bool
assign_planned_model (const LcRoster *roster, Entry *entry)
{
  const LcPlanEntry *planned = lc_engine_plan_find (&roster->plan, entry->registration.name);

  for (size_t model = 0; planned && model < entry->registration.n_models; model++)
    if (strcmp (entry->registration.models[model].name, planned->model) == 0)
      {
        entry->model = model;
        return true;
      }
  return false;
}

static void
assign_model_by_hash (Entry *entry, const ModelAssignment *assignment)
{
  size_t n_models = entry->registration.n_models;
  size_t max_engines = (assignment->n_engines + n_models - 1) / n_models;
  uint64_t best = 0;
  bool chosen = false;

  for (size_t model = 0; model < n_models; model++)
    {
      uint64_t score = compute_rendezvous_score (entry->registration.name,
                                                 entry->registration.models[model].name);
      if (assignment->n_engines_of_model[model] >= max_engines && !entry->registration.leaving)
        continue;
      if (!chosen || score > best)
        {
          entry->model = model;
          best = score;
        }
      chosen = true;
    }
}

/* Assigns one model to each engine that holds several, so that only the engines assigned to a model
 * load its new versions. Uses rendezvous hashing of engine and model names, limited to an equal
 * share of engines for each model: every instance computes the same assignment from the same list,
 * and the removal of an engine changes the model of few other engines. */
static void
assign_models_to_engines (LcRoster *roster)
{
  ModelAssignment *assignments = LB_NEW_ARRAY (ModelAssignment, roster->n_entries + 1);

  if (roster->n_entries > 0)
    qsort (roster->entries, roster->n_entries, sizeof *roster->entries, compare_entry_names);
  size_t n = count_engines_per_service (roster, assignments);
  for (size_t i = 0; i < roster->n_entries; i++)
    {
      Entry *entry = &roster->entries[i];
      ModelAssignment *assignment
          = find_assignment_of_service (assignments, n, entry->registration.service);
      if (!assignment || entry->registration.n_models == 0)
        continue;
      if (!assign_planned_model (roster, entry))
        assign_model_by_hash (entry, assignment);
      if (is_assignable_engine (entry))
        assignment->n_engines_of_model[entry->model]++;
    }
  free (assignments);
}

static void
record_list_request_time (LcRoster *roster, LbTime asked_at, LbTime now)
{
  if (roster->last_list_at > 0 && asked_at - roster->last_list_at > MIN_OUTAGE_GAP)
    roster->grace_until = now + OUTAGE_GRACE;
  roster->last_list_at = asked_at;
}

bool
lc_roster_record_unchanged_list (LcRoster *roster, LbTime asked_at, LbTime now)
{
  record_list_request_time (roster, asked_at, now);
  bool changed = remove_entries_missing_in_list (roster, now);
  if (changed)
    assign_models_to_engines (roster);
  return changed;
}

bool
lc_roster_apply_list (
    LcRoster *roster, const LcRegistration *list, size_t n_list, LbTime asked_at, LbTime now)
{
  bool changed = roster->last_list_at == 0;

  record_list_request_time (roster, asked_at, now);
  for (size_t i = 0; i < roster->n_entries; i++)
    roster->entries[i].is_listed = false;
  changed |= merge_registration_list (roster, list, n_list);
  changed |= remove_replaced_entries (roster);
  changed |= remove_entries_missing_in_list (roster, now);
  if (changed)
    assign_models_to_engines (roster);
  return changed;
}

bool
lc_roster_set_engine_plan (LcRoster *roster, const LcEnginePlan *plan)
{
  bool changed = false;

  lc_engine_plan_clear (&roster->plan);
  lc_engine_plan_copy (&roster->plan, plan);
  for (size_t i = 0; i < roster->n_entries; i++)
    {
      Entry *entry = &roster->entries[i];
      size_t previous = entry->model;
      changed |= assign_planned_model (roster, entry) && entry->model != previous;
    }
  return changed;
}

LbTime
lc_roster_list_period (const LcRoster *roster)
{
  LbTime period = (LbTime)roster->n_entries * LIST_PERIOD_PER_ENDPOINT;

  if (period < MIN_LIST_PERIOD)
    return MIN_LIST_PERIOD;
  return period < MAX_LIST_PERIOD ? period : MAX_LIST_PERIOD;
}

size_t
lc_roster_count_endpoints (const LcRoster *roster)
{
  return roster->n_entries;
}

const LcRegistration *
lc_roster_registration (const LcRoster *roster, size_t index)
{
  return &roster->entries[index].registration;
}

const char *
lc_roster_assigned_model (const LcRoster *roster, size_t index)
{
  const Entry *entry = &roster->entries[index];

  return entry->registration.n_models > 0 ? entry->registration.models[entry->model].name : "";
}

LcVersion
lc_roster_registered_weight_version (const LcRoster *roster, size_t index)
{
  const Entry *entry = &roster->entries[index];

  return entry->registration.n_models > 0 ? entry->registration.models[entry->model].version : 0;
}

LcVersion
lc_roster_latest_weight_version (const LcRoster *roster, size_t index)
{
  const Entry *entry = &roster->entries[index];
  const LcPlanEntry *planned = lc_engine_plan_find (&roster->plan, entry->registration.name);
  LcVersion registered = lc_roster_registered_weight_version (roster, index);
  bool is_planned
      = planned && strcmp (planned->model, lc_roster_assigned_model (roster, index)) == 0;

  return is_planned && planned->version > registered ? planned->version : registered;
}

static void
add_pool_of_model (LcResourceSet *set, const char *model)
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
fill_endpoint_member (const LcRoster *roster,
                      size_t index,
                      bool checks_fence,
                      LcEndpointMember *member)
{
  const LcRegistration *registration = &roster->entries[index].registration;
  const char *model = lc_roster_assigned_model (roster, index);

  member->kind = registration->n_models > 0 ? LC_ENDPOINT_ENGINE : LC_ENDPOINT_SERVICE;
  LB_COPY (member->name, registration->name);
  LB_COPY (member->pool, registration->n_models > 0 ? model : registration->service);
  LB_COPY (member->service, registration->service);
  LB_COPY (member->address, registration->address);
  member->is_spot = registration->is_spot;
  LB_COPY (member->data_centre, registration->data_centre);
  member->leaving = registration->leaving;
  member->checks_fence = checks_fence;
  member->reports_concurrency = true;
  member->concurrency = registration->slots;
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
      const LcRegistration *registration = &roster->entries[i].registration;
      for (size_t model = 0; model < registration->n_models; model++)
        add_pool_of_model (set, registration->models[model].name);
      fill_endpoint_member (roster, i, checks_fence, &set->endpoints[i]);
    }
  return set;
}
