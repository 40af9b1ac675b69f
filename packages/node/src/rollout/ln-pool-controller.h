#ifndef LN_POOL_CONTROLLER_H
#define LN_POOL_CONTROLLER_H

#include "lc-lease.h"
#include "lc-weights.h"
#include "ln-config-task.h"

/* The lease of one pool and, while this instance holds it, the roll-out of weights: carries out
 * what LcLease and LcWeights decide. */
typedef struct
{
  LbLink link;
  LnConfigTask *task;
  LbName pool;
  uint64_t serial; /* a reply of the platform for an earlier holder of this name is dropped */
  LcLease *lease;
  LcWeights *weights;
  struct LnPoolEngine *engines; /* by name; of ln-pool-controller.c */
  bool asking_newest;
  LbTime next_newest;
  LbTime next_told;
  LcVersion told;      /* the version that the other tasks and instances were told last */
  int64_t heard_fence; /* of the youngest holder that told the newest version */
} LnPoolController;

/* A read or write of the lease row, or a question to the weight store, on its way. It outlives its
 * holder, and ends with the task: the platform drops what it has not answered. */
typedef struct
{
  LbLink link;
  LnConfigTask *task;
  uint64_t serial;
} LnPoolOperation;

LnPoolController *ln_pool_controller_new (LnConfigTask *task, const char *pool, uint64_t serial);
void ln_pool_controller_free (LnPoolController *holder);
void ln_pool_controller_configure (LnPoolController *holder, const LcResourceSet *set);
void ln_pool_controller_tick (LnPoolController *holder, LbTime now);
void ln_pool_controller_release (LnPoolController *holder, LbTime now);

/* ln-pool-controllers.c */
LnPoolController *ln_pool_controllers_find (LnConfigTask *task, uint64_t serial);
void
ln_pool_controllers_announce_swap (LnConfigTask *task, const LcWeightsAction *action, LbTime now);
void ln_pool_controllers_announce_newest (LnPoolController *holder, const LcWeightsStatus *status);
void ln_pool_controllers_announce_release (LnConfigTask *task, const char *pool);

#endif
