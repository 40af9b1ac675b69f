#include "ln-row-cache.h"

#include "lb-alloc.h"
#include "lb-counter.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct
{
  char *key; /* of the hash */
  int64_t version;
  char *text;
  void *content;
  bool is_readable;
  LbError error; /* why it is not */
  bool seen;     /* in the list being read */
  UT_hash_handle hh;
} Entry;

struct LnRowCache
{
  const LnRowCacheClass *klass;
  void *user;
  Entry *entries;
};

static LbMetric rows_read = LB_COUNTER_INIT ("lentilspindle_rows_total",
                                             "taken=\"read\"",
                                             "Rows of lists that were taken apart, or were not "
                                             "because they say what they said before");
static LbMetric rows_same = LB_COUNTER_INIT ("lentilspindle_rows_total",
                                             "taken=\"same\"",
                                             "Rows of lists that were taken apart, or were not "
                                             "because they say what they said before");

LnRowCache *
ln_row_cache_new (const LnRowCacheClass *klass, void *user)
{
  LnRowCache *cache = LB_NEW (LnRowCache);

  cache->klass = klass;
  cache->user = user;
  return cache;
}

static void
forget (LnRowCache *cache, Entry *entry)
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
  Entry *entry, *next;

  HASH_ITER (hh, cache->entries, entry, next)
  {
    forget (cache, entry);
  }
  free (cache);
}

void
ln_row_cache_begin_list (LnRowCache *cache)
{
  for (Entry *entry = cache->entries; entry; entry = entry->hh.next)
    entry->seen = false;
}

void
ln_row_cache_end_list (LnRowCache *cache)
{
  Entry *entry, *next;

  HASH_ITER (hh, cache->entries, entry, next)
  {
    if (!entry->seen)
      forget (cache, entry);
  }
}

static const char *
skip_number (const char *text)
{
  while (isspace ((unsigned char)*text))
    text++;
  while (isdigit ((unsigned char)*text))
    text++;
  return text;
}

/* The same text but for the number behind the first mark. */
static bool
is_same (const char *before, const char *now, const char *mark)
{
  const char *at = strstr (before, mark);
  size_t length = at ? (size_t)(at - before) + strlen (mark) : 0;

  if (!at || strncmp (before, now, length) != 0)
    return strcmp (before, now) == 0;
  return strcmp (skip_number (before + length), skip_number (now + length)) == 0;
}

static void
take (LnRowCache *cache, Entry *entry, const LpRow *row)
{
  const char *text = row->value ? row->value : "";

  entry->version = row->version;
  if (entry->text && is_same (entry->text, text, cache->klass->counter_prefix))
    {
      lb_metric_add (&rows_same, 1);
      return;
    }
  lb_metric_add (&rows_read, 1);
  free (entry->text);
  entry->text = lb_strdup (text);
  entry->is_readable = cache->klass->parse (row, entry->content, &entry->error, cache->user);
}

const void *
ln_row_cache_parse (LnRowCache *cache, const LpRow *row, LbError *error)
{
  Entry *entry = NULL;

  HASH_FIND_STR (cache->entries, row->key, entry);
  if (!entry)
    {
      entry = LB_NEW (Entry);
      entry->key = lb_strdup (row->key);
      entry->content = lb_calloc (1, cache->klass->size);
      HASH_ADD_KEYPTR (hh, cache->entries, entry->key, strlen (entry->key), entry);
    }
  entry->seen = true;
  if (!entry->text || entry->version != row->version)
    take (cache, entry, row);
  else
    lb_metric_add (&rows_same, 1);
  if (entry->is_readable)
    return entry->content;
  *error = entry->error;
  return NULL;
}
