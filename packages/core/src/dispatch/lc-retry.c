#include "lc-retry.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <uthash.h>

#define INITIAL_BUCKET_TOKENS 3.0
#define MAX_BUCKET_TOKENS 10.0
#define MAX_BUCKETS 16384
#define BASE_RETRY_DELAY (25 * LB_MSEC)
#define MAX_RETRY_DELAY (2 * LB_SEC)
#define MAX_DELAY_DOUBLINGS 10

typedef struct
{
  UT_hash_handle hh;
  double tokens;
  LbName name;
} Bucket;

struct LcRetryBudgets
{
  Bucket *buckets; /* least recently used bucket first */
  double earned_per_success;
};

/* earned_per_success: tokens that a successful attempt adds to a bucket; 0 allows no retries. */
LcRetryBudgets *
lc_retry_budgets_new (double earned_per_success)
{
  LcRetryBudgets *budgets = LB_NEW (LcRetryBudgets);

  budgets->earned_per_success = earned_per_success;
  return budgets;
}

static void
remove_bucket (LcRetryBudgets *budgets, Bucket *bucket)
{
  HASH_DELETE (hh, budgets->buckets, bucket);
  free (bucket);
}

void
lc_retry_budgets_free (LcRetryBudgets *budgets)
{
  if (!budgets)
    return;
  while (budgets->buckets)
    remove_bucket (budgets, budgets->buckets);
  free (budgets);
}

static Bucket *
find_bucket (const LcRetryBudgets *budgets, const char *name)
{
  Bucket *bucket = NULL;

  HASH_FIND_STR (budgets->buckets, name, bucket);
  return bucket;
}

/* Returns the bucket of the name, new if there is none, as the most recently used. Callers choose
 * their names, so the table is bounded: the least recently used bucket is evicted. */
static Bucket *
find_or_add_recent_bucket (LcRetryBudgets *budgets, const char *name)
{
  Bucket *bucket = find_bucket (budgets, name);

  if (bucket)
    HASH_DELETE (hh, budgets->buckets, bucket);
  else
    {
      if (HASH_COUNT (budgets->buckets) >= MAX_BUCKETS)
        remove_bucket (budgets, budgets->buckets);
      bucket = LB_NEW (Bucket);
      bucket->tokens = INITIAL_BUCKET_TOKENS;
      LB_COPY (bucket->name, name);
    }
  HASH_ADD_STR (budgets->buckets, name, bucket);
  return bucket;
}

void
lc_retry_budgets_credit_success (LcRetryBudgets *budgets, const char *name)
{
  Bucket *bucket = find_or_add_recent_bucket (budgets, name);

  bucket->tokens += budgets->earned_per_success;
  if (bucket->tokens > MAX_BUCKET_TOKENS)
    bucket->tokens = MAX_BUCKET_TOKENS;
}

void
lc_retry_budgets_charge_retry (LcRetryBudgets *budgets, const char *name)
{
  find_or_add_recent_bucket (budgets, name)->tokens -= 1;
}

bool
lc_retry_budgets_allow_retry (const LcRetryBudgets *budgets, const char *name)
{
  const Bucket *bucket = find_bucket (budgets, name);

  if (budgets->earned_per_success <= 0)
    return false;
  return (bucket ? bucket->tokens : INITIAL_BUCKET_TOKENS) >= 1;
}

size_t
lc_retry_budgets_count_buckets (const LcRetryBudgets *budgets)
{
  return HASH_COUNT (budgets->buckets);
}

/* Exponential backoff with full jitter: the delay is uniform between 0 and a bound that doubles
 * with each retry, so that requests that failed together are not retried together. */
LbTime
lc_retry_delay (gsl_rng *random, uint32_t n_retries)
{
  uint32_t doublings = n_retries < MAX_DELAY_DOUBLINGS ? n_retries : MAX_DELAY_DOUBLINGS;
  LbTime bound = BASE_RETRY_DELAY << doublings;

  if (bound > MAX_RETRY_DELAY)
    bound = MAX_RETRY_DELAY;
  return (LbTime)(gsl_rng_uniform (random) * (double)bound);
}
