#include "lc-candidates.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <math.h>
#include <string.h>

/* An engine counts as slow from this multiple of the pace of the fastest on. */
#define SLOW 1.5
/* Of a text for an engine at full pace. An engine of eight places with texts of a second has room
 * each 0.13 s on average; what is not placed by then stands behind texts as long as itself. */
#define MAX_WAIT_SECONDS 2.5

typedef struct
{
  size_t known;
  size_t leaving;
  size_t too_old;
  size_t unseen;
  size_t avoided;
  size_t too_slow;
  size_t hopeful; /* that may take it now or when they have room */
} Refusals;

/* What all endpoints of one decision are weighed by. */
typedef struct
{
  const LcRouteQuery *query;
  double fastest; /* seconds of a token at the fastest engine of late; 0: not known */
  bool choosy;    /* passes over what was tried and what is too slow */
  LbTime reports_valid_since;
  LbTime now;
} Scales;

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
add (LcCandidates *candidates, const LcEndpointSummary *summary)
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

/* Guards against a long text that goes to an engine that has turned slow, since that one alone has
 * room: it is late there for certain, was moved at once, to another slow one, and so on, while an
 * engine at full pace got room some tenths of a second later. It waits for one as long as it would
 * lose more at the slow one. With two of a model's three engines four times slower, steps took 10.5
 * s in place of 8. */
static bool
is_too_slow (const Scales *scales, const LcEndpointSummary *summary)
{
  const LcRouteQuery *query = scales->query;
  double pace = (double)summary->single_stream_token_seconds;
  double tokens = (double)query->expected_tokens;
  double waited = (double)(scales->now - query->submitted) / LB_SEC;
  double left = (double)(query->soft_deadline - scales->now) / LB_SEC;

  if (!lb_switch_is_on (LB_SWITCH_FULL_PACE) || query->soft_deadline == 0 || scales->fastest <= 0
      || pace < SLOW * scales->fastest)
    return false;
  return tokens * pace > left
         && waited < fmin (MAX_WAIT_SECONDS, tokens * (pace - scales->fastest));
}

static void
weigh (LcCandidates *candidates,
       const LcEndpointSummary *summary,
       const Scales *scales,
       Refusals *refusals)
{
  const LcRouteQuery *query = scales->query;

  refusals->known++;
  if (summary->is_excluded)
    refusals->leaving++;
  else if (summary->version < query->min_version)
    refusals->too_old++;
  else if (query->reported_since > 0 && summary->reported_at < query->reported_since)
    refusals->unseen++;
  else if (scales->choosy && query->n_avoid > 0 && is_avoided (query, summary->endpoint))
    refusals->avoided++;
  else if (scales->choosy && is_too_slow (scales, summary))
    refusals->too_slow++;
  else
    {
      refusals->hopeful++;
      if (lc_endpoint_summary_can_accept (summary, query->kind, query->live_reserve,
                                          scales->reports_valid_since, scales->now))
        add (candidates, summary);
    }
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
  if (refusals->leaving + refusals->too_old + refusals->unseen == refusals->known)
    return "view-too-old";
  if (refusals->leaving + refusals->too_old + refusals->unseen + refusals->avoided
      == refusals->known)
    return "all-avoided";
  return "no-capacity";
}

static void
weigh_all (LcCandidates *candidates,
           const LcEndpoints *endpoints,
           const LcEndpointGroup *group,
           const Scales *scales,
           Refusals *refusals)
{
  candidates->n_items = 0;
  for (size_t i = 0; group && i < group->n_slots; i++)
    weigh (candidates, &endpoints->summaries[group->slots[i]], scales, refusals);
}

void
lc_candidates_gather (LcCandidates *candidates,
                      LcEndpoints *endpoints,
                      const LcRouteQuery *query,
                      LbTime now)
{
  LcEndpointKind kind = query->kind == LC_KIND_SERVICE ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;
  const LcEndpointGroup *group = lc_endpoints_find_group (endpoints, kind, query->pool);
  Scales scales = { .query = query,
                    .fastest = group ? group->fastest_token_seconds : 0,
                    .choosy = true,
                    .reports_valid_since = lc_endpoints_reports_valid_since (endpoints, now),
                    .now = now };
  Refusals refusals = { 0 };

  reserve (candidates, group ? group->n_slots : 0);
  weigh_all (candidates, endpoints, group, &scales, &refusals);
  candidates->reason = candidates->n_items > 0 ? NULL : reason_for_none (&refusals);
  if (query->kind != LC_KIND_SAMPLE || refusals.hopeful > 0
      || refusals.avoided + refusals.too_slow == 0)
    return;
  /* A sample whose pool has only engines that it was moved away from, or slow ones, waits for
   * nothing better. */
  scales.choosy = false;
  weigh_all (candidates, endpoints, group, &scales, &refusals);
  candidates->reason = candidates->n_items > 0 ? NULL : "no-capacity";
}

static void
show (LcRouteDecision *decision, const LcCandidate *candidate)
{
  size_t at = decision->n_shown;

  if (at == LC_MAX_SHOWN_CANDIDATES && decision->shown[at - 1].score <= candidate->score)
    return;
  if (at < LC_MAX_SHOWN_CANDIDATES)
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
