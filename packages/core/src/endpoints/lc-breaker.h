#ifndef LC_BREAKER_H
#define LC_BREAKER_H

#include "lc-endpoints.h"

/* Circuit breaker of one endpoint. While it is half open, each success raises the number of
 * concurrent trial requests that it allows by one. Requests that were sent before it opened are not
 * trials. */
typedef struct
{
  LcBreakerState state;
  LbTime open_until; /* OPEN: when the first trial request may be sent */
  int64_t consecutive_failures;
  double failure_ratio;         /* exponentially weighted mean, 0..1 */
  int64_t n_results;            /* number of results since the breaker was last closed */
  int64_t consecutive_openings; /* number of openings since the breaker was last closed */
  int64_t max_trials;           /* HALF_OPEN: maximum number of concurrent trials */
  int64_t n_trials;             /* HALF_OPEN: number of running trials */
} LcBreaker;

/* Functions that change an LcBreaker. */
void lc_breaker_request_sent (LcBreaker *breaker, LbTime now);
/* Called for each request that ends, before its result is recorded. */
void lc_breaker_request_ended (LcBreaker *breaker, LbTime sent_at);
/* sent_at: when the request that succeeded or failed was sent. */
void lc_breaker_request_succeeded (LcBreaker *breaker, LbTime sent_at);
void lc_breaker_request_failed (LcBreaker *breaker, LbTime sent_at, LbTime now);

/* Functions that only read an LcBreaker. */
bool lc_breaker_allows_request (const LcBreaker *breaker, LbTime now);
/* Maximum number of concurrent trials; INT64_MAX if the breaker is closed. */
int64_t lc_breaker_max_in_flight (const LcBreaker *breaker, LbTime now);

#endif
