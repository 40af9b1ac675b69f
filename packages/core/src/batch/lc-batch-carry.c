#include "lc-batch-carry.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* A trainer reads about twice a second: it may have ended its step before it read what was listed
 * so late, and ask for that group again. */
#define READING_TIME (1500 * LB_MSEC)

typedef struct
{
  LbName name; /* key */
  bool is_whole;
  UT_hash_handle hh;
} Group;

static uint64_t
add_request (uint64_t hash, const LcOutgoing *request)
{
  const char *path = request->path ? request->path : "";

  hash = XXH3_64bits_withSeed (path, strlen (path), hash);
  return XXH3_64bits_withSeed (request->body ? request->body : "", request->body_length, hash);
}

/* The organisation is part of it: a text of another one's item under the same id is none of its
 * business. */
static uint64_t
content_of (const LcBatchSpec *spec, const LcBatchItemSpec *item)
{
  uint64_t seed = XXH3_64bits (spec->organisation, strlen (spec->organisation));
  uint64_t hash = add_request (seed, &item->request);

  if (!item->has_scorer)
    return hash;
  hash = XXH3_64bits_withSeed (item->scorer.id, strlen (item->scorer.id), hash);
  return add_request (hash, &item->scorer);
}

static Group *
ensure_group (Group **groups, const char *name)
{
  Group *group = NULL;

  HASH_FIND_STR (*groups, name, group);
  if (group)
    return group;
  group = LB_NEW (Group);
  group->is_whole = true;
  LB_COPY (group->name, name);
  HASH_ADD_STR (*groups, name, group);
  return group;
}

static bool
was_read (const LcBatchItem *item, LbTime now)
{
  return item->state == ITEM_LISTED && now - item->listed_at > READING_TIME;
}

static Group *
look_at_groups (const LcBatchSpec *spec, const LcBatchItem *items, LbTime now)
{
  Group *groups = NULL;

  for (size_t i = 0; i < spec->n_items; i++)
    ensure_group (&groups, spec->items[i].group)->is_whole &= was_read (&items[i], now);
  return groups;
}

static void
leave (const LcBatchSpec *spec,
       const LcBatchItemSpec *wanted,
       const LcBatchItem *item,
       LcTextCache *carried,
       LbTime now)
{
  LcCachedText text = { .fingerprint = content_of (spec, wanted),
                        .is_complete = item->state >= ITEM_GENERATED,
                        .n_events = item->events,
                        .text = item->result.text,
                        .versions = item->result.versions,
                        .n_versions = item->result.n_versions,
                        .score = item->result.score };
  bool given_up
      = (item->state == ITEM_READY || item->state == ITEM_LISTED) && !item->result.completed;

  if (given_up || item->unusable || item->events == 0 || !item->result.text)
    return;
  LB_COPY (text.item, wanted->request.id);
  lc_text_cache_put (carried, &text, now);
}

void
lc_batch_carry_leave (const LcBatchSpec *spec,
                      const LcBatchItem *items,
                      LcTextCache *carried,
                      LbTime now)
{
  Group *groups = look_at_groups (spec, items, now);
  Group *group, *next;

  for (size_t i = 0; i < spec->n_items; i++)
    if (!ensure_group (&groups, spec->items[i].group)->is_whole)
      leave (spec, &spec->items[i], &items[i], carried, now);
  HASH_ITER (hh, groups, group, next)
  {
    HASH_DEL (groups, group);
    free (group);
  }
}

/* What has begun under one version can't be made sure to go on under it. */
static bool
fits_route (const LcCachedText *text, const LcBatchSettings *settings)
{
  if (settings->single_version && (!text->is_complete || text->n_versions > 1))
    return false;
  return text->is_complete || settings->resumable;
}

bool
lc_batch_carry_take (const LcBatchSpec *spec,
                     size_t index,
                     LcBatchItem *item,
                     const LcBatchSettings *settings)
{
  const LcBatchItemSpec *wanted = &spec->items[index];
  uint64_t content = content_of (spec, wanted);
  LcCachedText text;

  if (item->state != ITEM_WAITING)
    return false;
  item->least = lc_text_cache_count_events (settings->text_cache, wanted->request.id, content,
                                            &item->least_is_all);
  if (item->least == 0 || item->events > 0
      || !lc_text_cache_find (settings->text_cache, wanted->request.id, content, spec->min_version,
                              &text)
      || !fits_route (&text, settings))
    return false;
  lc_batch_item_begin_with (item, text.text, text.n_events, text.versions, text.n_versions);
  if (!text.is_complete)
    return true;
  item->state = ITEM_GENERATED;
  item->result.score = text.score ? lb_strdup (text.score) : NULL;
  return true;
}
