#ifndef LC_BATCH_REUSE_H
#define LC_BATCH_REUSE_H

#include "lc-batch-item.h"

/* Reuse of texts by a later batch. A trainer that has enough complete groups ends its step and asks
 * for the incomplete groups again in a later step, with the same item ids. Generating a text of 190
 * events anew takes another 7 s and is late again; continuing it takes only the rest of that time.
 * Private to LcBatch. */

/* Puts the texts of incomplete groups into the cache. */
void lc_batch_cache_texts (const LcBatchSpec *spec,
                           const LcBatchItem *items,
                           LcTextCache *cache,
                           LbTime now);
/* Gives an item without a text the cached one if all its versions are allowed; it then waits to be
 * continued, or counts as generated if the text is complete. Otherwise only the length of the
 * cached text is recorded, so that the longest texts start first. */
bool lc_batch_reuse_text (const LcBatchSpec *spec,
                          size_t index,
                          LcBatchItem *item,
                          const LcBatchSettings *settings);

#endif
