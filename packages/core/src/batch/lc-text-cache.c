#include "lc-text-cache.h"

#include "lb-alloc.h"
#include "lb-list.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* A trainer asks for an incomplete group again in one of its next steps, which are some seconds
 * apart. After this time the weights of its texts are usually too old. */
#define MAX_AGE (60 * LB_SEC)

typedef struct
{
  LcCachedText text; /* owns its texts and versions */
  LbTime stored_at;
  size_t bytes;
  LbLink link; /* in LcTextCache.oldest_first */
  UT_hash_handle hh;
} Entry;

struct LcTextCache
{
  Entry *by_item;
  LbList oldest_first;
  size_t bytes;
  size_t max_bytes;
};

LcTextCache *
lc_text_cache_new (size_t max_bytes)
{
  LcTextCache *cache = LB_NEW (LcTextCache);

  cache->max_bytes = max_bytes;
  lb_list_init (&cache->oldest_first);
  return cache;
}

static void
remove_entry (LcTextCache *cache, Entry *entry)
{
  HASH_DEL (cache->by_item, entry);
  lb_list_remove (&cache->oldest_first, &entry->link);
  cache->bytes -= entry->bytes;
  free ((char *)entry->text.text);
  free ((char *)entry->text.score);
  free ((LcVersion *)entry->text.versions);
  free (entry);
}

static Entry *
get_oldest (const LcTextCache *cache)
{
  return LB_LIST_FIRST (&cache->oldest_first, Entry, link);
}

void
lc_text_cache_free (LcTextCache *cache)
{
  Entry *entry;

  if (!cache)
    return;
  while ((entry = get_oldest (cache)))
    remove_entry (cache, entry);
  free (cache);
}

static Entry *
find_entry (const LcTextCache *cache, const char *item_id)
{
  Entry *entry = NULL;

  HASH_FIND_STR (cache->by_item, item_id, entry);
  return entry;
}

static bool
can_replace (const LcCachedText *text, const LcCachedText *known)
{
  if (text->fingerprint != known->fingerprint)
    return true;
  return text->is_complete != known->is_complete ? text->is_complete
                                                 : text->n_events >= known->n_events;
}

static LcCachedText
copy_text (const LcCachedText *text)
{
  LcCachedText copy = *text;

  copy.text = lb_strdup (text->text);
  copy.score = text->score ? lb_strdup (text->score) : NULL;
  copy.versions = lb_memdup (text->versions, text->n_versions * sizeof *text->versions);
  return copy;
}

void
lc_text_cache_put (LcTextCache *cache, const LcCachedText *text, LbTime now)
{
  Entry *entry = find_entry (cache, text->item);

  if (entry && !can_replace (text, &entry->text))
    return;
  if (entry)
    remove_entry (cache, entry);
  entry = LB_NEW (Entry);
  entry->text = copy_text (text);
  entry->stored_at = now;
  entry->bytes = strlen (text->text) + sizeof *entry;
  HASH_ADD_STR (cache->by_item, text.item, entry);
  lb_list_append (&cache->oldest_first, &entry->link);
  cache->bytes += entry->bytes;
  while (cache->bytes > cache->max_bytes && (entry = get_oldest (cache)))
    remove_entry (cache, entry);
}

void
lc_text_cache_expire (LcTextCache *cache, LbTime now)
{
  Entry *entry;

  while ((entry = get_oldest (cache)) && now - entry->stored_at > MAX_AGE)
    remove_entry (cache, entry);
}

/* Weights older than the batch allows must not have generated any event of the text. */
static bool
has_no_older_version (const LcCachedText *text, LcVersion min_version)
{
  for (size_t i = 0; i < text->n_versions; i++)
    if (text->versions[i] < min_version)
      return false;
  return text->n_versions > 0;
}

bool
lc_text_cache_find (const LcTextCache *cache,
                    const char *item_id,
                    uint64_t fingerprint,
                    LcVersion min_version,
                    LcCachedText *found)
{
  const Entry *entry = find_entry (cache, item_id);

  if (!entry || entry->text.fingerprint != fingerprint
      || !has_no_older_version (&entry->text, min_version))
    return false;
  *found = entry->text;
  return true;
}

int64_t
lc_text_cache_count_events (const LcTextCache *cache,
                            const char *item_id,
                            uint64_t fingerprint,
                            bool *is_complete)
{
  const Entry *entry = find_entry (cache, item_id);

  if (!entry || entry->text.fingerprint != fingerprint)
    return 0;
  *is_complete = entry->text.is_complete;
  return entry->text.n_events;
}

size_t
lc_text_cache_count_bytes (const LcTextCache *cache)
{
  return cache->bytes;
}
