#ifndef LC_DUTY_H
#define LC_DUTY_H

#include "lc-types.h"

/* Which instance does a duty: runs the batches of a model, orders the weights. Every instance works
 * it out by itself from the same candidates, and finds the same. No I/O. */

typedef struct
{
  LbName name;
  int64_t strength; /* what its machine can bear, see lc_duty_strength */
} LcDutyCandidate;

/* Of a machine with this share of a processor and this link: the product, in thousandths of a core
 * x Mbit/s. */
int64_t lc_duty_strength (double processor_share, double link_mbps);

/* Place of an instance in an order in which strong machines come first, by its own name and
 * strength alone; smaller is earlier. In 0 .. LC_DUTY_MAX_SORT_KEY. */
#define LC_DUTY_MAX_SORT_KEY INT64_C (999999999999999999)
int64_t lc_duty_sort_key (const char *duty, const LcDutyCandidate *candidate);

/* Position of an instance in the order in which candidates take the duty; 0: it is the first. */
size_t lc_duty_rank (const char *duty,
                     const char *self,
                     const LcDutyCandidate *candidates,
                     size_t n_candidates);

/* Who has the duty; last: who had it until now, "" when nobody did. "" when there is no candidate.
 */
const char *lc_duty_choose_holder (const char *duty,
                                   const char *last,
                                   const LcDutyCandidate *candidates,
                                   size_t n_candidates);

#endif
