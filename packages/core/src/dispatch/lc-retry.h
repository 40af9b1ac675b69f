#ifndef LC_RETRY_H
#define LC_RETRY_H

#include "lb-types.h"

#include <gsl/gsl_rng.h>

/* Token buckets that limit retries and hedges, one per caller and one per endpoint. A successful
 * attempt adds a fraction of a token to both of its buckets, a retry or hedge takes a token from
 * both. So retries stop while nothing succeeds. */
typedef struct LcRetryBudgets LcRetryBudgets;

LcRetryBudgets *lc_retry_budgets_new (double earned_per_success);
void lc_retry_budgets_free (LcRetryBudgets *budgets);

/* Functions that change the bucket of a caller or endpoint, given by its name. */
void lc_retry_budgets_credit_success (LcRetryBudgets *budgets, const char *name);
void lc_retry_budgets_charge_retry (LcRetryBudgets *budgets, const char *name);

/* Functions that only read the buckets. */
/* Whether the bucket of the caller or endpoint holds a token for a retry or hedge. */
bool lc_retry_budgets_allow_retry (const LcRetryBudgets *budgets, const char *name);
size_t lc_retry_budgets_count_buckets (const LcRetryBudgets *budgets);

/* Returns a random delay before the next retry of a request. n_retries: number of earlier retries
 * of the request; each doubles the upper bound of the delay. */
LbTime lc_retry_delay (gsl_rng *random, uint32_t n_retries);

#endif
