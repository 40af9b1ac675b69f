#ifndef LN_ROLLOUTS_PRIVATE_H
#define LN_ROLLOUTS_PRIVATE_H

#include "ln-context.h"
#include "ln-messages.h"
#include "ln-step-call.h"

/* A step that this instance owns, or whose owner this instance is looking up. */
typedef struct
{
  LbLink link;
  LnStepKey key;
  LnStepOwner owner;
  bool is_open;         /* true: this instance serves the step; false: looks up its owner */
  bool is_durable;      /* the store has confirmed the row that names the step's owner */
  bool is_claiming;     /* a lookup of the owner or a claim of the step is in progress */
  bool is_releasing;    /* a write that releases the step for another instance is in progress */
  int release_attempts; /* number of failed releases */
  char *content;        /* body of the request that opens the step; NULL if none, or once stored */
  LbTime retry_at;      /* time of the next attempt to claim or release the step */
  LbList waiting_calls; /* list of the LnStepCall that wait for the owner to be known */
} LnTrackedStep;

/* The task "rollouts", which serves the steps of trainers. Runs LcRollouts and does the I/O that
 * LcRollouts requests. */
typedef struct
{
  LnTask task; /* must be the first member */
  LnContext *context;
  LcRollouts *core; /* state machine of the steps; does no I/O */
  LnStepStore *store;
  LcResourceSet *resources; /* current configuration; NULL before the first one */
  LnMember *members;
  size_t n_members;
  struct event *timer;
  LbList steps;        /* list of LnTrackedStep */
  LbList calls;        /* list of the LnStepCall that wait for samples or for a relayed reply */
  size_t n_operations; /* number of claims and releases in progress */
  bool is_ready;       /* the current configuration is confirmed, so new steps may be opened */
  bool is_draining;    /* set while this instance shuts down */
  LbTime draining_since;
} LnRollouts;

/* Defined in ln-rollouts-run.c: carries out and frees the actions that LcRollouts returned. */
void ln_rollouts_execute_actions (LnRollouts *rollouts, LbList *actions);

/* Defined in ln-rollouts-owners.c, which looks up, claims and releases the ownership of steps. */

/* Serves the call if this instance has the step open. Otherwise looks up the step's owner and
 * relays the call to the owner. */
void ln_rollouts_route_call (LnRollouts *rollouts, LnStepCall *call);
/* Cancels the call's relay, if any, and frees the call. */
void ln_rollouts_end_call (LnRollouts *rollouts, LnStepCall *call);
/* Routes calls again whose relay target has died, instead of waiting for the relay to time out. */
void ln_rollouts_reroute_calls_of_dead_owners (LnRollouts *rollouts);
/* Frees the tracked steps that LcRollouts has closed or aborted. */
void ln_rollouts_remove_closed_steps (LnRollouts *rollouts);
/* Retries claims of steps that were opened while the store was unavailable. While draining,
 * releases steps. */
void ln_rollouts_retry_claims_and_releases (LnRollouts *rollouts);
void ln_rollouts_remove_step (LnRollouts *rollouts, LnTrackedStep *step);
LnTrackedStep *ln_rollouts_find_step (LnRollouts *rollouts, const LnStepKey *key);
LnStepCall *ln_rollouts_find_call_by_id (LbList *calls, uint64_t id);

#endif
