#include "lc-policies.h"

#include "lb-alloc.h"

#include <math.h>

/* The product's own policy: the least expected time to finish, and among endpoints that the
 * arrivals nobody has reported yet may level out, a draw by weight. See
 * docs/design/0002-routing.md. */

#define DEFAULT_TOKEN_SECONDS 0.02
#define DEFAULT_EXPECTED_TOKENS 64
#define DEFAULT_SERVICE_SECONDS 1.0
#define PREFILL_TOKENS_PER_SECOND 8000.0
#define FULL_BATCH_SLOWDOWN 1.0 /* a token takes this share longer in a full batch */

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
still_running (const Situation *situation, const LcEntry *entry)
{
  double age = (double)(situation->now - entry->endpoint.report.at) / LB_SEC;

  return age > 0 ? 1 / (1 + age / situation->service_seconds) : 1;
}

static double
token_seconds_when_alone (const LcEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;
  const LcLoadReport *report = &endpoint->report;
  double fill = (double)report->running / entry->concurrency.most;

  if (report->tokens_per_second > 0)
    return 1 / report->tokens_per_second / (1 + FULL_BATCH_SLOWDOWN * fmin (fill, 1));
  if (endpoint->ewma_token_seconds > 0)
    return endpoint->ewma_token_seconds;
  return DEFAULT_TOKEN_SECONDS;
}

static double
swap_seconds (const Situation *situation, const LcEndpoint *endpoint)
{
  if (!endpoint->swap_pending || endpoint->swap_until <= situation->now)
    return 0;
  return (double)(endpoint->swap_until - situation->now) / LB_SEC;
}

static double
expected_seconds (const Situation *situation, const LcEntry *entry, double load, double *slope)
{
  const LcEndpoint *endpoint = &entry->endpoint;
  double most = entry->concurrency.most;
  double alone = token_seconds_when_alone (entry);
  double ahead = fmax (0, load + 1 - most);
  double fill = fmin (load + 1, most) / most;
  double prefill = (double)situation->query->prompt_tokens / PREFILL_TOKENS_PER_SECOND
                   * (1 - situation->shares[endpoint->slot]);
  double distance = situation->data_centre == entry->data_centre
                        ? 0
                        : 2 * (double)situation->endpoints->distance / LB_SEC;

  *slope = ahead > 0 ? situation->service_seconds / most
                     : situation->expected_tokens * alone * FULL_BATCH_SLOWDOWN / most;
  return distance + swap_seconds (situation, endpoint) + prefill
         + ahead * situation->service_seconds / most
         + situation->expected_tokens * alone * (1 + FULL_BATCH_SLOWDOWN * fill);
}

static void
grow_weights (LcPolicy *policy)
{
  if (policy->n_weights >= policy->candidates.n_items)
    return;
  policy->n_weights = policy->candidates.n_items;
  policy->weights = lb_realloc (policy->weights, policy->n_weights * sizeof *policy->weights);
}

/* Scores all candidates; weights become 1 / slope. Returns how many requests arrived since the
 * reports by the measure that what finished was replaced. */
static double
score_all (LcPolicy *policy, const Situation *situation)
{
  LcCandidates *candidates = &policy->candidates;
  double unseen = 0;

  for (size_t i = 0; i < candidates->n_items; i++)
    {
      const LcEntry *entry = lc_entry (candidates->items[i].endpoint);
      double others = (double)lc_entry_others (entry);
      double left = others * still_running (situation, entry);
      double slope = 0;

      unseen += others - left;
      candidates->items[i].score
          = expected_seconds (situation, entry, left + (double)entry->endpoint.in_flight, &slope);
      policy->weights[i] = 1 / slope;
    }
  return unseen;
}

/* The score that all endpoints below it are raised to when the arrivals fill the lowest first. */
static double
find_level (const LcPolicy *policy, double arrivals)
{
  const LcCandidates *candidates = &policy->candidates;
  double level = HUGE_VAL;

  for (;;)
    {
      double weight = 0;
      double sum = arrivals;

      for (size_t i = 0; i < candidates->n_items; i++)
        if (candidates->items[i].score < level)
          {
            weight += policy->weights[i];
            sum += policy->weights[i] * candidates->items[i].score;
          }
      if (sum / weight >= level)
        return level;
      level = sum / weight;
    }
}

/* All instances see the same old reports. If each sent to the lowest score, that endpoint would get
 * the requests of all of them until the next report, and then another one: herding. The draw gives
 * each endpoint the share of the unseen arrivals that would make the scores equal. */
static size_t
draw (LcPolicy *policy, double level)
{
  const LcCandidates *candidates = &policy->candidates;
  double total = 0;
  size_t chosen = 0;

  for (size_t i = 0; i < candidates->n_items; i++)
    {
      double share = (level - candidates->items[i].score) * policy->weights[i];

      if (share <= 0)
        continue;
      total += share;
      if (gsl_rng_uniform (policy->rng) * total < share)
        chosen = i;
    }
  return chosen;
}

static size_t
pick (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  Situation situation = make_situation (policy, endpoints, query, now);

  grow_weights (policy);

  double unseen = score_all (policy, &situation);

  lc_policy_clear_shares (policy);
  if (unseen < 1)
    return lc_policy_pick_least (policy);
  return draw (policy, find_level (policy, unseen + 1));
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
