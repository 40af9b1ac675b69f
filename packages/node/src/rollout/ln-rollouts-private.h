#ifndef LN_ROLLOUTS_PRIVATE_H
#define LN_ROLLOUTS_PRIVATE_H

#include "ln-context.h"
#include "ln-messages.h"
#include "ln-step-call.h"

/* A step that this instance owns, or whose owner it is looking up. */
typedef struct
{
  LbLink link;
  LnStepKey key;
  LnStepOwner owner;
  bool is_open;      /* this instance owns and serves it; false: the owner is being looked up */
  bool is_durable;   /* its owner row is known to be stored */
  bool is_claiming;  /* a lookup or claim is in progress */
  bool is_releasing; /* its release to another instance is in progress */
  int release_attempts;
  char *content;        /* body of the open request, until the step is durable; NULL: none */
  LbTime retry_at;      /* time of the next attempt of the claim or the release */
  LbList waiting_calls; /* LnStepCall, until the owner is known */
} LnTrackedStep;

/* The task "rollouts": serves the steps of trainers. Runs LcRollouts and does the I/O that it
 * requests. */
typedef struct
{
  LnTask task; /* must be the first member */
  LnContext *context;
  LcRollouts *core; /* decides; runs no I/O */
  LnStepStore *store;
  LcResourceSet *resources; /* the configuration in force */
  LnMember *members;
  size_t n_members;
  struct event *timer;
  LbList steps;        /* LnTrackedStep */
  LbList calls;        /* LnStepCall that wait in LcRollouts or for a relay */
  size_t n_operations; /* claims and releases in progress */
  bool is_ready;       /* the resources in force are confirmed */
  bool is_draining;
  LbTime draining_since;
} LnRollouts;

/* ln-rollouts-run.c: actions of LcRollouts */
void ln_rollouts_run_actions (LnRollouts *rollouts, LbList *actions);

/* ln-rollouts-owners.c: which instance owns a step */

/* Serves the call if the step is open here, else looks up the owner and relays the call to it. */
void ln_rollouts_route_call (LnRollouts *rollouts, LnStepCall *call);
void ln_rollouts_end_call (LnRollouts *rollouts, LnStepCall *call);
/* Routes calls again that were relayed to an owner that has died since, instead of waiting for the
 * relay to time out. */
void ln_rollouts_reroute_relays (LnRollouts *rollouts);
/* Removes steps that LcRollouts has closed or aborted. */
void ln_rollouts_remove_closed_steps (LnRollouts *rollouts);
/* Claims steps that were opened while the store was unavailable; releases steps while draining. */
void ln_rollouts_tick_owners (LnRollouts *rollouts);
void ln_rollouts_remove_step (LnRollouts *rollouts, LnTrackedStep *step);
LnTrackedStep *ln_rollouts_find_step (LnRollouts *rollouts, const LnStepKey *key);
LnStepCall *ln_rollouts_find_call (LbList *calls, uint64_t id);

#endif
