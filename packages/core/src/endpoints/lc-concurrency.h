#ifndef LC_CONCURRENCY_H
#define LC_CONCURRENCY_H

#include "lb-types.h"

/* Adaptive (AIMD) limit of this instance's concurrent requests at an endpoint: additive increase
 * while the time to first byte stays low, multiplicative decrease when it grows or requests
 * fail. */
typedef struct
{
  double limit;
  double max;                    /* concurrency that the endpoint is sized for */
  double min_first_byte_seconds; /* lowest time to the first byte, taken as that without queueing */
  LbTime decreased_at;           /* 0: never */
} LcConcurrency;

void lc_concurrency_init (LcConcurrency *concurrency, int64_t max);
void lc_concurrency_set_max (LcConcurrency *concurrency, int64_t max);
/* in_flight: this instance's requests at the endpoint, including this one. */
void lc_concurrency_first_byte_received (LcConcurrency *concurrency,
                                         double first_byte_seconds,
                                         int64_t in_flight,
                                         LbTime now);
void lc_concurrency_request_failed (LcConcurrency *concurrency, LbTime now);

#endif
