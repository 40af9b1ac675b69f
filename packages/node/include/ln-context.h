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

/* Shared by all tasks of the process; lives as long as the process. */
typedef struct
{
  struct event_base *base;
  LnHub *hub;
  const LnSettings *settings;
  struct LhPool *http_pool; /* connections to endpoints and other instances */
  struct LpPlatform *platform;
  const struct LnDialect *dialect; /* formats of a shared platform; NULL: Lentilspindle's own API */
  LbName instance;                 /* name of this instance */
  char incarnation[40];            /* unique to each start of the process */
  LbName caller_address;           /* as bound, with the actual port */
  LbName metrics_address;          /* as bound; empty: no separate metrics listener */
  LbName peer_address;             /* as bound, for other instances */
  LcRequestId last_request_id;     /* see ln_context_next_request_id */
  gsl_rng *rng;                    /* created at first use */
  struct LnTicker *ticker;         /* created at first use */
} LnContext;

/* Ids are unique within the process. */
LcRequestId ln_context_next_request_id (LnContext *context);
/* Derived from the configured seed and the instance name, so that it differs between instances. */
uint64_t ln_context_random_seed (const LnContext *context);
/* Uniform in [0, 1). */
double ln_context_random_uniform (LnContext *context);
/* The ticker that all tasks share. */
struct LnTicker *ln_context_ticker (LnContext *context);
void ln_context_clear (LnContext *context);

/* Constructors of the tasks; each is defined in the .c file of its name. */
LnTask *ln_front_task_new (LnContext *context);
LnTask *ln_calls_task_new (LnContext *context);
LnTask *ln_rollouts_task_new (LnContext *context);
LnTask *ln_config_task_new (LnContext *context);
LnTask *ln_peers_task_new (LnContext *context);
/* On a shared platform these replace rollouts, config and peers. */
LnTask *ln_batches_task_new (LnContext *context);
LnTask *ln_desired_task_new (LnContext *context);
LnTask *ln_fleet_task_new (LnContext *context);
LnTask *ln_duties_task_new (LnContext *context);

#endif
