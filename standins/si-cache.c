#include "si-cache.h"

#include "lb-alloc.h"
#include "si-json.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

struct SiCacheBlock
{
  UT_hash_handle hh;
  LbLink link;
  uint64_t prefix;
};

void
si_cache_init (SiCache *cache, size_t limit)
{
  memset (cache, 0, sizeof *cache);
  cache->max_blocks = limit;
  cache->next_sequence = 1;
  lb_list_init (&cache->lru);
}

static void
add_event (SiCache *cache, uint64_t prefix, bool stored)
{
  cache->events[cache->next_sequence % SI_CACHE_MAX_EVENTS]
      = (SiCacheEvent){ .sequence = cache->next_sequence, .prefix = prefix, .stored = stored };
  cache->next_sequence++;
}

static void
remove_block (SiCache *cache, SiCacheBlock *block)
{
  add_event (cache, block->prefix, false);
  lb_list_remove (&cache->lru, &block->link);
  HASH_DEL (cache->blocks, block);
  free (block);
}

void
si_cache_evict_all (SiCache *cache)
{
  LB_LIST_FOREACH (&cache->lru, SiCacheBlock, link, block)
  remove_block (cache, block);
}

void
si_cache_clear (SiCache *cache)
{
  si_cache_evict_all (cache);
}

static bool
touch_block (SiCache *cache, uint64_t prefix)
{
  SiCacheBlock *block = NULL;

  HASH_FIND (hh, cache->blocks, &prefix, sizeof prefix, block);
  if (block)
    {
      lb_list_remove (&cache->lru, &block->link);
      lb_list_append (&cache->lru, &block->link);
      return true;
    }
  if (cache->lru.length >= cache->max_blocks)
    remove_block (cache, LB_CONTAINER (cache->lru.head.next, SiCacheBlock, link));
  block = LB_NEW (SiCacheBlock);
  block->prefix = prefix;
  HASH_ADD (hh, cache->blocks, prefix, sizeof prefix, block);
  lb_list_append (&cache->lru, &block->link);
  add_event (cache, prefix, true);
  return false;
}

size_t
si_cache_insert_prompt (SiCache *cache, const char *prompt)
{
  size_t length = strlen (prompt);
  size_t found = 0;

  if (cache->max_blocks == 0)
    return 0;
  for (size_t k = 1; k <= SI_CACHE_MAX_PROMPT_BLOCKS && k * SI_CACHE_BLOCK_BYTES <= length; k++)
    if (touch_block (cache, XXH3_64bits (prompt, k * SI_CACHE_BLOCK_BYTES)))
      found = k * SI_CACHE_BLOCK_BYTES;
  return found;
}

/* Events from the sequence on, as far as they are still kept. */
struct json_object *
si_cache_events_to_json (const SiCache *cache, uint64_t since)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *events = json_object_new_array ();
  uint64_t oldest
      = cache->next_sequence > SI_CACHE_MAX_EVENTS ? cache->next_sequence - SI_CACHE_MAX_EVENTS : 1;
  char hex[20];

  for (uint64_t i = since > oldest ? since : oldest; i < cache->next_sequence; i++)
    {
      const SiCacheEvent *event = &cache->events[i % SI_CACHE_MAX_EVENTS];
      struct json_object *item = json_object_new_object ();
      snprintf (hex, sizeof hex, "%016" PRIx64, event->prefix);
      si_json_set_int (item, "sequence", (int64_t)event->sequence);
      si_json_set_text (item, "type", event->stored ? "stored" : "removed");
      si_json_set_text (item, "prefix", hex);
      json_object_array_add (events, item);
    }
  si_json_set_int (object, "next", (int64_t)cache->next_sequence);
  json_object_object_add (object, "events", events);
  return object;
}
