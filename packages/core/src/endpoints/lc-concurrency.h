#ifndef LC_CONCURRENCY_H
#define LC_CONCURRENCY_H

#include "lb-types.h"

/* Adaptive (AIMD) limit of this instance's concurrent requests at an endpoint: additive increase
 * while the time to first byte stays low, multiplicative decrease when it grows or requests
 * fail. */
typedef struct
{
  double limit;
  double max;                    /* number of concurrent requests that the endpoint is sized for */
  double min_first_byte_seconds; /* lowest time to the first byte, taken as the time without
                                    queueing */
  LbTime decreased_at;           /* time of the last decrease of the limit; 0: none */
} LcConcurrency;

void lc_concurrency_init (LcConcurrency *concurrency, int64_t max);
void lc_concurrency_set_max (LcConcurrency *concurrency, int64_t max);
/* in_flight: number of this instance's requests at the endpoint, including the one whose first byte
 * was received. */
void lc_concurrency_first_byte_received (LcConcurrency *concurrency,
                                         double first_byte_seconds,
                                         int64_t in_flight,
                                         LbTime now);
void lc_concurrency_request_failed (LcConcurrency *concurrency, LbTime now);

#endif
