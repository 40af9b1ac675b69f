#ifndef LN_STEP_CLAIM_H
#define LN_STEP_CLAIM_H

#include "ln-step-store.h"

/* Looks up the owner of a step, and claims the step if it has no live owner. */

typedef enum
{
  LN_STEP_OWNED_HERE,      /* the owner is this incarnation */
  LN_STEP_OWNED_ELSEWHERE, /* the owner is another live instance, see owner */
  LN_STEP_NOT_FOUND,       /* it was never opened */
  LN_STEP_UNOWNED,         /* it has no live owner, and may_claim was false */
  LN_STEP_CLAIM_FAILED     /* see error */
} LnStepClaimOutcome;

typedef struct
{
  LnStepClaimOutcome outcome;
  LbErrorCode error;
  LnStepOwner owner;
  LnStoredStep stored; /* valid during the callback; empty unless there was an earlier owner */
} LnStepClaimResult;

typedef bool (*LnStepIsOwnerAlive) (const LnStepOwner *owner, void *user);
typedef void (*LnStepClaimDone) (const LnStepClaimResult *result, void *user);

typedef struct
{
  LnStepKey key;
  const char *content;  /* body that opens the step if it was never opened; NULL: doesn't open it */
  uint64_t own_session; /* session under which the step is open here already; 0: it is not open */
  const char *incarnation;           /* of this process */
  bool may_claim;                    /* false: only looks up the owner */
  LnStepIsOwnerAlive is_owner_alive; /* called for other incarnations only */
  LnStepClaimDone done; /* called once, after the start has returned; never if the store is freed */
  void *user;
} LnStepClaimRequest;

void ln_step_claim_start (LnStepStore *store, const LnStepClaimRequest *request);

#endif
