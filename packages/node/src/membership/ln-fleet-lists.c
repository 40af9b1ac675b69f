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

#define TABLE "instance"
/* Guards against a store that takes so many writes a second in each part: in the unnamed one, to
 * which endpoints and operators write as well, renewals of 84 instances waited for a second, and
 * instances were missed in turn, with the batches and the lease they had. Each part is a list of
 * its own, so there are few. */
#define N_PARTS 8
#define DUTY_PART "duty"
#define MAX_ROWS_OF_PART (LN_FLEET_DIRECTORY_MAX / N_PARTS)
#define FULL_PERCENT 90 /* of the directory's places, since rows of dead instances take some */
/* Rows of instances that have been dead for so long are removed: they would fill the directory. */
#define REMOVE_AFTER (60 * LB_SEC)
#define REMOVE_SPREAD (30 * LB_SEC) /* so that not all who list remove the same rows */

/* Between two lists of all instances: at most some hundred rows a second. */
#define LIST_PERIOD (250 * LB_MSEC)
#define LIST_PERIOD_PER_INSTANCE (8 * LB_MSEC)
/* After a list that a busy store refused, and spread over the instances: a fleet that starts asks
 * more than the store takes. */
#define BUSY_PAUSE (300 * LB_MSEC)
#define BUSY_SPREAD LB_SEC
/* Between two lists of those on duty, a dozen: with a renewal each 0.3 s a dead owner is missed 1.5
 * s after its last one, and not after 2.5 s as by the lists of 295 instances. On small sites all
 * are listed more often. */
#define DUTY_LIST_PERIOD (300 * LB_MSEC)

/* The rows of some parts, listed together. */
typedef struct
{
  LnFleetLists *lists;
  const char *const *prefixes;
  size_t n_prefixes;
  int64_t limit; /* rows of each part; 0: all */
  LcFleet *fleet;
  LnRowCache *rows;
  size_t waiting; /* parts that were asked for and did not answer */
  bool begun;
  bool failed;
  LbTime asked_at; /* of the list on its way */
  LbTime next;
} Listing;

struct LnFleetLists
{
  LpPlatform *platform;
  LbName self;
  Listing all;
  Listing on_duty;
  LcFleetMember *members; /* of both, or as heard */
  size_t n_members;
  bool followed;  /* another instance lists for this one */
  bool is_unsaid; /* what was heard no longer counts, and what the next list says is not told yet */
  void (*on_change) (void *user);
  void *user;
};

static const char *const all_prefixes[N_PARTS]
    = { TABLE "/0/", TABLE "/1/", TABLE "/2/", TABLE "/3/",
        TABLE "/4/", TABLE "/5/", TABLE "/6/", TABLE "/7/" };
static const char *const duty_prefixes[] = { TABLE "/" DUTY_PART "/" };

void
ln_fleet_row_key (const LcFleetRow *row, bool on_duty, char *key)
{
  uint64_t hash = XXH3_64bits (row->name, strlen (row->name));
  LcDutyCandidate candidate = { .strength = row->strength };

  LB_COPY (candidate.name, row->name);
  if (on_duty)
    snprintf (key, LN_FLEET_KEY_SIZE, "%s%s", duty_prefixes[0], row->name);
  else
    snprintf (key, LN_FLEET_KEY_SIZE, "%s%018lld-%s", all_prefixes[hash % N_PARTS],
              (long long)lc_duty_sort_key (TABLE, &candidate), row->name);
}

static bool
read_row (const LpRow *row, void *content, LbError *error, void *user)
{
  (void)user;
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  bool ok = object && lc_fleet_row_from_json (object, content);

  json_object_put (object);
  return ok
         || lb_error_set (error, LB_ERROR_BAD_VALUE, row->key, "expected the row of an instance");
}

static const LnRowCacheClass rows_class
    = { .size = sizeof (LcFleetRow), .parse = read_row, .counter_prefix = "\"renewed_ms\":" };

static void
listing_init (Listing *listing,
              LnFleetLists *lists,
              const char *self,
              const char *const *prefixes,
              size_t n_prefixes,
              int64_t limit)
{
  listing->lists = lists;
  listing->fleet = lc_fleet_new (self);
  listing->rows = ln_row_cache_new (&rows_class, NULL);
  listing->prefixes = prefixes;
  listing->n_prefixes = n_prefixes;
  listing->limit = limit;
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
  listing_init (&lists->all, lists, self, all_prefixes, N_PARTS, MAX_ROWS_OF_PART);
  listing_init (&lists->on_duty, lists, self, duty_prefixes, 1, 0);
  return lists;
}

void
ln_fleet_lists_free (LnFleetLists *lists)
{
  lc_fleet_free (lists->all.fleet);
  lc_fleet_free (lists->on_duty.fleet);
  ln_row_cache_free (lists->all.rows);
  ln_row_cache_free (lists->on_duty.rows);
  free (lists->members);
  free (lists);
}

static LbTime
period_of (const Listing *listing)
{
  LbTime n = (LbTime)lc_fleet_count (listing->fleet);

  return listing == &listing->lists->on_duty
             ? DUTY_LIST_PERIOD
             : lb_time_later (LIST_PERIOD, n * LIST_PERIOD_PER_INSTANCE);
}

static void
add_rows (Listing *listing, const LpRow *rows, size_t n_rows, LbTime now)
{
  LbError error = { 0 };

  for (size_t i = 0; i < n_rows; i++)
    {
      const LcFleetRow *row = ln_row_cache_parse (listing->rows, &rows[i], &error);
      if (row)
        lc_fleet_add_row (listing->fleet, row, rows[i].version, now);
      else
        lb_log (LB_LOG_WARNING, "instance_row_unreadable", LB_TEXT ("key", rows[i].key));
    }
}

static void
join (LnFleetLists *lists)
{
  size_t most = lc_fleet_count (lists->all.fleet) + lc_fleet_count (lists->on_duty.fleet);

  lists->members = lb_realloc (lists->members, (most + 1) * sizeof *lists->members);
  lists->n_members = lc_fleet_merge (lists->all.fleet, lists->on_duty.fleet, lists->members);
}

static void
on_removed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)user;

  lb_log (LB_LOG_INFO, "instance_row_removed", LB_TEXT ("key", row->key),
          LB_TEXT ("outcome", lb_error_name (error)));
}

static void
remove_row (const LnFleetLists *lists, const LcFleetMember *member)
{
  char key[LN_FLEET_KEY_SIZE];
  const LpCondition condition = { .key = key, .version = member->version };
  const LpPut put = { .key = key };
  const LpTransaction transaction
      = { .token = "", .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  ln_fleet_row_key (&member->row, false, key);
  lists->platform->klass->transact (lists->platform, &transaction, LP_PRIORITY_STATUS, on_removed,
                                    NULL);
}

/* A part of `most` by this instance's name. */
static LbTime
draw_of (const LnFleetLists *lists, LbTime most)
{
  return (LbTime)(XXH3_64bits (lists->self, strlen (lists->self)) % (uint64_t)most);
}

/* Only one of each list, so that a fleet that lost its power is not read as a fleet of rows to
 * remove. */
static void
remove_dead (const Listing *listing, LbTime now)
{
  LbTime wait = REMOVE_AFTER + draw_of (listing->lists, REMOVE_SPREAD);

  for (size_t i = 0; i < lc_fleet_count (listing->fleet); i++)
    {
      const LcFleetMember *member = lc_fleet_at (listing->fleet, i);
      if (member->alive || now - member->version_seen_at < wait)
        continue;
      remove_row (listing->lists, member);
      return;
    }
}

/* Only all parts together tell who is there; when one is missing the others count with the next
 * list. */
static void
on_list (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  Listing *listing = user;
  LbTime now = lb_clock_monotonic ();
  const LpPlatform *platform = listing->lists->platform;
  const LcFleetList list = { .received_at = now,
                             .round_trip = now - listing->asked_at,
                             .store_ms = lp_platform_store_ms (platform),
                             .period = period_of (listing) };

  listing->waiting--;
  listing->failed |= error != LB_OK;
  if (error == LB_ERROR_STORE_BUSY)
    listing->next = now + BUSY_PAUSE + draw_of (listing->lists, BUSY_SPREAD);
  if (listing->failed)
    return;
  if (!listing->begun)
    {
      lc_fleet_begin_list (listing->fleet, &list);
      ln_row_cache_begin_list (listing->rows);
    }
  listing->begun = true;
  add_rows (listing, rows, n_rows, now);
  if (listing->waiting > 0)
    return;
  ln_row_cache_end_list (listing->rows);
  bool changed = lc_fleet_finish_list (listing->fleet, now);
  if (listing == &listing->lists->all)
    remove_dead (listing, now);
  if (listing->lists->followed)
    return;
  join (listing->lists);
  if (changed || listing->lists->is_unsaid)
    listing->lists->on_change (listing->lists->user);
  listing->lists->is_unsaid = false;
}

static void
tick (Listing *listing, LbTime now)
{
  LpPlatform *platform = listing->lists->platform;

  if (listing->waiting > 0 || now < listing->next)
    return;
  listing->waiting = listing->n_prefixes;
  listing->failed = false;
  listing->begun = false;
  listing->asked_at = now;
  listing->next = now + period_of (listing);
  for (size_t i = 0; i < listing->n_prefixes; i++)
    platform->klass->list (platform, listing->prefixes[i], NULL, listing->limit, on_list, listing);
}

static void
forget (Listing *listing, const char *self)
{
  lc_fleet_free (listing->fleet);
  ln_row_cache_free (listing->rows);
  listing->fleet = lc_fleet_new (self);
  listing->rows = ln_row_cache_new (&rows_class, NULL);
  listing->begun = false;
  listing->failed = listing->waiting > 0;
}

/* Guards against what was listed long ago: the time without lists looks like an outage of the
 * store, in which nobody could renew, and one that left meanwhile would count as alive. */
void
ln_fleet_lists_set_catalog_followed (LnFleetLists *lists, bool followed)
{
  lists->is_unsaid |= lists->followed && !followed;
  if (followed && !lists->followed)
    {
      forget (&lists->all, lists->self);
      forget (&lists->on_duty, lists->self);
    }
  lists->followed = followed;
}

/* A list of this instance's own that is still on its way does not count. */
void
ln_fleet_lists_set_members (LnFleetLists *lists, const LcFleetMember *members, size_t n_members)
{
  if (!lists->followed)
    return;
  lists->members = lb_realloc (lists->members, (n_members + 1) * sizeof *lists->members);
  memcpy (lists->members, members, n_members * sizeof *members);
  lists->n_members = n_members;
  lists->on_change (lists->user);
}

void
ln_fleet_lists_tick (LnFleetLists *lists, LbTime now)
{
  if (lists->followed)
    return;
  tick (&lists->all, now);
  tick (&lists->on_duty, now);
}

bool
ln_fleet_lists_has_duty_row (const LnFleetLists *lists, const char *instance)
{
  const LcFleet *fleet = lists->on_duty.fleet;

  for (size_t i = 0; i < lc_fleet_count (fleet); i++)
    if (strcmp (lc_fleet_at (fleet, i)->row.name, instance) == 0)
      return true;
  return false;
}

bool
ln_fleet_lists_has_omitted (const LnFleetLists *lists, const char *instance)
{
  if (lists->n_members * 100 < (size_t)LN_FLEET_DIRECTORY_MAX * FULL_PERCENT)
    return false;
  for (size_t i = 0; i < lists->n_members; i++)
    if (strcmp (lists->members[i].row.name, instance) == 0)
      return false;
  return true;
}

size_t
ln_fleet_lists_count (const LnFleetLists *lists)
{
  return lists->n_members;
}

const LcFleetMember *
ln_fleet_lists_at (const LnFleetLists *lists, size_t index)
{
  return &lists->members[index];
}
