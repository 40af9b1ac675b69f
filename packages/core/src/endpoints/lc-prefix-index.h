#ifndef LC_PREFIX_INDEX_H
#define LC_PREFIX_INDEX_H

#include "lb-list.h"

/* Which endpoints are believed to hold which prompt prefixes in their caches. Built from cache
 * events that come late and with gaps, and from what was sent. A wrong belief costs time, never an
 * answer. Kept by prefix, so that a decision looks up the prompt's few prefixes and not every
 * endpoint. */
typedef struct LcPrefixIndex LcPrefixIndex;

/* An endpoint as the belief knows it: whatever was believed under an earlier epoch is void. */
typedef struct
{
  uint32_t slot;
  uint32_t epoch;
  uint64_t last_sequence; /* of cache events */
  double lost;            /* grows with each event missed */
} LcEndpointCache;

typedef struct
{
  uint32_t slot;
  double share; /* of the prompt, 0..1 */
} LcCachedShare;

LcPrefixIndex *lc_prefix_index_new (void);
void lc_prefix_index_free (LcPrefixIndex *belief);

/* commands */
void lc_prefix_index_apply_event (LcPrefixIndex *belief,
                                  LcEndpointCache *view,
                                  uint64_t sequence,
                                  bool stored,
                                  uint64_t prefix,
                                  LbTime now);
void lc_prefix_index_add_sent (LcPrefixIndex *belief,
                               const LcEndpointCache *view,
                               uint64_t prefix,
                               LbTime now);

/* queries */
/* Fills at most max shares, one for each pair of prefix and holder, and returns how many. */
size_t lc_prefix_index_find_shares (const LcPrefixIndex *belief,
                                    const uint64_t *prefixes,
                                    size_t n_prefixes,
                                    const LcEndpointCache *const *views,
                                    size_t n_views,
                                    LbTime now,
                                    LcCachedShare *shares,
                                    size_t max);
double lc_prefix_index_share (const LcPrefixIndex *belief,
                              const uint64_t *prefixes,
                              size_t n_prefixes,
                              const LcEndpointCache *view,
                              LbTime now);

#endif
