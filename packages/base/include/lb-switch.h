#ifndef LB_SWITCH_H
#define LB_SWITCH_H

#include <stdbool.h>

/* Optimisations that the setting measure.off can disable, to measure the benefit of each
 * (tools/ablate). No guarantee depends on them: with any of them off, answers stay
 * complete, and the weight versions reported for their tokens stay correct. All are on in
 * production. The state is process-wide and set at startup. */
typedef enum
{
  LB_SWITCH_HEDGING,       /* sends a second attempt of a call that has no response yet */
  LB_SWITCH_MOVES,         /* moves a running generation from a slow engine to a faster one */
  LB_SWITCH_PACE,          /* estimates an engine's speed from the token rate of its streams */
  LB_SWITCH_FULL_PACE,     /* lets a long generation wait until a fast engine is free */
  LB_SWITCH_CONDITION,     /* tells lasting speeds of endpoints from short slowdowns */
  LB_SWITCH_LATEST_START,  /* orders generations by the latest start that meets their deadline */
  LB_SWITCH_KEPT_TEXTS,    /* stores a batch's partial texts for another instance to resume */
  LB_SWITCH_CARRIED_TEXTS, /* resumes cached partial texts if a sample group is requested again */
  LB_SWITCH_DIVISION,      /* divides the engines among the models by each model's demand */
  LB_SWITCH_LAG_SHARES,    /* divides the engines also by how far each trainer is behind */
  LB_SWITCH_LOADS_IN_TURN, /* lets at most a fifth of the engines load weights concurrently */
  LB_SWITCH_OFFERS,     /* offers a new batch to the instance that runs the model's other batches */
  LB_SWITCH_SUCCESSORS, /* names the next owner of a batch that is released on shutdown */
  LB_SWITCH_WAY_THROUGH_PEERS, /* sends store calls through a peer instance if direct calls fail */
  LB_SWITCH_STORE_BUDGET,      /* limits the attempts that are sent to a store that fails */
  LB_SWITCH_SENT_AGAIN,        /* resends calls that the store dropped while it was unresponsive */
  LB_SWITCH_BREAKERS,          /* stops requests to endpoints that often fail (circuit breakers) */
  LB_SWITCH_PREFIX_AFFINITY,   /* prefers engines that have the prompt's prefix in their cache */
  LB_SWITCH_IDLE_CONNECTIONS,  /* reuses idle connections for later requests */
  LB_SWITCH_SCALING, /* requests spot endpoints from the platform to match the trainers' demand */
  LB_SWITCH_MOVE_DECISIONS, /* lets the dispatcher refuse a move that gains too little */
  LB_SWITCH_WAIT_ESTIMATE,  /* refuses calls whose wait and service time exceed their deadline */
  LB_SWITCH_GROUP_ORDER,    /* runs the texts of groups that can no longer be complete last */
  LB_N_SWITCHES
} LbSwitch;

const char *lb_switch_name (LbSwitch id);
bool lb_switch_is_known (const char *name);
/* Disables the optimisation with this name in measure.off; an unknown name has no effect. */
void lb_switch_disable_optimisation (const char *name);
bool lb_switch_is_on (LbSwitch id);
void lb_switch_enable_all_optimisations (void);

#endif
