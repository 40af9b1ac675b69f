#include "lc-pool.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ATTEMPT_TIME_EWMA_WEIGHT 0.05

LcPoolState *
lc_pool_state_new (LcPoolKind kind, const char *name, const char *service)
{
  LcPoolState *pool = LB_NEW (LcPoolState);

  lc_pool_format_key (name, service, pool->key);
  LB_COPY (pool->name, name);
  LB_COPY (pool->service, service);
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
lc_pool_state_record_attempt_start (LcPoolState *pool, LcRequestKind kind, LbTime now)
{
  lc_wait_estimate_record_start (&pool->wait_estimate, kind, now);
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

void
lc_pool_state_record_attempt_end (LcPoolState *pool,
                                  LcRequestKind kind,
                                  const LcEndedAttempt *ended,
                                  LbTime now)
{
  lc_wait_estimate_record_end (&pool->wait_estimate, kind, ended->has_run ? ended->duration : 0,
                               ended->expected_tokens, now);
  if (ended->is_complete && kind != LC_KIND_SAMPLE)
    lc_wait_estimate_record_answer (&pool->wait_estimate);
  if (ended->is_complete && ended->duration > 0)
    update_moving_average (&pool->mean_attempt_seconds[kind], ended->duration);
}

void
lc_pool_format_key (const char *name, const char *service, char key[LC_POOL_KEY_SIZE])
{
  snprintf (key, LC_POOL_KEY_SIZE, "%s%s%s", name, service[0] ? "\n" : "", service);
}

/* Whether the endpoint serves the pool's requests. Engines of several services may hold the same
 * model; a request runs only at those of its own service. */
bool
lc_pool_state_has_endpoint (const LcPoolState *pool, const LcEndpointMember *member)
{
  bool is_plain_service = member->kind == LC_ENDPOINT_SERVICE;

  return is_plain_service == (pool->kind == LC_POOL_SERVICE)
         && strcmp (member->pool, pool->name) == 0
         && (is_plain_service || strcmp (member->service, pool->service) == 0);
}

bool
lc_pool_state_is_queue_full (const LcPoolState *pool)
{
  return (int64_t)lc_queue_length (pool->queue) >= pool->queue_limit;
}

/* Decides by the average duration of all complete attempts, which follows a change only slowly, and
 * without the service time. */
static LcWaitDecision
decide_by_long_average (const LcPoolState *pool, const LcWaitQuery *query)
{
  LcWaitDecision decision
      = { .is_in_time = true, .n_ahead = query->n_ahead, .time_left = query->time_to_end };

  for (int kind = 0; kind < LC_N_KINDS; kind++)
    if (pool->mean_attempt_seconds[kind] > 0)
      decision.rate += (double)pool->wait_estimate.running[kind] / pool->mean_attempt_seconds[kind];
  if (decision.rate > 0)
    decision.wait = (LbTime)(query->n_ahead / decision.rate * (double)LB_SEC);
  decision.is_in_time
      = query->time_to_start == LB_TIME_NEVER || decision.wait < query->time_to_start;
  return decision;
}

LcWaitDecision
lc_pool_state_decide_wait (const LcPoolState *pool,
                           const LcQueueKey *key,
                           LcWaitQuery query,
                           LbTime now)
{
  query.kind = key->kind;
  if (lb_switch_is_on (LB_SWITCH_WAIT_ESTIMATE))
    {
      query.n_ahead = lc_queue_estimate_sends_ahead (pool->queue, key);
      return lc_wait_estimate_decide (&pool->wait_estimate, &query, now);
    }
  query.n_ahead = lc_queue_estimate_requests_ahead (pool->queue, key);
  return decide_by_long_average (pool, &query);
}
