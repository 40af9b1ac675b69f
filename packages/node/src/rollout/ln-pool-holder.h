#ifndef LN_POOL_HOLDER_H
#define LN_POOL_HOLDER_H

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
  struct LnPoolEngine *engines; /* by name; of ln-pool-holder.c */
  bool asking_newest;
  LbTime next_newest;
  LbTime next_told;
  LcVersion told;      /* the version that the other tasks and instances were told last */
  int64_t heard_fence; /* of the youngest holder that told the newest version */
} LnPoolHolder;

/* A read or write of the lease row, or a question to the weight store, on its way. It outlives its
 * holder, and ends with the task: the platform drops what it has not answered. */
typedef struct
{
  LbLink link;
  LnConfigTask *task;
  uint64_t serial;
} LnPoolQuestion;

LnPoolHolder *ln_pool_holder_new (LnConfigTask *task, const char *pool, uint64_t serial);
void ln_pool_holder_free (LnPoolHolder *holder);
void ln_pool_holder_configure (LnPoolHolder *holder, const LcResourceSet *set);
void ln_pool_holder_tick (LnPoolHolder *holder, LbTime now);
void ln_pool_holder_release (LnPoolHolder *holder, LbTime now);

/* ln-pool-holders.c */
LnPoolHolder *ln_pool_holders_find (LnConfigTask *task, uint64_t serial);
void ln_pool_holders_tell_swap (LnConfigTask *task, const LcWeightsAction *action, LbTime now);
void ln_pool_holders_tell_newest (LnPoolHolder *holder, const LcWeightsStatus *status);
void ln_pool_holders_tell_free (LnConfigTask *task, const char *pool);

#endif
