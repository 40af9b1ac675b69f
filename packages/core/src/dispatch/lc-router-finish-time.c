#include "lc-policies.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <math.h>

/* The product's own policy: the least expected time to finish, and among endpoints that the
 * arrivals nobody has reported yet may level out, a draw by weight. See
 * docs/design/0002-routing.md. */

#define SECONDS 1e-6 /* of an LbTime; a product is cheaper than a quotient for each candidate */
/* One way; within one it is taken to be 0. */
#define DATA_CENTRE_DISTANCE ((double)LB_MSEC / 2)
#define DEFAULT_EXPECTED_TOKENS 64
#define DEFAULT_SERVICE_SECONDS 1.0
#define PREFILL_TOKENS_PER_SECOND 8000.0
#define PREFILL_HOLDS_UP 0.5 /* share of its time that each request beside it loses */
#define PRIOR_SENT 0.02      /* added to what we sent to each endpoint, which may be nothing yet */
#define BOUND_WEIGHT 0.02    /* of one decision in the share of those bound to a cache */
#define MIN_SILENCE_SECONDS 2.0
/* A connection to a plain service that is opened first: a round trip, and the endpoint's own work.
 */
#define CONNECT_SECONDS 0.003
/* Endpoints close connections that nobody used for some seconds. */
#define CONNECTION_KEPT (5 * LB_SEC)
#define SILENCE_FACTOR 3.0 /* times the mean age of reports */
#define INDIFFERENT 0.002  /* scores that differ by less than this share count as equal */
#define MIN_SHARE 0.01     /* requests that an endpoint above the level counts for in the draw */

/* What all candidates of one decision have in common. */
typedef struct
{
  const LcEndpoints *endpoints;
  LcEndpointGroup *group; /* of the pool; there is one, since there are candidates */
  const LcRouteQuery *query;
  const double *shares;
  double mean_service_seconds;
  double expected_tokens;
  double whole_prefill_seconds; /* with nothing in the cache */
  double unseen;                /* arrivals since the reports that may have gone anywhere */
  double bound_per_sent;        /* arrivals at cached prompts for each request that we sent there */
  double silent_after;          /* seconds */
  int data_centre;
  LbTime now;
} Situation;

/* Without fmax's rules for NaN, which cost a call for each candidate. */
static inline double
larger (double a, double b)
{
  return a > b ? a : b;
}

static inline double
smaller (double a, double b)
{
  return a < b ? a : b;
}

static Situation
make_situation (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  LcEndpointKind kind = query->kind == LC_KIND_SERVICE ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;
  LcEndpointGroup *group = lc_endpoints_find_group (endpoints, kind, query->pool);
  double seconds = group->mean_service_seconds;
  int64_t tokens = query->expected_tokens > 0 ? query->expected_tokens : DEFAULT_EXPECTED_TOKENS;

  return (Situation){
    .endpoints = endpoints,
    .group = group,
    .query = query,
    .shares = lc_policy_fill_shares (policy, endpoints, query, now),
    .mean_service_seconds = seconds > 0 ? seconds : DEFAULT_SERVICE_SECONDS,
    .expected_tokens = (double)tokens,
    .data_centre = lc_endpoints_find_data_centre (endpoints, query->data_centre),
    .now = now,
  };
}

static double
report_age (const Situation *situation, const LcEndpointSummary *summary)
{
  if (summary->reported_at == LC_NEVER_REPORTED)
    return 0;
  return (double)(situation->now - summary->reported_at) * SECONDS;
}

/* Of what others had running when the report was measured, part has finished since. */
static double
still_running (const Situation *situation, const LcEndpointSummary *summary)
{
  return situation->mean_service_seconds
         / (situation->mean_service_seconds + report_age (situation, summary));
}

/* An endpoint that went silent looks emptier with each second, since what it last reported must
 * have finished, and would draw in the requests of all instances. Silent for longer than the
 * others, it is expected to stay so for as long again; any reply of it ends that. */
static double
silent_seconds (const Situation *situation, const LcEndpointSummary *summary)
{
  double age = report_age (situation, summary);
  double heard = 0;

  if (age < situation->silent_after)
    return 0;
  heard = (double)(situation->now - summary->endpoint->last_reply_at) / LB_SEC;
  heard = heard < age ? heard : age;
  return heard < situation->silent_after ? 0 : heard;
}

static double
swap_seconds (const Situation *situation, const LcEndpointSummary *summary)
{
  const LcEndpoint *endpoint = summary->endpoint;

  if (!summary->needs_full_check || !endpoint->swap_pending
      || endpoint->swap_until <= situation->now)
    return 0;
  return (double)(endpoint->swap_until - situation->now) / LB_SEC;
}

/* What waiting and decoding cost there, and how it grows. A larger batch slows all that is in it,
 * so each added request counts twice: for itself and for the others. */
static LcLoadPrice
load_price (const Situation *situation, const LcEndpointSummary *summary, double load)
{
  double places = (double)summary->inverse_capacity;
  double decode = situation->query->kind == LC_KIND_SERVICE
                      ? situation->mean_service_seconds
                      : situation->expected_tokens * (double)summary->single_stream_token_seconds;
  double full = 2 * decode * situation->group->batch_slowdown;
  double fill = (load + 1) * places;
  double slope = fill <= 1 ? full : situation->mean_service_seconds;

  return (LcLoadPrice){ .seconds = decode + full + (fill - 1) * slope,
                        .per_second = 1 / (slope * places) };
}

/* A prefill also holds up those that decode beside it: as many as there are at an endpoint on
 * average, since those that are there by an old report are no ground to prefer one endpoint to
 * another. */
static double
prefill_seconds (const Situation *situation, const LcEndpointSummary *summary)
{
  if (!lb_switch_is_on (LB_SWITCH_PREFIX_AFFINITY))
    return situation->whole_prefill_seconds;
  return situation->whole_prefill_seconds * (1 - situation->shares[summary->slot]);
}

/* An instance that sends a call now and then to each endpoint in turn finds its connection closed
 * each time; and of many instances each takes one of the connections that the endpoint allows. So
 * it keeps to those that it used of late, as long as they are no busier. */
static double
connect_seconds (const Situation *situation, const LcEndpointSummary *summary)
{
  if (situation->query->kind != LC_KIND_SERVICE)
    return 0;
  return situation->now - summary->endpoint->last_reply_at < CONNECTION_KEPT ? 0 : CONNECT_SECONDS;
}

static double
way_seconds (const Situation *situation, const LcEndpointSummary *summary)
{
  if (situation->data_centre == summary->data_centre)
    return 0;
  return 2 * DATA_CENTRE_DISTANCE / LB_SEC;
}

static void
grow_loads (LcPolicy *policy)
{
  if (policy->n_loads >= policy->candidates.n_items)
    return;
  policy->n_loads = policy->candidates.n_items;
  policy->loads = lb_realloc (policy->loads, policy->n_loads * sizeof *policy->loads);
}

/* What is known of all candidates together. What finished since the reports is taken to have been
 * replaced by as many arrivals. */
static void
count_unseen (LcPolicy *policy, Situation *situation)
{
  size_t n = policy->candidates.n_items;
  double prefill = (double)situation->query->prompt_tokens / PREFILL_TOKENS_PER_SECOND;
  double total = 0;
  double unseen = 0;
  double sent = 0;
  double age = 0;

  for (size_t i = 0; i < n; i++)
    {
      const LcEndpointSummary *summary = policy->candidates.summaries[i];
      double others = (double)summary->other_requests;
      double left = others * still_running (situation, summary);

      unseen += others - left;
      total += others + summary->in_flight;
      age += report_age (situation, summary);
      sent += summary->live_sent_since_report + PRIOR_SENT;
      policy->loads[i].seconds = left;
    }
  situation->unseen = unseen * (1 - situation->group->prefix_bound_share);
  situation->bound_per_sent = unseen * situation->group->prefix_bound_share / sent;
  situation->silent_after = larger (MIN_SILENCE_SECONDS, SILENCE_FACTOR * age / (double)n);
  situation->whole_prefill_seconds = prefill * (1 + PREFILL_HOLDS_UP * total / (double)n);
}

/* Returns the level if the arrivals filled all of them. */
static double
price_loads (LcPolicy *policy, const Situation *situation)
{
  double weight = 0;
  double sum = situation->unseen + 1;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcEndpointSummary *summary = policy->candidates.summaries[i];
      double bound = situation->bound_per_sent * (summary->live_sent_since_report + PRIOR_SENT);
      double load = policy->loads[i].seconds + bound + summary->in_flight;
      LcLoadPrice price = load_price (situation, summary, load);

      policy->loads[i] = price;
      weight += price.per_second;
      sum += price.per_second * price.seconds;
    }
  return sum / weight;
}

/* The level at which the arrivals would stand if they filled those below it, HUGE_VAL when none is.
 */
static double
level_from (const LcPolicy *policy, double arrivals, double level)
{
  double weight = 0;
  double sum = arrivals;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcLoadPrice *price = &policy->loads[i];
      double part = price->seconds < level ? price->per_second : 0;

      weight += part;
      sum += part * price->seconds;
    }
  return weight > 0 ? sum / weight : HUGE_VAL;
}

/* What the load costs everywhere once the arrivals have filled the least loaded first. Newton's
 * method on a convex line of pieces: after the first step the level only falls, and the last step
 * repeats it. The first guess is by the ratio that the decision before found. */
static double
find_level (LcPolicy *policy, double arrivals, double all_filled)
{
  double level = level_from (policy, arrivals, all_filled * policy->level_ratio);
  double next = level_from (policy, arrivals, level);

  while (next < level)
    {
      level = next;
      next = level_from (policy, arrivals, level);
    }
  policy->level_ratio = level / all_filled;
  return level;
}

/* Returns the least score. */
static double
score_all (LcPolicy *policy, const Situation *situation, double level)
{
  double least = HUGE_VAL;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcEndpointSummary *summary = policy->candidates.summaries[i];
      double score = larger (level, policy->loads[i].seconds) + way_seconds (situation, summary)
                     + connect_seconds (situation, summary) + swap_seconds (situation, summary)
                     + silent_seconds (situation, summary) + prefill_seconds (situation, summary);

      policy->candidates.items[i].score = score;
      least = smaller (least, score);
    }
  return least;
}

static bool
is_connected (const LcEndpoint *endpoint, LbTime now)
{
  return endpoint->idle_connections > 0 && now - endpoint->idle_connections_at < CONNECTION_KEPT;
}

static bool
is_near (const LcPolicy *policy, size_t index, double least)
{
  return policy->candidates.items[index].score <= least * (1 + INDIFFERENT);
}

/* Whether a candidate near the least score has an idle connection of ours. */
static bool
has_connected (const LcPolicy *policy, double least, LbTime now)
{
  for (size_t i = 0; i < policy->candidates.n_items; i++)
    if (is_near (policy, i, least) && is_connected (policy->candidates.summaries[i]->endpoint, now))
      return true;
  return false;
}

/* Among the candidates nearest to the least score, each by what it lacks to the level. A step's
 * texts begin together: where many endpoints are as good, those with an idle connection spare the
 * others a new one. */
static size_t
draw (LcPolicy *policy, double level, double least, LbTime now)
{
  bool connected = has_connected (policy, least, now);
  double total = 0;
  size_t chosen = 0;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcLoadPrice *price = &policy->loads[i];
      double share = larger (MIN_SHARE, (level - price->seconds) * price->per_second);

      if (!is_near (policy, i, least)
          || (connected && !is_connected (policy->candidates.summaries[i]->endpoint, now)))
        continue;
      total += share;
      if (gsl_rng_uniform (policy->rng) * total < share)
        chosen = i;
    }
  return chosen;
}

/* All instances see the same old reports. If each sent to the lowest score, that endpoint would get
 * the requests of all of them until the next report, and then another one: herding. So an endpoint
 * below the level counts as if the arrivals that no report shows yet had filled it up, which leaves
 * many equal ones, and the draw gives each its part of those arrivals. */
static size_t
pick (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  Situation situation = make_situation (policy, endpoints, query, now);

  grow_loads (policy);
  count_unseen (policy, &situation);

  double all_filled = price_loads (policy, &situation);
  double level = find_level (policy, situation.unseen + 1, all_filled);
  double least = score_all (policy, &situation, level);
  size_t chosen = draw (policy, level, least, now);
  bool is_bound = situation.shares[policy->candidates.summaries[chosen]->slot] > 0;

  situation.group->prefix_bound_share
      += BOUND_WEIGHT * ((is_bound ? 1 : 0) - situation.group->prefix_bound_share);
  lc_policy_clear_shares (policy);
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
