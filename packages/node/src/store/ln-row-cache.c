#include "ln-row-cache.h"

#include "lb-alloc.h"
#include "lb-counter.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct
{
  char *key;
  int64_t version;
  char *text;
  void *content;
  bool is_valid;
  LbError error;  /* why the row is malformed; set if is_valid is false */
  bool is_listed; /* the list that is being read, or was read last, contains the row */
  UT_hash_handle hh;
} CachedRow;

struct LnRowCache
{
  const LnRowCacheClass *klass;
  void *user;
  CachedRow *entries;
};

static LbMetric rows_parsed = LB_COUNTER_INIT ("lentilspindle_rows_total",
                                               "taken=\"read\"",
                                               "Listed rows, by whether they were parsed or "
                                               "unchanged except for their write counter");
static LbMetric rows_unchanged = LB_COUNTER_INIT ("lentilspindle_rows_total",
                                                  "taken=\"same\"",
                                                  "Listed rows, by whether they were parsed or "
                                                  "unchanged except for their write counter");

LnRowCache *
ln_row_cache_new (const LnRowCacheClass *klass, void *user)
{
  LnRowCache *cache = LB_NEW (LnRowCache);

  cache->klass = klass;
  cache->user = user;
  return cache;
}

static void
remove_cached_row (LnRowCache *cache, CachedRow *entry)
{
  HASH_DEL (cache->entries, entry);
  free (entry->key);
  free (entry->text);
  free (entry->content);
  free (entry);
}

void
ln_row_cache_free (LnRowCache *cache)
{
  CachedRow *entry, *next;

  HASH_ITER (hh, cache->entries, entry, next)
  {
    remove_cached_row (cache, entry);
  }
  free (cache);
}

void
ln_row_cache_begin_list (LnRowCache *cache)
{
  for (CachedRow *entry = cache->entries; entry; entry = entry->hh.next)
    entry->is_listed = false;
}

void
ln_row_cache_end_list (LnRowCache *cache)
{
  CachedRow *entry, *next;

  HASH_ITER (hh, cache->entries, entry, next)
  {
    if (!entry->is_listed)
      remove_cached_row (cache, entry);
  }
}

static const char *
skip_spaces_and_number (const char *text)
{
  while (isspace ((unsigned char)*text))
    text++;
  while (isdigit ((unsigned char)*text))
    text++;
  return text;
}

/* Whether the texts are equal except for the number after the first occurrence of prefix. */
static bool
is_equal_except_counter (const char *before, const char *after, const char *prefix)
{
  const char *counter = strstr (before, prefix);
  size_t length = counter ? (size_t)(counter - before) + strlen (prefix) : 0;

  if (!counter || strncmp (before, after, length) != 0)
    return strcmp (before, after) == 0;
  return strcmp (skip_spaces_and_number (before + length), skip_spaces_and_number (after + length))
         == 0;
}

static void
update_cached_row (LnRowCache *cache, CachedRow *entry, const LpRow *row)
{
  const char *text = row->value ? row->value : "";

  entry->version = row->version;
  if (entry->text && is_equal_except_counter (entry->text, text, cache->klass->counter_prefix))
    {
      lb_metric_add (&rows_unchanged, 1);
      return;
    }
  lb_metric_add (&rows_parsed, 1);
  free (entry->text);
  entry->text = lb_strdup (text);
  entry->is_valid = cache->klass->parse (row, entry->content, &entry->error, cache->user);
}

const void *
ln_row_cache_get_content (LnRowCache *cache, const LpRow *row, LbError *error)
{
  CachedRow *entry = NULL;

  HASH_FIND_STR (cache->entries, row->key, entry);
  if (!entry)
    {
      entry = LB_NEW (CachedRow);
      entry->key = lb_strdup (row->key);
      entry->content = lb_calloc (1, cache->klass->size);
      HASH_ADD_KEYPTR (hh, cache->entries, entry->key, strlen (entry->key), entry);
    }
  entry->is_listed = true;
  if (!entry->text || entry->version != row->version)
    update_cached_row (cache, entry, row);
  else
    lb_metric_add (&rows_unchanged, 1);
  if (entry->is_valid)
    return entry->content;
  *error = entry->error;
  return NULL;
}
