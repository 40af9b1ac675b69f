#ifndef LC_CANDIDATES_H
#define LC_CANDIDATES_H

#include "lc-endpoint-table.h"
#include "lc-router.h"

/* The endpoints that can take a request now. Every policy chooses among the same candidates. */
typedef struct
{
  LcCandidate *items; /* array of the candidates; their scores are 0 until a policy sets them */
  const LcEndpointSummary **summaries; /* endpoint summaries of the candidates, in the same order */
  size_t n_items;
  size_t capacity;
  const char *reason; /* why no endpoint can take the request; NULL if any can */
} LcCandidates;

void lc_candidates_clear (LcCandidates *candidates);
/* Replaces the list with the endpoints that can take the query's request now. */
void lc_candidates_gather (LcCandidates *candidates,
                           LcEndpoints *endpoints,
                           const LcRouteQuery *query,
                           LbTime now);

/* Builds the decision for the candidate at index chosen; lists the candidates with the lowest
 * scores. */
LcRouteDecision
lc_candidates_make_decision (const LcCandidates *candidates, size_t chosen, const char *reason);
LcRouteDecision lc_candidates_make_empty_decision (const LcCandidates *candidates);

#endif
