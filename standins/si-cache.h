#ifndef SI_CACHE_H
#define SI_CACHE_H

#include "lb-list.h"

struct json_object;

/* Prompts are cached in blocks of this size. Block k, counted from 1, is identified by XXH3_64bits
 * of the prompt's first k * SI_CACHE_BLOCK_BYTES bytes. */
#define SI_CACHE_BLOCK_BYTES 64
#define SI_CACHE_MAX_PROMPT_BLOCKS 16
#define SI_CACHE_MAX_EVENTS 1024 /* ring buffer size; new events overwrite the oldest */

typedef struct SiCacheBlock SiCacheBlock;

typedef struct
{
  uint64_t sequence;
  uint64_t prefix_hash;
  bool is_stored; /* true: the block was inserted; false: it was evicted */
} SiCacheEvent;

/* A prefix cache of limited size that evicts the least recently used block. */
typedef struct
{
  size_t max_blocks; /* 0: caching is off */
  SiCacheBlock *blocks;
  LbList lru; /* all blocks, the least recently used first */
  SiCacheEvent events[SI_CACHE_MAX_EVENTS];
  uint64_t next_sequence; /* sequence number of the next event; starts at 1 */
} SiCache;

void si_cache_init (SiCache *cache, size_t max_blocks);
void si_cache_clear (SiCache *cache);
/* Must be called when the weights change: KV cache entries are valid only for the weight version
 * that computed them. */
void si_cache_evict_all_blocks (SiCache *cache);
/* Caches the prompt's first SI_CACHE_MAX_PROMPT_BLOCKS blocks. Returns the number of bytes up to
 * the end of the last block that was already cached. */
size_t si_cache_insert_prompt (SiCache *cache, const char *prompt);
/* Returns the events with sequence numbers from first_sequence on, without overwritten events. */
struct json_object *si_cache_events_to_json (const SiCache *cache, uint64_t first_sequence);

#endif
