#ifndef LC_PREFIX_INDEX_H
#define LC_PREFIX_INDEX_H

#include "lb-list.h"

/* Approximate index of the endpoints that hold a prompt prefix in their cache, from cache events,
 * which arrive late and with gaps, and from the requests sent. A wrong entry costs time, but does
 * not change answers. The index is keyed by prefix, so that a routing decision looks up the few
 * prefixes of the prompt and not every endpoint. */
typedef struct LcPrefixIndex LcPrefixIndex;

/* The prefix cache of one endpoint. Index entries of an earlier epoch are invalid. */
typedef struct
{
  uint32_t slot; /* index of the endpoint in the endpoint table */
  uint32_t epoch;
  uint64_t last_sequence; /* sequence number of the latest cache event */
  double missed_decay;    /* grows with each missed event and lowers the confidence exponentially */
} LcEndpointCache;

typedef struct
{
  uint32_t slot; /* index of the endpoint in the endpoint table */
  double share;  /* expected share of the prompt in the cache, 0..1 */
} LcCachedShare;

LcPrefixIndex *lc_prefix_index_new (void);
void lc_prefix_index_free (LcPrefixIndex *index);

/* Functions that change an LcPrefixIndex. */
void lc_prefix_index_apply_cache_event (LcPrefixIndex *index,
                                        LcEndpointCache *cache,
                                        uint64_t sequence,
                                        bool stored,
                                        uint64_t prefix,
                                        LbTime now);
void lc_prefix_index_add_sent_prefix (LcPrefixIndex *index,
                                      const LcEndpointCache *cache,
                                      uint64_t prefix,
                                      LbTime now);

/* Functions that only read an LcPrefixIndex. */
/* prefixes: hashes of the prompt's prefixes, shortest first; caches: indexed by slot of the
 * endpoint, NULL for a free slot. Fills in at most max shares, one for each prefix and
 * endpoint that holds it, and returns their number. */
size_t lc_prefix_index_find_cached_shares (const LcPrefixIndex *index,
                                           const uint64_t *prefixes,
                                           size_t n_prefixes,
                                           const LcEndpointCache *const *caches,
                                           size_t n_caches,
                                           LbTime now,
                                           LcCachedShare *shares,
                                           size_t max);
/* Expected share of the prompt in the cache of one endpoint, 0..1: the largest share over the
 * prompt's prefixes. */
double lc_prefix_index_expected_cached_share (const LcPrefixIndex *index,
                                              const uint64_t *prefixes,
                                              size_t n_prefixes,
                                              const LcEndpointCache *cache,
                                              LbTime now);

#endif
