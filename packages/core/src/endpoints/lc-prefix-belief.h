#ifndef LC_PREFIX_BELIEF_H
#define LC_PREFIX_BELIEF_H

#include "lb-list.h"

/* Which endpoints are believed to hold which prompt prefixes in their caches. Built from cache
 * events that come late and with gaps, and from what was sent. A wrong belief costs time, never an
 * answer. Kept by prefix, so that a decision looks up the prompt's few prefixes and not every
 * endpoint. */
typedef struct LcPrefixBelief LcPrefixBelief;

/* An endpoint as the belief knows it: whatever was believed under an earlier epoch is void. */
typedef struct
{
  uint32_t slot;
  uint32_t epoch;
  uint64_t last_sequence; /* of cache events */
  double lost;            /* grows with each event missed */
} LcCacheView;

typedef struct
{
  uint32_t slot;
  double share; /* of the prompt, 0..1 */
} LcBelievedShare;

LcPrefixBelief *lc_prefix_belief_new (void);
void lc_prefix_belief_free (LcPrefixBelief *belief);

/* commands */
void lc_prefix_belief_event (LcPrefixBelief *belief,
                             LcCacheView *view,
                             uint64_t sequence,
                             bool stored,
                             uint64_t prefix,
                             LbTime now);
void lc_prefix_belief_sent (LcPrefixBelief *belief,
                            const LcCacheView *view,
                            uint64_t prefix,
                            LbTime now);

/* queries */
/* Fills at most max shares, one for each pair of prefix and holder, and returns how many. */
size_t lc_prefix_belief_shares (const LcPrefixBelief *belief,
                                const uint64_t *prefixes,
                                size_t n_prefixes,
                                const LcCacheView *const *views,
                                size_t n_views,
                                LbTime now,
                                LcBelievedShare *shares,
                                size_t max);
double lc_prefix_belief_share (const LcPrefixBelief *belief,
                               const uint64_t *prefixes,
                               size_t n_prefixes,
                               const LcCacheView *view,
                               LbTime now);

#endif
