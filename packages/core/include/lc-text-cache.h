#ifndef LC_TEXT_CACHE_H
#define LC_TEXT_CACHE_H

#include "lb-types.h"
#include "lc-types.h"

/* This header declares a cache for the texts of incomplete groups from ended batches of one model.
 * A trainer requests an incomplete group again in a later batch, with the same item ids; the cached
 * texts are then continued instead of generated again. No I/O. */

typedef struct
{
  LbName item;
  /* hash of the item's request and scorer, needed because a trainer may use the id for another
   * item */
  uint64_t fingerprint;
  bool is_complete;
  int64_t n_events;
  const char *text; /* events separated by line feeds; not owned */
  const LcVersion *versions;
  size_t n_versions;
  const char *score; /* NULL: not scored; only a complete text has a score */
} LcCachedText;

typedef struct LcTextCache LcTextCache;

/* The cache evicts its oldest entries when it exceeds max_bytes. */
LcTextCache *lc_text_cache_new (size_t max_bytes);
void lc_text_cache_free (LcTextCache *cache);

/* Stores a copy of the text. An entry of the same item and fingerprint is replaced only if the new
 * text is complete and the cached one is not, or equally complete and at least as long. */
void lc_text_cache_put (LcTextCache *cache, const LcCachedText *text, LbTime now);
/* Evicts texts that are too old for a trainer to request their groups again. */
void lc_text_cache_evict_old_texts (LcTextCache *cache, LbTime now);

/* Returns false if no text is cached for the item and fingerprint, or if weights older than
 * min_version generated part of the cached text. The strings in *found are valid until the cache
 * next changes. */
bool lc_text_cache_find (const LcTextCache *cache,
                         const char *item_id,
                         uint64_t fingerprint,
                         LcVersion min_version,
                         LcCachedText *found);
/* Returns the number of events in the cached text, whatever its weight versions; 0: no text is
 * cached, *is_complete is unchanged. */
int64_t lc_text_cache_count_events (const LcTextCache *cache,
                                    const char *item_id,
                                    uint64_t fingerprint,
                                    bool *is_complete);
size_t lc_text_cache_count_bytes (const LcTextCache *cache);

#endif
