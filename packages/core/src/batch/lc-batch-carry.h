#ifndef LC_BATCH_CARRY_H
#define LC_BATCH_CARRY_H

#include "lc-batch-item.h"

/* Texts that go from one batch to the next. A trainer that got enough whole groups ends its step,
 * and asks for the groups that were not whole again in a later one, with the same ids. Made anew,
 * a text of 190 events takes its 7 s again and is late again; carried on it needs what was left of
 * it. Private to LcBatch. */

/* Leaves what was made of the groups that are not whole. */
void lc_batch_carry_leave (const LcBatchSpec *spec,
                           const LcBatchItem *items,
                           LcTextCache *carried,
                           LbTime now);
/* Takes what an earlier batch left of an item that has nothing yet, where its versions fit; else
 * its length alone, so that the longest begins first. The item then waits to go on, or is
 * generated. */
bool lc_batch_carry_take (const LcBatchSpec *spec,
                          size_t index,
                          LcBatchItem *item,
                          const LcBatchSettings *settings);

#endif
