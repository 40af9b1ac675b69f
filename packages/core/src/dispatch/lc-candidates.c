#include "lc-candidates.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <math.h>
#include <string.h>

/* An engine is slow if its time per token is at least this multiple of the fastest engine's. */
#define SLOW_ENGINE_FACTOR 1.5
/* Longest time that a sample waits for a fast engine instead of using a slow one. An engine with 8
 * slots and samples of 1 s frees a slot every 0.13 s on average. A sample that waits longer than
 * the limit is queued behind samples as long as itself. */
#define MAX_FAST_ENGINE_WAIT_SECONDS 2.5

/* Counts the endpoints of a pool by the filter that excluded them. */
typedef struct
{
  size_t total;
  size_t leaving;
  size_t old_weights;
  size_t outdated_reports;
  size_t avoided;
  size_t too_slow;
  size_t eligible; /* endpoints that can take the request, now or once they have capacity */
} FilterCounts;

/* Inputs of a routing decision that are the same for all endpoints. */
typedef struct
{
  const LcRouteQuery *query;
  double fastest_token_seconds; /* seconds per token of the pool's fastest engine; 0: unknown */
  bool strict;                  /* excludes slow engines and endpoints that the request avoids */
  LbTime reports_valid_since;
  LbTime now;
} DecisionInputs;

void
lc_candidates_clear (LcCandidates *candidates)
{
  free (candidates->items);
  free (candidates->summaries);
  memset (candidates, 0, sizeof *candidates);
}

static void
ensure_candidate_capacity (LcCandidates *candidates, size_t n)
{
  if (candidates->capacity >= n)
    return;
  candidates->capacity = n;
  candidates->items = lb_realloc (candidates->items, n * sizeof *candidates->items);
  candidates->summaries = lb_realloc (candidates->summaries, n * sizeof *candidates->summaries);
}

static void
append_candidate (LcCandidates *candidates, const LcEndpointSummary *summary)
{
  candidates->items[candidates->n_items] = (LcCandidate){ .endpoint = summary->endpoint };
  candidates->summaries[candidates->n_items++] = summary;
}

static bool
is_endpoint_avoided (const LcRouteQuery *query, const LcEndpoint *endpoint)
{
  for (size_t i = 0; i < query->n_avoid; i++)
    if (strcmp (query->avoid[i], endpoint->member.name) == 0)
      return true;
  return false;
}

/* Whether a sample should wait for a fast engine rather than start on the given engine, which would
 * miss the soft deadline. Without this check, long samples were moved from one slow engine to the
 * next, though a fast engine had capacity a few tenths of a second later: with two of a model's
 * three engines four times slower, steps took 10.5 s instead of 8 s. The wait is bounded by the
 * time that the fast engine saves. */
static bool
is_engine_too_slow (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  const LcRouteQuery *query = inputs->query;
  double token_seconds = (double)summary->single_stream_token_seconds;
  double tokens = (double)query->expected_tokens;
  double waited = (double)(inputs->now - query->submitted) / LB_SEC;
  double time_left = (double)(query->soft_deadline - inputs->now) / LB_SEC;

  if (!lb_switch_is_on (LB_SWITCH_FULL_PACE) || query->soft_deadline == 0
      || inputs->fastest_token_seconds <= 0
      || token_seconds < SLOW_ENGINE_FACTOR * inputs->fastest_token_seconds)
    return false;
  return tokens * token_seconds > time_left
         && waited < fmin (MAX_FAST_ENGINE_WAIT_SECONDS,
                           tokens * (token_seconds - inputs->fastest_token_seconds));
}

static void
add_candidate_or_count_exclusion (LcCandidates *candidates,
                                  const LcEndpointSummary *summary,
                                  const DecisionInputs *inputs,
                                  FilterCounts *counts)
{
  const LcRouteQuery *query = inputs->query;

  counts->total++;
  if (summary->is_excluded)
    counts->leaving++;
  else if (summary->version < query->min_version)
    counts->old_weights++;
  else if (query->reported_since > 0 && summary->reported_at < query->reported_since)
    counts->outdated_reports++;
  else if (inputs->strict && query->n_avoid > 0 && is_endpoint_avoided (query, summary->endpoint))
    counts->avoided++;
  else if (inputs->strict && is_engine_too_slow (inputs, summary))
    counts->too_slow++;
  else
    {
      counts->eligible++;
      if (lc_endpoint_summary_can_accept (summary, query->kind, query->live_reserve,
                                          inputs->reports_valid_since, inputs->now))
        append_candidate (candidates, summary);
    }
}

static const char *
find_reason_without_candidates (const FilterCounts *counts)
{
  if (counts->total == 0)
    return "no-endpoint";
  if (counts->leaving == counts->total)
    return "all-leaving";
  if (counts->leaving + counts->old_weights == counts->total)
    return "too-old";
  if (counts->leaving + counts->old_weights + counts->outdated_reports == counts->total)
    return "view-too-old";
  if (counts->leaving + counts->old_weights + counts->outdated_reports + counts->avoided
      == counts->total)
    return "all-avoided";
  return "no-capacity";
}

static void
gather_group_candidates (LcCandidates *candidates,
                         const LcEndpoints *endpoints,
                         const LcEndpointGroup *group,
                         const DecisionInputs *inputs,
                         FilterCounts *counts)
{
  candidates->n_items = 0;
  for (size_t i = 0; group && i < group->n_slots; i++)
    add_candidate_or_count_exclusion (candidates, &endpoints->summaries[group->slots[i]], inputs,
                                      counts);
}

void
lc_candidates_gather (LcCandidates *candidates,
                      LcEndpoints *endpoints,
                      const LcRouteQuery *query,
                      LbTime now)
{
  LcEndpointKind kind = query->kind == LC_KIND_SERVICE ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;
  const LcEndpointGroup *group = lc_endpoints_find_group (endpoints, kind, query->pool);
  DecisionInputs inputs
      = { .query = query,
          .fastest_token_seconds = group ? group->fastest_token_seconds : 0,
          .strict = true,
          .reports_valid_since = lc_endpoints_reports_valid_since (endpoints, now),
          .now = now };
  FilterCounts counts = { 0 };

  ensure_candidate_capacity (candidates, group ? group->n_slots : 0);
  gather_group_candidates (candidates, endpoints, group, &inputs, &counts);
  candidates->reason = candidates->n_items > 0 ? NULL : find_reason_without_candidates (&counts);
  if (query->kind != LC_KIND_SAMPLE || counts.eligible > 0 || counts.avoided + counts.too_slow == 0)
    return;
  /* If only avoided or slow engines remain, a sample may use them, since it gains nothing by
   * waiting. */
  inputs.strict = false;
  gather_group_candidates (candidates, endpoints, group, &inputs, &counts);
  candidates->reason = candidates->n_items > 0 ? NULL : "no-capacity";
}

static void
insert_if_among_lowest_scores (LcRouteDecision *decision, const LcCandidate *candidate)
{
  size_t index = decision->n_shown;

  if (index == LC_MAX_SHOWN_CANDIDATES && decision->shown[index - 1].score <= candidate->score)
    return;
  if (index < LC_MAX_SHOWN_CANDIDATES)
    decision->n_shown++;
  else
    index--;
  for (; index > 0 && decision->shown[index - 1].score > candidate->score; index--)
    decision->shown[index] = decision->shown[index - 1];
  decision->shown[index] = *candidate;
}

LcRouteDecision
lc_candidates_make_decision (const LcCandidates *candidates, size_t chosen, const char *reason)
{
  LcRouteDecision decision = { .endpoint = candidates->items[chosen].endpoint,
                               .reason = reason,
                               .n_candidates = candidates->n_items };

  for (size_t i = 0; i < candidates->n_items; i++)
    insert_if_among_lowest_scores (&decision, &candidates->items[i]);
  return decision;
}

LcRouteDecision
lc_candidates_make_empty_decision (const LcCandidates *candidates)
{
  return (LcRouteDecision){ .reason = candidates->reason };
}
