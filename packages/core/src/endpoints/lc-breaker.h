#ifndef LC_BREAKER_H
#define LC_BREAKER_H

#include "lc-endpoints.h"

/* Keeps work away from an endpoint that fails, then lets it back a little at a time. */
typedef struct
{
  LcBreakerState state;
  LbTime until; /* OPEN: when the first trial may go */
  int64_t consecutive_failures;
  double failure_ratio; /* of the last results, recent ones weigh more */
  int64_t results;      /* since it was closed */
  int64_t openings;     /* in a row, without a full return between them */
  int64_t trials;       /* HALF_OPEN: requests at once */
} LcBreaker;

/* commands */
void lc_breaker_request_sent (LcBreaker *breaker, LbTime now);
/* Sent_at is when the request went out whose result this is. */
void lc_breaker_request_succeeded (LcBreaker *breaker, LbTime sent_at);
void lc_breaker_request_failed (LcBreaker *breaker, LbTime sent_at, LbTime now);

/* queries */
/* Requests at once that it lets through; INT64_MAX when closed. */
int64_t lc_breaker_max_in_flight (const LcBreaker *breaker, LbTime now);

#endif
