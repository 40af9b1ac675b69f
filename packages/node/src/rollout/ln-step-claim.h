#ifndef LN_STEP_CLAIM_H
#define LN_STEP_CLAIM_H

#include "ln-step-store.h"

/* Outcome of ln_step_claim_start, which looks up the owner of a step and claims the step for
 * this process if it has no live owner. */
typedef enum
{
  LN_STEP_OWNED_HERE,      /* this process owns the step */
  LN_STEP_OWNED_ELSEWHERE, /* another live process, named in `owner`, owns the step */
  LN_STEP_NOT_FOUND,       /* the step was never opened */
  LN_STEP_UNOWNED,         /* the step has no live owner, and may_claim is false */
  LN_STEP_CLAIM_FAILED     /* the lookup or claim failed with the error in `error` */
} LnStepClaimOutcome;

typedef struct
{
  LnStepClaimOutcome outcome;
  LbErrorCode error;
  LnStepOwner owner;
  LnStoredStep stored; /* state left by an earlier owner, or empty; valid during the callback */
} LnStepClaimResult;

typedef bool (*LnStepIsOwnerAlive) (const LnStepOwner *owner, void *user);
typedef void (*LnStepClaimDone) (const LnStepClaimResult *result, void *user);

typedef struct
{
  LnStepKey key;
  /* Body of the request that opens the step, used if the step was never opened. If NULL, such a
   * step is reported as LN_STEP_NOT_FOUND. */
  const char *content;
  uint64_t own_session;    /* session number of the step if this process has it open, else 0 */
  const char *incarnation; /* incarnation of this process */
  bool may_claim;          /* false to look up the owner without claiming the step */
  LnStepIsOwnerAlive is_owner_alive; /* called only for an owner with another incarnation */
  /* Called once, after ln_step_claim_start has returned; never called if the store is freed. */
  LnStepClaimDone done;
  void *user;
} LnStepClaimRequest;

void ln_step_claim_start (LnStepStore *store, const LnStepClaimRequest *request);

#endif
