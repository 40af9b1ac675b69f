#ifndef LC_TEXT_CACHE_H
#define LC_TEXT_CACHE_H

#include "lb-types.h"
#include "lc-types.h"

/* Texts of incomplete groups from ended batches of one model. A trainer asks for such a group again
 * in a later batch, under the same item ids, and its texts are then continued rather than generated
 * anew. No I/O. */

typedef struct
{
  LbName item;
  uint64_t fingerprint; /* hash of the request and the scorer: the same id may name another item */
  bool is_complete;
  int64_t n_events;
  const char *text; /* not owned; one event a line */
  const LcVersion *versions;
  size_t n_versions;
  const char *score; /* NULL: not scored yet; only a complete text has one */
} LcCachedText;

typedef struct LcTextCache LcTextCache;

/* Removes the oldest entries beyond max_bytes. */
LcTextCache *lc_text_cache_new (size_t max_bytes);
void lc_text_cache_free (LcTextCache *cache);

/* commands */
/* Copies the text. It replaces one of the same item only if it is longer or complete, or has
 * another fingerprint. */
void lc_text_cache_put (LcTextCache *cache, const LcCachedText *text, LbTime now);
/* Removes texts that are too old to be asked for again. */
void lc_text_cache_expire (LcTextCache *cache, LbTime now);

/* queries */
/* False if there is no such text, or if a version older than min_version generated part of it. The
 * texts in *found are valid until the next command. */
bool lc_text_cache_find (const LcTextCache *cache,
                         const char *item_id,
                         uint64_t fingerprint,
                         LcVersion min_version,
                         LcCachedText *found);
/* Number of events of the cached text, whatever its versions; 0: none is cached. */
int64_t lc_text_cache_count_events (const LcTextCache *cache,
                                    const char *item_id,
                                    uint64_t fingerprint,
                                    bool *is_complete);
size_t lc_text_cache_count_bytes (const LcTextCache *cache);

#endif
