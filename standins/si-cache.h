#ifndef SI_CACHE_H
#define SI_CACHE_H

#include "lb-list.h"

struct json_object;

/* Prompts are cached by blocks; the hash of block k is XXH3_64bits of the prompt's first
 * k * SI_CACHE_BLOCK_BYTES bytes. */
#define SI_CACHE_BLOCK_BYTES 64
#define SI_CACHE_MAX_PROMPT_BLOCKS 16
#define SI_CACHE_MAX_EVENTS 1024

typedef struct SiCacheBlock SiCacheBlock;

typedef struct
{
  uint64_t sequence;
  uint64_t prefix;
  bool stored;
} SiCacheEvent;

/* A prefix cache of limited size: least recently used blocks go first. */
typedef struct
{
  size_t max_blocks; /* blocks */
  SiCacheBlock *blocks;
  LbList lru; /* least recently used first */
  SiCacheEvent events[SI_CACHE_MAX_EVENTS];
  uint64_t next_sequence; /* sequence of the next event, from 1 */
} SiCache;

void si_cache_init (SiCache *cache, size_t limit);
void si_cache_clear (SiCache *cache);
/* Drops every block: the cache of one weight version is of no use to another. */
void si_cache_evict_all (SiCache *cache);
/* Takes the prompt in; answers how many of its bytes were there before. */
size_t si_cache_insert_prompt (SiCache *cache, const char *prompt);
struct json_object *si_cache_events_to_json (const SiCache *cache, uint64_t since);

#endif
