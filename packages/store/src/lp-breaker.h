#ifndef LP_BREAKER_H
#define LP_BREAKER_H

#include "lb-types.h"

/* Circuit breaker for store calls: opens after several consecutive failures, and calls then fail
 * immediately. After a delay one call is allowed as a probe; its outcome closes the breaker or
 * opens it again. */
typedef struct
{
  int failures; /* consecutive */
  bool is_probing;
  LbTime open_duration; /* nominal length of the current opening; 0: closed */
  LbTime open_until;
} LpBreaker;

void lp_breaker_init (LpBreaker *breaker);
bool lp_breaker_allow (LpBreaker *breaker, LbTime now);
void lp_breaker_record_success (LpBreaker *breaker);
bool lp_breaker_record_failure (LpBreaker *breaker, double jitter, LbTime now);

bool lp_breaker_is_open (const LpBreaker *breaker);

#endif
