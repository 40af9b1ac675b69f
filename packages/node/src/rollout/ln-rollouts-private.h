#ifndef LN_ROLLOUTS_PRIVATE_H
#define LN_ROLLOUTS_PRIVATE_H

#include "ln-context.h"
#include "ln-messages.h"
#include "ln-step-call.h"

/* A step that this instance works on, or looks for the owner of. */
typedef struct
{
  LbLink link;
  LnStepKey key;
  LnStepOwner owner;
  bool open;      /* in the core; else the owner is being looked up */
  bool durable;   /* its row is known to be in the table */
  bool claiming;  /* an ask is in progress */
  bool releasing; /* it is being left to another instance */
  int release_tries;
  char *content;   /* while not durable, and for an open that waits */
  LbTime retry_at; /* of the claim or the release */
  LbList calls;    /* LnStepCall that wait for the owner to be known */
} LnHeldStep;

/* Trainers' steps: owns the core of them and carries its actions out. */
typedef struct
{
  LnTask task; /* first */
  LnContext *context;
  LcRollouts *core;
  LnStepStore *store;
  LcResourceSet *set;
  LnMember *members;
  size_t n_members;
  struct event *tick;
  LbList held;  /* LnHeldStep */
  LbList calls; /* LnStepCall that wait in the core or for a relay */
  size_t asks;  /* in progress */
  bool ready;   /* the resources in force are confirmed */
  bool draining;
  LbTime draining_since;
} LnRollouts;

/* ln-rollouts-run.c: actions of the core */
void ln_rollouts_run (LnRollouts *rollouts, LbList *actions);

/* ln-rollouts-owners.c: which instance works on a step */

/* Answers the call here, or finds out who should. */
void ln_rollouts_resolve (LnRollouts *rollouts, LnStepCall *call);
void ln_rollouts_end_call (LnRollouts *rollouts, LnStepCall *call);
/* A relay to an owner that has died would wait for its silence. */
void ln_rollouts_recall_relays (LnRollouts *rollouts);
/* Forgets steps that the core has closed or lost. */
void ln_rollouts_drop_closed (LnRollouts *rollouts);
/* Writes steps to the store that were opened while it was away; leaves steps while draining. */
void ln_rollouts_tick_owners (LnRollouts *rollouts);
void ln_rollouts_free_held (LnRollouts *rollouts, LnHeldStep *held);
LnHeldStep *ln_rollouts_find_held (LnRollouts *rollouts, const LnStepKey *key);
LnStepCall *ln_rollouts_find_call (LbList *calls, uint64_t id);

#endif
