#ifndef LC_TRUE_TIME_H
#define LC_TRUE_TIME_H

#include "lb-types.h"

/* This header declares a wall-clock time that all instances agree on. The wall clock of a machine
 * may jump by seconds; the monotonic clock of the shared store does not, but is not related to the
 * time of day. So each instance publishes the offset of its wall clock from the store's clock, and
 * all use the median of these offsets. No I/O. */

/* Returns the median of the n offsets, in their unit; n must be above 0. */
int64_t lc_true_time_median_offset (const int64_t *offsets, size_t n);

#endif
