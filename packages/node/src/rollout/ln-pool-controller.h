#ifndef LN_POOL_CONTROLLER_H
#define LN_POOL_CONTROLLER_H

#include "lc-lease.h"
#include "lc-weights.h"
#include "ln-config-task.h"

/* Controls the weights of one pool of engines: competes for the pool's lease and, while this
 * instance holds the lease, rolls out weight versions to the engines. Every instance has a
 * controller for each pool that it knows. Does the I/O that LcLease and LcWeights request. */
typedef struct
{
  LbLink link;
  LnConfigTask *task;
  LbName pool;
  uint64_t serial; /* unique number; replies to an earlier controller of the pool are ignored */
  LcLease *lease;
  LcWeights *weights;
  struct LnPoolEngine *engines; /* hash table by name, private to ln-pool-controller.c */
  bool is_querying_newest;      /* a query of the weight store is in progress */
  LbTime next_newest_query_at;
  LbTime next_announcement_at;
  LcVersion announced_version; /* version last announced to the other tasks and instances */
  int64_t highest_fence;       /* highest fencing token in an announcement of the newest version */
} LnPoolController;

/* An operation of the platform in progress: a read or write of the lease row, or a query of the
 * weight store. The operation may outlive its LnPoolController. The task "config" frees the
 * operations that the platform has not answered. */
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
void ln_pool_controller_release_lease (LnPoolController *controller, LbTime now);

/* Defined in ln-pool-controllers.c, which holds the controllers of all pools. */
/* Returns NULL if the controller with this serial number no longer exists. */
LnPoolController *ln_pool_controllers_find_by_serial (LnConfigTask *task, uint64_t serial);
void ln_pool_controllers_announce_weight_swap (LnConfigTask *task,
                                               const LcWeightsAction *action,
                                               LbTime now);
void ln_pool_controllers_announce_newest_version (LnPoolController *controller,
                                                  const LcWeightsStatus *status);
void ln_pool_controllers_announce_lease_release (LnConfigTask *task, const char *pool);

#endif
