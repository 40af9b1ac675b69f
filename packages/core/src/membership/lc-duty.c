#include "lc-duty.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Used for machines that report no strength. */
#define MIN_STRENGTH 1

/* A duty is limited by both factors: the processor parses the texts of a step, and the link carries
 * them twice. */
int64_t
lc_duty_machine_strength (double processor_share, double link_mbps)
{
  return (int64_t)(processor_share * 1000 * link_mbps);
}

/* Pseudo-random number in (0, 1), derived from the two names alone. */
static double
hash_to_unit (const char *duty, const char *instance)
{
  uint64_t hash
      = XXH3_64bits_withSeed (instance, strlen (instance), XXH3_64bits (duty, strlen (duty)));

  return ((double)(hash >> 11) + 0.5) / (double)(UINT64_C (1) << 53);
}

/* Weighted rendezvous hashing: a candidate has the highest score with a probability equal to its
 * share of the sum of squared strengths, and one that joins or leaves does not reorder any others.
 * Weighted by the strength itself, one of ten duties still went to a weak machine where these are
 * many, and a step there began 0.3 s late. */
static double
compute_score (const char *duty, const LcDutyCandidate *candidate)
{
  int64_t strength = candidate->strength > MIN_STRENGTH ? candidate->strength : MIN_STRENGTH;

  return -(double)strength * (double)strength / log (hash_to_unit (duty, candidate->name));
}

/* The range fits the squares of all strengths from a thousandth of a core with 1 Mbit/s up. */
int64_t
lc_duty_sort_key (const char *duty, const LcDutyCandidate *candidate)
{
  double sort_key = (double)LC_DUTY_MAX_SORT_KEY / compute_score (duty, candidate);

  return sort_key < (double)LC_DUTY_MAX_SORT_KEY ? (int64_t)sort_key : LC_DUTY_MAX_SORT_KEY;
}

/* Ties are broken by name, so that no two candidates have the same position. */
static bool
is_ranked_before (const char *duty, const LcDutyCandidate *a, const LcDutyCandidate *b)
{
  double score_a = compute_score (duty, a);
  double score_b = compute_score (duty, b);

  return score_a != score_b ? score_a > score_b : strcmp (a->name, b->name) < 0;
}

static const LcDutyCandidate *
find_candidate (const char *name, const LcDutyCandidate *candidates, size_t n_candidates)
{
  for (size_t i = 0; i < n_candidates; i++)
    if (strcmp (candidates[i].name, name) == 0)
      return &candidates[i];
  return NULL;
}

size_t
lc_duty_rank (const char *duty,
              const char *self,
              const LcDutyCandidate *candidates,
              size_t n_candidates)
{
  const LcDutyCandidate *own = find_candidate (self, candidates, n_candidates);
  size_t rank = 0;

  if (!own)
    return n_candidates;
  for (size_t i = 0; i < n_candidates; i++)
    rank += &candidates[i] != own && is_ranked_before (duty, &candidates[i], own);
  return rank;
}

/* Keeps the current holder while it is a candidate, and picks by score only when nobody holds the
 * duty. A duty that moved back to an instance that was briefly away would gain nothing: the moved
 * batches of a model open a new connection for each slot of each engine. */
const char *
lc_duty_choose_holder (const char *duty,
                       const char *current,
                       const LcDutyCandidate *candidates,
                       size_t n_candidates)
{
  const LcDutyCandidate *best = find_candidate (current, candidates, n_candidates);

  if (best)
    return best->name;
  for (size_t i = 0; i < n_candidates; i++)
    if (!best || is_ranked_before (duty, &candidates[i], best))
      best = &candidates[i];
  return best ? best->name : "";
}
