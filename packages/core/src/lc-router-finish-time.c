#include "lc-policies.h"

#include "lb-alloc.h"

#include <math.h>

/* The product's own policy: the least expected time to finish, and among endpoints that the
 * arrivals nobody has reported yet may level out, a draw by weight. See
 * docs/design/0002-routing.md. */

#define DEFAULT_EXPECTED_TOKENS 64
#define DEFAULT_SERVICE_SECONDS 1.0
#define PREFILL_TOKENS_PER_SECOND 8000.0
#define PREFILL_HOLDS_UP 0.5 /* share of its time that each request beside it loses */
#define PRIOR_SENT 0.1       /* added to what we sent to each endpoint, which may be nothing yet */
#define BOUND_WEIGHT 0.02    /* of one decision in the share of those bound to a cache */
#define INDIFFERENT 0.002    /* scores that differ by less than this share count as equal */
#define LEAST_SHARE 0.01     /* requests that an endpoint above the level counts for in the draw */

/* What all candidates of one decision have in common. */
typedef struct
{
  const LcEndpoints *endpoints;
  LcEndpointGroup *group; /* of the pool; there is one, since there are candidates */
  const LcRouteQuery *query;
  const double *shares;
  double service_seconds;
  double expected_tokens;
  double whole_prefill_seconds; /* with nothing in the cache */
  double unseen;                /* arrivals since the reports that may have gone anywhere */
  double bound_per_sent;        /* arrivals at cached prompts for each request that we sent there */
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
  LcEndpointGroup *group = lc_endpoints_group (endpoints, kind, query->pool);
  double seconds = group->service_seconds;
  int64_t tokens = query->expected_tokens > 0 ? query->expected_tokens : DEFAULT_EXPECTED_TOKENS;

  return (Situation){
    .endpoints = endpoints,
    .group = group,
    .query = query,
    .shares = lc_policy_fill_shares (policy, endpoints, query, now),
    .service_seconds = seconds > 0 ? seconds : DEFAULT_SERVICE_SECONDS,
    .expected_tokens = (double)tokens,
    .data_centre = lc_endpoints_data_centre (endpoints, query->data_centre),
    .now = now,
  };
}

/* Of what others had running when the report was measured, part has finished since. */
static double
still_running (const Situation *situation, const LcSummary *summary)
{
  double age = (double)(situation->now - summary->reported_at) / LB_SEC;

  return age > 0 ? 1 / (1 + age / situation->service_seconds) : 1;
}

static double
swap_seconds (const Situation *situation, const LcSummary *summary)
{
  const LcEndpoint *endpoint = summary->endpoint;

  if (!summary->is_special || !endpoint->swap_pending || endpoint->swap_until <= situation->now)
    return 0;
  return (double)(endpoint->swap_until - situation->now) / LB_SEC;
}

/* What waiting and decoding cost there, and how it grows. A larger batch slows all that is in it,
 * so each added request counts twice: for itself and for the others. */
static LcLoadPrice
load_price (const Situation *situation, const LcSummary *summary, double load)
{
  double size = (double)summary->size;
  double decode = situation->query->kind == LC_KIND_SERVICE
                      ? situation->service_seconds
                      : situation->expected_tokens * (double)summary->alone_token_seconds;
  double ahead = load + 1 - size;
  double per_place = 2 * decode * situation->group->slowdown;

  if (ahead <= 0)
    return (LcLoadPrice){ .seconds = decode + per_place * (load + 1) / size,
                          .per_second = size / per_place };
  return (LcLoadPrice){ .seconds = decode + per_place + situation->service_seconds * ahead / size,
                        .per_second = size / situation->service_seconds };
}

/* A prefill also holds up those that decode beside it: as many as there are at an endpoint on
 * average, since those that are there by an old report are no ground to prefer one endpoint to
 * another. */
static double
prefill_seconds (const Situation *situation, const LcSummary *summary)
{
  return situation->whole_prefill_seconds * (1 - situation->shares[summary->slot]);
}

static double
way_seconds (const Situation *situation, const LcSummary *summary)
{
  if (situation->data_centre == summary->data_centre)
    return 0;
  return 2 * (double)situation->endpoints->distance / LB_SEC;
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

  for (size_t i = 0; i < n; i++)
    {
      const LcSummary *summary = policy->candidates.summaries[i];
      double others = (double)summary->others;
      double left = others * still_running (situation, summary);

      unseen += others - left;
      total += others + summary->in_flight;
      sent += summary->live_since + PRIOR_SENT;
      policy->loads[i].seconds = left;
    }
  situation->unseen = unseen * (1 - situation->group->bound_share);
  situation->bound_per_sent = unseen * situation->group->bound_share / sent;
  situation->whole_prefill_seconds = prefill * (1 + PREFILL_HOLDS_UP * total / (double)n);
}

static void
price_loads (LcPolicy *policy, const Situation *situation)
{
  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcSummary *summary = policy->candidates.summaries[i];
      double bound = situation->bound_per_sent * (summary->live_since + PRIOR_SENT);
      double load = policy->loads[i].seconds + bound + summary->in_flight;

      policy->loads[i] = load_price (situation, summary, load);
    }
}

/* What the load costs everywhere once the unseen arrivals have filled the least loaded first. */
static double
find_level (const LcPolicy *policy, double arrivals)
{
  double level = HUGE_VAL;

  for (;;)
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
      if (weight == 0 || sum / weight >= level)
        return level;
      level = sum / weight;
    }
}

/* Returns the least score. */
static double
score_all (LcPolicy *policy, const Situation *situation, double level)
{
  double least = HUGE_VAL;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcSummary *summary = policy->candidates.summaries[i];
      double score = larger (level, policy->loads[i].seconds) + way_seconds (situation, summary)
                     + swap_seconds (situation, summary) + prefill_seconds (situation, summary);

      policy->candidates.items[i].score = score;
      least = smaller (least, score);
    }
  return least;
}

/* Among the candidates nearest to the least score, each by what it lacks to the level. */
static size_t
draw (LcPolicy *policy, double level, double least)
{
  double total = 0;
  size_t chosen = 0;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      const LcLoadPrice *price = &policy->loads[i];
      double share = larger (LEAST_SHARE, (level - price->seconds) * price->per_second);

      if (policy->candidates.items[i].score > least * (1 + INDIFFERENT))
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
  price_loads (policy, &situation);

  double level = find_level (policy, situation.unseen + 1);
  double least = score_all (policy, &situation, level);
  size_t chosen = draw (policy, level, least);
  bool is_bound = situation.shares[policy->candidates.summaries[chosen]->slot] > 0;

  situation.group->bound_share
      += BOUND_WEIGHT * ((is_bound ? 1 : 0) - situation.group->bound_share);
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
