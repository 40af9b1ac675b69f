#include "ln-fleet-lists.h"

#include "ln-row-cache.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lc-duty.h"
#include "lp-platform.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define INSTANCE_TABLE "instance"
/* Number of partitions over which the rows of instances are spread, since the store limits the
 * write rate per partition. In the unnamed partition, to which endpoints and operators also write,
 * renewals of 84 instances were delayed by a second: live instances were considered dead and lost
 * their batches and lease. Each partition costs one list call, so there are few. */
#define N_PARTITIONS 8
#define DUTY_PARTITION "duty"
#define MAX_LISTED_ROWS_PER_PARTITION (LN_FLEET_DIRECTORY_MAX / N_PARTITIONS)
/* The directory (the list of at most LN_FLEET_DIRECTORY_MAX instances) counts as full from this
 * percentage of the maximum on, since rows of dead instances occupy the rest. */
#define FULL_DIRECTORY_PERCENT 90
/* The row of an instance is removed after the instance has been dead for this time; otherwise rows
 * of dead instances would fill the directory. */
#define DEAD_ROW_REMOVAL_DELAY (60 * LB_SEC)
/* Upper limit of the time that each instance adds to DEAD_ROW_REMOVAL_DELAY, derived from its name,
 * so that not all instances remove the same rows. */
#define DEAD_ROW_REMOVAL_SPREAD (30 * LB_SEC)

/* Time between two lists of the rows in the directory. It grows with the number of instances, which
 * limits the reading to a few hundred rows per second. */
#define MIN_LIST_PERIOD (250 * LB_MSEC)
#define LIST_PERIOD_PER_INSTANCE (8 * LB_MSEC)
/* Delay before a list that the busy store refused is retried, and the maximum time that is added to
 * the delay so that it differs between instances. The store is busy when a starting fleet sends
 * more requests than it accepts. */
#define BUSY_STORE_RETRY_DELAY (300 * LB_MSEC)
#define BUSY_STORE_RETRY_SPREAD LB_SEC
/* Time between two lists of the instances on duty, which are about a dozen. With a renewal every
 * 0.3 s, the death of an instance that runs batches is detected 1.5 s after its last renewal. From
 * the directory of 295 instances it would be detected after 2.5 s, on small sites sooner. */
#define DUTY_LIST_PERIOD (300 * LB_MSEC)

/* The directory or the list of instances on duty, read from one or more partitions of the table. */
typedef struct
{
  LnFleetLists *lists;
  const char *const *prefixes; /* key prefix of each partition */
  size_t n_prefixes;
  int64_t row_limit; /* maximum number of rows to list per partition; 0: no limit */
  LcFleet *fleet;
  LnRowCache *row_cache;
  size_t n_pending;    /* number of partitions of the list in progress without an answer */
  bool has_begun;      /* a partition of the list in progress has been read */
  bool has_failed;     /* a partition could not be read, so the list in progress is discarded */
  LbTime requested_at; /* when the list in progress was requested */
  LbTime next_list_at;
} Listing;

struct LnFleetLists
{
  LpPlatform *platform;
  LbName self; /* name of this instance */
  Listing directory;
  Listing on_duty;
  LcFleetMember *members; /* merged from the directory and the list of instances on duty, or set
                             from the catalog */
  size_t n_members;
  bool is_followed; /* the members come from the catalog, and no rows are listed */
  /* on_change is called after the next list even if the list is unchanged, since the catalog, from
   * which the members came until now, is no longer watched. */
  bool must_report;
  void (*on_change) (void *user);
  void *user;
};

static const char *const directory_prefixes[N_PARTITIONS]
    = { INSTANCE_TABLE "/0/", INSTANCE_TABLE "/1/", INSTANCE_TABLE "/2/", INSTANCE_TABLE "/3/",
        INSTANCE_TABLE "/4/", INSTANCE_TABLE "/5/", INSTANCE_TABLE "/6/", INSTANCE_TABLE "/7/" };
static const char *const duty_prefixes[] = { INSTANCE_TABLE "/" DUTY_PARTITION "/" };

void
ln_fleet_row_format_key (const LcFleetRow *row, bool on_duty, char *key)
{
  uint64_t hash = XXH3_64bits (row->name, strlen (row->name));
  LcDutyCandidate candidate = { .strength = row->strength };

  LB_COPY (candidate.name, row->name);
  if (on_duty)
    snprintf (key, LN_FLEET_KEY_SIZE, "%s%s", duty_prefixes[0], row->name);
  else
    snprintf (key, LN_FLEET_KEY_SIZE, "%s%018lld-%s", directory_prefixes[hash % N_PARTITIONS],
              (long long)lc_duty_sort_key (INSTANCE_TABLE, &candidate), row->name);
}

static bool
parse_instance_row (const LpRow *row, void *parsed, LbError *error, void *user)
{
  (void)user;
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  bool ok = object && lc_fleet_row_from_json (object, parsed);

  json_object_put (object);
  return ok
         || lb_error_set (error, LB_ERROR_BAD_VALUE, row->key,
                          "expected JSON with name, incarnation and caller_address");
}

static const LnRowCacheClass row_class = { .size = sizeof (LcFleetRow),
                                           .parse = parse_instance_row,
                                           .counter_prefix = "\"renewed_ms\":" };

static void
init_instance_listing (Listing *listing,
                       LnFleetLists *lists,
                       const char *self,
                       const char *const *prefixes,
                       size_t n_prefixes,
                       int64_t row_limit)
{
  listing->lists = lists;
  listing->fleet = lc_fleet_new (self);
  listing->row_cache = ln_row_cache_new (&row_class, NULL);
  listing->prefixes = prefixes;
  listing->n_prefixes = n_prefixes;
  listing->row_limit = row_limit;
}

LnFleetLists *
ln_fleet_lists_new (LpPlatform *platform,
                    const char *self,
                    void (*on_change) (void *user),
                    void *user)
{
  LnFleetLists *lists = LB_NEW (LnFleetLists);

  lists->platform = platform;
  LB_COPY (lists->self, self);
  lists->on_change = on_change;
  lists->user = user;
  init_instance_listing (&lists->directory, lists, self, directory_prefixes, N_PARTITIONS,
                         MAX_LISTED_ROWS_PER_PARTITION);
  init_instance_listing (&lists->on_duty, lists, self, duty_prefixes, 1, 0);
  return lists;
}

void
ln_fleet_lists_free (LnFleetLists *lists)
{
  lc_fleet_free (lists->directory.fleet);
  lc_fleet_free (lists->on_duty.fleet);
  ln_row_cache_free (lists->directory.row_cache);
  ln_row_cache_free (lists->on_duty.row_cache);
  free (lists->members);
  free (lists);
}

static LbTime
get_instance_list_period (const Listing *listing)
{
  LbTime n = (LbTime)lc_fleet_count_members (listing->fleet);

  return listing == &listing->lists->on_duty
             ? DUTY_LIST_PERIOD
             : lb_time_later (MIN_LIST_PERIOD, n * LIST_PERIOD_PER_INSTANCE);
}

static void
add_rows_of_listed_partition (Listing *listing, const LpRow *rows, size_t n_rows, LbTime now)
{
  LbError error = { 0 };

  for (size_t i = 0; i < n_rows; i++)
    {
      const LcFleetRow *row = ln_row_cache_get_content (listing->row_cache, &rows[i], &error);
      if (row)
        lc_fleet_add_row (listing->fleet, row, rows[i].version, now);
      else
        lb_log (LB_LOG_WARNING, "instance_row_unreadable", LB_TEXT ("key", rows[i].key));
    }
}

static void
merge_members_of_both_lists (LnFleetLists *lists)
{
  size_t max = lc_fleet_count_members (lists->directory.fleet)
               + lc_fleet_count_members (lists->on_duty.fleet);

  lists->members = lb_realloc (lists->members, (max + 1) * sizeof *lists->members);
  lists->n_members
      = lc_fleet_merge_members (lists->directory.fleet, lists->on_duty.fleet, lists->members);
}

static void
on_directory_row_removed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)user;

  lb_log (LB_LOG_INFO, "instance_row_removed", LB_TEXT ("key", row->key),
          LB_TEXT ("outcome", lb_error_name (error)));
}

static void
remove_directory_row_of_member (const LnFleetLists *lists, const LcFleetMember *member)
{
  char key[LN_FLEET_KEY_SIZE];
  const LpCondition condition = { .key = key, .version = member->version };
  const LpPut put = { .key = key };
  const LpTransaction transaction
      = { .token = "", .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  ln_fleet_row_format_key (&member->row, false, key);
  lists->platform->klass->transact (lists->platform, &transaction, LP_PRIORITY_STATUS,
                                    on_directory_row_removed, NULL);
}

/* Delay below `max`, derived from this instance's name so that it differs between instances. */
static LbTime
compute_delay_from_instance_name (const LnFleetLists *lists, LbTime max)
{
  return (LbTime)(XXH3_64bits (lists->self, strlen (lists->self)) % (uint64_t)max);
}

/* Removes at most one row per list, so that the rows of a fleet that lost power are not all removed
 * at once. */
static void
remove_row_of_one_dead_instance (const Listing *listing, LbTime now)
{
  LbTime wait = DEAD_ROW_REMOVAL_DELAY
                + compute_delay_from_instance_name (listing->lists, DEAD_ROW_REMOVAL_SPREAD);

  for (size_t i = 0; i < lc_fleet_count_members (listing->fleet); i++)
    {
      const LcFleetMember *member = lc_fleet_member_at (listing->fleet, i);
      if (member->alive || now - member->version_seen_at < wait)
        continue;
      remove_directory_row_of_member (listing->lists, member);
      return;
    }
}

/* Handles the answer for one partition of a list of instances. The list is used only when all its
 * partitions have been read; if one could not be read, the whole list is requested again. */
static void
on_instance_partition_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  Listing *listing = user;
  LbTime now = lb_clock_monotonic ();
  const LpPlatform *platform = listing->lists->platform;
  const LcFleetList list = { .received_at = now,
                             .round_trip = now - listing->requested_at,
                             .store_ms = lp_platform_get_store_clock_ms (platform),
                             .period = get_instance_list_period (listing) };

  listing->n_pending--;
  listing->has_failed |= error != LB_OK;
  if (error == LB_ERROR_STORE_BUSY)
    listing->next_list_at
        = now + BUSY_STORE_RETRY_DELAY
          + compute_delay_from_instance_name (listing->lists, BUSY_STORE_RETRY_SPREAD);
  if (listing->has_failed)
    return;
  if (!listing->has_begun)
    {
      lc_fleet_begin_list (listing->fleet, &list);
      ln_row_cache_begin_list (listing->row_cache);
    }
  listing->has_begun = true;
  add_rows_of_listed_partition (listing, rows, n_rows, now);
  if (listing->n_pending > 0)
    return;
  ln_row_cache_end_list (listing->row_cache);
  bool changed = lc_fleet_finish_list (listing->fleet, now);
  if (listing == &listing->lists->directory)
    remove_row_of_one_dead_instance (listing, now);
  /* Ignores a list that was requested before this instance began to take the members from the
   * catalog, the list of instances that another instance publishes. */
  if (listing->lists->is_followed)
    return;
  merge_members_of_both_lists (listing->lists);
  if (changed || listing->lists->must_report)
    listing->lists->on_change (listing->lists->user);
  listing->lists->must_report = false;
}

static void
request_instance_list_if_due (Listing *listing, LbTime now)
{
  LpPlatform *platform = listing->lists->platform;

  if (listing->n_pending > 0 || now < listing->next_list_at)
    return;
  listing->n_pending = listing->n_prefixes;
  listing->has_failed = false;
  listing->has_begun = false;
  listing->requested_at = now;
  listing->next_list_at = now + get_instance_list_period (listing);
  for (size_t i = 0; i < listing->n_prefixes; i++)
    platform->klass->list (platform, listing->prefixes[i], NULL, listing->row_limit,
                           on_instance_partition_listed, listing);
}

static void
clear_listed_rows (Listing *listing, const char *self)
{
  lc_fleet_free (listing->fleet);
  ln_row_cache_free (listing->row_cache);
  listing->fleet = lc_fleet_new (self);
  listing->row_cache = ln_row_cache_new (&row_class, NULL);
  listing->has_begun = false;
  listing->has_failed = listing->n_pending > 0;
}

/* Drops the old lists when this instance begins to follow the catalog. Otherwise the time without
 * lists would look like an outage of the store in which no instance could renew its row, and an
 * instance that stopped during that time would count as alive. */
void
ln_fleet_lists_set_catalog_followed (LnFleetLists *lists, bool is_followed)
{
  lists->must_report |= lists->is_followed && !is_followed;
  if (is_followed && !lists->is_followed)
    {
      clear_listed_rows (&lists->directory, lists->self);
      clear_listed_rows (&lists->on_duty, lists->self);
    }
  lists->is_followed = is_followed;
}

/* Ignores members from the catalog if this instance no longer follows it. */
void
ln_fleet_lists_set_members (LnFleetLists *lists, const LcFleetMember *members, size_t n_members)
{
  if (!lists->is_followed)
    return;
  lists->members = lb_realloc (lists->members, (n_members + 1) * sizeof *lists->members);
  memcpy (lists->members, members, n_members * sizeof *members);
  lists->n_members = n_members;
  lists->on_change (lists->user);
}

void
ln_fleet_lists_tick (LnFleetLists *lists, LbTime now)
{
  if (lists->is_followed)
    return;
  request_instance_list_if_due (&lists->directory, now);
  request_instance_list_if_due (&lists->on_duty, now);
}

bool
ln_fleet_lists_has_duty_row (const LnFleetLists *lists, const char *instance)
{
  const LcFleet *fleet = lists->on_duty.fleet;

  for (size_t i = 0; i < lc_fleet_count_members (fleet); i++)
    if (strcmp (lc_fleet_member_at (fleet, i)->row.name, instance) == 0)
      return true;
  return false;
}

bool
ln_fleet_lists_omits_instance (const LnFleetLists *lists, const char *instance)
{
  if (lists->n_members * 100 < (size_t)LN_FLEET_DIRECTORY_MAX * FULL_DIRECTORY_PERCENT)
    return false;
  for (size_t i = 0; i < lists->n_members; i++)
    if (strcmp (lists->members[i].row.name, instance) == 0)
      return false;
  return true;
}

size_t
ln_fleet_lists_count_members (const LnFleetLists *lists)
{
  return lists->n_members;
}

const LcFleetMember *
ln_fleet_lists_get_member (const LnFleetLists *lists, size_t index)
{
  return &lists->members[index];
}
