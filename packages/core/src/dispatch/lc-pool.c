#include "lc-pool.h"

#include "lb-alloc.h"

#include <stdlib.h>

#define ATTEMPT_TIME_EWMA_WEIGHT 0.05

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
lc_pool_state_record_attempt_start (LcPoolState *pool, LcRequestKind kind)
{
  pool->running[kind]++;
}

static void
update_moving_average (double *mean, LbTime sample)
{
  double seconds = (double)sample / (double)LB_SEC;

  *mean = *mean > 0 ? *mean + ATTEMPT_TIME_EWMA_WEIGHT * (seconds - *mean) : seconds;
}

void
lc_pool_state_record_first_piece (LcPoolState *pool, LcRequestKind kind, LbTime waited)
{
  update_moving_average (&pool->first_piece_seconds[kind], waited);
}

/* duration: from sending the attempt to its complete answer; 0 if the attempt ended otherwise. */
void
lc_pool_state_record_attempt_end (LcPoolState *pool, LcRequestKind kind, LbTime duration)
{
  pool->running[kind]--;
  if (duration > 0)
    update_moving_average (&pool->mean_attempt_seconds[kind], duration);
}

bool
lc_pool_state_is_queue_full (const LcPoolState *pool)
{
  return (int64_t)lc_queue_length (pool->queue) >= pool->queue_limit;
}

/* Estimates how long a new request with this key would wait: the number of requests ahead divided
 * by the rate at which attempts end, which is the number running over their mean duration (Little's
 * law). Returns 0 if no attempt is running or none has completed. */
LbTime
lc_pool_state_estimate_wait (const LcPoolState *pool, const LcQueueKey *key)
{
  double rate = 0;

  for (int kind = 0; kind < LC_N_KINDS; kind++)
    if (pool->mean_attempt_seconds[kind] > 0)
      rate += (double)pool->running[kind] / pool->mean_attempt_seconds[kind];
  if (rate <= 0)
    return 0;
  return (LbTime)(lc_queue_estimate_requests_ahead (pool->queue, key) / rate * (double)LB_SEC);
}
