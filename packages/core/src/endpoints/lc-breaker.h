#ifndef LC_BREAKER_H
#define LC_BREAKER_H

#include "lc-endpoints.h"

/* Circuit breaker of one endpoint. Half open, it raises the number of concurrent requests by one
 * with each success. */
typedef struct
{
  LcBreakerState state;
  LbTime open_until; /* OPEN: when the first trial request may be sent */
  int64_t consecutive_failures;
  double failure_ratio;         /* exponentially weighted */
  int64_t n_results;            /* since it was last closed */
  int64_t consecutive_openings; /* without being closed in between */
  int64_t max_trials;           /* HALF_OPEN: concurrent requests allowed */
} LcBreaker;

/* commands */
void lc_breaker_request_sent (LcBreaker *breaker, LbTime now);
/* sent_at: when the request that succeeded or failed was sent. */
void lc_breaker_request_succeeded (LcBreaker *breaker, LbTime sent_at);
void lc_breaker_request_failed (LcBreaker *breaker, LbTime sent_at, LbTime now);

/* queries */
/* Concurrent requests that the breaker allows; INT64_MAX when closed. */
int64_t lc_breaker_max_in_flight (const LcBreaker *breaker, LbTime now);

#endif
