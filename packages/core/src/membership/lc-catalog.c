#include "lc-catalog.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define PUBLISHER_KEY "publisher"
/* When the publisher stops, the other instances start to list the rows themselves at times spread
 * over this interval. Like PUBLISHER_TIMEOUT, TAKEOVER_DELAY_PER_RANK and MAX_SNAPSHOT_AGE_MS, the
 * value is for LC_CATALOG_LISTING_PERIOD and is scaled to the publisher's period. */
#define FALLBACK_SPREAD (300 * LB_MSEC)
/* The publisher counts as failed when its row has not changed for 1.5 periods. Candidates take over
 * one after another, early enough that other instances need not list the rows meanwhile. */
#define PUBLISHER_TIMEOUT (600 * LB_MSEC)
#define TAKEOVER_DELAY_PER_RANK (250 * LB_MSEC)
#define MIN_LISTING_PERIOD (100 * LB_MSEC)
#define MAX_LISTING_PERIOD (10 * LB_SEC)
/* A snapshot older than this on arrival is not used: the publisher's write was delayed. */
#define MAX_SNAPSHOT_AGE_MS 1000
/* A write without an answer counts as lost after this time; reading the table then shows whether
 * the store applied it. */
#define WRITE_TIMEOUT LB_SEC
/* Changes per write, not counting the publisher's row. The store accepts 100 entries in a
 * transaction, including the condition. */
#define MAX_CHANGES_PER_WRITE 90

/* One row of the shared table. */
typedef struct
{
  char *key; /* key of the hash table */
  char *value;
  int64_t version;
  UT_hash_handle hh;
} TableRow;

/* The latest listing by this instance of one list, that is, of all items with one key prefix. */
typedef struct Listing
{
  char *prefix; /* key of the hash table */
  LcCatalogItem *items;
  size_t n_items;
  int64_t store_clock_ms;
  UT_hash_handle hh;
} Listing;

struct LcCatalog
{
  LbName instance;
  LbName incarnation;
  LbTime fallback_delay;
  int rank;
  TableRow *rows;
  /* Contents of the publisher's row, as last read. */
  int64_t publisher_version; /* 0: the publisher's row is absent */
  LbName publisher;
  LbName publisher_incarnation;
  int64_t publisher_epoch; /* incremented by each new publisher */
  LbTime publisher_period; /* time between the publisher's listings */
  LbTime listing_period;   /* time between this instance's listings while it publishes */
  int64_t listed_ms;       /* store's clock at the listing that the publisher wrote the rows from */
  bool is_complete;        /* the publisher has written every change of its listing */
  bool publisher_row_changed;  /* the publisher's row changed since the last finished update */
  bool needs_sort;             /* rows were added since the last sort */
  int64_t change_count;        /* number of row changes applied so far */
  LbTime publisher_changed_at; /* when the publisher's row last changed; initially the time of
                                  lc_catalog_new */
  /* Times of the snapshot, which is the rows as of the last complete listing. */
  LbTime snapshot_valid_at;
  LbTime snapshot_received_at; /* 0: there is no snapshot yet */
  /* State that is used only while this instance publishes. */
  Listing *listings;             /* hash table with one listing for each list */
  bool all_changes_written;      /* each change that the listings show is in a prepared write */
  int64_t last_expected_version; /* row version that the last write expected; -1: none written */
  LbTime last_write_at;
};

LcCatalog *
lc_catalog_new (const char *instance, const char *incarnation, uint64_t random_number, LbTime now)
{
  LcCatalog *catalog = LB_NEW (LcCatalog);

  LB_COPY (catalog->instance, instance);
  LB_COPY (catalog->incarnation, incarnation);
  catalog->fallback_delay = (LbTime)(random_number % (uint64_t)FALLBACK_SPREAD);
  catalog->rank = -1;
  catalog->publisher_period = LC_CATALOG_LISTING_PERIOD;
  catalog->listing_period = LC_CATALOG_LISTING_PERIOD;
  catalog->publisher_changed_at = now;
  catalog->all_changes_written = true;
  catalog->last_expected_version = -1;
  return catalog;
}

static void
remove_row (LcCatalog *catalog, TableRow *row)
{
  HASH_DEL (catalog->rows, row);
  free (row->key);
  free (row->value);
  free (row);
}

static void
remove_all_rows (LcCatalog *catalog)
{
  TableRow *row, *next;

  HASH_ITER (hh, catalog->rows, row, next)
  {
    remove_row (catalog, row);
  }
}

static void
free_items (LcCatalogItem *items, size_t n_items)
{
  for (size_t i = 0; i < n_items; i++)
    {
      free (items[i].key);
      free (items[i].value);
    }
  free (items);
}

void
lc_catalog_free (LcCatalog *catalog)
{
  Listing *listing, *next;

  if (!catalog)
    return;
  remove_all_rows (catalog);
  HASH_ITER (hh, catalog->listings, listing, next)
  {
    HASH_DEL (catalog->listings, listing);
    free_items (listing->items, listing->n_items);
    free (listing->prefix);
    free (listing);
  }
  free (catalog);
}

const char *
lc_catalog_publisher_key (void)
{
  return PUBLISHER_KEY;
}

/* --- copying the shared table --- */

void
lc_catalog_begin_snapshot (LcCatalog *catalog)
{
  remove_all_rows (catalog);
  catalog->change_count++;
  catalog->publisher_version = 0;
  catalog->is_complete = false;
}

static TableRow *
find_row (const LcCatalog *catalog, const char *key)
{
  TableRow *row = NULL;

  HASH_FIND_STR (catalog->rows, key, row);
  return row;
}

static void
apply_row_change (LcCatalog *catalog, const char *key, const char *value, int64_t version)
{
  TableRow *row = find_row (catalog, key);

  catalog->change_count++;
  if (!value)
    {
      if (row)
        remove_row (catalog, row);
      return;
    }
  if (!row)
    {
      row = LB_NEW (TableRow);
      row->key = lb_strdup (key);
      HASH_ADD_KEYPTR (hh, catalog->rows, row->key, strlen (row->key), row);
      catalog->needs_sort = true;
    }
  free (row->value);
  row->value = lb_strdup (value);
  row->version = version;
}

static LbTime
parse_publisher_period (struct json_object *object)
{
  LbTime period = lb_json_int (object, "period_ms", LC_CATALOG_LISTING_PERIOD / LB_MSEC) * LB_MSEC;

  return period < MIN_LISTING_PERIOD || period > MAX_LISTING_PERIOD ? LC_CATALOG_LISTING_PERIOD
                                                                    : period;
}

/* Scales a time that is given for LC_CATALOG_LISTING_PERIOD to the publisher's period. */
static LbTime
scale_to_publisher_period (const LcCatalog *catalog, LbTime time)
{
  return time * catalog->publisher_period / LC_CATALOG_LISTING_PERIOD;
}

/* A publisher's row that can't be parsed counts as naming no publisher. The row then no longer
 * changes, so another instance takes over as publisher and replaces the row. */
static void
apply_publisher_row (LcCatalog *catalog, const char *value, int64_t version)
{
  struct json_object *object = value ? json_tokener_parse (value) : NULL;

  catalog->publisher_version = value ? version : 0;
  LB_COPY (catalog->publisher, lb_json_text (object, "publisher", ""));
  LB_COPY (catalog->publisher_incarnation, lb_json_text (object, "incarnation", ""));
  catalog->publisher_epoch = lb_json_int (object, "epoch", 0);
  catalog->publisher_period = parse_publisher_period (object);
  catalog->listed_ms = lb_json_int (object, "listed_ms", 0);
  catalog->is_complete = lb_json_bool (object, "whole", false);
  catalog->publisher_row_changed = true;
  json_object_put (object);
}

void
lc_catalog_apply_row (LcCatalog *catalog, const char *key, const char *value, int64_t version)
{
  if (strcmp (key, PUBLISHER_KEY) != 0)
    apply_row_change (catalog, key, value, version);
  else if (version > catalog->publisher_version)
    apply_publisher_row (catalog, value, version);
}

static int
compare_row_keys (const TableRow *a, const TableRow *b)
{
  return strcmp (a->key, b->key);
}

static void
sort_rows (LcCatalog *catalog)
{
  if (catalog->needs_sort)
    HASH_SRT (hh, catalog->rows, compare_row_keys);
  catalog->needs_sort = false;
}

bool
lc_catalog_finish_update (LcCatalog *catalog, int64_t store_clock_ms, LbTime now)
{
  int64_t age_ms = store_clock_ms - catalog->listed_ms;

  if (!catalog->publisher_row_changed)
    return false;
  catalog->publisher_row_changed = false;
  catalog->publisher_changed_at = now;
  if (!catalog->is_complete || age_ms < 0
      || age_ms * LB_MSEC > scale_to_publisher_period (catalog, MAX_SNAPSHOT_AGE_MS * LB_MSEC))
    return false;
  sort_rows (catalog);
  catalog->snapshot_received_at = now;
  catalog->snapshot_valid_at = now - age_ms * LB_MSEC;
  return true;
}

bool
lc_catalog_is_snapshot_fresh (const LcCatalog *catalog, LbTime now)
{
  return catalog->snapshot_received_at > 0
         && now - catalog->snapshot_received_at
                < scale_to_publisher_period (catalog,
                                             LC_CATALOG_SNAPSHOT_TIMEOUT + catalog->fallback_delay);
}

LbTime
lc_catalog_snapshot_valid_at (const LcCatalog *catalog)
{
  return catalog->snapshot_valid_at;
}

int64_t
lc_catalog_change_count (const LcCatalog *catalog)
{
  return catalog->change_count;
}

const char *
lc_catalog_find_value (const LcCatalog *catalog, const char *key)
{
  const TableRow *row = find_row (catalog, key);

  return row ? row->value : NULL;
}

void
lc_catalog_foreach_row (
    const LcCatalog *catalog,
    const char *prefix,
    void (*visit) (const char *name, const char *value, int64_t version, void *user),
    void *user)
{
  size_t length = strlen (prefix);

  for (const TableRow *row = catalog->rows; row; row = row->hh.next)
    if (strncmp (row->key, prefix, length) == 0)
      visit (row->key + length, row->value, row->version, user);
}

/* --- writing listings to the shared table --- */

void
lc_catalog_set_listing_period (LcCatalog *catalog, LbTime period)
{
  catalog->listing_period = period;
}

LbTime
lc_catalog_publisher_listing_period (const LcCatalog *catalog)
{
  return catalog->publisher_period;
}

void
lc_catalog_set_takeover_rank (LcCatalog *catalog, int rank)
{
  catalog->rank = rank;
}

bool
lc_catalog_is_publisher (const LcCatalog *catalog)
{
  return catalog->publisher_version > 0 && strcmp (catalog->publisher, catalog->instance) == 0
         && strcmp (catalog->publisher_incarnation, catalog->incarnation) == 0;
}

const char *
lc_catalog_publisher_name (const LcCatalog *catalog)
{
  return catalog->publisher;
}

/* Whether the publisher's row has been absent or unchanged for so long that this instance may take
 * over. */
static bool
can_take_over_publishing (const LcCatalog *catalog, LbTime now)
{
  return catalog->rank >= 0
         && now - catalog->publisher_changed_at >= scale_to_publisher_period (
                catalog, PUBLISHER_TIMEOUT + (LbTime)catalog->rank * TAKEOVER_DELAY_PER_RANK);
}

bool
lc_catalog_needs_listing (const LcCatalog *catalog, LbTime now)
{
  bool publishes = catalog->rank >= 0 && lc_catalog_is_publisher (catalog);

  return publishes || can_take_over_publishing (catalog, now)
         || !lc_catalog_is_snapshot_fresh (catalog, now);
}

void
lc_catalog_set_listing (LcCatalog *catalog,
                        const char *prefix,
                        LcCatalogItem *items,
                        size_t n_items,
                        int64_t store_clock_ms)
{
  Listing *listing = NULL;

  HASH_FIND_STR (catalog->listings, prefix, listing);
  if (!listing)
    {
      listing = LB_NEW (Listing);
      listing->prefix = lb_strdup (prefix);
      HASH_ADD_KEYPTR (hh, catalog->listings, listing->prefix, strlen (listing->prefix), listing);
    }
  free_items (listing->items, listing->n_items);
  listing->items = items;
  listing->n_items = n_items;
  listing->store_clock_ms = store_clock_ms;
  catalog->all_changes_written = false;
}

/* Returns the store's clock at the oldest listing of known age; 0 if there is none. */
static int64_t
find_oldest_listing_ms (const LcCatalog *catalog)
{
  int64_t oldest = 0;

  for (const Listing *listing = catalog->listings; listing; listing = listing->hh.next)
    if (listing->store_clock_ms > 0 && (oldest == 0 || listing->store_clock_ms < oldest))
      oldest = listing->store_clock_ms;
  return oldest;
}

/* Whether the age of at least one listing is known; before that, nothing is published. */
static bool
has_listing_of_known_age (const LcCatalog *catalog)
{
  return find_oldest_listing_ms (catalog) > 0;
}

static void
append_put_to_write (LcCatalogWrite *write, LcCatalogPut put)
{
  write->puts = lb_realloc (write->puts, (write->n_puts + 1) * sizeof *write->puts);
  write->puts[write->n_puts++] = put;
}

void
lc_catalog_write_clear (LcCatalogWrite *write)
{
  for (size_t i = 0; i < write->n_puts; i++)
    {
      free (write->puts[i].key);
      free (write->puts[i].value);
    }
  free (write->puts);
  memset (write, 0, sizeof *write);
}

static char *
format_publisher_row (const LcCatalog *catalog, bool is_complete)
{
  struct json_object *object = json_object_new_object ();
  bool is_takeover = !lc_catalog_is_publisher (catalog);

  json_object_object_add (object, "publisher", json_object_new_string (catalog->instance));
  json_object_object_add (object, "incarnation", json_object_new_string (catalog->incarnation));
  json_object_object_add (object, "epoch",
                          json_object_new_int64 (catalog->publisher_epoch + is_takeover));
  json_object_object_add (object, "listed_ms",
                          json_object_new_int64 (find_oldest_listing_ms (catalog)));
  json_object_object_add (object, "period_ms",
                          json_object_new_int64 (catalog->listing_period / LB_MSEC));
  json_object_object_add (object, "whole", json_object_new_boolean (is_complete));
  return lb_json_serialize_and_release (object, JSON_C_TO_STRING_PLAIN);
}

/* Adds the items that are new or differ from the table; returns false when not all fit into the
 * write. */
static bool
add_changed_items_to_write (const LcCatalog *catalog, const Listing *listing, LcCatalogWrite *write)
{
  for (size_t i = 0; i < listing->n_items; i++)
    {
      const LcCatalogItem *item = &listing->items[i];
      const TableRow *row = find_row (catalog, item->key);
      if (row && strcmp (row->value, item->value) == 0)
        continue;
      if (write->n_puts > MAX_CHANGES_PER_WRITE)
        return false;
      append_put_to_write (write, (LcCatalogPut){ .key = lb_strdup (item->key),
                                                  .value = lb_strdup (item->value) });
    }
  return true;
}

typedef struct
{
  const char *key;
  UT_hash_handle hh;
} ListedKey;

/* Adds deletions of the rows that are no longer listed; returns false when not all fit into the
 * write. */
static bool
add_row_deletions_to_write (const LcCatalog *catalog, const Listing *listing, LcCatalogWrite *write)
{
  ListedKey *keys = LB_NEW_ARRAY (ListedKey, listing->n_items + 1);
  ListedKey *listed_keys = NULL;
  ListedKey *key = NULL;
  bool fits = true;

  for (size_t i = 0; i < listing->n_items; i++)
    {
      keys[i].key = listing->items[i].key;
      HASH_ADD_KEYPTR (hh, listed_keys, keys[i].key, strlen (keys[i].key), &keys[i]);
    }
  for (const TableRow *row = catalog->rows; row && fits; row = row->hh.next)
    {
      if (strncmp (row->key, listing->prefix, strlen (listing->prefix)) != 0)
        continue;
      HASH_FIND_STR (listed_keys, row->key, key);
      fits = key || write->n_puts <= MAX_CHANGES_PER_WRITE;
      if (!key && fits)
        append_put_to_write (write, (LcCatalogPut){ .key = lb_strdup (row->key), .value = NULL });
    }
  HASH_CLEAR (hh, listed_keys);
  free (keys);
  return fits;
}

static bool
add_all_changes_to_write (const LcCatalog *catalog, LcCatalogWrite *write)
{
  for (const Listing *listing = catalog->listings; listing; listing = listing->hh.next)
    if (!add_changed_items_to_write (catalog, listing, write)
        || !add_row_deletions_to_write (catalog, listing, write))
      return false;
  return true;
}

/* A write is based on the rows as read from the table, so the previous write must be visible in the
 * table or have timed out. The answer to a visible write is not awaited: a publisher that waited
 * for a lost answer was silent for a second, and all other instances listed the endpoints. */
static bool
can_write_changes (const LcCatalog *catalog, LbTime now)
{
  bool is_last_write_visible = catalog->publisher_version != catalog->last_expected_version;

  if (catalog->all_changes_written || catalog->rank < 0 || !has_listing_of_known_age (catalog))
    return false;
  if (!is_last_write_visible && now - catalog->last_write_at < WRITE_TIMEOUT)
    return false;
  return lc_catalog_is_publisher (catalog) || can_take_over_publishing (catalog, now);
}

bool
lc_catalog_prepare_write (LcCatalog *catalog, LbTime now, LcCatalogWrite *write)
{
  memset (write, 0, sizeof *write);
  if (!can_write_changes (catalog, now))
    return false;
  append_put_to_write (write, (LcCatalogPut){ .key = lb_strdup (PUBLISHER_KEY), .value = NULL });
  bool is_complete = add_all_changes_to_write (catalog, write);
  write->puts[0].value = format_publisher_row (catalog, is_complete);
  write->expected_version = catalog->publisher_version;
  catalog->last_expected_version = catalog->publisher_version;
  catalog->last_write_at = now;
  catalog->all_changes_written = is_complete;
  return true;
}

/* Makes the next write include the changes of the failed one, unless another instance publishes by
 * then. */
void
lc_catalog_write_failed (LcCatalog *catalog, int64_t expected_version)
{
  if (expected_version == catalog->last_expected_version)
    catalog->all_changes_written = false;
}
