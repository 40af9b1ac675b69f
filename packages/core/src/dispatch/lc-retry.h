#ifndef LC_RETRY_H
#define LC_RETRY_H

#include "lb-types.h"

#include <gsl/gsl_rng.h>

/* Budgets of retries and hedges. Every attempt that succeeds earns its caller and its endpoint
 * a share of a token, every retry or hedge spends a whole one of both. So while nothing
 * succeeds, retries stop by themselves. */
typedef struct LcRetryBudgets LcRetryBudgets;

LcRetryBudgets *lc_retry_budgets_new (double share);
void lc_retry_budgets_free (LcRetryBudgets *budgets);

/* commands */
void lc_retry_budgets_earn (LcRetryBudgets *budgets, const char *name);
void lc_retry_budgets_spend (LcRetryBudgets *budgets, const char *name);

/* queries */
bool lc_retry_budgets_allow (const LcRetryBudgets *budgets, const char *name);
size_t lc_retry_budgets_count (const LcRetryBudgets *budgets);

LbTime lc_retry_delay (gsl_rng *random, uint32_t n_retries);

#endif
