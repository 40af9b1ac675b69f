#include "lp-budget.h"

/* Largest number of tokens. Attempts are limited while there are fewer than half of them, so that
 * single failures, as of one connection, limit nothing. */
#define CAPACITY 20.0
#define LIMITED_BELOW (CAPACITY / 2)
/* Time for one token. With the jitter, an instance sends a failing store some four calls a second,
 * which is not more than an idle instance sends a working one. Longer times would delay the work
 * that waits for the store's return. */
#define REFILL_INTERVAL (200 * LB_MSEC)
/* longest random addition to the time until the next attempt, as a fraction of it */
#define JITTER 0.5
/* Each answer while attempts are limited allows one attempt more, so that the rate doubles with
 * each round trip to a store that answers again. */
#define TOKENS_PER_ANSWER 1.0

void
lp_budget_init (LpBudget *budget, LbTime now)
{
  budget->tokens = CAPACITY;
  budget->updated_at = now;
}

static double
get_tokens_at (const LpBudget *budget, LbTime now)
{
  double tokens = budget->tokens + (double)(now - budget->updated_at) / (double)REFILL_INTERVAL;

  return tokens < CAPACITY ? tokens : CAPACITY;
}

/* Adds tokens, a negative number to take some. Attempts that were on their way when the store began
 * to fail may take more than there are; the missing ones are not counted, since the store would
 * otherwise not be called again for seconds. */
static void
add_tokens (LpBudget *budget, double n, LbTime now)
{
  double tokens = get_tokens_at (budget, now) + n;

  budget->tokens = tokens < 0 ? 0 : tokens;
  budget->tokens = budget->tokens > CAPACITY ? CAPACITY : budget->tokens;
  budget->updated_at = now;
}

bool
lp_budget_is_limited (const LpBudget *budget, LbTime now)
{
  return get_tokens_at (budget, now) < LIMITED_BELOW;
}

bool
lp_budget_allows_attempt (const LpBudget *budget, LbTime now)
{
  return get_tokens_at (budget, now) >= 1;
}

LbTime
lp_budget_get_time_until_next_attempt (const LpBudget *budget, double jitter, LbTime now)
{
  double missing = 1 - get_tokens_at (budget, now);

  /* The added microsecond makes up for rounding down. */
  return missing > 0 ? (LbTime)(missing * (1 + JITTER * jitter) * (double)REFILL_INTERVAL) + 1 : 0;
}

bool
lp_budget_begin_attempt (LpBudget *budget, LbTime now)
{
  if (!lp_budget_is_limited (budget, now))
    return false;
  add_tokens (budget, -1, now);
  return true;
}

void
lp_budget_end_attempt (LpBudget *budget, bool is_charged, bool is_answered, LbTime now)
{
  if (is_answered)
    add_tokens (budget, (is_charged ? 1 : 0) + TOKENS_PER_ANSWER, now);
  else if (!is_charged)
    add_tokens (budget, -1, now);
}

void
lp_budget_cancel_attempt (LpBudget *budget, bool is_charged, LbTime now)
{
  if (is_charged)
    add_tokens (budget, 1, now);
}
