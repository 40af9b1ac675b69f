#ifndef LP_BUDGET_H
#define LP_BUDGET_H

#include "lb-types.h"

/* Limits the attempts that an instance sends to a store that fails, direct ones and those through
 * peers together. Without a limit each failure causes further attempts, so that a slow store gets
 * more calls than one that works, and stays slow after the cause of the slowness has ended.
 *
 * A token bucket: each failed attempt takes a token, each answer returns one. While most tokens are
 * gone, attempts are limited: each takes its token when it is sent, and gets it back if it is
 * answered. An instance thus sends at most 20 attempts, 5 a second and 2 for each answer, besides
 * those that were on their way when the store began to fail. No I/O. */
typedef struct
{
  double tokens; /* at updated_at */
  LbTime updated_at;
} LpBudget;

void lp_budget_init (LpBudget *budget, LbTime now);

/* Records that an attempt is sent, allowed or not. Returns whether it has taken a token; the caller
 * passes this on with the attempt's end. */
bool lp_budget_begin_attempt (LpBudget *budget, LbTime now);
/* is_answered: the store has answered, and not with a refusal. */
void lp_budget_end_attempt (LpBudget *budget, bool is_charged, bool is_answered, LbTime now);
/* Records that an attempt was cancelled before its outcome was known. */
void lp_budget_cancel_attempt (LpBudget *budget, bool is_charged, LbTime now);

/* Whether the store has failed often enough that attempts take tokens. Failed attempts are not
 * repeated then. */
bool lp_budget_is_limited (const LpBudget *budget, LbTime now);
bool lp_budget_allows_attempt (const LpBudget *budget, LbTime now);
/* jitter: random number from 0 to 1. It spreads the attempts of instances that have used up their
 * tokens at the same time. */
LbTime lp_budget_get_time_until_next_attempt (const LpBudget *budget, double jitter, LbTime now);

#endif
