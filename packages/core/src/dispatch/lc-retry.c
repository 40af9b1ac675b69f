#include "lc-retry.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <uthash.h>

#define FIRST_TOKENS 3.0
#define MAX_TOKENS 10.0
#define MAX_BUCKETS 16384
#define BASE_DELAY (25 * LB_MSEC)
#define MAX_DELAY (2 * LB_SEC)
#define MAX_DOUBLINGS 10

typedef struct
{
  UT_hash_handle hh;
  double tokens;
  LbName name;
} Bucket;

struct LcRetryBudgets
{
  Bucket *buckets; /* the one used last is last */
  double share;
};

/* share: tokens earned by each success; 0 allows no retry at all. */
LcRetryBudgets *
lc_retry_budgets_new (double share)
{
  LcRetryBudgets *budgets = LB_NEW (LcRetryBudgets);

  budgets->share = share;
  return budgets;
}

static void
drop (LcRetryBudgets *budgets, Bucket *bucket)
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
    drop (budgets, budgets->buckets);
  free (budgets);
}

static Bucket *
find (const LcRetryBudgets *budgets, const char *name)
{
  Bucket *bucket = NULL;

  HASH_FIND_STR (budgets->buckets, name, bucket);
  return bucket;
}

/* Callers choose their own names, so the table is bounded: the one unused for longest goes. */
static Bucket *
touch (LcRetryBudgets *budgets, const char *name)
{
  Bucket *bucket = find (budgets, name);

  if (bucket)
    HASH_DELETE (hh, budgets->buckets, bucket);
  else
    {
      if (HASH_COUNT (budgets->buckets) >= MAX_BUCKETS)
        drop (budgets, budgets->buckets);
      bucket = LB_NEW (Bucket);
      bucket->tokens = FIRST_TOKENS;
      LB_COPY (bucket->name, name);
    }
  HASH_ADD_STR (budgets->buckets, name, bucket);
  return bucket;
}

void
lc_retry_budgets_earn (LcRetryBudgets *budgets, const char *name)
{
  Bucket *bucket = touch (budgets, name);

  bucket->tokens += budgets->share;
  if (bucket->tokens > MAX_TOKENS)
    bucket->tokens = MAX_TOKENS;
}

void
lc_retry_budgets_spend (LcRetryBudgets *budgets, const char *name)
{
  touch (budgets, name)->tokens -= 1;
}

bool
lc_retry_budgets_allow (const LcRetryBudgets *budgets, const char *name)
{
  const Bucket *bucket = find (budgets, name);

  if (budgets->share <= 0)
    return false;
  return (bucket ? bucket->tokens : FIRST_TOKENS) >= 1;
}

size_t
lc_retry_budgets_count (const LcRetryBudgets *budgets)
{
  return HASH_COUNT (budgets->buckets);
}

/* Full jitter: uniform between nothing and a bound that doubles with each retry, so that requests
 * which failed together do not come back together. */
LbTime
lc_retry_delay (gsl_rng *random, uint32_t n_retries)
{
  uint32_t doublings = n_retries < MAX_DOUBLINGS ? n_retries : MAX_DOUBLINGS;
  LbTime bound = BASE_DELAY << doublings;

  if (bound > MAX_DELAY)
    bound = MAX_DELAY;
  return (LbTime)(gsl_rng_uniform (random) * (double)bound);
}
