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
/* An engine is worth waiting for if the request is expected to end there earlier by this share of
 * the time that it takes at a free engine, and by this time, which covers the delay until a free
 * slot is noticed. */
#define MIN_WAIT_GAIN_SHARE 0.1
#define MIN_WAIT_GAIN_SECONDS 0.05
/* Longest wait for a faster engine, as a multiple of the time that the engine saves. Shorter limits
 * make requests wait and then use a slow engine after all. */
#define MAX_WAIT_PER_GAIN 2
/* A request uses any engine if it meets its soft deadline there with this multiple of its expected
 * duration. */
#define SHORT_REQUEST_SAFETY_FACTOR 4
/* An engine that has sent nothing for this time may have stopped, so its slots are not expected to
 * become free. */
#define MAX_STALL_OF_AWAITED_ENGINE LB_SEC
/* Mean length of streams that is assumed until one has ended. */
#define DEFAULT_REQUEST_TOKENS 64

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
  bool has_lasting_paces;       /* the lasting paces of endpoints in the group are known */
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
  else if (inputs->strict && !inputs->has_lasting_paces && is_engine_too_slow (inputs, summary))
    counts->too_slow++;
  else
    {
      counts->eligible++;
      if (lc_endpoint_summary_can_accept (summary, query->kind, query->live_reserve,
                                          inputs->reports_valid_since, inputs->now))
        append_candidate (candidates, summary);
    }
}

/* Whether the engine has sent nothing for a time although no request was sent to it or ended
 * meanwhile. */
static bool
is_engine_stalled (const LcEndpoint *endpoint, LbTime now)
{
  LbTime changed_at
      = lc_in_flight_history_last_change_at (&lc_endpoint_to_entry (endpoint)->in_flight_history);

  return now - endpoint->last_reply_at > MAX_STALL_OF_AWAITED_ENGINE
         && now - changed_at > MAX_STALL_OF_AWAITED_ENGINE;
}

/* Whether a slot of the full endpoint could be used by the request once it is free. */
static bool
is_usable_when_free (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  const LcRouteQuery *query = inputs->query;

  return !summary->is_excluded && !summary->needs_full_check && summary->in_flight > 0
         && summary->version >= query->min_version && summary->reported_at >= query->reported_since
         && !is_engine_stalled (summary->endpoint, inputs->now)
         && !(query->n_avoid > 0 && is_endpoint_avoided (query, summary->endpoint));
}

/* Full engines that are faster than those with a free slot. */
typedef struct
{
  double slots_per_second; /* rate at which slots become free */
  double run_seconds;      /* expected time of the request at one of the engines */
} FasterEngines;

/* Finds the full engines at which the request takes less than limit_seconds. Their slots become
 * free at the rate at which streams of mean length end. */
static FasterEngines
find_faster_engines (const LcEndpoints *endpoints,
                     const LcEndpointGroup *group,
                     const DecisionInputs *inputs,
                     double limit_seconds)
{
  double tokens = (double)inputs->query->expected_tokens;
  double mean_tokens
      = group->mean_request_tokens > 0 ? group->mean_request_tokens : DEFAULT_REQUEST_TOKENS;
  FasterEngines faster = { 0 };

  for (size_t i = 0; i < group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &endpoints->summaries[group->slots[i]];
      double run = lc_endpoint_summary_expected_seconds (summary, group, tokens, inputs->now);
      double rate = 0;

      if (run <= 0 || run >= limit_seconds || !is_usable_when_free (inputs, summary))
        continue;
      rate = summary->in_flight
             / lc_endpoint_summary_expected_seconds (summary, group, mean_tokens, inputs->now);
      faster.slots_per_second += rate;
      faster.run_seconds += rate * run;
    }
  if (faster.slots_per_second > 0)
    faster.run_seconds /= faster.slots_per_second;
  return faster;
}

/* Returns the lowest expected time of the request at a candidate; 0: not known. */
static double
find_shortest_run_seconds (const LcCandidates *candidates,
                           const LcEndpointGroup *group,
                           const DecisionInputs *inputs)
{
  double tokens = (double)inputs->query->expected_tokens;
  double shortest = HUGE_VAL;

  for (size_t i = 0; i < candidates->n_items; i++)
    shortest = fmin (shortest, lc_endpoint_summary_expected_seconds (candidates->summaries[i],
                                                                     group, tokens, inputs->now));
  return shortest;
}

/* Whether the request is short enough to use any engine: even if it turns out several times longer
 * than expected, it meets its soft deadline. */
static bool
is_request_short (const LcRouteQuery *query, double run_seconds, LbTime now)
{
  return query->soft_deadline > 0
         && SHORT_REQUEST_SAFETY_FACTOR * run_seconds
                <= (double)(query->soft_deadline - now) / LB_SEC;
}

/* Whether the request is expected to end earlier if it waits for a slot of a faster engine than if
 * it uses a candidate now. Shorter requests behind it in the queue may use the candidates
 * meanwhile. */
static bool
is_waiting_for_faster_engine_better (const LcCandidates *candidates,
                                     const LcEndpoints *endpoints,
                                     const LcEndpointGroup *group,
                                     const DecisionInputs *inputs)
{
  const LcRouteQuery *query = inputs->query;
  LbTime awaits_faster_since
      = query->awaits_faster_since > 0 ? query->awaits_faster_since : query->submitted;
  double waited = (double)(inputs->now - awaits_faster_since) / LB_SEC;
  double run_seconds = find_shortest_run_seconds (candidates, group, inputs);
  double limit_seconds = run_seconds * (1 - MIN_WAIT_GAIN_SHARE) - MIN_WAIT_GAIN_SECONDS;
  FasterEngines faster;

  if (waited >= MAX_FAST_ENGINE_WAIT_SECONDS || limit_seconds <= 0
      || is_request_short (query, run_seconds, inputs->now))
    return false;
  faster = find_faster_engines (endpoints, group, inputs, limit_seconds);
  return faster.slots_per_second > 0
         && waited < MAX_WAIT_PER_GAIN * (run_seconds - faster.run_seconds)
         && (double)(query->n_waiting_ahead + 1) / faster.slots_per_second + faster.run_seconds
                < limit_seconds;
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
  const LcEndpointGroup *group
      = lc_endpoints_find_group (endpoints, kind, query->pool, query->service);
  DecisionInputs inputs
      = { .query = query,
          .fastest_token_seconds = group ? group->fastest_token_seconds : 0,
          .has_lasting_paces = group && group->median_lasting_token_seconds > 0,
          .strict = true,
          .reports_valid_since = lc_endpoints_reports_valid_since (endpoints, now),
          .now = now };
  FilterCounts counts = { 0 };

  ensure_candidate_capacity (candidates, group ? group->n_slots : 0);
  gather_group_candidates (candidates, endpoints, group, &inputs, &counts);
  candidates->reason = candidates->n_items > 0 ? NULL : find_reason_without_candidates (&counts);
  if (candidates->n_items > 0 && inputs.has_lasting_paces && query->kind == LC_KIND_SAMPLE
      && !query->is_hedge && lb_switch_is_on (LB_SWITCH_FULL_PACE)
      && is_waiting_for_faster_engine_better (candidates, endpoints, group, &inputs))
    {
      candidates->n_items = 0;
      candidates->reason = LC_ROUTE_AWAITS_FASTER;
      return;
    }
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
