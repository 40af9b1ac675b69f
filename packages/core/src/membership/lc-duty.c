#include "lc-duty.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Minimum strength (capacity of a machine); also used for machines that report no strength. */
#define MIN_STRENGTH 1

/* Returns a number proportional to processor share and link speed. Both limit the machine that
 * holds a duty (a task that one instance does for all): the processor parses the texts of a batch,
 * and the link carries these texts twice. */
int64_t
lc_duty_machine_strength (double processor_share, double link_mbps)
{
  return (int64_t)(processor_share * 1000 * link_mbps);
}

/* Pseudo-random number in (0, 1), computed only from the names of the duty and the instance. */
static double
hash_names_to_unit_interval (const char *duty, const char *instance)
{
  uint64_t hash
      = XXH3_64bits_withSeed (instance, strlen (instance), XXH3_64bits (duty, strlen (duty)));

  return ((double)(hash >> 11) + 0.5) / (double)(UINT64_C (1) << 53);
}

/* Weighted rendezvous hashing: a candidate has the highest score with a probability equal to its
 * share of the sum of squared strengths. A candidate that joins or leaves does not reorder the
 * others. With weights equal to the strength, a tenth of the duties went to weak machines at sites
 * with many weak machines, and a batch started 0.3 s late on such a machine. */
static double
compute_candidate_score (const char *duty, const LcDutyCandidate *candidate)
{
  int64_t strength = candidate->strength > MIN_STRENGTH ? candidate->strength : MIN_STRENGTH;

  return -(double)strength * (double)strength
         / log (hash_names_to_unit_interval (duty, candidate->name));
}

/* The range of sort keys suffices for all strengths from a thousandth of a core with 1 Mbit/s
 * upwards, although scores grow with the square of the strength. */
int64_t
lc_duty_sort_key (const char *duty, const LcDutyCandidate *candidate)
{
  double sort_key = (double)LC_DUTY_MAX_SORT_KEY / compute_candidate_score (duty, candidate);

  return sort_key < (double)LC_DUTY_MAX_SORT_KEY ? (int64_t)sort_key : LC_DUTY_MAX_SORT_KEY;
}

/* Ties are broken by name, so that no two candidates have the same position. */
static bool
is_candidate_ranked_before (const char *duty, const LcDutyCandidate *a, const LcDutyCandidate *b)
{
  double score_a = compute_candidate_score (duty, a);
  double score_b = compute_candidate_score (duty, b);

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
    rank += &candidates[i] != own && is_candidate_ranked_before (duty, &candidates[i], own);
  return rank;
}

/* Keeps the current holder of the duty while the holder is a candidate, and chooses by score only
 * when nobody holds the duty. Moving a duty back to an instance that was briefly away is costly,
 * because the batches of a model then open a new connection for each slot of each engine. */
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
    if (!best || is_candidate_ranked_before (duty, &candidates[i], best))
      best = &candidates[i];
  return best ? best->name : "";
}
