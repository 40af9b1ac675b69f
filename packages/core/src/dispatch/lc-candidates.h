#ifndef LC_CANDIDATES_H
#define LC_CANDIDATES_H

#include "lc-endpoint-table.h"
#include "lc-router.h"

/* The endpoints that may take a request. The same rules apply for every policy. */
typedef struct
{
  LcCandidate *items;                  /* their scores are 0 until a policy sets them */
  const LcEndpointSummary **summaries; /* parallel to items */
  size_t n_items;
  size_t capacity;
  const char *reason; /* why there are no items; NULL if there are some */
} LcCandidates;

void lc_candidates_clear (LcCandidates *candidates);
/* Replaces the previous content. */
void lc_candidates_gather (LcCandidates *candidates,
                           LcEndpoints *endpoints,
                           const LcRouteQuery *query,
                           LbTime now);

/* Builds the decision for the candidate at index chosen, including the candidates with the best
 * scores. */
LcRouteDecision
lc_candidates_decide (const LcCandidates *candidates, size_t chosen, const char *reason);
LcRouteDecision lc_candidates_decide_none (const LcCandidates *candidates);

#endif
