#ifndef LN_CONTEXT_H
#define LN_CONTEXT_H

#include "lc-types.h"
#include "ln-settings.h"
#include "ln-task.h"

#include <gsl/gsl_rng.h>

struct event_base;
struct LhPool;
struct LpPlatform;
struct LnDialect;

/* State that all tasks of the process share; it exists until the process ends. */
typedef struct
{
  struct event_base *base;
  LnHub *hub;
  const LnSettings *settings;
  struct LhPool *http_pool; /* connections to endpoints and other instances */
  struct LpPlatform *platform;
  const struct LnDialect *dialect; /* codec for a shared platform; NULL: the node's own API */
  LbName instance;                 /* name of this instance */
  char incarnation[40];            /* identifies this start of the process */
  LbName caller_address;           /* listening address for callers, with the port that was bound */
  LbName metrics_address;          /* listening address for metrics; empty: no separate one */
  LbName peer_address;             /* listening address for other instances */
  LbTime stop_at; /* while draining: time by which each request must have its reply, as the process
                     is killed soon after; 0: no limit */
  LcRequestId last_request_id; /* highest id that was assigned to a request */
  gsl_rng *rng;                /* random number generator; NULL until its first use */
  struct LnTicker *ticker;     /* timer for all tasks' periodic work; NULL until its first use */
} LnContext;

/* Returns a new request id, unique within the process. */
LcRequestId ln_context_next_request_id (LnContext *context);
/* Returns a seed derived from the configured seed and the instance name, so that instances get
 * different random numbers. */
uint64_t ln_context_random_seed (const LnContext *context);
/* Returns a uniformly distributed random number in [0, 1). */
double ln_context_random_uniform (LnContext *context);
/* Returns the ticker that all tasks share. */
struct LnTicker *ln_context_get_ticker (LnContext *context);
void ln_context_clear (LnContext *context);

/* Constructors of the tasks, each in the .c file of its task (ln-front.c for the front task).
 * ln_front_task_new returns NULL when it can't listen. */
LnTask *ln_front_task_new (LnContext *context);
LnTask *ln_calls_task_new (LnContext *context);
LnTask *ln_rollouts_task_new (LnContext *context);
LnTask *ln_config_task_new (LnContext *context);
LnTask *ln_peers_task_new (LnContext *context);
/* Tasks that replace the rollouts, config and peers tasks on a shared platform. */
LnTask *ln_batches_task_new (LnContext *context);
LnTask *ln_desired_task_new (LnContext *context);
LnTask *ln_fleet_task_new (LnContext *context);
LnTask *ln_duties_task_new (LnContext *context);

#endif
