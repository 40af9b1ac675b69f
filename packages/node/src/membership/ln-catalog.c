#include "lp-platform.h"

#include "ln-catalog.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lc-duty.h"
#include "lc-registration.h"
#include "lp-follow.h"
#include "ln-fleet-lists.h"
#include "ln-row-cache.h"

#include <stdlib.h>
#include <string.h>

#define TABLE "catalog"
/* All rows lie in one part: each write is made under the condition of one of them. */
#define PREFIX TABLE "/all/"
#define DUTY TABLE
#define ENDPOINTS "e:"
#define INSTANCES "i:"
#define BOUNDS "b:"                /* of the subset of the endpoints, by service */
#define WATCH_WAIT (700 * LB_MSEC) /* a silent connection is found after it */
#define WATCH_RETRY (100 * LB_MSEC)
/* Of a write: what comes later is told by the next list. */
#define WRITE_TIME (500 * LB_MSEC)
#define N_CANDIDATES 3
/* Fewer are listed for less than what following costs: 12 endpoints are 16 kB/s at 2.5 lists a
 * second, 90 are 114. */
#define MIN_ENDPOINTS 41
/* Instances known from which on each write of the catalog costs hundreds of answers. */
#define FULL_DIRECTORY (LN_FLEET_DIRECTORY_MAX * 9 / 10)
#define MAX_PERIOD LB_SEC

struct LnCatalog
{
  LnContext *context;
  LnCatalogHandlers handlers;
  void *user;
  LcCatalog *catalog;
  LpFollow *rows;
  LnRowCache *endpoints; /* that are followed */
  LnRowCache *instances;
  int64_t passed_on;         /* the changes up to which endpoints were; -1: no list is in use */
  int64_t instances_read;    /* the changes up to which instances were read */
  int64_t instances_version; /* newest row of the instances in the last belief */
  size_t n_instances;        /* in it */
  bool is_used;              /* there were endpoints enough, once */
  bool draining;
  int rank;
  LcFleetMember *members; /* as this instance knows them */
  size_t n_members;
  int drawn_rank; /* among these members, without this publisher: */
  LbName drawn_without;
  bool is_drawn;
  LbTime own_asked_at; /* of this instance's last list of the endpoints */
};

static LbMetric beliefs
    = LB_COUNTER_INIT ("lentilspindle_catalog_beliefs_total",
                       NULL,
                       "Lists of endpoints that were heard of through the catalog");
static LbMetric writes = LB_COUNTER_INIT ("lentilspindle_catalog_writes_total",
                                          NULL,
                                          "Writes of the catalog by this instance");

static int64_t
store_ms (const LnCatalog *catalog)
{
  return lp_platform_store_ms (catalog->context->platform);
}

static void
on_base (void *user)
{
  lc_catalog_begin_snapshot (((LnCatalog *)user)->catalog);
}

static void
log_publisher (LnCatalog *catalog, const char *before)
{
  const char *publisher = lc_catalog_publisher_name (catalog->catalog);

  if (strcmp (before, publisher) != 0)
    lb_log (LB_LOG_INFO, "catalog_publisher", LB_TEXT ("publisher", publisher),
            LB_TEXT ("before", before));
}

/* --- the belief --- */

static bool
read_endpoint (const LpRow *row, void *content, LbError *error, void *user)
{
  (void)user;
  return lc_registration_from_json (row->value, content)
         || lb_error_set (error, LB_ERROR_BAD_VALUE, row->key, "expected an endpoint");
}

static bool
read_instance (const LpRow *row, void *content, LbError *error, void *user)
{
  (void)user;
  return lc_fleet_member_from_text (row->value, content)
         || lb_error_set (error, LB_ERROR_BAD_VALUE, row->key, "expected an instance");
}

/* No row counts its writes: each that is written says something else. */
static const LnRowCacheClass endpoints_class
    = { .size = sizeof (LcRegistration), .parse = read_endpoint, .counter_prefix = "\n" };
static const LnRowCacheClass instances_class
    = { .size = sizeof (LcFleetMember), .parse = read_instance, .counter_prefix = "\n" };

typedef struct
{
  LnRowCache *cache;
  char *items; /* one after the other */
  size_t size; /* of one */
  size_t n;
  size_t capacity;
  int64_t version; /* the newest */
} Reading;

static void
add_item (const char *name, const char *text, int64_t version, void *user)
{
  Reading *reading = user;
  const LpRow row = { .key = name, .value = text, .version = version };
  LbError error = { 0 };
  const void *content = ln_row_cache_parse (reading->cache, &row, &error);

  if (version > reading->version)
    reading->version = version;
  if (!content)
    {
      lb_log_error (LB_LOG_WARNING, "catalog_row_unreadable", &error);
      return;
    }
  if (reading->n == reading->capacity)
    {
      reading->capacity = reading->capacity > 0 ? 2 * reading->capacity : MIN_ENDPOINTS;
      reading->items = lb_realloc (reading->items, reading->capacity * reading->size);
    }
  memcpy (reading->items + reading->n++ * reading->size, content, reading->size);
}

static void
read_items (const LnCatalog *catalog, const char *prefix, Reading *reading)
{
  ln_row_cache_begin_list (reading->cache);
  lc_catalog_foreach (catalog->catalog, prefix, add_item, reading);
  ln_row_cache_end_list (reading->cache);
}

static void
pass_endpoints (LnCatalog *catalog)
{
  Reading reading = { .cache = catalog->endpoints, .size = sizeof (LcRegistration) };
  LbTime asked_at = lc_catalog_valid_at (catalog->catalog);
  int64_t changes = lc_catalog_change_count (catalog->catalog);

  if (asked_at <= catalog->own_asked_at)
    return;
  if (catalog->passed_on == changes)
    {
      catalog->handlers.on_endpoints_confirmed (asked_at, catalog->user);
      return;
    }
  read_items (catalog, ENDPOINTS, &reading);
  bool is_taken = catalog->handlers.on_endpoints ((const LcRegistration *)reading.items, reading.n,
                                                  asked_at, catalog->user);
  catalog->passed_on = is_taken ? changes : -1;
  free (reading.items);
}

static void
pass_instances (LnCatalog *catalog)
{
  Reading reading = { .cache = catalog->instances, .size = sizeof (LcFleetMember) };
  int64_t changes = lc_catalog_change_count (catalog->catalog);

  if (catalog->instances_read == changes)
    return;
  catalog->instances_read = changes;
  read_items (catalog, INSTANCES, &reading);
  if (reading.n > 0
      && (reading.version != catalog->instances_version || reading.n != catalog->n_instances))
    catalog->handlers.on_members ((const LcFleetMember *)reading.items, reading.n, catalog->user);
  catalog->instances_version = reading.version;
  catalog->n_instances = reading.n;
  free (reading.items);
}

static void
on_rows (const LpRow *rows, size_t n_rows, void *user)
{
  LnCatalog *catalog = user;
  LbName before;

  LB_COPY (before, lc_catalog_publisher_name (catalog->catalog));
  for (size_t i = 0; i < n_rows; i++)
    if (strncmp (rows[i].key, PREFIX, strlen (PREFIX)) == 0)
      lc_catalog_apply_row (catalog->catalog, rows[i].key + strlen (PREFIX), rows[i].value,
                            rows[i].version);
  log_publisher (catalog, before);
  if (!lc_catalog_finish_update (catalog->catalog, store_ms (catalog), lb_clock_monotonic ()))
    return;
  lb_metric_add (&beliefs, 1);
  pass_endpoints (catalog);
  pass_instances (catalog);
}

LnCatalog *
ln_catalog_new (LnContext *context, const LnCatalogHandlers *handlers, void *user)
{
  static const char *const prefixes[] = { PREFIX };
  const LpFollowSettings settings = { .table = TABLE,
                                      .prefixes = prefixes,
                                      .n_prefixes = 1,
                                      .wait = WATCH_WAIT,
                                      .retry = WATCH_RETRY,
                                      .on_base = on_base };
  LnCatalog *catalog = LB_NEW (LnCatalog);

  catalog->context = context;
  catalog->handlers = *handlers;
  catalog->user = user;
  catalog->rank = -1;
  catalog->passed_on = -1;
  catalog->catalog = lc_catalog_new (context->instance, context->incarnation,
                                     ln_context_random_seed (context), lb_clock_monotonic ());
  catalog->rows = lp_follow_new (context->platform, &settings, on_rows, catalog);
  catalog->endpoints = ln_row_cache_new (&endpoints_class, NULL);
  catalog->instances = ln_row_cache_new (&instances_class, NULL);
  return catalog;
}

void
ln_catalog_free (LnCatalog *catalog)
{
  lp_follow_free (catalog->rows);
  lc_catalog_free (catalog->catalog);
  ln_row_cache_free (catalog->endpoints);
  ln_row_cache_free (catalog->instances);
  free (catalog->members);
  free (catalog);
}

/* --- publishing --- */

/* One that is cut off from the store, or leaves, is no publisher. */
static size_t
add_candidates (const LnCatalog *catalog, LcDutyCandidate *candidates)
{
  const char *publisher = lc_catalog_publisher_name (catalog->catalog);
  size_t n = 0;

  for (size_t i = 0; i < catalog->n_members; i++)
    {
      const LcFleetMember *member = &catalog->members[i];
      if (!member->alive || !member->confirmed || member->row.draining || member->row.cut
          || strcmp (member->row.name, publisher) == 0)
        continue;
      LB_COPY (candidates[n].name, member->row.name);
      candidates[n++].strength = member->row.strength;
    }
  return n;
}

static int
draw_rank (const LnCatalog *catalog)
{
  LcDutyCandidate *candidates = LB_NEW_ARRAY (LcDutyCandidate, catalog->n_members + 1);
  size_t n = add_candidates (catalog, candidates);
  size_t rank = lc_duty_rank (DUTY, catalog->context->instance, candidates, n);

  free (candidates);
  return rank < N_CANDIDATES && rank < n ? (int)rank : -1;
}

/* Asked for with each tick, of hundreds of members, which change seldom. */
static int
drawn_rank (LnCatalog *catalog)
{
  const char *publisher = lc_catalog_publisher_name (catalog->catalog);

  if (!catalog->is_drawn || strcmp (catalog->drawn_without, publisher) != 0)
    catalog->drawn_rank = draw_rank (catalog);
  LB_COPY (catalog->drawn_without, publisher);
  catalog->is_drawn = true;
  return catalog->drawn_rank;
}

static int
find_rank (LnCatalog *catalog)
{
  LpPlatform *platform = catalog->context->platform;
  bool is_cut = !lp_platform_is_reached (platform);

  if (catalog->draining || is_cut || !lp_follow_has_listed (catalog->rows))
    return -1;
  return lc_catalog_is_publisher (catalog->catalog) ? 0 : drawn_rank (catalog);
}

typedef struct
{
  LnCatalog *catalog;
  int64_t condition;
} Write;

static void
on_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Write *write = user;

  if (error != LB_OK)
    {
      lb_log (LB_LOG_INFO, "catalog_not_written", LB_TEXT ("error", lb_error_name (error)));
      lc_catalog_write_failed (write->catalog->catalog, write->condition);
    }
  free (write);
}

static void
send_write (LnCatalog *catalog, const LcCatalogWrite *wanted)
{
  LpPlatform *platform = catalog->context->platform;
  LpPut *puts = LB_NEW_ARRAY (LpPut, wanted->n_puts);
  Write *write = LB_NEW (Write);

  *write = (Write){ .catalog = catalog, .condition = wanted->expected_version };
  for (size_t i = 0; i < wanted->n_puts; i++)
    puts[i] = (LpPut){ .key = lb_asprintf ("%s%s", PREFIX, wanted->puts[i].key),
                       .value = wanted->puts[i].value };
  const LpCondition condition = { .key = puts[0].key, .version = wanted->expected_version };
  const LpTransaction transaction = { .token = "",
                                      .conditions = &condition,
                                      .n_conditions = 1,
                                      .puts = puts,
                                      .n_puts = wanted->n_puts,
                                      .time = WRITE_TIME };
  lb_metric_add (&writes, 1);
  platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_written, write);
  for (size_t i = 0; i < wanted->n_puts; i++)
    free ((char *)puts[i].key);
  free (puts);
}

static void
write_next (LnCatalog *catalog, LbTime now)
{
  LcCatalogWrite write;

  if (!lc_catalog_prepare_write (catalog->catalog, now, &write))
    return;
  send_write (catalog, &write);
  lc_catalog_write_clear (&write);
}

/* --- */

/* The version of an instance's row moves with each renewal; what counts is that of the first one
 * seen of its start. Where the catalog names that start already, its version stays, so that a
 * publisher which follows another one has nothing to change. */
static LcCatalogItem
make_instance (const LnCatalog *catalog, const LcFleetMember *member)
{
  LcFleetMember item = *member;
  LcFleetMember told;
  char *key = lb_asprintf (INSTANCES "%s", member->row.name);
  const char *text = lc_catalog_find_value (catalog->catalog, key);

  if (text && lc_fleet_member_from_text (text, &told)
      && strcmp (told.row.incarnation, member->row.incarnation) == 0)
    item.version = told.version;
  return (LcCatalogItem){ .key = key, .value = lc_fleet_member_to_text (&item) };
}

static void
give_fleet (LnCatalog *catalog)
{
  LcCatalogItem *items = LB_NEW_ARRAY (LcCatalogItem, catalog->n_members + 1);

  for (size_t i = 0; i < catalog->n_members; i++)
    items[i] = make_instance (catalog, &catalog->members[i]);
  lc_catalog_set_listing (catalog->catalog, INSTANCES, items, catalog->n_members, 0);
}

/* A list each fifth of the time allowed keeps within it also when the publisher ends; where the
 * fleet is small more often costs little. */
static LbTime
choose_period (const LnCatalog *catalog)
{
  LbTime period = catalog->context->settings->drain.endpoint_ms * LB_MSEC / 5;

  if (catalog->n_members < FULL_DIRECTORY || period < LC_CATALOG_PERIOD)
    return LC_CATALOG_PERIOD;
  return period < MAX_PERIOD ? period : MAX_PERIOD;
}

void
ln_catalog_set_members (LnCatalog *catalog, const LcFleetMember *members, size_t n_members)
{
  free (catalog->members);
  catalog->members = lb_memdup (members, n_members * sizeof *members);
  catalog->n_members = n_members;
  lc_catalog_set_own_period (catalog->catalog, choose_period (catalog));
  catalog->is_drawn = false;
  if (catalog->is_used && catalog->rank >= 0)
    give_fleet (catalog);
}

void
ln_catalog_invalidate_list (LnCatalog *catalog)
{
  catalog->passed_on = -1;
}

void
ln_catalog_drain (LnCatalog *catalog)
{
  catalog->draining = true;
}

/* A new candidate has not told yet what it knows of the instances. */
static void
set_rank (LnCatalog *catalog, int rank)
{
  bool is_new = rank >= 0 && catalog->rank < 0;

  catalog->rank = rank;
  lc_catalog_set_rank (catalog->catalog, rank);
  if (is_new && catalog->n_members > 0)
    give_fleet (catalog);
}

void
ln_catalog_tick (LnCatalog *catalog, size_t n_endpoints, LbTime now)
{
  catalog->is_used |= n_endpoints >= MIN_ENDPOINTS;
  if (!catalog->is_used)
    return;
  lp_follow_tick (catalog->rows, now);
  set_rank (catalog, find_rank (catalog));
  write_next (catalog, now);
}

void
ln_catalog_set_endpoint_list (
    LnCatalog *catalog, const LcRegistration *list, size_t n_list, LbTime asked_at, LbTime now)
{
  catalog->own_asked_at = asked_at;
  ln_catalog_invalidate_list (catalog);
  if (!catalog->is_used)
    return;
  LcCatalogItem *items = LB_NEW_ARRAY (LcCatalogItem, n_list + 1);
  for (size_t i = 0; i < n_list; i++)
    items[i] = (LcCatalogItem){ .key = lb_asprintf (ENDPOINTS "%s", list[i].name),
                                .value = lc_registration_to_json (&list[i]) };
  lc_catalog_set_listing (catalog->catalog, ENDPOINTS, items, n_list, store_ms (catalog));
  write_next (catalog, now);
}

void
ln_catalog_foreach_overloaded_service (const LnCatalog *catalog,
                                       void (*take) (const char *service, void *user),
                                       void *user)
{
  for (size_t i = 0; i < catalog->n_members; i++)
    if (catalog->members[i].alive && catalog->members[i].row.crowded[0])
      take (catalog->members[i].row.crowded, user);
}

typedef struct
{
  LcCatalogItem *items;
  size_t n;
} Bounds;

static void
add_bound (const char *service, const char *bound, void *user)
{
  Bounds *bounds = user;

  bounds->items = lb_realloc (bounds->items, (bounds->n + 1) * sizeof *bounds->items);
  bounds->items[bounds->n++]
      = (LcCatalogItem){ .key = lb_asprintf (BOUNDS "%s", service), .value = lb_strdup (bound) };
}

void
ln_catalog_set_subset_bounds (LnCatalog *catalog, const LcSubset *subset)
{
  Bounds bounds = { 0 };

  lc_subset_foreach_bound (subset, add_bound, &bounds);
  if (catalog->is_used && bounds.n > 0)
    lc_catalog_set_listing (catalog->catalog, BOUNDS, bounds.items, bounds.n, 0);
}

static void
take_bound (const char *service, const char *bound, int64_t version, void *user)
{
  (void)version;
  lc_subset_set_bound (user, service, bound);
}

void
ln_catalog_apply_subset_bounds (const LnCatalog *catalog, LcSubset *subset)
{
  lc_catalog_foreach (catalog->catalog, BOUNDS, take_bound, subset);
}

bool
ln_catalog_needs_endpoint_list (const LnCatalog *catalog, LbTime now)
{
  return !catalog->is_used || lc_catalog_needs_listing (catalog->catalog, now);
}

bool
ln_catalog_needs_member_list (const LnCatalog *catalog, LbTime now)
{
  return catalog->rank >= 0 || ln_catalog_needs_endpoint_list (catalog, now);
}

LbTime
ln_catalog_publish_period (const LnCatalog *catalog)
{
  return lc_catalog_publish_period (catalog->catalog);
}

bool
ln_catalog_is_publisher (const LnCatalog *catalog)
{
  return catalog->is_used && lc_catalog_is_publisher (catalog->catalog);
}

const char *
ln_catalog_publisher_name (const LnCatalog *catalog)
{
  return lc_catalog_publisher_name (catalog->catalog);
}
