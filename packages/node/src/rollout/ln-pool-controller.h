#ifndef LN_POOL_CONTROLLER_H
#define LN_POOL_CONTROLLER_H

#include "lc-lease.h"
#include "lc-weights.h"
#include "ln-config-task.h"

/* Controller of one pool, on every instance that knows the pool: competes for the pool's lease and,
 * while this instance holds it, rolls out weight versions. Does the I/O that LcLease and LcWeights
 * request. */
typedef struct
{
  LbLink link;
  LnConfigTask *task;
  LbName pool;
  uint64_t serial; /* a reply of the platform for an earlier controller of the pool is ignored */
  LcLease *lease;
  LcWeights *weights;
  struct LnPoolEngine *engines; /* hash table by name; private to ln-pool-controller.c */
  bool is_querying_newest;      /* a query of the weight store is in progress */
  LbTime next_newest_query_at;
  LbTime next_announcement_at;
  LcVersion announced_version; /* last sent to the other tasks and instances */
  int64_t highest_fence;       /* of the announcements of the newest version */
} LnPoolController;

/* A read or write of the lease row, or a query of the weight store, in progress. It may outlive its
 * controller and is freed with the task: the platform drops what it has not answered by then. */
typedef struct
{
  LbLink link;
  LnConfigTask *task;
  uint64_t controller_serial;
} LnPoolOperation;

LnPoolController *ln_pool_controller_new (LnConfigTask *task, const char *pool, uint64_t serial);
void ln_pool_controller_free (LnPoolController *controller);
void ln_pool_controller_configure (LnPoolController *controller, const LcResourceSet *set);
void ln_pool_controller_tick (LnPoolController *controller, LbTime now);
void ln_pool_controller_release (LnPoolController *controller, LbTime now);

/* ln-pool-controllers.c */
LnPoolController *ln_pool_controllers_find (LnConfigTask *task, uint64_t serial);
void
ln_pool_controllers_announce_swap (LnConfigTask *task, const LcWeightsAction *action, LbTime now);
void ln_pool_controllers_announce_newest (LnPoolController *controller,
                                          const LcWeightsStatus *status);
void ln_pool_controllers_announce_release (LnConfigTask *task, const char *pool);

#endif
