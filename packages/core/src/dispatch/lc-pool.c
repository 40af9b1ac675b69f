#include "lc-pool.h"

#include "lb-alloc.h"

#include <stdlib.h>

#define MEAN_WEIGHT 0.05

LcPoolState *
lc_pool_state_new (LcPoolKind kind, const char *name)
{
  LcPoolState *pool = LB_NEW (LcPoolState);

  LB_COPY (pool->name, name);
  pool->kind = kind;
  pool->queue = lc_queue_new ();
  return pool;
}

void
lc_pool_state_free (LcPoolState *pool)
{
  if (!pool)
    return;
  lc_queue_free (pool->queue);
  free (pool);
}

void
lc_pool_state_started (LcPoolState *pool, LcRequestKind kind)
{
  pool->running[kind]++;
}

static void
add_to_mean (double *mean, LbTime sample)
{
  double seconds = (double)sample / (double)LB_SEC;

  *mean = *mean > 0 ? *mean + MEAN_WEIGHT * (seconds - *mean) : seconds;
}

void
lc_pool_state_heard (LcPoolState *pool, LcRequestKind kind, LbTime waited)
{
  add_to_mean (&pool->first_piece_seconds[kind], waited);
}

/* took: how long a whole answer needed; 0 when the attempt says nothing about that. */
void
lc_pool_state_ended (LcPoolState *pool, LcRequestKind kind, LbTime took)
{
  pool->running[kind]--;
  if (took > 0)
    add_to_mean (&pool->mean_seconds[kind], took);
}

bool
lc_pool_state_is_full (const LcPoolState *pool)
{
  return (int64_t)lc_queue_length (pool->queue) >= pool->queue_limit;
}

/* How long a newcomer is likely to wait: the requests ahead of it over the rate at which attempts
 * end (Little's law over what runs now). 0 while nothing is known. */
LbTime
lc_pool_state_wait (const LcPoolState *pool, const LcQueueKey *key)
{
  double rate = 0;

  for (int kind = 0; kind < LC_N_KINDS; kind++)
    if (pool->mean_seconds[kind] > 0)
      rate += (double)pool->running[kind] / pool->mean_seconds[kind];
  if (rate <= 0)
    return 0;
  return (LbTime)(lc_queue_ahead (pool->queue, key) / rate * (double)LB_SEC);
}
