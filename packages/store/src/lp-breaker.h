#ifndef LP_BREAKER_H
#define LP_BREAKER_H

#include "lb-types.h"

/* Stops calls to a store that fails or hangs: after some failures in a row it opens, and calls fail
 * at once. After a while one call goes through as a probe; its outcome closes or opens again. */
typedef struct
{
  int failures; /* in a row */
  bool probing;
  LbTime open_for; /* how long the last opening was; 0: closed */
  LbTime open_until;
} LpBreaker;

void lp_breaker_init (LpBreaker *breaker);
bool lp_breaker_allow (LpBreaker *breaker, LbTime now);
void lp_breaker_succeeded (LpBreaker *breaker);
bool lp_breaker_failed (LpBreaker *breaker, double jitter, LbTime now);

bool lp_breaker_is_open (const LpBreaker *breaker);

#endif
