#include "lc-duty.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Of machines that do not say what they bear. */
#define MIN_STRENGTH 1

/* Both bind: texts of a step are taken apart by the processor and go through the link twice. */
int64_t
lc_duty_strength (double processor_share, double link_mbps)
{
  return (int64_t)(processor_share * 1000 * link_mbps);
}

/* In (0, 1), from the two names alone. */
static double
draw (const char *duty, const char *instance)
{
  uint64_t hash
      = XXH3_64bits_withSeed (instance, strlen (instance), XXH3_64bits (duty, strlen (duty)));

  return ((double)(hash >> 11) + 0.5) / (double)(UINT64_C (1) << 53);
}

/* Weighted rendezvous hashing: the highest score is the first, as often as the square of its
 * strength is of the sum of all; a candidate that comes or goes changes the order of no two others.
 * By the strength itself one of ten duties still went to a weak machine where these are many, and a
 * step there began 0.3 s late. */
static double
score (const char *duty, const LcDutyCandidate *candidate)
{
  int64_t strength = candidate->strength > MIN_STRENGTH ? candidate->strength : MIN_STRENGTH;

  return -(double)strength * (double)strength / log (draw (duty, candidate->name));
}

/* The scores span the squares of all strengths, from a thousandth of a core with 1 Mbit/s on. */
int64_t
lc_duty_sort_key (const char *duty, const LcDutyCandidate *candidate)
{
  double order = (double)LC_DUTY_MAX_SORT_KEY / score (duty, candidate);

  return order < (double)LC_DUTY_MAX_SORT_KEY ? (int64_t)order : LC_DUTY_MAX_SORT_KEY;
}

/* By name where two scores are equal, so that no two candidates have the same position. */
static bool
is_before (const char *duty, const LcDutyCandidate *a, const LcDutyCandidate *b)
{
  double score_a = score (duty, a);
  double score_b = score (duty, b);

  return score_a != score_b ? score_a > score_b : strcmp (a->name, b->name) < 0;
}

static const LcDutyCandidate *
find (const char *name, const LcDutyCandidate *candidates, size_t n_candidates)
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
  const LcDutyCandidate *own = find (self, candidates, n_candidates);
  size_t rank = 0;

  if (!own)
    return n_candidates;
  for (size_t i = 0; i < n_candidates; i++)
    rank += &candidates[i] != own && is_before (duty, &candidates[i], own);
  return rank;
}

/* Guards against duties that move back to an instance which was away: the batches of a model that
 * move open a connection for each place of each engine, and gain nothing. Only where nobody has the
 * duty is one drawn. */
const char *
lc_duty_choose_holder (const char *duty,
                       const char *last,
                       const LcDutyCandidate *candidates,
                       size_t n_candidates)
{
  const LcDutyCandidate *best = find (last, candidates, n_candidates);

  if (best)
    return best->name;
  for (size_t i = 0; i < n_candidates; i++)
    if (!best || is_before (duty, &candidates[i], best))
      best = &candidates[i];
  return best ? best->name : "";
}
