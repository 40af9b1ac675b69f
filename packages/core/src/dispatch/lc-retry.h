#ifndef LC_RETRY_H
#define LC_RETRY_H

#include "lb-types.h"

#include <gsl/gsl_rng.h>

/* Token buckets for retries and hedges, by caller and by endpoint. Every successful attempt earns a
 * fraction of a token for both, every retry or hedge costs a whole token of both, so retries stop
 * while nothing succeeds. */
typedef struct LcRetryBudgets LcRetryBudgets;

LcRetryBudgets *lc_retry_budgets_new (double earned_per_success);
void lc_retry_budgets_free (LcRetryBudgets *budgets);

/* commands */
void lc_retry_budgets_earn (LcRetryBudgets *budgets, const char *name);
void lc_retry_budgets_spend (LcRetryBudgets *budgets, const char *name);

/* queries */
/* Whether a retry or hedge of this caller, or at this endpoint, is within its budget. */
bool lc_retry_budgets_allow (const LcRetryBudgets *budgets, const char *name);
size_t lc_retry_budgets_count (const LcRetryBudgets *budgets);

/* Random delay before the next retry; its bound doubles with each. */
LbTime lc_retry_delay (gsl_rng *random, uint32_t n_retries);

#endif
