#include "lc-pool.h"

#include "lb-alloc.h"

#include <stdlib.h>

#define EWMA_WEIGHT 0.05

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
lc_pool_state_record_start (LcPoolState *pool, LcRequestKind kind)
{
  pool->running[kind]++;
}

static void
update_mean (double *mean, LbTime sample)
{
  double seconds = (double)sample / (double)LB_SEC;

  *mean = *mean > 0 ? *mean + EWMA_WEIGHT * (seconds - *mean) : seconds;
}

void
lc_pool_state_record_first_piece (LcPoolState *pool, LcRequestKind kind, LbTime waited)
{
  update_mean (&pool->first_piece_seconds[kind], waited);
}

/* duration: time taken by a complete answer; 0 if the attempt gives no such measurement. */
void
lc_pool_state_record_end (LcPoolState *pool, LcRequestKind kind, LbTime duration)
{
  pool->running[kind]--;
  if (duration > 0)
    update_mean (&pool->mean_attempt_seconds[kind], duration);
}

bool
lc_pool_state_is_full (const LcPoolState *pool)
{
  return (int64_t)lc_queue_length (pool->queue) >= pool->queue_limit;
}

/* Estimates how long a new request would wait: the number of requests ahead of it over the rate at
 * which attempts end (Little's law on those running now). 0 while nothing has been measured. */
LbTime
lc_pool_state_estimate_wait (const LcPoolState *pool, const LcQueueKey *key)
{
  double rate = 0;

  for (int kind = 0; kind < LC_N_KINDS; kind++)
    if (pool->mean_attempt_seconds[kind] > 0)
      rate += (double)pool->running[kind] / pool->mean_attempt_seconds[kind];
  if (rate <= 0)
    return 0;
  return (LbTime)(lc_queue_estimate_ahead (pool->queue, key) / rate * (double)LB_SEC);
}
