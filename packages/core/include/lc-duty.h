#ifndef LC_DUTY_H
#define LC_DUTY_H

#include "lc-types.h"

/* This header declares the assignment of a duty (running the batches of a model, or telling engines
 * which weights to load) to one instance. Every instance computes the assignment from the same
 * candidates and gets the same result. No I/O. */

typedef struct
{
  LbName name;
  int64_t strength; /* capacity of the candidate's machine, see lc_duty_machine_strength */
} LcDutyCandidate;

/* Capacity of a machine: its processor share times its link bandwidth, in thousandths of a core x
 * Mbit/s. */
int64_t lc_duty_machine_strength (double processor_share, double link_mbps);

/* Sort key that puts strong machines first, derived from the instance's own name and strength
 * alone; smaller is earlier. It lies in the range from 0 to LC_DUTY_MAX_SORT_KEY. */
#define LC_DUTY_MAX_SORT_KEY INT64_C (999999999999999999)
int64_t lc_duty_sort_key (const char *duty, const LcDutyCandidate *candidate);

/* Returns the position of `self` in the order in which candidates take over the duty; 0 is the
 * first. Returns n_candidates when `self` is not a candidate. */
size_t lc_duty_rank (const char *duty,
                     const char *self,
                     const LcDutyCandidate *candidates,
                     size_t n_candidates);

/* Returns the name of the instance that should hold the duty, or "" when there is no candidate.
 * current: name of the present holder, "" if there is none. */
const char *lc_duty_choose_holder (const char *duty,
                                   const char *current,
                                   const LcDutyCandidate *candidates,
                                   size_t n_candidates);

#endif
