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

/* What every task is made with. Lives as long as the process. */
typedef struct
{
  struct event_base *base;
  LnHub *hub;
  const LnSettings *settings;
  struct LhPool *http_pool; /* towards endpoints and other instances */
  struct LpPlatform *platform;
  const struct LnDialect *dialect; /* of a shared platform; NULL: the product's own interface */
  LbName instance;                 /* name of this instance */
  char incarnation[40];            /* new at each start of the process */
  LbName caller_address;           /* as bound, with the real port */
  LbName metrics_address;          /* as bound; empty: none of its own */
  LbName peer_address;
  LcRequestId last_request_id; /* the last id given; see ln_context_next_request_id */
  gsl_rng *rng;                /* NULL before the first draw */
  struct LnTicker *ticker;     /* NULL before it is asked for */
} LnContext;

LcRequestId ln_context_next_request_id (LnContext *context);
/* Seed of this instance's random choices: of the settings, and another one for each instance. */
uint64_t ln_context_random_seed (const LnContext *context);
/* From 0 to below 1. */
double ln_context_random_uniform (LnContext *context);
/* The timer of all tasks. */
struct LnTicker *ln_context_ticker (LnContext *context);
void ln_context_clear (LnContext *context);

/* Makers of the tasks; each is in the .c file of its name. */
LnTask *ln_front_new (LnContext *context);
LnTask *ln_calls_new (LnContext *context);
LnTask *ln_rollouts_new (LnContext *context);
LnTask *ln_config_new (LnContext *context);
LnTask *ln_peers_new (LnContext *context);
/* Those of an instance on a shared platform, in place of rollouts, config and peers. */
LnTask *ln_batches_new (LnContext *context);
LnTask *ln_desired_new (LnContext *context);
LnTask *ln_fleet_new (LnContext *context);
LnTask *ln_duties_new (LnContext *context);

#endif
