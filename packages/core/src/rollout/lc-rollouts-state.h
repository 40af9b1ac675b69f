#ifndef LC_ROLLOUTS_STATE_H
#define LC_ROLLOUTS_STATE_H

#include "lc-staleness.h"
#include "lc-step.h"

#include <gsl/gsl_rng.h>

/* Private state of LcRollouts, shared by its source files. */

typedef struct
{
  LbLink link;
  LbName name;
  int64_t max_running; /* limit for concurrent generations */
  int64_t n_running;   /* number of running generations in this pool */
  LcVersion newest_version;
  LbTime version_interval; /* time between new weight versions; 0: unknown */
  LcPace pace;
} LcRolloutPool;

typedef struct
{
  LbLink link;
  LcSubscription subscription;
  int64_t max_lag;           /* staleness bound of the subscription, in versions */
  int64_t n_running;         /* number of running generations of this trainer */
  LcLengthHistogram lengths; /* lengths of the trainer's completed samples, in tokens */
  bool is_configured;        /* the current configuration has the subscription */
} LcTrainer;

typedef struct
{
  LbLink link;
  uint64_t id;
  int64_t max_samples;
  LcVersion trainer_version;
  LbTime wait_until;
  bool is_numbered; /* the trainer acknowledges chunks of a strict subscription by their ids */
} LcWaitingPull;

struct LcRollouts
{
  LcRolloutSettings settings;
  gsl_rng *rng;
  LbList pools;    /* list of LcRolloutPool */
  LbList trainers; /* list of LcTrainer; never removed, as a step may outlive its subscription */
  LbList steps;    /* list of LcStep, in the order in which the steps were opened */
  LcJob *jobs;     /* hash table of running requests by request id */
  LcDeferredFree deferred_free;
  LcRequestId (*next_id) (void *user);
  void *next_id_user;
  LcRequestId last_id;
  uint64_t last_write_id;
  LbTime last_command_at;
  bool draining;
  int64_t invariant_failures;
};

LcRolloutAction *lc_rollouts_add_action (LbList *actions, LcRolloutActionType type);
/* Returns the trainer of the subscription; NULL if there is none. */
LcTrainer *lc_rollouts_find_trainer (const LcRollouts *rollouts, const char *subscription);
/* Returns the pool of this name; creates it if there is none. */
LcRolloutPool *lc_rollouts_ensure_pool (LcRollouts *rollouts, const char *name);
LcRequestId lc_rollouts_new_request_id (LcRollouts *rollouts);
/* Answers the step's pulls with the error, cancels the step's requests and frees the step. */
void
lc_rollouts_remove_step (LcRollouts *rollouts, LcStep *step, LbErrorCode error, LbList *actions);

#endif
