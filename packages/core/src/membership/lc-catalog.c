#include "lc-catalog.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define PUBLISHER_KEY "publisher"
/* Spread over which instances that hear nothing begin to list for themselves, for a publisher that
 * lists each LC_CATALOG_PERIOD. */
#define SPREAD (300 * LB_MSEC)
/* A publisher counts as dead when its row stood still for so long, twice its period and a half, and
 * the next one in the order follows so much later: nobody has to list for himself meanwhile. */
#define MISSED_AFTER (600 * LB_MSEC)
#define RANK_DELAY (250 * LB_MSEC)
#define MIN_PERIOD (100 * LB_MSEC)
#define MAX_PERIOD (10 * LB_SEC)
/* A belief that was already so old when it was heard does not count: its write came late. */
#define MAX_AGE_MS 1000
/* Without an answer for so long a write counts as lost; the table tells what became of it. */
#define WRITE_TIME LB_SEC
/* Of a write, beside the publisher's row: the store takes 100 entries in a transaction, one of
 * which is the condition. */
#define MAX_CHANGES 90

/* A row of the table. */
typedef struct
{
  char *key; /* of the hash */
  char *text;
  int64_t version;
  UT_hash_handle hh;
} Entry;

/* What this instance read itself, of one list. */
typedef struct List
{
  char *prefix; /* of the hash */
  LcCatalogItem *items;
  size_t n_items;
  int64_t store_ms;
  UT_hash_handle hh;
} List;

struct LcCatalog
{
  LbName instance;
  LbName incarnation;
  LbTime spread;
  int rank;
  Entry *entries;
  /* the publisher's row, as followed */
  int64_t version; /* 0: there is none */
  LbName publisher;
  LbName publisher_incarnation;
  int64_t epoch;     /* one more with each publisher */
  LbTime period;     /* between its lists */
  LbTime own_period; /* of this instance, when it publishes */
  int64_t listed_ms; /* the store's clock at the list that the rows are those of */
  bool whole;        /* no change of that list is left to be written */
  bool news;         /* it has changed since the last belief */
  bool has_new_keys; /* since the entries were last put in order */
  int64_t changes;   /* counts those of the entries */
  LbTime moved_at;   /* when it was last seen to change, or following began */
  /* the belief: the rows, once they were whole */
  LbTime asked_at;
  LbTime heard_at; /* 0: there is none */
  /* publishing */
  List *own;                  /* what this instance read last */
  bool own_is_written;        /* all of it */
  int64_t written_at_version; /* the condition of the last write */
  LbTime writing_since;
};

LcCatalog *
lc_catalog_new (const char *instance, const char *incarnation, uint64_t draw, LbTime now)
{
  LcCatalog *catalog = LB_NEW (LcCatalog);

  LB_COPY (catalog->instance, instance);
  LB_COPY (catalog->incarnation, incarnation);
  catalog->spread = (LbTime)(draw % (uint64_t)SPREAD);
  catalog->rank = -1;
  catalog->period = LC_CATALOG_PERIOD;
  catalog->own_period = LC_CATALOG_PERIOD;
  catalog->moved_at = now;
  catalog->own_is_written = true;
  catalog->written_at_version = -1;
  return catalog;
}

static void
entry_free (LcCatalog *catalog, Entry *entry)
{
  HASH_DEL (catalog->entries, entry);
  free (entry->key);
  free (entry->text);
  free (entry);
}

static void
forget_entries (LcCatalog *catalog)
{
  Entry *entry, *next;

  HASH_ITER (hh, catalog->entries, entry, next)
  {
    entry_free (catalog, entry);
  }
}

static void
items_free (LcCatalogItem *items, size_t n_items)
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
  List *list, *next;

  if (!catalog)
    return;
  forget_entries (catalog);
  HASH_ITER (hh, catalog->own, list, next)
  {
    HASH_DEL (catalog->own, list);
    items_free (list->items, list->n_items);
    free (list->prefix);
    free (list);
  }
  free (catalog);
}

const char *
lc_catalog_publisher_key (void)
{
  return PUBLISHER_KEY;
}

/* --- following --- */

void
lc_catalog_begin_snapshot (LcCatalog *catalog)
{
  forget_entries (catalog);
  catalog->changes++;
  catalog->version = 0;
  catalog->whole = false;
}

static Entry *
find_entry (const LcCatalog *catalog, const char *key)
{
  Entry *entry = NULL;

  HASH_FIND_STR (catalog->entries, key, entry);
  return entry;
}

static void
take_item (LcCatalog *catalog, const char *key, const char *value, int64_t version)
{
  Entry *entry = find_entry (catalog, key);

  catalog->changes++;
  if (!value)
    {
      if (entry)
        entry_free (catalog, entry);
      return;
    }
  if (!entry)
    {
      entry = LB_NEW (Entry);
      entry->key = lb_strdup (key);
      HASH_ADD_KEYPTR (hh, catalog->entries, entry->key, strlen (entry->key), entry);
      catalog->has_new_keys = true;
    }
  free (entry->text);
  entry->text = lb_strdup (value);
  entry->version = version;
}

static LbTime
sane_period (struct json_object *object)
{
  LbTime period = lb_json_int (object, "period_ms", LC_CATALOG_PERIOD / LB_MSEC) * LB_MSEC;

  return period < MIN_PERIOD || period > MAX_PERIOD ? LC_CATALOG_PERIOD : period;
}

/* All times are multiples of the publisher's period; these are for the shortest one. */
static LbTime
scaled (const LcCatalog *catalog, LbTime time)
{
  return time * catalog->period / LC_CATALOG_PERIOD;
}

/* A row that can't be read is that of no publisher: it stands still, and is replaced. */
static void
take_publisher (LcCatalog *catalog, const char *value, int64_t version)
{
  struct json_object *object = value ? json_tokener_parse (value) : NULL;

  catalog->version = value ? version : 0;
  LB_COPY (catalog->publisher, lb_json_text (object, "publisher", ""));
  LB_COPY (catalog->publisher_incarnation, lb_json_text (object, "incarnation", ""));
  catalog->epoch = lb_json_int (object, "epoch", 0);
  catalog->period = sane_period (object);
  catalog->listed_ms = lb_json_int (object, "listed_ms", 0);
  catalog->whole = lb_json_bool (object, "whole", false);
  catalog->news = true;
  json_object_put (object);
}

void
lc_catalog_apply_row (LcCatalog *catalog, const char *key, const char *value, int64_t version)
{
  if (strcmp (key, PUBLISHER_KEY) != 0)
    take_item (catalog, key, value, version);
  else if (version > catalog->version)
    take_publisher (catalog, value, version);
}

static int
by_key (const Entry *a, const Entry *b)
{
  return strcmp (a->key, b->key);
}

static void
put_in_order (LcCatalog *catalog)
{
  if (catalog->has_new_keys)
    HASH_SRT (hh, catalog->entries, by_key);
  catalog->has_new_keys = false;
}

bool
lc_catalog_finish_update (LcCatalog *catalog, int64_t store_ms, LbTime now)
{
  int64_t age_ms = store_ms - catalog->listed_ms;

  if (!catalog->news)
    return false;
  catalog->news = false;
  catalog->moved_at = now;
  if (!catalog->whole || age_ms < 0 || age_ms * LB_MSEC > scaled (catalog, MAX_AGE_MS * LB_MSEC))
    return false;
  put_in_order (catalog);
  catalog->heard_at = now;
  catalog->asked_at = now - age_ms * LB_MSEC;
  return true;
}

bool
lc_catalog_is_fresh (const LcCatalog *catalog, LbTime now)
{
  return catalog->heard_at > 0
         && now - catalog->heard_at < scaled (catalog, LC_CATALOG_MAX_SILENCE + catalog->spread);
}

LbTime
lc_catalog_valid_at (const LcCatalog *catalog)
{
  return catalog->asked_at;
}

int64_t
lc_catalog_change_count (const LcCatalog *catalog)
{
  return catalog->changes;
}

const char *
lc_catalog_find_value (const LcCatalog *catalog, const char *key)
{
  const Entry *entry = find_entry (catalog, key);

  return entry ? entry->text : NULL;
}

void
lc_catalog_foreach (const LcCatalog *catalog,
                    const char *prefix,
                    void (*take) (const char *name, const char *text, int64_t version, void *user),
                    void *user)
{
  size_t length = strlen (prefix);

  for (const Entry *entry = catalog->entries; entry; entry = entry->hh.next)
    if (strncmp (entry->key, prefix, length) == 0)
      take (entry->key + length, entry->text, entry->version, user);
}

/* --- publishing --- */

void
lc_catalog_set_own_period (LcCatalog *catalog, LbTime period)
{
  catalog->own_period = period;
}

LbTime
lc_catalog_publish_period (const LcCatalog *catalog)
{
  return catalog->period;
}

void
lc_catalog_set_rank (LcCatalog *catalog, int rank)
{
  catalog->rank = rank;
}

bool
lc_catalog_is_publisher (const LcCatalog *catalog)
{
  return catalog->version > 0 && strcmp (catalog->publisher, catalog->instance) == 0
         && strcmp (catalog->publisher_incarnation, catalog->incarnation) == 0;
}

const char *
lc_catalog_publisher_name (const LcCatalog *catalog)
{
  return catalog->publisher;
}

/* The publisher, if there is one, has not been heard of for this instance's turn. */
static bool
may_claim (const LcCatalog *catalog, LbTime now)
{
  return catalog->rank >= 0
         && now - catalog->moved_at
                >= scaled (catalog, MISSED_AFTER + (LbTime)catalog->rank * RANK_DELAY);
}

bool
lc_catalog_needs_listing (const LcCatalog *catalog, LbTime now)
{
  bool publishes = catalog->rank >= 0 && lc_catalog_is_publisher (catalog);

  return publishes || may_claim (catalog, now) || !lc_catalog_is_fresh (catalog, now);
}

void
lc_catalog_set_listing (
    LcCatalog *catalog, const char *prefix, LcCatalogItem *items, size_t n_items, int64_t store_ms)
{
  List *list = NULL;

  HASH_FIND_STR (catalog->own, prefix, list);
  if (!list)
    {
      list = LB_NEW (List);
      list->prefix = lb_strdup (prefix);
      HASH_ADD_KEYPTR (hh, catalog->own, list->prefix, strlen (list->prefix), list);
    }
  items_free (list->items, list->n_items);
  list->items = items;
  list->n_items = n_items;
  list->store_ms = store_ms;
  catalog->own_is_written = false;
}

/* The lists are as old as the oldest of them that has an age. */
static int64_t
own_ms (const LcCatalog *catalog)
{
  int64_t oldest = 0;

  for (const List *list = catalog->own; list; list = list->hh.next)
    if (list->store_ms > 0 && (oldest == 0 || list->store_ms < oldest))
      oldest = list->store_ms;
  return oldest;
}

/* Nothing is published before there is a list whose age can be told. */
static bool
has_age (const LcCatalog *catalog)
{
  return own_ms (catalog) > 0;
}

static void
add_put (LcCatalogWrite *write, LcCatalogPut put)
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
publisher_to_text (const LcCatalog *catalog, bool whole)
{
  struct json_object *object = json_object_new_object ();
  bool is_new = !lc_catalog_is_publisher (catalog);

  json_object_object_add (object, "publisher", json_object_new_string (catalog->instance));
  json_object_object_add (object, "incarnation", json_object_new_string (catalog->incarnation));
  json_object_object_add (object, "epoch", json_object_new_int64 (catalog->epoch + is_new));
  json_object_object_add (object, "listed_ms", json_object_new_int64 (own_ms (catalog)));
  json_object_object_add (object, "period_ms",
                          json_object_new_int64 (catalog->own_period / LB_MSEC));
  json_object_object_add (object, "whole", json_object_new_boolean (whole));
  return lb_json_take_text (object, JSON_C_TO_STRING_PLAIN);
}

/* What the list has that the table has not; false when there is more than fits. */
static bool
add_changed (const LcCatalog *catalog, const List *list, LcCatalogWrite *write)
{
  for (size_t i = 0; i < list->n_items; i++)
    {
      const LcCatalogItem *item = &list->items[i];
      const Entry *entry = find_entry (catalog, item->key);
      if (entry && strcmp (entry->text, item->value) == 0)
        continue;
      if (write->n_puts > MAX_CHANGES)
        return false;
      add_put (write,
               (LcCatalogPut){ .key = lb_strdup (item->key), .value = lb_strdup (item->value) });
    }
  return true;
}

typedef struct
{
  const char *key;
  UT_hash_handle hh;
} Key;

/* What the table has that the list has not. */
static bool
add_gone (const LcCatalog *catalog, const List *list, LcCatalogWrite *write)
{
  Key *keys = LB_NEW_ARRAY (Key, list->n_items + 1);
  Key *listed = NULL;
  Key *key = NULL;
  bool whole = true;

  for (size_t i = 0; i < list->n_items; i++)
    {
      keys[i].key = list->items[i].key;
      HASH_ADD_KEYPTR (hh, listed, keys[i].key, strlen (keys[i].key), &keys[i]);
    }
  for (const Entry *entry = catalog->entries; entry && whole; entry = entry->hh.next)
    {
      if (strncmp (entry->key, list->prefix, strlen (list->prefix)) != 0)
        continue;
      HASH_FIND_STR (listed, entry->key, key);
      whole = key || write->n_puts <= MAX_CHANGES;
      if (!key && whole)
        add_put (write, (LcCatalogPut){ .key = lb_strdup (entry->key), .value = NULL });
    }
  HASH_CLEAR (hh, listed);
  free (keys);
  return whole;
}

static bool
add_all (const LcCatalog *catalog, LcCatalogWrite *write)
{
  for (const List *list = catalog->own; list; list = list->hh.next)
    if (!add_changed (catalog, list, write) || !add_gone (catalog, list, write))
      return false;
  return true;
}

/* A write is made on what the table is known to say, so the one before has to have shown there: a
 * write without an answer may have been carried out or not. Once it has shown its answer is not
 * waited for: with an answer that was lost the publisher was silent for a second, and all others
 * listed the endpoints. */
static bool
may_write (const LcCatalog *catalog, LbTime now)
{
  bool is_shown = catalog->version != catalog->written_at_version;

  if (catalog->own_is_written || catalog->rank < 0 || !has_age (catalog))
    return false;
  if (!is_shown && now - catalog->writing_since < WRITE_TIME)
    return false;
  return lc_catalog_is_publisher (catalog) || may_claim (catalog, now);
}

bool
lc_catalog_prepare_write (LcCatalog *catalog, LbTime now, LcCatalogWrite *write)
{
  memset (write, 0, sizeof *write);
  if (!may_write (catalog, now))
    return false;
  add_put (write, (LcCatalogPut){ .key = lb_strdup (PUBLISHER_KEY), .value = NULL });
  bool whole = add_all (catalog, write);
  write->puts[0].value = publisher_to_text (catalog, whole);
  write->expected_version = catalog->version;
  catalog->written_at_version = catalog->version;
  catalog->writing_since = now;
  catalog->own_is_written = whole;
  return true;
}

/* A write that failed is made again, with what the table says then, unless another one publishes.
 */
void
lc_catalog_write_failed (LcCatalog *catalog, int64_t condition)
{
  if (condition == catalog->written_at_version)
    catalog->own_is_written = false;
}
