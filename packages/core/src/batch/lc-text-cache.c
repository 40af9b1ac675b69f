#include "lc-text-cache.h"

#include "lb-alloc.h"
#include "lb-list.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* A group that was not whole comes again in one of its trainer's next steps, which are some seconds
 * apart; after this time its weights are too old as a rule. */
#define MAX_TIME (60 * LB_SEC)

typedef struct
{
  LcCachedText content; /* its texts are owned */
  LbTime at;
  size_t bytes;
  LbLink order; /* in LcTextCache.oldest_first */
  UT_hash_handle hh;
} Entry;

struct LcTextCache
{
  Entry *by_item;
  LbList oldest_first;
  size_t bytes;
  size_t most_bytes;
};

LcTextCache *
lc_text_cache_new (size_t most_bytes)
{
  LcTextCache *carried = LB_NEW (LcTextCache);

  carried->most_bytes = most_bytes;
  lb_list_init (&carried->oldest_first);
  return carried;
}

static void
remove_entry (LcTextCache *carried, Entry *entry)
{
  HASH_DEL (carried->by_item, entry);
  lb_list_remove (&carried->oldest_first, &entry->order);
  carried->bytes -= entry->bytes;
  free ((char *)entry->content.text);
  free ((char *)entry->content.score);
  free ((LcVersion *)entry->content.versions);
  free (entry);
}

static Entry *
oldest (const LcTextCache *carried)
{
  return LB_LIST_FIRST (&carried->oldest_first, Entry, order);
}

void
lc_text_cache_free (LcTextCache *carried)
{
  Entry *entry;

  if (!carried)
    return;
  while ((entry = oldest (carried)))
    remove_entry (carried, entry);
  free (carried);
}

static Entry *
find_entry (const LcTextCache *carried, const char *item)
{
  Entry *entry = NULL;

  HASH_FIND_STR (carried->by_item, item, entry);
  return entry;
}

static bool
is_further (const LcCachedText *text, const LcCachedText *known)
{
  if (text->fingerprint != known->fingerprint)
    return true;
  return text->is_complete != known->is_complete ? text->is_complete
                                                 : text->n_events >= known->n_events;
}

static LcCachedText
copy (const LcCachedText *text)
{
  LcCachedText copied = *text;

  copied.text = lb_strdup (text->text);
  copied.score = text->score ? lb_strdup (text->score) : NULL;
  copied.versions = lb_memdup (text->versions, text->n_versions * sizeof *text->versions);
  return copied;
}

void
lc_text_cache_put (LcTextCache *carried, const LcCachedText *text, LbTime now)
{
  Entry *entry = find_entry (carried, text->item);

  if (entry && !is_further (text, &entry->content))
    return;
  if (entry)
    remove_entry (carried, entry);
  entry = LB_NEW (Entry);
  entry->content = copy (text);
  entry->at = now;
  entry->bytes = strlen (text->text) + sizeof *entry;
  HASH_ADD_STR (carried->by_item, content.item, entry);
  lb_list_append (&carried->oldest_first, &entry->order);
  carried->bytes += entry->bytes;
  while (carried->bytes > carried->most_bytes && (entry = oldest (carried)))
    remove_entry (carried, entry);
}

void
lc_text_cache_expire (LcTextCache *carried, LbTime now)
{
  Entry *entry;

  while ((entry = oldest (carried)) && now - entry->at > MAX_TIME)
    remove_entry (carried, entry);
}

/* Weights that are too old for the batch may not have made any of its text. */
static bool
fits (const LcCachedText *text, LcVersion min_version)
{
  for (size_t i = 0; i < text->n_versions; i++)
    if (text->versions[i] < min_version)
      return false;
  return text->n_versions > 0;
}

bool
lc_text_cache_find (const LcTextCache *carried,
                    const char *item,
                    uint64_t content,
                    LcVersion min_version,
                    LcCachedText *found)
{
  const Entry *entry = find_entry (carried, item);

  if (!entry || entry->content.fingerprint != content || !fits (&entry->content, min_version))
    return false;
  *found = entry->content;
  return true;
}

int64_t
lc_text_cache_count_events (const LcTextCache *carried,
                            const char *item,
                            uint64_t content,
                            bool *whole)
{
  const Entry *entry = find_entry (carried, item);

  if (!entry || entry->content.fingerprint != content)
    return 0;
  *whole = entry->content.is_complete;
  return entry->content.n_events;
}

size_t
lc_text_cache_count_bytes (const LcTextCache *carried)
{
  return carried->bytes;
}
