#ifndef LC_BATCH_REUSE_H
#define LC_BATCH_REUSE_H

#include "lc-batch-item.h"

/* This header declares the reuse of texts by a later batch. A trainer ends its step when enough
 * groups are complete, and requests the incomplete groups again in a later step with the same item
 * ids. Generating a text of 190 events again takes 7 s and makes that step late too; continuing the
 * text takes only the remaining part of the 7 s. Private to LcBatch. */

/* Stores the texts of incomplete groups in the cache. */
void lc_batch_cache_texts_of_incomplete_groups (const LcBatchSpec *spec,
                                                const LcBatchItem *items,
                                                LcTextCache *cache,
                                                LbTime now);
/* Sets the text of an item that has none to its cached text and returns true, if all weight
 * versions of the cached text are allowed. A complete text makes the item ITEM_GENERATED. Otherwise
 * records only the length of the cached text, so that the longest texts start first. */
bool lc_batch_reuse_cached_item_text (const LcBatchSpec *spec,
                                      size_t index,
                                      LcBatchItem *item,
                                      const LcBatchSettings *settings);

#endif
