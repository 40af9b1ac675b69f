#include "lc-policies.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <math.h>

/* The default policy: lowest expected finish time, with a weighted random choice among the
 * endpoints that unreported arrivals may have filled to the same level (see find_level). See
 * docs/design/0002-routing.md. */

#define SECONDS_PER_LB_TIME 1e-6 /* a factor: cheaper per candidate than a division */
/* One way between data centres; taken as 0 within one. */
#define DATA_CENTRE_LATENCY ((double)LB_MSEC / 2)
#define DEFAULT_EXPECTED_TOKENS 64
#define DEFAULT_SERVICE_SECONDS 1.0
#define PREFILL_TOKENS_PER_SECOND 8000.0
#define PREFILL_SLOWDOWN 0.5 /* part of its duration by which it delays each concurrent request */
#define PRIOR_SENT 0.02      /* added to the requests sent to each endpoint, which may be 0 */
#define PREFIX_BOUND_EWMA_WEIGHT 0.02 /* weight of one decision in prefix_bound_share */
#define MIN_SILENCE_SECONDS 2.0
/* Opening a connection to a plain service: a round trip and the endpoint's own work. */
#define CONNECT_SECONDS 0.003
/* Endpoints close connections that were idle for some seconds. */
#define CONNECTION_KEEP_TIME (5 * LB_SEC)
#define SILENCE_FACTOR 3.0    /* multiple of the mean age of reports */
#define SCORE_TOLERANCE 0.002 /* relative difference up to which scores count as equal */
#define MIN_DRAW_WEIGHT 0.01  /* draw weight of an endpoint filled above the level, in requests */

/* What is the same for all candidates of one decision. */
typedef struct
{
  const LcEndpoints *endpoints;
  LcEndpointGroup *group; /* of the pool; exists, since there are candidates */
  const LcRouteQuery *query;
  const double *cached_shares;
  double mean_service_seconds;
  double expected_tokens;
  double full_prefill_seconds;  /* with nothing cached */
  double unreported;            /* arrivals since the reports that may have gone to any endpoint */
  double prefix_bound_per_sent; /* arrivals bound to a cached prefix, per request sent there by this
                                   instance */
  double silence_limit_seconds;
  int data_centre;
  LbTime now;
} DecisionInputs;

/* Avoid the function calls per candidate that fmax and fmin cost for their NaN rules. */
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
make_inputs (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  LcEndpointKind kind = query->kind == LC_KIND_SERVICE ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;
  LcEndpointGroup *group = lc_endpoints_find_group (endpoints, kind, query->pool);
  double seconds = group->mean_service_seconds;
  int64_t tokens = query->expected_tokens > 0 ? query->expected_tokens : DEFAULT_EXPECTED_TOKENS;

  return (DecisionInputs){
    .endpoints = endpoints,
    .group = group,
    .query = query,
    .cached_shares = lc_policy_compute_cached_shares (policy, endpoints, query, now),
    .mean_service_seconds = seconds > 0 ? seconds : DEFAULT_SERVICE_SECONDS,
    .expected_tokens = (double)tokens,
    .data_centre = lc_endpoints_find_data_centre (endpoints, query->data_centre),
    .now = now,
  };
}

static double
report_age (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  if (summary->reported_at == LC_NEVER_REPORTED)
    return 0;
  return (double)(inputs->now - summary->reported_at) * SECONDS_PER_LB_TIME;
}

/* Returns the fraction of the other instances' requests in the report that is expected to still
 * run. */
static double
running_fraction (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  return inputs->mean_service_seconds
         / (inputs->mean_service_seconds + report_age (inputs, summary));
}

/* Penalty of an unresponsive endpoint. It would look emptier every second, since what it last
 * reported should have finished, and attract requests from all instances. If it has been silent for
 * longer than the others, it is expected to stay so for as long again; any reply ends that. */
static double
silence_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  double age = report_age (inputs, summary);
  double since_reply = 0;

  if (age < inputs->silence_limit_seconds)
    return 0;
  since_reply = (double)(inputs->now - summary->endpoint->last_reply_at) / LB_SEC;
  since_reply = since_reply < age ? since_reply : age;
  return since_reply < inputs->silence_limit_seconds ? 0 : since_reply;
}

static double
swap_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  const LcEndpoint *endpoint = summary->endpoint;

  if (!summary->needs_full_check || !endpoint->swap_pending || endpoint->swap_until <= inputs->now)
    return 0;
  return (double)(endpoint->swap_until - inputs->now) / LB_SEC;
}

/* Returns the cost of waiting and decoding at this load, and its slope. A larger batch slows down
 * all requests in it, so each added request counts twice: for itself and for the others. */
static LcLoadCost
load_cost (const DecisionInputs *inputs, const LcEndpointSummary *summary, double load)
{
  double per_slot = (double)summary->inverse_capacity;
  double decode = inputs->query->kind == LC_KIND_SERVICE
                      ? inputs->mean_service_seconds
                      : inputs->expected_tokens * (double)summary->single_stream_token_seconds;
  double full = 2 * decode * inputs->group->batch_slowdown;
  double fill = (load + 1) * per_slot;
  double slope = fill <= 1 ? full : inputs->mean_service_seconds;

  return (LcLoadCost){ .seconds = decode + full + (fill - 1) * slope,
                       .capacity_per_second = 1 / (slope * per_slot) };
}

/* A prefill also delays the requests that decode beside it. Their number is taken as the average
 * over all endpoints: an old report is no reason to prefer one endpoint in this. */
static double
prefill_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  if (!lb_switch_is_on (LB_SWITCH_PREFIX_AFFINITY))
    return inputs->full_prefill_seconds;
  return inputs->full_prefill_seconds * (1 - inputs->cached_shares[summary->slot]);
}

/* Prefers service endpoints with a recently used connection, as long as they are no busier. An
 * instance that rarely calls and rotates over all endpoints finds its connections closed each time,
 * and with many instances each takes one of the connections that an endpoint allows. */
static double
connect_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  if (inputs->query->kind != LC_KIND_SERVICE)
    return 0;
  return inputs->now - summary->endpoint->last_reply_at < CONNECTION_KEEP_TIME ? 0
                                                                               : CONNECT_SECONDS;
}

static double
network_seconds (const DecisionInputs *inputs, const LcEndpointSummary *summary)
{
  if (inputs->data_centre == summary->data_centre)
    return 0;
  return 2 * DATA_CENTRE_LATENCY / LB_SEC;
}

static void
ensure_load_costs (LcPolicy *policy)
{
  if (policy->n_load_costs >= policy->candidates.n_items)
    return;
  policy->n_load_costs = policy->candidates.n_items;
  policy->load_costs
      = lb_realloc (policy->load_costs, policy->n_load_costs * sizeof *policy->load_costs);
}

/* Computes the values that depend on all candidates together. Requests that finished since the
 * reports are assumed to have been replaced by as many arrivals. */
static void
estimate_arrivals (LcPolicy *policy, DecisionInputs *inputs)
{
  size_t n = policy->candidates.n_items;
  double prefill = (double)inputs->query->prompt_tokens / PREFILL_TOKENS_PER_SECOND;
  double total = 0;
  double unreported = 0;
  double sent = 0;
  double age = 0;

  for (size_t i = 0; i < n; i++)
    {
      const LcEndpointSummary *summary = policy->candidates.summaries[i];
      double others = (double)summary->other_requests;
      double remaining = others * running_fraction (inputs, summary);

      unreported += others - remaining;
      total += others + summary->in_flight;
      age += report_age (inputs, summary);
      sent += summary->live_sent_since_report + PRIOR_SENT;
      policy->load_costs[i].seconds = remaining; /* the load, until compute_load_costs */
    }
  inputs->unreported = unreported * (1 - inputs->group->prefix_bound_share);
  inputs->prefix_bound_per_sent = unreported * inputs->group->prefix_bound_share / sent;
  inputs->silence_limit_seconds = max_of (MIN_SILENCE_SECONDS, SILENCE_FACTOR * age / (double)n);
  inputs->full_prefill_seconds = prefill * (1 + PREFILL_SLOWDOWN * total / (double)n);
}

/* Returns the level that would result if the arrivals filled all candidates. */
static double
compute_load_costs (LcPolicy *policy, const DecisionInputs *inputs)
{
  double weight = 0;
  double sum = inputs->unreported + 1;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcEndpointSummary *summary = policy->candidates.summaries[i];
      double prefix_bound
          = inputs->prefix_bound_per_sent * (summary->live_sent_since_report + PRIOR_SENT);
      double load = policy->load_costs[i].seconds + prefix_bound + summary->in_flight;
      LcLoadCost cost = load_cost (inputs, summary, load);

      policy->load_costs[i] = cost;
      weight += cost.capacity_per_second;
      sum += cost.capacity_per_second * cost.seconds;
    }
  return sum / weight;
}

/* Returns the level reached if the arrivals are spread over the candidates below the given level;
 * HUGE_VAL if there are none. */
static double
level_if_filled_below (const LcPolicy *policy, double arrivals, double level)
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

/* Water-filling: returns the load cost that results everywhere once the arrivals have filled the
 * least loaded candidates first. Newton's method on a convex, piecewise linear function: after the
 * first step the level only falls, and it stops when the level no longer changes. Starts from the
 * ratio that the previous decision found. */
static double
find_level (LcPolicy *policy, double arrivals, double all_filled)
{
  double level = level_if_filled_below (policy, arrivals, all_filled * policy->level_ratio);
  double next = level_if_filled_below (policy, arrivals, level);

  while (next < level)
    {
      level = next;
      next = level_if_filled_below (policy, arrivals, level);
    }
  policy->level_ratio = level / all_filled;
  return level;
}

/* Returns the lowest score. */
static double
score_all (LcPolicy *policy, const DecisionInputs *inputs, double level)
{
  double lowest = HUGE_VAL;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcEndpointSummary *summary = policy->candidates.summaries[i];
      double score = max_of (level, policy->load_costs[i].seconds)
                     + network_seconds (inputs, summary) + connect_seconds (inputs, summary)
                     + swap_seconds (inputs, summary) + silence_seconds (inputs, summary)
                     + prefill_seconds (inputs, summary);

      policy->candidates.items[i].score = score;
      lowest = min_of (lowest, score);
    }
  return lowest;
}

static bool
has_idle_connection (const LcEndpoint *endpoint, LbTime now)
{
  return endpoint->idle_connections > 0
         && now - endpoint->idle_connections_at < CONNECTION_KEEP_TIME;
}

static bool
is_near_lowest (const LcPolicy *policy, size_t index, double lowest)
{
  return policy->candidates.items[index].score <= lowest * (1 + SCORE_TOLERANCE);
}

/* Whether a candidate near the lowest score has an idle connection of this instance. */
static bool
any_near_has_connection (const LcPolicy *policy, double lowest, LbTime now)
{
  for (size_t i = 0; i < policy->candidates.n_items; i++)
    if (is_near_lowest (policy, i, lowest)
        && has_idle_connection (policy->candidates.summaries[i]->endpoint, now))
      return true;
  return false;
}

/* Draws among the candidates nearest to the lowest score, weighted by the requests each lacks to
 * reach the level. The requests of a step start together: if many endpoints are equally good, those
 * with an idle connection save opening a new one. */
static size_t
draw_candidate (LcPolicy *policy, double level, double lowest, LbTime now)
{
  bool prefer_connected = any_near_has_connection (policy, lowest, now);
  double total = 0;
  size_t chosen = 0;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcLoadCost *cost = &policy->load_costs[i];
      double weight = max_of (MIN_DRAW_WEIGHT, (level - cost->seconds) * cost->capacity_per_second);

      if (!is_near_lowest (policy, i, lowest)
          || (prefer_connected
              && !has_idle_connection (policy->candidates.summaries[i]->endpoint, now)))
        continue;
      total += weight;
      if (gsl_rng_uniform (policy->rng) * total < weight)
        chosen = i;
    }
  return chosen;
}

/* All instances see the same old reports. If each chose the lowest score, that endpoint would get
 * the requests of all of them until the next report, and then another one would (herding). So an
 * endpoint below the level is scored as if the unreported arrivals had already filled it, which
 * makes many scores equal, and the draw gives each endpoint its part of those arrivals. */
static size_t
pick (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  DecisionInputs inputs = make_inputs (policy, endpoints, query, now);

  ensure_load_costs (policy);
  estimate_arrivals (policy, &inputs);

  double all_filled = compute_load_costs (policy, &inputs);
  double level = find_level (policy, inputs.unreported + 1, all_filled);
  double lowest = score_all (policy, &inputs, level);
  size_t chosen = draw_candidate (policy, level, lowest, now);
  bool is_prefix_bound = inputs.cached_shares[policy->candidates.summaries[chosen]->slot] > 0;

  inputs.group->prefix_bound_share
      += PREFIX_BOUND_EWMA_WEIGHT * ((is_prefix_bound ? 1 : 0) - inputs.group->prefix_bound_share);
  lc_policy_clear_cached_shares (policy);
  return chosen;
}

static LcRouter *
create (uint64_t seed)
{
  return lc_policy_new (&lc_policy_finish_time, seed);
}

const LcPolicyClass lc_policy_finish_time = {
  .base = { .name = "lentilspindle",
            .create = create,
            .destroy = lc_policy_free,
            .choose = lc_policy_choose },
  .reason = "least-finish-time",
  .pick = pick,
};
