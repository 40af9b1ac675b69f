#ifndef SI_CACHE_H
#define SI_CACHE_H

#include "lb-list.h"

struct json_object;

/* Prompts are cached in blocks; block k is identified by XXH3_64bits of the prompt's first
 * k * SI_CACHE_BLOCK_BYTES bytes. */
#define SI_CACHE_BLOCK_BYTES 64
#define SI_CACHE_MAX_PROMPT_BLOCKS 16
#define SI_CACHE_MAX_EVENTS 1024 /* older events are overwritten */

typedef struct SiCacheBlock SiCacheBlock;

typedef struct
{
  uint64_t sequence;
  uint64_t prefix_hash;
  bool is_stored; /* false: removed */
} SiCacheEvent;

/* A prefix cache of limited size that evicts the least recently used block. */
typedef struct
{
  size_t max_blocks; /* 0: caching is off */
  SiCacheBlock *blocks;
  LbList lru; /* least recently used first */
  SiCacheEvent events[SI_CACHE_MAX_EVENTS];
  uint64_t next_sequence; /* of the next event; the first event has 1 */
} SiCache;

void si_cache_init (SiCache *cache, size_t max_blocks);
void si_cache_clear (SiCache *cache);
/* Called when the weights change, since KV entries of one weight version are invalid for another.
 */
void si_cache_evict_all (SiCache *cache);
/* Caches the prompt's blocks; returns how many bytes of its prefix were already cached. */
size_t si_cache_insert_prompt (SiCache *cache, const char *prompt);
/* The events from first_sequence on that have not been overwritten. */
struct json_object *si_cache_events_to_json (const SiCache *cache, uint64_t first_sequence);

#endif
