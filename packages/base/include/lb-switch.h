#ifndef LB_SWITCH_H
#define LB_SWITCH_H

#include <stdbool.h>

/* Mechanisms that can be switched off, by the setting measure.off, to measure what each is worth
 * (tools/ablate). They guard no promise: whatever is off, answers stay whole and labels honest. All
 * are on in service. One state for the process, set before anything runs. */
typedef enum
{
  LB_SWITCH_HEDGING,           /* a second try of a call that has heard nothing */
  LB_SWITCH_MOVES,             /* a text at a slow engine goes on elsewhere */
  LB_SWITCH_PACE,              /* what streams tell of an engine's speed */
  LB_SWITCH_FULL_PACE,         /* a long text waits for an engine at full pace */
  LB_SWITCH_LATEST_START,      /* order by when a text has to begin */
  LB_SWITCH_KEPT_TEXTS,        /* texts so far in the store, for the next owner */
  LB_SWITCH_CARRIED_TEXTS,     /* texts of groups that come again */
  LB_SWITCH_DIVISION,          /* engines by demand */
  LB_SWITCH_LOADS_IN_TURN,     /* a fifth of the engines loads weights at once */
  LB_SWITCH_OFFERS,            /* the next batch of a model joins what runs */
  LB_SWITCH_WAY_THROUGH_PEERS, /* to the store, while the own way is cut */
  LB_SWITCH_SENT_AGAIN,        /* calls that the silent store swallowed */
  LB_SWITCH_BREAKERS,
  LB_SWITCH_PREFIX_AFFINITY,
  LB_SWITCH_IDLE_CONNECTIONS, /* kept for the next request */
  LB_SWITCH_SCALING,          /* cheaper endpoints by what trainers ask */
  LB_N_SWITCHES
} LbSwitch;

const char *lb_switch_name (LbSwitch number);
bool lb_switch_is_known (const char *name);
/* Nothing happens for a name that is not known. */
void lb_switch_set_off (const char *name);
bool lb_switch_is_on (LbSwitch number);
/* All are on again. */
void lb_switch_reset (void);

#endif
