#ifndef LN_STEP_CLAIM_H
#define LN_STEP_CLAIM_H

#include "ln-step-store.h"

/* Finds out who owns a step, and takes it when nobody who lives does. */

typedef enum
{
  LN_STEP_OURS,      /* this incarnation owns it; content and ledger are given */
  LN_STEP_ELSEWHERE, /* owner is another instance that lives */
  LN_STEP_ABSENT,    /* nobody ever opened it */
  LN_STEP_FREE,      /* nobody who lives owns it, and the asker may not */
  LN_STEP_FAILED     /* see error */
} LnStepOutcome;

typedef struct
{
  LnStepOutcome outcome;
  LbErrorCode error;
  LnStepOwner owner;
  LnStepStored stored; /* valid during the call; no content when the asker gave it */
} LnStepAnswer;

typedef bool (*LnStepIsAlive) (const LnStepOwner *owner, void *user);
typedef void (*LnStepClaimDone) (const LnStepAnswer *answer, void *user);

typedef struct
{
  LnStepKey key;
  const char *content;     /* opens the step with it when it is absent; NULL: only finds it */
  uint64_t own_session;    /* what this incarnation works under already; 0: nothing */
  const char *incarnation; /* of this process */
  bool may_claim;
  LnStepIsAlive is_alive; /* asked about other incarnations only */
  LnStepClaimDone done;   /* once, never from inside the call, unless the store was freed */
  void *user;
} LnStepAsk;

void ln_step_claim_ask (LnStepStore *store, const LnStepAsk *ask);

#endif
