#ifndef LC_BREAKER_H
#define LC_BREAKER_H

#include "lc-endpoints.h"

/* Circuit breaker of one endpoint. While it is half open, each success raises the number of
 * concurrent requests that it allows by one. */
typedef struct
{
  LcBreakerState state;
  LbTime open_until; /* OPEN: when the first trial request may be sent */
  int64_t consecutive_failures;
  double failure_ratio;         /* exponentially weighted mean, 0..1 */
  int64_t n_results;            /* number of results since the breaker was last closed */
  int64_t consecutive_openings; /* number of openings since the breaker was last closed */
  int64_t max_trials;           /* HALF_OPEN: maximum number of concurrent requests */
} LcBreaker;

/* Functions that change an LcBreaker. */
void lc_breaker_request_sent (LcBreaker *breaker, LbTime now);
/* sent_at: when the request that succeeded or failed was sent. */
void lc_breaker_request_succeeded (LcBreaker *breaker, LbTime sent_at);
void lc_breaker_request_failed (LcBreaker *breaker, LbTime sent_at, LbTime now);

/* Functions that only read an LcBreaker. */
/* Maximum number of concurrent requests; INT64_MAX if the breaker is closed. */
int64_t lc_breaker_max_in_flight (const LcBreaker *breaker, LbTime now);

#endif
