#ifndef LC_ROLLOUTS_STATE_H
#define LC_ROLLOUTS_STATE_H

#include "lc-staleness.h"
#include "lc-step.h"

#include <gsl/gsl_rng.h>

/* What the parts of LcRollouts share. */

typedef struct
{
  LbLink link;
  LbName name;
  int64_t window; /* generations to have running at once */
  int64_t running;
  LcVersion newest;
  LbTime cadence;
  LcPace pace;
} LcRolloutPool;

typedef struct
{
  LbLink link;
  LcSubscription resource;
  int64_t max_lag;
  int64_t running; /* generations */
  LcLengthHistogram lengths;
  bool declared; /* in the configuration in force */
} LcTrainer;

typedef struct
{
  LbLink link;
  uint64_t id;
  int64_t max_samples;
  LcVersion version;
  LbTime wait_until;
} LcWaitingPull;

struct LcRollouts
{
  LcRolloutSettings settings;
  gsl_rng *rng;
  LbList pools;    /* LcRolloutPool */
  LbList trainers; /* LcTrainer; never removed, a step may outlive its resource */
  LbList steps;    /* LcStep, in the order in which they were opened */
  LcJob *jobs;     /* by request */
  LcTrash trash;
  LcRequestId (*next_id) (void *user);
  void *next_id_user;
  LcRequestId last_id;
  uint64_t last_write;
  LbTime last_seen; /* time of the last command */
  bool draining;
  int64_t invariant_failures;
};

LcRolloutAction *lc_rollouts_add_action (LbList *actions, LcRolloutActionType type);
LcTrainer *lc_rollouts_trainer (const LcRollouts *rollouts, const char *subscription);
LcRolloutPool *lc_rollouts_pool (LcRollouts *rollouts, const char *name);
LcRequestId lc_rollouts_next_id (LcRollouts *rollouts);
/* Answers the step's pulls, drops its work and forgets it. */
void lc_rollouts_end_step (LcRollouts *rollouts, LcStep *step, LbErrorCode error, LbList *actions);

#endif
