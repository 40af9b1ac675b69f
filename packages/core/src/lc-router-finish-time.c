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
#define INDIFFERENT_SECONDS 0.005
#define LEAST_SHARE 0.01

/* What all candidates of one decision have in common. */
typedef struct
{
  const LcEndpoints *endpoints;
  const LcRouteQuery *query;
  const double *shares;
  double service_seconds;
  double expected_tokens;
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
  const LcEndpointGroup *group = lc_endpoints_group (endpoints, kind, query->pool);
  double seconds = group ? group->service_seconds : 0;
  int64_t tokens = query->expected_tokens > 0 ? query->expected_tokens : DEFAULT_EXPECTED_TOKENS;

  return (Situation){
    .endpoints = endpoints,
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
  double per_place = 2 * decode * LC_FULL_BATCH_SLOWDOWN;

  if (ahead <= 0)
    return (LcLoadPrice){ .seconds = decode + per_place * (load + 1) / size,
                          .per_second = size / per_place };
  return (LcLoadPrice){ .seconds = decode + per_place + situation->service_seconds * ahead / size,
                        .per_second = size / situation->service_seconds };
}

/* A prefill also holds up those that decode beside it. */
static double
prefill_seconds (const Situation *situation, const LcSummary *summary, double load)
{
  double missing = 1 - situation->shares[summary->slot];
  double beside = smaller (load, (double)summary->size);

  return (double)situation->query->prompt_tokens / PREFILL_TOKENS_PER_SECOND * missing
         * (1 + PREFILL_HOLDS_UP * beside);
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

/* Fills the loads, and the scores with all that does not depend on the load. Returns how many
 * requests arrived since the reports by the measure that what finished was replaced. */
static double
score_all (LcPolicy *policy, const Situation *situation)
{
  double unseen = 0;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      LcCandidate *item = &policy->candidates.items[i];
      const LcSummary *summary = policy->candidates.summaries[i];
      double others = (double)summary->others;
      double left = others * still_running (situation, summary);
      double load = left + summary->in_flight;

      unseen += others - left;
      policy->loads[i] = load_price (situation, summary, load);
      item->score = way_seconds (situation, summary) + swap_seconds (situation, summary)
                    + prefill_seconds (situation, summary, load);
    }
  return unseen;
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

static double
add_level (LcPolicy *policy, double level)
{
  double least = HUGE_VAL;

  for (size_t i = 0; i < policy->candidates.n_items; i++)
    {
      LcCandidate *item = &policy->candidates.items[i];

      item->score += larger (level, policy->loads[i].seconds);
      least = smaller (least, item->score);
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

      if (policy->candidates.items[i].score > least + INDIFFERENT_SECONDS)
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

  double unseen = score_all (policy, &situation);
  double level = find_level (policy, unseen + 1);
  double least = add_level (policy, level);

  lc_policy_clear_shares (policy);
  return draw (policy, level, least);
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
