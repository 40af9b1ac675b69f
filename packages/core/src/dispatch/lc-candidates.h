#ifndef LC_CANDIDATES_H
#define LC_CANDIDATES_H

#include "lc-endpoint-table.h"
#include "lc-router.h"

/* The endpoints that may take a request, by the same rules for every policy. */
typedef struct
{
  LcCandidate *items;                  /* scores are 0 */
  const LcEndpointSummary **summaries; /* of the same candidates */
  size_t n_items;
  size_t capacity;
  const char *reason; /* why there are none; NULL when there are */
} LcCandidates;

void lc_candidates_clear (LcCandidates *candidates);
/* Replaces the content. */
void lc_candidates_gather (LcCandidates *candidates,
                           LcEndpoints *endpoints,
                           const LcRouteQuery *query,
                           LbTime now);

/* The decision for the candidate at the index, with the best few by score beside it. */
LcRouteDecision
lc_candidates_decide (const LcCandidates *candidates, size_t chosen, const char *reason);
LcRouteDecision lc_candidates_decide_nobody (const LcCandidates *candidates);

#endif
