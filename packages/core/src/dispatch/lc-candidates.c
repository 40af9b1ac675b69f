#include "lc-candidates.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <math.h>
#include <string.h>

/* An engine counts as slow if it needs this multiple of the fastest engine's time per token. */
#define SLOW_FACTOR 1.5
/* Longest wait of a sample for an engine at full speed. An engine with 8 slots and samples of 1 s
 * frees a slot every 0.13 s on average; a sample not placed by then queues behind others as long as
 * itself. */
#define MAX_SPEED_WAIT_SECONDS 2.5

typedef struct
{
  size_t total;
  size_t leaving;
  size_t old_weights;
  size_t outdated_reports;
  size_t avoided;
  size_t too_slow;
  size_t eligible; /* could take the request, now or once they have capacity */
} FilterCounts;

/* Inputs that are the same for all endpoints of one decision. */
typedef struct
{
  const LcRouteQuery *query;
  double fastest_token_seconds; /* seconds per token of the currently fastest engine; 0: unknown */
  bool strict;                  /* also excludes avoided endpoints and slow engines */
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
ensure_capacity (LcCandidates *candidates, size_t n)
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
is_avoided (const LcRouteQuery *query, const LcEndpoint *endpoint)
{
  for (size_t i = 0; i < query->n_avoid; i++)
    if (strcmp (query->avoid[i], endpoint->member.name) == 0)
      return true;
  return false;
}

/* Keeps a long sample away from a slow engine that is the only one with capacity. It would
 * certainly miss its soft deadline there, and was moved on to another slow engine, and so on,
 * although an engine at full speed had capacity a few tenths of a second later. The sample waits
 * for such an engine at most as long as the slow one would cost it. With two of a model's three
 * engines four times slower, steps took 10.5 s instead of 8 s. */
static bool
is_too_slow (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  const LcRouteQuery *query = inputs->query;
  double token_seconds = (double)summary->single_stream_token_seconds;
  double tokens = (double)query->expected_tokens;
  double waited = (double)(inputs->now - query->submitted) / LB_SEC;
  double time_left = (double)(query->soft_deadline - inputs->now) / LB_SEC;

  if (!lb_switch_is_on (LB_SWITCH_FULL_PACE) || query->soft_deadline == 0
      || inputs->fastest_token_seconds <= 0
      || token_seconds < SLOW_FACTOR * inputs->fastest_token_seconds)
    return false;
  return tokens * token_seconds > time_left
         && waited < fmin (MAX_SPEED_WAIT_SECONDS,
                           tokens * (token_seconds - inputs->fastest_token_seconds));
}

static void
classify (LcCandidates *candidates,
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
  else if (inputs->strict && query->n_avoid > 0 && is_avoided (query, summary->endpoint))
    counts->avoided++;
  else if (inputs->strict && is_too_slow (inputs, summary))
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
reason_without_candidates (const FilterCounts *counts)
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
classify_all (LcCandidates *candidates,
              const LcEndpoints *endpoints,
              const LcEndpointGroup *group,
              const DecisionInputs *inputs,
              FilterCounts *counts)
{
  candidates->n_items = 0;
  for (size_t i = 0; group && i < group->n_slots; i++)
    classify (candidates, &endpoints->summaries[group->slots[i]], inputs, counts);
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

  ensure_capacity (candidates, group ? group->n_slots : 0);
  classify_all (candidates, endpoints, group, &inputs, &counts);
  candidates->reason = candidates->n_items > 0 ? NULL : reason_without_candidates (&counts);
  if (query->kind != LC_KIND_SAMPLE || counts.eligible > 0 || counts.avoided + counts.too_slow == 0)
    return;
  /* Waiting gains nothing for a sample whose pool offers only avoided or slow engines, so those
   * become eligible. */
  inputs.strict = false;
  classify_all (candidates, endpoints, group, &inputs, &counts);
  candidates->reason = candidates->n_items > 0 ? NULL : "no-capacity";
}

static void
insert_shown (LcRouteDecision *decision, const LcCandidate *candidate)
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
lc_candidates_decide (const LcCandidates *candidates, size_t chosen, const char *reason)
{
  LcRouteDecision decision = { .endpoint = candidates->items[chosen].endpoint,
                               .reason = reason,
                               .n_candidates = candidates->n_items };

  for (size_t i = 0; i < candidates->n_items; i++)
    insert_shown (&decision, &candidates->items[i]);
  return decision;
}

LcRouteDecision
lc_candidates_decide_none (const LcCandidates *candidates)
{
  return (LcRouteDecision){ .reason = candidates->reason };
}
