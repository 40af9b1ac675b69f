#ifndef LB_SWITCH_H
#define LB_SWITCH_H

#include <stdbool.h>

/* Optimisations that the setting measure.off disables, to measure the benefit of each
 * (tools/ablate). No guarantee depends on them: whichever are off, answers stay complete and labels
 * correct. All are on in production. The state is process-wide and set before anything runs. */
typedef enum
{
  LB_SWITCH_HEDGING,       /* second attempt of a call without a response so far */
  LB_SWITCH_MOVES,         /* continues the text of a slow engine on another one */
  LB_SWITCH_PACE,          /* estimates an engine's speed from its streams */
  LB_SWITCH_FULL_PACE,     /* a long text waits for an engine at full speed */
  LB_SWITCH_LATEST_START,  /* orders texts by the latest time to start them */
  LB_SWITCH_KEPT_TEXTS,    /* stores partial texts for a batch's next owner */
  LB_SWITCH_CARRIED_TEXTS, /* reuses the texts of groups that are submitted again */
  LB_SWITCH_DIVISION,      /* divides the engines among models by demand */
  LB_SWITCH_LOADS_IN_TURN, /* at most a fifth of the engines loads weights at a time */
  LB_SWITCH_OFFERS,        /* offers a model's next batch to the instance that runs its others */
  LB_SWITCH_WAY_THROUGH_PEERS, /* store calls through a peer while the direct path is down */
  LB_SWITCH_SENT_AGAIN,        /* repeats calls that a silent store left unanswered */
  LB_SWITCH_BREAKERS,          /* circuit breakers of endpoints */
  LB_SWITCH_PREFIX_AFFINITY,   /* prefers engines that have the prompt's prefix in their cache */
  LB_SWITCH_IDLE_CONNECTIONS,  /* reuses idle connections for later requests */
  LB_SWITCH_SCALING,           /* requests cheaper endpoints by the trainers' demand */
  LB_N_SWITCHES
} LbSwitch;

const char *lb_switch_name (LbSwitch id);
bool lb_switch_is_known (const char *name);
/* Ignores unknown names. */
void lb_switch_disable (const char *name);
bool lb_switch_is_on (LbSwitch id);
void lb_switch_enable_all (void);

#endif
