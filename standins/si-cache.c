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
  uint64_t prefix_hash;
};

void
si_cache_init (SiCache *cache, size_t max_blocks)
{
  memset (cache, 0, sizeof *cache);
  cache->max_blocks = max_blocks;
  cache->next_sequence = 1;
  lb_list_init (&cache->lru);
}

static void
record_cache_event (SiCache *cache, uint64_t prefix_hash, bool is_stored)
{
  cache->events[cache->next_sequence % SI_CACHE_MAX_EVENTS] = (SiCacheEvent){
    .sequence = cache->next_sequence, .prefix_hash = prefix_hash, .is_stored = is_stored
  };
  cache->next_sequence++;
}

static void
evict_cache_block (SiCache *cache, SiCacheBlock *block)
{
  record_cache_event (cache, block->prefix_hash, false);
  lb_list_remove (&cache->lru, &block->link);
  HASH_DEL (cache->blocks, block);
  free (block);
}

void
si_cache_evict_all_blocks (SiCache *cache)
{
  LB_LIST_FOREACH (&cache->lru, SiCacheBlock, link, block)
  evict_cache_block (cache, block);
}

void
si_cache_clear (SiCache *cache)
{
  si_cache_evict_all_blocks (cache);
}

/* Makes the block the most recently used one and inserts it if it is missing. Returns whether it
 * was already cached. */
static bool
touch_or_insert_cache_block (SiCache *cache, uint64_t prefix_hash)
{
  SiCacheBlock *block = NULL;

  HASH_FIND (hh, cache->blocks, &prefix_hash, sizeof prefix_hash, block);
  if (block)
    {
      lb_list_remove (&cache->lru, &block->link);
      lb_list_append (&cache->lru, &block->link);
      return true;
    }
  if (cache->lru.length >= cache->max_blocks)
    evict_cache_block (cache, LB_CONTAINER (cache->lru.head.next, SiCacheBlock, link));
  block = LB_NEW (SiCacheBlock);
  block->prefix_hash = prefix_hash;
  HASH_ADD (hh, cache->blocks, prefix_hash, sizeof prefix_hash, block);
  lb_list_append (&cache->lru, &block->link);
  record_cache_event (cache, prefix_hash, true);
  return false;
}

size_t
si_cache_insert_prompt (SiCache *cache, const char *prompt)
{
  size_t length = strlen (prompt);
  size_t cached_bytes = 0;

  if (cache->max_blocks == 0)
    return 0;
  for (size_t k = 1; k <= SI_CACHE_MAX_PROMPT_BLOCKS && k * SI_CACHE_BLOCK_BYTES <= length; k++)
    if (touch_or_insert_cache_block (cache, XXH3_64bits (prompt, k * SI_CACHE_BLOCK_BYTES)))
      cached_bytes = k * SI_CACHE_BLOCK_BYTES;
  return cached_bytes;
}

struct json_object *
si_cache_events_to_json (const SiCache *cache, uint64_t first_sequence)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *events = json_object_new_array ();
  uint64_t oldest
      = cache->next_sequence > SI_CACHE_MAX_EVENTS ? cache->next_sequence - SI_CACHE_MAX_EVENTS : 1;
  char hex[20];

  for (uint64_t i = first_sequence > oldest ? first_sequence : oldest; i < cache->next_sequence;
       i++)
    {
      const SiCacheEvent *event = &cache->events[i % SI_CACHE_MAX_EVENTS];
      struct json_object *event_json = json_object_new_object ();
      snprintf (hex, sizeof hex, "%016" PRIx64, event->prefix_hash);
      si_json_set_int (event_json, "sequence", (int64_t)event->sequence);
      si_json_set_text (event_json, "type", event->is_stored ? "stored" : "removed");
      si_json_set_text (event_json, "prefix", hex);
      json_object_array_add (events, event_json);
    }
  si_json_set_int (object, "next", (int64_t)cache->next_sequence);
  json_object_object_add (object, "events", events);
  return object;
}
