#include "lc-policies.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <math.h>

/* The default policy: chooses the endpoint with the lowest expected finish time. Draws at random
 * among the endpoints that arrivals since the last load reports may have filled to the same level
 * (see find_fill_level). See docs/design/0002-routing.md. */

/* Seconds in one unit of LbTime. Used as a factor, because a division for each candidate would cost
 * more. */
#define SECONDS_PER_LB_TIME 1e-6
/* One-way network latency between two data centres; latency within a data centre is taken as 0. */
#define DATA_CENTRE_LATENCY ((double)LB_MSEC / 2)
#define DEFAULT_EXPECTED_TOKENS 64
#define DEFAULT_SERVICE_SECONDS 1.0
#define PREFILL_TOKENS_PER_SECOND 8000.0
/* Part of a prefill's duration by which the prefill delays each concurrent request. */
#define PREFILL_SLOWDOWN 0.5
/* Added to the number of requests sent to each endpoint, so that their sum is never 0. */
#define PRIOR_SENT_REQUESTS 0.02
/* Weight of one decision in the moving average LcEndpointGroup.prefix_bound_share. */
#define PREFIX_BOUND_EWMA_WEIGHT 0.02
/* Time to open a connection to a plain service: a round trip and the endpoint's own work. */
#define CONNECT_SECONDS 0.003
/* Time after which an idle connection counts as closed by the endpoint. */
#define IDLE_CONNECTION_LIFETIME (5 * LB_SEC)
/* An endpoint is unresponsive if it has been silent for MIN_SILENCE_SECONDS and for this multiple
 * of the mean age of the load reports. */
#define SILENCE_REPORT_AGE_FACTOR 3.0
#define MIN_SILENCE_SECONDS 2.0
/* Relative difference up to which two scores count as equal. */
#define SCORE_TOLERANCE 0.002
/* Minimum weight of a candidate in draw_candidate, as a number of requests; used if the load cost
 * of the endpoint is above the fill level. */
#define MIN_DRAW_WEIGHT 0.01

/* Inputs of a routing decision that are the same for all candidates. */
typedef struct
{
  const LcEndpoints *endpoints;
  LcEndpointGroup *group; /* endpoints of the pool; not NULL, since there are candidates */
  const LcRouteQuery *query;
  const double *cached_shares;
  double mean_service_seconds;
  /* relative increase of the time per token from one stream to a full batch */
  double full_batch_slowdown;
  double expected_tokens;
  double full_prefill_seconds; /* time to process the whole prompt, if no part is cached */
  /* estimated number of requests that other instances have sent since the load reports, except
   * requests routed to a cached prefix */
  double n_arrived_since_reports;
  /* estimated number of requests that other instances have routed to an endpoint's cached prefixes
   * since the endpoint's report, per request that this instance has sent to the endpoint */
  double prefix_bound_per_sent;
  double silence_limit_seconds;
  int data_centre;
  LbTime now;
} DecisionInputs;

/* Unlike fmax and fmin, max_of and min_of don't handle NaN, which would cost a function call per
 * candidate. */
static inline double
max_of (double a, double b)
{
  return a > b ? a : b;
}

static inline double
min_of (double a, double b)
{
  return a < b ? a : b;
}

static DecisionInputs
make_decision_inputs (LcPolicy *policy,
                      LcEndpoints *endpoints,
                      const LcRouteQuery *query,
                      LbTime now)
{
  LcEndpointKind kind = query->kind == LC_KIND_SERVICE ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;
  LcEndpointGroup *group = lc_endpoints_find_group (endpoints, kind, query->pool, query->service);
  double seconds = group->mean_service_seconds;
  int64_t tokens = query->expected_tokens > 0 ? query->expected_tokens : DEFAULT_EXPECTED_TOKENS;

  return (DecisionInputs){
    .endpoints = endpoints,
    .group = group,
    .query = query,
    .cached_shares = lc_policy_compute_cached_prompt_shares (policy, endpoints, query, now),
    .mean_service_seconds = seconds > 0 ? seconds : DEFAULT_SERVICE_SECONDS,
    .full_batch_slowdown = group->is_uneven && group->stream_slowdown > 0 ? group->stream_slowdown
                                                                          : group->batch_slowdown,
    .expected_tokens = (double)tokens,
    .data_centre = lc_endpoints_find_data_centre (endpoints, query->data_centre),
    .now = now,
  };
}

static double
load_report_age_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  if (summary->reported_at == LC_NEVER_REPORTED)
    return 0;
  return (double)(inputs->now - summary->reported_at) * SECONDS_PER_LB_TIME;
}

/* Returns the fraction of the other instances' requests in the last load report that is expected to
 * be still running. */
static double
still_running_fraction (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  return inputs->mean_service_seconds
         / (inputs->mean_service_seconds + load_report_age_seconds (inputs, summary));
}

/* Returns the penalty of an unresponsive endpoint. Its last reported requests are expected to
 * finish, so without a penalty it would look emptier every second and attract requests of all
 * instances. An endpoint silent for longer than others is expected to stay silent as long again.
 * Any reply resets the penalty. */
static double
silence_penalty_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  double age = load_report_age_seconds (inputs, summary);
  double since_reply = 0;

  if (age < inputs->silence_limit_seconds)
    return 0;
  since_reply = (double)(inputs->now - summary->endpoint->last_reply_at) / LB_SEC;
  since_reply = since_reply < age ? since_reply : age;
  return since_reply < inputs->silence_limit_seconds ? 0 : since_reply;
}

static double
remaining_weight_swap_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  const LcEndpoint *endpoint = summary->endpoint;

  if (!summary->needs_full_check || !endpoint->swap_pending || endpoint->swap_until <= inputs->now)
    return 0;
  return (double)(endpoint->swap_until - inputs->now) / LB_SEC;
}

/* Returns the expected time to do this request's work at the endpoint, if the request runs alone.
 * The duration of requests to plain services varies more between requests than between endpoints,
 * so only the ratio of an endpoint's duration to the group's is used. */
static double
estimate_decode_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  const LcEndpointGroup *group = inputs->group;
  bool is_service = inputs->query->kind == LC_KIND_SERVICE;
  double median = group->median_lasting_token_seconds;
  double units = is_service ? 1 : inputs->expected_tokens;
  double seconds
      = median > 0 ? lc_endpoint_summary_expected_seconds (summary, group, units, inputs->now) : 0;

  if (is_service)
    return inputs->mean_service_seconds * (seconds > 0 ? seconds / median : 1);
  return seconds > 0 ? seconds : units * (double)summary->single_stream_token_seconds;
}

/* Returns the cost of waiting and decoding at this load, and how many requests raise the cost by a
 * second. A larger batch slows down all of its requests, so an added request is counted twice: for
 * its own time and for the delay of the others. */
static LcLoadCost
estimate_load_cost (const DecisionInputs *inputs, const LcEndpointSummary *summary, double load)
{
  double per_slot = (double)summary->inverse_capacity;
  double decode = estimate_decode_seconds (inputs, summary);
  double full = 2 * decode * inputs->full_batch_slowdown;
  double fill = (load + 1) * per_slot;
  double slope = fill <= 1 ? full : inputs->mean_service_seconds;

  return (LcLoadCost){ .seconds = decode + full + (fill - 1) * slope,
                       .capacity_per_second = 1 / (slope * per_slot) };
}

static size_t
get_slot (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  return (size_t)(summary - inputs->endpoints->summaries);
}

/* Returns the cost of processing the part of the prompt that is not cached, including the delay of
 * concurrent requests. Their number is the average over all endpoints (see estimate_arrivals),
 * since the number at one endpoint is as old as the endpoint's report. */
static double
prefill_cost_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  if (!lb_switch_is_on (LB_SWITCH_PREFIX_AFFINITY))
    return inputs->full_prefill_seconds;
  return inputs->full_prefill_seconds * (1 - inputs->cached_shares[get_slot (inputs, summary)]);
}

/* Returns the cost of a new connection to a service endpoint; 0 if a connection was used recently.
 * An instance that calls rarely and rotates over all endpoints would find its connections closed
 * each time, and many such instances would exhaust the connections that an endpoint allows. */
static double
connect_cost_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  if (inputs->query->kind != LC_KIND_SERVICE)
    return 0;
  return inputs->now - summary->endpoint->last_reply_at < IDLE_CONNECTION_LIFETIME
             ? 0
             : CONNECT_SECONDS;
}

static double
network_latency_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  if (inputs->data_centre == summary->data_centre)
    return 0;
  return 2 * DATA_CENTRE_LATENCY / LB_SEC;
}

static void
ensure_load_costs_capacity (LcPolicy *policy)
{
  if (policy->n_load_costs >= policy->candidates.n_items)
    return;
  policy->n_load_costs = policy->candidates.n_items;
  policy->load_costs
      = lb_realloc (policy->load_costs, policy->n_load_costs * sizeof *policy->load_costs);
}

/* Estimates the requests that have arrived since the load reports, and sets the inputs that depend
 * on all candidates. Requests that have finished since the reports are assumed to be replaced by as
 * many arrivals. */
static void
estimate_arrivals (LcPolicy *policy, DecisionInputs *inputs)
{
  size_t n = policy->candidates.n_items;
  double prefill = (double)inputs->query->prompt_tokens / PREFILL_TOKENS_PER_SECOND;
  double total = 0;
  double n_arrived_since_reports = 0;
  double sent = 0;
  double age = 0;

  for (size_t i = 0; i < n; i++)
    {
      const LcEndpointSummary *summary = policy->candidates.summaries[i];
      double others = (double)summary->other_requests;
      double remaining = others * still_running_fraction (inputs, summary);

      n_arrived_since_reports += others - remaining;
      total += others + summary->in_flight;
      age += load_report_age_seconds (inputs, summary);
      sent += summary->live_sent_since_report + PRIOR_SENT_REQUESTS;
      /* seconds holds the candidate's load until compute_all_load_costs replaces it by the load
       * cost */
      policy->load_costs[i].seconds = remaining;
    }
  inputs->n_arrived_since_reports
      = n_arrived_since_reports * (1 - inputs->group->prefix_bound_share);
  inputs->prefix_bound_per_sent
      = n_arrived_since_reports * inputs->group->prefix_bound_share / sent;
  inputs->silence_limit_seconds
      = max_of (MIN_SILENCE_SECONDS, SILENCE_REPORT_AGE_FACTOR * age / (double)n);
  inputs->full_prefill_seconds = prefill * (1 + PREFILL_SLOWDOWN * total / (double)n);
}

/* Sets the load cost of each candidate. Returns the level of load cost that would result if the
 * arrivals filled all candidates. */
static double
compute_all_load_costs (LcPolicy *policy, const DecisionInputs *inputs)
{
  double weight = 0;
  double sum = inputs->n_arrived_since_reports + 1;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcEndpointSummary *summary = policy->candidates.summaries[i];
      double prefix_bound
          = inputs->prefix_bound_per_sent * (summary->live_sent_since_report + PRIOR_SENT_REQUESTS);
      double load = policy->load_costs[i].seconds + prefix_bound + summary->in_flight;
      LcLoadCost cost = estimate_load_cost (inputs, summary, load);

      policy->load_costs[i] = cost;
      weight += cost.capacity_per_second;
      sum += cost.capacity_per_second * cost.seconds;
    }
  return sum / weight;
}

/* Returns the level of load cost that is reached if the arrivals are spread over the candidates
 * below the given level; HUGE_VAL if no candidate is below. */
static double
compute_fill_level_below (const LcPolicy *policy, double arrivals, double level)
{
  double weight = 0;
  double sum = arrivals;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcLoadCost *cost = &policy->load_costs[i];
      double capacity = cost->seconds < level ? cost->capacity_per_second : 0;

      weight += capacity;
      sum += capacity * cost->seconds;
    }
  return weight > 0 ? sum / weight : HUGE_VAL;
}

/* Water-filling: the arrivals fill the least loaded candidates first; returns the level of load
 * cost to which these rise. Newton's method on a convex, piecewise linear function: after the first
 * step the level only falls, and the iteration ends when the level stays. It starts from the
 * level_ratio of the previous decision. */
static double
find_fill_level (LcPolicy *policy, double arrivals, double all_filled)
{
  double level = compute_fill_level_below (policy, arrivals, all_filled * policy->level_ratio);
  double next = compute_fill_level_below (policy, arrivals, level);

  while (next < level)
    {
      level = next;
      next = compute_fill_level_below (policy, arrivals, level);
    }
  policy->level_ratio = level / all_filled;
  return level;
}

/* Sets the scores of all candidates and returns the lowest score. */
static double
score_candidates (LcPolicy *policy, const DecisionInputs *inputs, double level)
{
  double lowest = HUGE_VAL;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcEndpointSummary *summary = policy->candidates.summaries[i];
      double score
          = max_of (level, policy->load_costs[i].seconds)
            + network_latency_seconds (inputs, summary) + connect_cost_seconds (inputs, summary)
            + remaining_weight_swap_seconds (inputs, summary)
            + silence_penalty_seconds (inputs, summary) + prefill_cost_seconds (inputs, summary);

      policy->candidates.items[i].score = score;
      lowest = min_of (lowest, score);
    }
  return lowest;
}

static bool
has_idle_connection (const LcEndpoint *endpoint, LbTime now)
{
  return endpoint->idle_connections > 0
         && now - endpoint->idle_connections_at < IDLE_CONNECTION_LIFETIME;
}

static bool
is_near_lowest_score (const LcPolicy *policy, size_t index, double lowest)
{
  return policy->candidates.items[index].score <= lowest * (1 + SCORE_TOLERANCE);
}

/* Whether this instance has an idle connection to a candidate near the lowest score. */
static bool
any_lowest_scored_has_idle_connection (const LcPolicy *policy, double lowest, LbTime now)
{
  for (size_t i = 0; i < policy->candidates.n_items; i++)
    if (is_near_lowest_score (policy, i, lowest)
        && has_idle_connection (policy->candidates.summaries[i]->endpoint, now))
      return true;
  return false;
}

/* Draws one of the candidates near the lowest score. The weight of a candidate is the number of
 * requests that would raise its load cost to the fill level. Candidates with an idle connection are
 * preferred: the requests of a training step start together, and each would otherwise open a
 * connection. */
static size_t
draw_candidate (LcPolicy *policy, double level, double lowest, LbTime now)
{
  bool prefer_connected = any_lowest_scored_has_idle_connection (policy, lowest, now);
  double total = 0;
  size_t chosen = 0;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcLoadCost *cost = &policy->load_costs[i];
      double weight = max_of (MIN_DRAW_WEIGHT, (level - cost->seconds) * cost->capacity_per_second);

      if (!is_near_lowest_score (policy, i, lowest)
          || (prefer_connected
              && !has_idle_connection (policy->candidates.summaries[i]->endpoint, now)))
        continue;
      total += weight;
      if (gsl_rng_uniform (policy->rng) * total < weight)
        chosen = i;
    }
  return chosen;
}

/* Avoids herding: all instances see the same reports, so if each chose the lowest score, one
 * endpoint would get all requests until the next report. Endpoints below the fill level are
 * therefore scored as if the requests that have arrived since the reports had already filled them.
 * This makes many scores equal, and the draw gives each endpoint its part of the arrivals. */
static size_t
pick_least_finish_time (LcPolicy *policy,
                        LcEndpoints *endpoints,
                        const LcRouteQuery *query,
                        LbTime now)
{
  DecisionInputs inputs = make_decision_inputs (policy, endpoints, query, now);

  ensure_load_costs_capacity (policy);
  estimate_arrivals (policy, &inputs);

  double all_filled = compute_all_load_costs (policy, &inputs);
  double level = find_fill_level (policy, inputs.n_arrived_since_reports + 1, all_filled);
  double lowest = score_candidates (policy, &inputs, level);
  size_t chosen = draw_candidate (policy, level, lowest, now);
  bool is_prefix_bound
      = inputs.cached_shares[get_slot (&inputs, policy->candidates.summaries[chosen])] > 0;

  inputs.group->prefix_bound_share
      += PREFIX_BOUND_EWMA_WEIGHT * ((is_prefix_bound ? 1 : 0) - inputs.group->prefix_bound_share);
  lc_policy_clear_cached_prompt_shares (policy);
  return chosen;
}

static LcRouter *
create_finish_time_policy (uint64_t seed)
{
  return lc_policy_new (&lc_policy_finish_time, seed);
}

const LcPolicyClass lc_policy_finish_time = {
  .base = { .name = "lentilspindle",
            .create = create_finish_time_policy,
            .destroy = lc_policy_free,
            .choose = lc_policy_choose_endpoint },
  .reason = "least-finish-time",
  .pick = pick_least_finish_time,
};
