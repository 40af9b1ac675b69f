#ifndef LC_CONCURRENCY_H
#define LC_CONCURRENCY_H

#include "lb-types.h"

/* How many requests of ours an endpoint is given at once: additive increase while first bytes come
 * as fast as they used to, multiplicative decrease when they queue there or requests fail. */
typedef struct
{
  double limit;
  double most;          /* what the endpoint is sized for */
  double floor_seconds; /* what a first byte takes without a queue */
  LbTime lowered;       /* when it was last decreased */
} LcConcurrency;

void lc_concurrency_init (LcConcurrency *concurrency, int64_t most);
void lc_concurrency_set_max (LcConcurrency *concurrency, int64_t most);
/* In_flight is ours at the endpoint, this request included. */
void lc_concurrency_first_byte_received (LcConcurrency *concurrency,
                                         double waited_seconds,
                                         int64_t in_flight,
                                         LbTime now);
void lc_concurrency_request_failed (LcConcurrency *concurrency, LbTime now);

#endif
