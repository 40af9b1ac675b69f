#ifndef LP_BREAKER_H
#define LP_BREAKER_H

#include "lb-types.h"

/* Circuit breaker for store calls: opens after several consecutive failures, and calls then fail
 * immediately. After a delay one call is allowed as a probe; its outcome closes the breaker or
 * opens it again. */
typedef struct
{
  int failures;         /* consecutive failed calls */
  bool is_probing;      /* the probe was sent and has no outcome yet */
  LbTime open_duration; /* how long the breaker stays open, before jitter; 0: it is closed */
  LbTime open_until;    /* when a probe is allowed */
} LpBreaker;

void lp_breaker_init (LpBreaker *breaker);
bool lp_breaker_allow_call (LpBreaker *breaker, LbTime now);
void lp_breaker_record_success (LpBreaker *breaker);
bool lp_breaker_record_failure (LpBreaker *breaker, double jitter, LbTime now);

bool lp_breaker_is_open (const LpBreaker *breaker);

#endif
