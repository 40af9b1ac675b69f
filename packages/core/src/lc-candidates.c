#include "lc-candidates.h"

#include "lb-alloc.h"

#include <string.h>

typedef struct
{
  size_t known;
  size_t leaving;
  size_t too_old;
  size_t avoided;
} Refusals;

void
lc_candidates_clear (LcCandidates *candidates)
{
  free (candidates->items);
  free (candidates->summaries);
  memset (candidates, 0, sizeof *candidates);
}

static void
reserve (LcCandidates *candidates, size_t n)
{
  if (candidates->capacity >= n)
    return;
  candidates->capacity = n;
  candidates->items = lb_realloc (candidates->items, n * sizeof *candidates->items);
  candidates->summaries = lb_realloc (candidates->summaries, n * sizeof *candidates->summaries);
}

static void
add (LcCandidates *candidates, const LcSummary *summary)
{
  candidates->items[candidates->n_items] = (LcCandidate){ .endpoint = summary->endpoint };
  candidates->summaries[candidates->n_items++] = summary;
}

static bool
is_avoided (const LcRouteQuery *query, const LcEndpoint *endpoint)
{
  for (size_t i = 0; i < query->n_avoid; i++)
    if (strcmp (query->avoid[i], endpoint->member.name) == 0)
      return true;
  return false;
}

static void
weigh (LcCandidates *candidates,
       const LcSummary *summary,
       const LcRouteQuery *query,
       Refusals *refusals,
       LbTime void_before,
       LbTime now)
{
  refusals->known++;
  if (summary->is_out)
    refusals->leaving++;
  else if (summary->version < query->min_version)
    refusals->too_old++;
  else if (query->n_avoid > 0 && is_avoided (query, summary->endpoint))
    refusals->avoided++;
  else if (lc_summary_may_take (summary, query->kind, query->live_reserve, void_before, now))
    add (candidates, summary);
}

static const char *
reason_for_none (const Refusals *refusals)
{
  if (refusals->known == 0)
    return "no-endpoint";
  if (refusals->leaving == refusals->known)
    return "all-leaving";
  if (refusals->leaving + refusals->too_old == refusals->known)
    return "too-old";
  if (refusals->leaving + refusals->too_old + refusals->avoided == refusals->known)
    return "all-avoided";
  return "no-capacity";
}

void
lc_candidates_gather (LcCandidates *candidates,
                      LcEndpoints *endpoints,
                      const LcRouteQuery *query,
                      LbTime now)
{
  LcEndpointKind kind = query->kind == LC_KIND_SERVICE ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;
  const LcEndpointGroup *group = lc_endpoints_group (endpoints, kind, query->pool);
  LbTime void_before = lc_endpoints_void_before (endpoints, now);
  Refusals refusals = { 0 };

  candidates->n_items = 0;
  reserve (candidates, group ? group->n_slots : 0);
  for (size_t i = 0; group && i < group->n_slots; i++)
    weigh (candidates, &endpoints->summaries[group->slots[i]], query, &refusals, void_before, now);
  candidates->reason = candidates->n_items > 0 ? NULL : reason_for_none (&refusals);
}

static void
show (LcRouteDecision *decision, const LcCandidate *candidate)
{
  size_t at = decision->n_shown;

  if (at == LC_MAX_SHOWN && decision->shown[at - 1].score <= candidate->score)
    return;
  if (at < LC_MAX_SHOWN)
    decision->n_shown++;
  else
    at--;
  for (; at > 0 && decision->shown[at - 1].score > candidate->score; at--)
    decision->shown[at] = decision->shown[at - 1];
  decision->shown[at] = *candidate;
}

LcRouteDecision
lc_candidates_decide (const LcCandidates *candidates, size_t chosen, const char *reason)
{
  LcRouteDecision decision = { .endpoint = candidates->items[chosen].endpoint,
                               .reason = reason,
                               .n_candidates = candidates->n_items };

  for (size_t i = 0; i < candidates->n_items; i++)
    show (&decision, &candidates->items[i]);
  return decision;
}

LcRouteDecision
lc_candidates_decide_nobody (const LcCandidates *candidates)
{
  return (LcRouteDecision){ .reason = candidates->reason };
}
