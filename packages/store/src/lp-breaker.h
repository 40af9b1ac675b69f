#ifndef LP_BREAKER_H
#define LP_BREAKER_H

#include "lb-types.h"

/* Circuit breaker for store calls. Opens after several consecutive failures; while it is open,
 * calls fail immediately. After a delay one call is allowed as a probe: its success closes the
 * breaker, its failure opens it again. */
typedef struct
{
  int failures;         /* number of consecutive failed calls */
  bool is_probing;      /* a probe call was allowed and has no outcome yet */
  LbTime open_duration; /* how long the breaker stays open, without jitter; 0: it is closed */
  LbTime open_until;    /* time from which a probe is allowed */
} LpBreaker;

void lp_breaker_init (LpBreaker *breaker);
bool lp_breaker_allow_call (LpBreaker *breaker, LbTime now);
void lp_breaker_record_success (LpBreaker *breaker);
bool lp_breaker_record_failure (LpBreaker *breaker, double jitter, LbTime now);

bool lp_breaker_is_open (const LpBreaker *breaker);

#endif
