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

#define CATALOG_TABLE "catalog"
/* All rows of the catalog are in one partition of the table, because each write is one transaction,
 * which also compares the version of the publisher's row. */
#define KEY_PREFIX CATALOG_TABLE "/all/"
#define PUBLISHER_DUTY CATALOG_TABLE
#define ENDPOINT_PREFIX "e:"
#define INSTANCE_PREFIX "i:"
/* Key prefix of the rows with a service's bound. Instances that list endpoints themselves list
 * those of the service up to this endpoint key. */
#define BOUND_PREFIX "b:"
/* Duration of one watch request, which also bounds how long a dead connection goes unnoticed. */
#define WATCH_TIMEOUT (700 * LB_MSEC)
#define WATCH_RETRY_DELAY (100 * LB_MSEC)
/* Timeout of a write to the catalog. The next write, with the publisher's next list, includes the
 * changes of a failed one. */
#define CATALOG_WRITE_TIMEOUT (500 * LB_MSEC)
#define MAX_PUBLISHER_CANDIDATES 3
/* The catalog is watched only from this number of endpoints on. Listing the rows of fewer endpoints
 * costs less: at 2.5 lists per second, a list of 12 endpoints takes 16 kB/s, a list of 90 endpoints
 * 114 kB/s. */
#define MIN_ENDPOINTS_TO_FOLLOW 41
/* From this number of known instances on, the catalog is written less often, since each write
 * causes hundreds of answers to the instances that watch it. */
#define LARGE_FLEET_INSTANCES (LN_FLEET_DIRECTORY_MAX * 9 / 10)
#define MAX_CATALOG_PUBLISH_PERIOD LB_SEC

struct LnCatalog
{
  LnContext *context;
  LnCatalogHandlers handlers;
  void *user;
  LcCatalog *catalog;
  LpFollow *follower;
  LnRowCache *endpoint_cache;     /* parsed rows of endpoints */
  LnRowCache *instance_cache;     /* parsed rows of instances */
  int64_t delivered_change_count; /* the catalog's change count when its endpoint list was last
                                     delivered; -1: the next list is delivered in full */
  int64_t instances_change_count; /* the catalog's change count when its rows of instances were last
                                     read */
  int64_t last_instances_version; /* newest row version when the rows of instances were last read */
  size_t n_last_instances;        /* number of instances when their rows were last read */
  bool has_had_many_endpoints;    /* at least MIN_ENDPOINTS_TO_FOLLOW were known at some time; the
                                     catalog is watched from then on */
  bool draining;
  int rank; /* position in the order in which candidates take over publishing, from 0; -1: not a
               candidate */
  LcFleetMember *members; /* all instances that this one knows */
  size_t n_members;
  int cached_rank; /* this instance's takeover rank, computed from `members` and
                      cached_rank_publisher */
  LbName cached_rank_publisher;
  bool is_rank_cached;
  LbTime own_list_requested_at; /* when this instance requested the last list that it read from the
                                   endpoints' rows */
};

static LbMetric snapshots_received
    = LB_COUNTER_INIT ("lentilspindle_catalog_beliefs_total",
                       NULL,
                       "Complete snapshots received through the catalog");
static LbMetric writes_sent = LB_COUNTER_INIT ("lentilspindle_catalog_writes_total",
                                               NULL,
                                               "Writes to the catalog by this instance");

static int64_t
get_store_time_ms (const LnCatalog *catalog)
{
  return lp_platform_get_store_clock_ms (catalog->context->platform);
}

static void
on_catalog_snapshot_begin (void *user)
{
  lc_catalog_begin_snapshot (((LnCatalog *)user)->catalog);
}

static void
log_publisher_if_changed (LnCatalog *catalog, const char *before)
{
  const char *publisher = lc_catalog_publisher_name (catalog->catalog);

  if (strcmp (before, publisher) != 0)
    lb_log (LB_LOG_INFO, "catalog_publisher", LB_TEXT ("publisher", publisher),
            LB_TEXT ("before", before));
}

/* --- watching the catalog --- */

static bool
parse_endpoint_row (const LpRow *row, void *parsed, LbError *error, void *user)
{
  (void)user;
  return lc_registration_from_json (row->value, parsed)
         || lb_error_set (error, LB_ERROR_BAD_VALUE, row->key,
                          "expected JSON with name, address, service and slots above 0");
}

static bool
parse_instance_row (const LpRow *row, void *parsed, LbError *error, void *user)
{
  (void)user;
  return lc_fleet_member_from_text (row->value, parsed)
         || lb_error_set (error, LB_ERROR_BAD_VALUE, row->key,
                          "expected JSON with name, incarnation and caller_address");
}

/* Rows of the catalog contain no write counter that the cache could skip. The prefix "\n" occurs in
 * no row, so every changed text is parsed. */
static const LnRowCacheClass endpoint_row_class
    = { .size = sizeof (LcRegistration), .parse = parse_endpoint_row, .counter_prefix = "\n" };
static const LnRowCacheClass instance_row_class
    = { .size = sizeof (LcFleetMember), .parse = parse_instance_row, .counter_prefix = "\n" };

typedef struct
{
  LnRowCache *cache;
  char *items; /* array of the n_items parsed rows */
  size_t item_size;
  size_t n_items;
  size_t capacity;
  int64_t newest_version; /* highest version of the rows read */
} RowReader;

static void
parse_and_append_catalog_row (const char *name, const char *text, int64_t version, void *user)
{
  RowReader *reader = user;
  const LpRow row = { .key = name, .value = text, .version = version };
  LbError error = { 0 };
  const void *parsed = ln_row_cache_get_content (reader->cache, &row, &error);

  if (version > reader->newest_version)
    reader->newest_version = version;
  if (!parsed)
    {
      lb_log_error (LB_LOG_WARNING, "catalog_row_unreadable", &error);
      return;
    }
  if (reader->n_items == reader->capacity)
    {
      reader->capacity = reader->capacity > 0 ? 2 * reader->capacity : MIN_ENDPOINTS_TO_FOLLOW;
      reader->items = lb_realloc (reader->items, reader->capacity * reader->item_size);
    }
  memcpy (reader->items + reader->n_items++ * reader->item_size, parsed, reader->item_size);
}

static void
read_catalog_rows_with_prefix (const LnCatalog *catalog, const char *prefix, RowReader *reader)
{
  ln_row_cache_begin_list (reader->cache);
  lc_catalog_foreach_row (catalog->catalog, prefix, parse_and_append_catalog_row, reader);
  ln_row_cache_end_list (reader->cache);
}

static void
deliver_catalog_endpoints (LnCatalog *catalog)
{
  RowReader reader = { .cache = catalog->endpoint_cache, .item_size = sizeof (LcRegistration) };
  LbTime valid_at = lc_catalog_snapshot_valid_at (catalog->catalog);
  int64_t changes = lc_catalog_change_count (catalog->catalog);

  if (valid_at <= catalog->own_list_requested_at)
    return;
  if (catalog->delivered_change_count == changes)
    {
      catalog->handlers.on_endpoints_confirmed (valid_at, catalog->user);
      return;
    }
  read_catalog_rows_with_prefix (catalog, ENDPOINT_PREFIX, &reader);
  bool is_used = catalog->handlers.on_endpoints ((const LcRegistration *)reader.items,
                                                 reader.n_items, valid_at, catalog->user);
  catalog->delivered_change_count = is_used ? changes : -1;
  free (reader.items);
}

static void
deliver_catalog_instances (LnCatalog *catalog)
{
  RowReader reader = { .cache = catalog->instance_cache, .item_size = sizeof (LcFleetMember) };
  int64_t changes = lc_catalog_change_count (catalog->catalog);

  if (catalog->instances_change_count == changes)
    return;
  catalog->instances_change_count = changes;
  read_catalog_rows_with_prefix (catalog, INSTANCE_PREFIX, &reader);
  if (reader.n_items > 0
      && (reader.newest_version != catalog->last_instances_version
          || reader.n_items != catalog->n_last_instances))
    catalog->handlers.on_members ((const LcFleetMember *)reader.items, reader.n_items,
                                  catalog->user);
  catalog->last_instances_version = reader.newest_version;
  catalog->n_last_instances = reader.n_items;
  free (reader.items);
}

static void
on_catalog_rows_changed (const LpRow *rows, size_t n_rows, void *user)
{
  LnCatalog *catalog = user;
  LbName before;

  LB_COPY (before, lc_catalog_publisher_name (catalog->catalog));
  for (size_t i = 0; i < n_rows; i++)
    if (strncmp (rows[i].key, KEY_PREFIX, strlen (KEY_PREFIX)) == 0)
      lc_catalog_apply_row (catalog->catalog, rows[i].key + strlen (KEY_PREFIX), rows[i].value,
                            rows[i].version);
  log_publisher_if_changed (catalog, before);
  if (!lc_catalog_finish_update (catalog->catalog, get_store_time_ms (catalog),
                                 lb_clock_monotonic ()))
    return;
  lb_metric_add (&snapshots_received, 1);
  deliver_catalog_endpoints (catalog);
  deliver_catalog_instances (catalog);
}

LnCatalog *
ln_catalog_new (LnContext *context, const LnCatalogHandlers *handlers, void *user)
{
  static const char *const prefixes[] = { KEY_PREFIX };
  const LpFollowSettings settings = { .table = CATALOG_TABLE,
                                      .prefixes = prefixes,
                                      .n_prefixes = 1,
                                      .watch_timeout = WATCH_TIMEOUT,
                                      .retry_delay = WATCH_RETRY_DELAY,
                                      .on_snapshot_begin = on_catalog_snapshot_begin };
  LnCatalog *catalog = LB_NEW (LnCatalog);

  catalog->context = context;
  catalog->handlers = *handlers;
  catalog->user = user;
  catalog->rank = -1;
  catalog->delivered_change_count = -1;
  catalog->catalog = lc_catalog_new (context->instance, context->incarnation,
                                     ln_context_random_seed (context), lb_clock_monotonic ());
  catalog->follower
      = lp_follow_new (context->platform, &settings, on_catalog_rows_changed, catalog);
  catalog->endpoint_cache = ln_row_cache_new (&endpoint_row_class, NULL);
  catalog->instance_cache = ln_row_cache_new (&instance_row_class, NULL);
  return catalog;
}

void
ln_catalog_free (LnCatalog *catalog)
{
  lp_follow_free (catalog->follower);
  lc_catalog_free (catalog->catalog);
  ln_row_cache_free (catalog->endpoint_cache);
  ln_row_cache_free (catalog->instance_cache);
  free (catalog->members);
  free (catalog);
}

/* --- publishing the catalog --- */

/* Collects the instances that can take over from the publisher. An instance that is draining or cut
 * off from the store can't publish. */
static size_t
collect_publisher_candidates (const LnCatalog *catalog, LcDutyCandidate *candidates)
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
compute_publisher_takeover_rank (const LnCatalog *catalog)
{
  LcDutyCandidate *candidates = LB_NEW_ARRAY (LcDutyCandidate, catalog->n_members + 1);
  size_t n = collect_publisher_candidates (catalog, candidates);
  size_t rank = lc_duty_rank (PUBLISHER_DUTY, catalog->context->instance, candidates, n);

  free (candidates);
  return rank < MAX_PUBLISHER_CANDIDATES && rank < n ? (int)rank : -1;
}

/* The takeover rank is cached because each tick needs it and computing it reads all members, which
 * may be hundreds and rarely change. */
static int
get_cached_publisher_takeover_rank (LnCatalog *catalog)
{
  const char *publisher = lc_catalog_publisher_name (catalog->catalog);

  if (!catalog->is_rank_cached || strcmp (catalog->cached_rank_publisher, publisher) != 0)
    catalog->cached_rank = compute_publisher_takeover_rank (catalog);
  LB_COPY (catalog->cached_rank_publisher, publisher);
  catalog->is_rank_cached = true;
  return catalog->cached_rank;
}

static int
get_publisher_takeover_rank (LnCatalog *catalog)
{
  LpPlatform *platform = catalog->context->platform;
  bool is_cut_off = !lp_platform_is_store_reachable (platform);

  if (catalog->draining || is_cut_off || !lp_follow_has_delivered_all_rows (catalog->follower))
    return -1;
  return lc_catalog_is_publisher (catalog->catalog) ? 0
                                                    : get_cached_publisher_takeover_rank (catalog);
}

typedef struct
{
  LnCatalog *catalog;
  int64_t expected_version; /* version of the publisher's row that the write requires */
} PendingWrite;

static void
on_catalog_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  PendingWrite *write = user;

  if (error != LB_OK)
    {
      lb_log (LB_LOG_INFO, "catalog_not_written", LB_TEXT ("error", lb_error_name (error)));
      lc_catalog_write_failed (write->catalog->catalog, write->expected_version);
    }
  free (write);
}

static void
send_catalog_write (LnCatalog *catalog, const LcCatalogWrite *next)
{
  LpPlatform *platform = catalog->context->platform;
  LpPut *puts = LB_NEW_ARRAY (LpPut, next->n_puts);
  PendingWrite *write = LB_NEW (PendingWrite);

  *write = (PendingWrite){ .catalog = catalog, .expected_version = next->expected_version };
  for (size_t i = 0; i < next->n_puts; i++)
    puts[i] = (LpPut){ .key = lb_asprintf ("%s%s", KEY_PREFIX, next->puts[i].key),
                       .value = next->puts[i].value };
  const LpCondition condition = { .key = puts[0].key, .version = next->expected_version };
  const LpTransaction transaction = { .token = "",
                                      .conditions = &condition,
                                      .n_conditions = 1,
                                      .puts = puts,
                                      .n_puts = next->n_puts,
                                      .timeout = CATALOG_WRITE_TIMEOUT };
  lb_metric_add (&writes_sent, 1);
  platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_catalog_written, write);
  for (size_t i = 0; i < next->n_puts; i++)
    free ((char *)puts[i].key);
  free (puts);
}

static void
write_pending_catalog_changes (LnCatalog *catalog, LbTime now)
{
  LcCatalogWrite write;

  if (!lc_catalog_prepare_write (catalog->catalog, now, &write))
    return;
  send_catalog_write (catalog, &write);
  lc_catalog_write_clear (&write);
}

/* --- lists to publish --- */

/* The version of an instance's row changes with each renewal, so the catalog contains the version
 * that was first seen of the instance's incarnation. A version that the catalog already contains
 * for the incarnation is kept, so that a new publisher does not have to rewrite all rows. */
static LcCatalogItem
make_catalog_item_of_instance (const LnCatalog *catalog, const LcFleetMember *member)
{
  LcFleetMember item = *member;
  LcFleetMember published;
  char *key = lb_asprintf (INSTANCE_PREFIX "%s", member->row.name);
  const char *text = lc_catalog_find_value (catalog->catalog, key);

  if (text && lc_fleet_member_from_text (text, &published)
      && strcmp (published.row.incarnation, member->row.incarnation) == 0)
    item.version = published.version;
  return (LcCatalogItem){ .key = key, .value = lc_fleet_member_to_text (&item) };
}

static void
set_list_of_instances_to_publish (LnCatalog *catalog)
{
  LcCatalogItem *items = LB_NEW_ARRAY (LcCatalogItem, catalog->n_members + 1);

  for (size_t i = 0; i < catalog->n_members; i++)
    items[i] = make_catalog_item_of_instance (catalog, &catalog->members[i]);
  lc_catalog_set_listing (catalog->catalog, INSTANCE_PREFIX, items, catalog->n_members, 0);
}

/* drain.endpoint_ms limits the time until a leaving endpoint gets no new work. With a publish
 * period of one fifth of the limit, the limit is kept even if the publisher fails. For a small
 * fleet the shorter default period costs little. */
static LbTime
choose_publish_period (const LnCatalog *catalog)
{
  LbTime period = catalog->context->settings->drain.endpoint_ms * LB_MSEC / 5;

  if (catalog->n_members < LARGE_FLEET_INSTANCES || period < LC_CATALOG_LISTING_PERIOD)
    return LC_CATALOG_LISTING_PERIOD;
  return period < MAX_CATALOG_PUBLISH_PERIOD ? period : MAX_CATALOG_PUBLISH_PERIOD;
}

void
ln_catalog_set_members (LnCatalog *catalog, const LcFleetMember *members, size_t n_members)
{
  free (catalog->members);
  catalog->members = lb_memdup (members, n_members * sizeof *members);
  catalog->n_members = n_members;
  lc_catalog_set_listing_period (catalog->catalog, choose_publish_period (catalog));
  catalog->is_rank_cached = false;
  if (catalog->has_had_many_endpoints && catalog->rank >= 0)
    set_list_of_instances_to_publish (catalog);
}

void
ln_catalog_invalidate_endpoint_list (LnCatalog *catalog)
{
  catalog->delivered_change_count = -1;
}

void
ln_catalog_stop_publishing (LnCatalog *catalog)
{
  catalog->draining = true;
}

/* An instance that becomes a candidate for publishing also sets the list of instances to publish:
 * while it was no candidate, changes of the members did not update that list. */
static void
set_publisher_takeover_rank (LnCatalog *catalog, int rank)
{
  bool is_new = rank >= 0 && catalog->rank < 0;

  catalog->rank = rank;
  lc_catalog_set_takeover_rank (catalog->catalog, rank);
  if (is_new && catalog->n_members > 0)
    set_list_of_instances_to_publish (catalog);
}

void
ln_catalog_tick (LnCatalog *catalog, size_t n_endpoints, LbTime now)
{
  catalog->has_had_many_endpoints |= n_endpoints >= MIN_ENDPOINTS_TO_FOLLOW;
  if (!catalog->has_had_many_endpoints)
    return;
  lp_follow_start_call_if_due (catalog->follower, now);
  set_publisher_takeover_rank (catalog, get_publisher_takeover_rank (catalog));
  write_pending_catalog_changes (catalog, now);
}

void
ln_catalog_set_endpoint_list (LnCatalog *catalog,
                              const LcRegistration *endpoints,
                              size_t n_endpoints,
                              LbTime requested_at,
                              LbTime now)
{
  catalog->own_list_requested_at = requested_at;
  ln_catalog_invalidate_endpoint_list (catalog);
  if (!catalog->has_had_many_endpoints)
    return;
  LcCatalogItem *items = LB_NEW_ARRAY (LcCatalogItem, n_endpoints + 1);
  for (size_t i = 0; i < n_endpoints; i++)
    items[i] = (LcCatalogItem){ .key = lb_asprintf (ENDPOINT_PREFIX "%s", endpoints[i].name),
                                .value = lc_registration_to_json (&endpoints[i]) };
  lc_catalog_set_listing (catalog->catalog, ENDPOINT_PREFIX, items, n_endpoints,
                          get_store_time_ms (catalog));
  write_pending_catalog_changes (catalog, now);
}

void
ln_catalog_foreach_overloaded_service (const LnCatalog *catalog,
                                       void (*callback) (const char *service, void *user),
                                       void *user)
{
  for (size_t i = 0; i < catalog->n_members; i++)
    if (catalog->members[i].alive && catalog->members[i].row.overloaded_service[0])
      callback (catalog->members[i].row.overloaded_service, user);
}

typedef struct
{
  LcCatalogItem *items;
  size_t n;
} BoundItems;

static void
append_catalog_item_of_bound (const char *service, const char *bound, void *user)
{
  BoundItems *bounds = user;

  bounds->items = lb_realloc (bounds->items, (bounds->n + 1) * sizeof *bounds->items);
  bounds->items[bounds->n++] = (LcCatalogItem){ .key = lb_asprintf (BOUND_PREFIX "%s", service),
                                                .value = lb_strdup (bound) };
}

void
ln_catalog_set_subset_bounds (LnCatalog *catalog, const LcSubset *subset)
{
  BoundItems bounds = { 0 };

  lc_subset_foreach_bound (subset, append_catalog_item_of_bound, &bounds);
  if (catalog->has_had_many_endpoints && bounds.n > 0)
    lc_catalog_set_listing (catalog->catalog, BOUND_PREFIX, bounds.items, bounds.n, 0);
}

static void
set_subset_bound_of_service (const char *service, const char *bound, int64_t version, void *user)
{
  (void)version;
  lc_subset_set_bound (user, service, bound);
}

void
ln_catalog_apply_subset_bounds (const LnCatalog *catalog, LcSubset *subset)
{
  lc_catalog_foreach_row (catalog->catalog, BOUND_PREFIX, set_subset_bound_of_service, subset);
}

bool
ln_catalog_needs_endpoint_list (const LnCatalog *catalog, LbTime now)
{
  return !catalog->has_had_many_endpoints || lc_catalog_needs_listing (catalog->catalog, now);
}

bool
ln_catalog_needs_member_list (const LnCatalog *catalog, LbTime now)
{
  return catalog->rank >= 0 || ln_catalog_needs_endpoint_list (catalog, now);
}

LbTime
ln_catalog_get_publish_period (const LnCatalog *catalog)
{
  return lc_catalog_publisher_listing_period (catalog->catalog);
}

bool
ln_catalog_is_publisher (const LnCatalog *catalog)
{
  return catalog->has_had_many_endpoints && lc_catalog_is_publisher (catalog->catalog);
}

const char *
ln_catalog_get_publisher_name (const LnCatalog *catalog)
{
  return lc_catalog_publisher_name (catalog->catalog);
}
