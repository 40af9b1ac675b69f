#include "lc-batch-reuse.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* Time within which a trainer, which polls about twice a second, reads a stored result. If the step
 * ends earlier, the trainer may request the group of the result again. */
#define MAX_READ_DELAY (1500 * LB_MSEC)

typedef struct
{
  LbName name; /* name of the group; key in the hash table of groups */
  bool is_complete;
  UT_hash_handle hh;
} Group;

static uint64_t
add_request_to_hash (uint64_t hash, const LcOutgoingRequest *request)
{
  const char *path = request->path ? request->path : "";

  hash = XXH3_64bits_withSeed (path, strlen (path), hash);
  return XXH3_64bits_withSeed (request->body ? request->body : "", request->body_length, hash);
}

/* The hash includes the organisation, so that no organisation gets a text of another organisation's
 * item with the same id. */
static uint64_t
compute_item_fingerprint (const LcBatchSpec *spec, const LcBatchItemSpec *item)
{
  uint64_t seed = XXH3_64bits (spec->organisation, strlen (spec->organisation));
  uint64_t hash = add_request_to_hash (seed, &item->request);

  if (!item->has_scorer)
    return hash;
  hash = XXH3_64bits_withSeed (item->scorer.id, strlen (item->scorer.id), hash);
  return add_request_to_hash (hash, &item->scorer);
}

static Group *
find_or_add_group (Group **groups, const char *name)
{
  Group *group = NULL;

  HASH_FIND_STR (*groups, name, group);
  if (group)
    return group;
  group = LB_NEW (Group);
  group->is_complete = true;
  LB_COPY (group->name, name);
  HASH_ADD_STR (*groups, name, group);
  return group;
}

static bool
has_trainer_probably_read_result (const LcBatchItem *item, LbTime now)
{
  return item->state == ITEM_LISTED && now - item->listed_at > MAX_READ_DELAY;
}

static Group *
collect_groups_with_completion (const LcBatchSpec *spec, const LcBatchItem *items, LbTime now)
{
  Group *groups = NULL;

  for (size_t i = 0; i < spec->n_items; i++)
    find_or_add_group (&groups, spec->items[i].group)->is_complete
        &= has_trainer_probably_read_result (&items[i], now);
  return groups;
}

static void
cache_item_text (const LcBatchSpec *spec,
                 const LcBatchItemSpec *item_spec,
                 const LcBatchItem *item,
                 LcTextCache *cache,
                 LbTime now)
{
  LcCachedText text = { .fingerprint = compute_item_fingerprint (spec, item_spec),
                        .is_complete = item->state >= ITEM_GENERATED,
                        .n_events = item->n_events,
                        .text = item->result.text,
                        .versions = item->result.versions,
                        .n_versions = item->result.n_versions,
                        .score = item->result.score };
  bool was_abandoned
      = (item->state == ITEM_READY || item->state == ITEM_LISTED) && !item->result.completed;

  if (was_abandoned || item->is_unusable || item->n_events == 0 || !item->result.text)
    return;
  LB_COPY (text.item, item_spec->request.id);
  lc_text_cache_put (cache, &text, now);
}

void
lc_batch_cache_texts_of_incomplete_groups (const LcBatchSpec *spec,
                                           const LcBatchItem *items,
                                           LcTextCache *cache,
                                           LbTime now)
{
  Group *groups = collect_groups_with_completion (spec, items, now);
  Group *group, *next;

  for (size_t i = 0; i < spec->n_items; i++)
    if (!find_or_add_group (&groups, spec->items[i].group)->is_complete)
      cache_item_text (spec, &spec->items[i], &items[i], cache, now);
  HASH_ITER (hh, groups, group, next)
  {
    HASH_DEL (groups, group);
    free (group);
  }
}

/* With single_version a partial text cannot be continued, since the endpoint that continues it may
 * have another weight version. */
static bool
can_reuse_cached_text (const LcCachedText *text, const LcBatchSettings *settings)
{
  if (settings->single_version && (!text->is_complete || text->n_versions > 1))
    return false;
  return text->is_complete || settings->resumable;
}

bool
lc_batch_reuse_cached_item_text (const LcBatchSpec *spec,
                                 size_t index,
                                 LcBatchItem *item,
                                 const LcBatchSettings *settings)
{
  const LcBatchItemSpec *item_spec = &spec->items[index];
  uint64_t fingerprint = compute_item_fingerprint (spec, item_spec);
  LcCachedText text;

  if (item->state != ITEM_WAITING)
    return false;
  item->cached_events = lc_text_cache_count_events (settings->text_cache, item_spec->request.id,
                                                    fingerprint, &item->cached_is_complete);
  if (item->cached_events == 0 || item->n_events > 0
      || !lc_text_cache_find (settings->text_cache, item_spec->request.id, fingerprint,
                              spec->min_version, &text)
      || !can_reuse_cached_text (&text, settings))
    return false;
  lc_batch_item_set_reused_text (item, text.text, text.n_events, text.versions, text.n_versions);
  if (!text.is_complete)
    return true;
  item->state = ITEM_GENERATED;
  item->result.score = text.score ? lb_strdup (text.score) : NULL;
  return true;
}
