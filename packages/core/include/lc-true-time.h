#ifndef LC_TRUE_TIME_H
#define LC_TRUE_TIME_H

#include "lb-types.h"

/* True time as the instances know it together. The time of day of a machine may jump by seconds and
 * back; the steady clock of a shared store does not, but says nothing of the hour. So each instance
 * tells by how much its time of day is ahead of the store's clock, and all go by the median of
 * that. No I/O. */

/* The median; n > 0. */
int64_t lc_true_time_median_offset (const int64_t *leads, size_t n);

#endif
