#include "ln-step-claim.h"

#include "lb-alloc.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of attempts of a claim. A claim that loses a race against another instance starts
 * again with the lookup. One instance wins each race, so a few attempts are enough. */
#define MAX_STEP_CLAIM_ATTEMPTS 4

typedef struct
{
  LnStepStore *store;
  LnStepClaimRequest request;
  char *content;
  LnStepOwner owner; /* owner row as last read or written */
  int attempts;
} Claim;

static void read_step_owner (Claim *claim);

static void
finish_step_claim (Claim *claim, LnStepClaimResult *result)
{
  result->owner = claim->owner;
  claim->request.done (result, claim->request.user);
  free (claim->content);
  free (claim);
}

static void
fail_step_claim (Claim *claim, LbErrorCode error)
{
  LnStepClaimResult result = { .outcome = LN_STEP_CLAIM_FAILED, .error = error };

  finish_step_claim (claim, &result);
}

static void
on_step_loaded (LbErrorCode error, const LnStoredStep *stored, void *user)
{
  LnStepClaimResult result = { .outcome = LN_STEP_OWNED_HERE, .stored = *stored };

  if (error != LB_OK)
    fail_step_claim (user, error);
  else
    finish_step_claim (user, &result);
}

static void
log_step_claim (const Claim *claim, const LnStepOwner *seen)
{
  lb_log (LB_LOG_INFO, "step-claimed", LB_TEXT ("subscription", claim->request.key.subscription),
          LB_INT ("step", claim->request.key.step), LB_INT ("session", claim->owner.session),
          LB_TEXT ("from", seen->instance));
}

static void
on_step_claim_written (LbErrorCode error, const LnStepOwner *owner, void *user)
{
  Claim *claim = user;
  LnStepOwner seen = claim->owner;
  LnStepClaimResult result = { .outcome = LN_STEP_OWNED_HERE };

  if (error == LB_ERROR_CONDITION_FAILED && ++claim->attempts < MAX_STEP_CLAIM_ATTEMPTS)
    {
      read_step_owner (claim);
      return;
    }
  if (error != LB_OK)
    {
      fail_step_claim (claim, error);
      return;
    }
  claim->owner = *owner;
  log_step_claim (claim, &seen);
  if (seen.row_version == 0)
    finish_step_claim (claim, &result);
  else
    ln_step_store_load_step (claim->store, &claim->request.key, &claim->owner, on_step_loaded,
                             claim);
}

static bool
is_step_owned_by_other_live_process (const Claim *claim, const LnStepOwner *owner)
{
  return strcmp (owner->incarnation, claim->request.incarnation) != 0
         && claim->request.is_owner_alive (owner, claim->request.user);
}

/* Whether the row names this process as the owner, under the session (number of the claim) that is
 * open here. A row with another session is left from a claim whose reply was lost, or from a step
 * that this process closed; the step is then claimed again under a new session. */
static bool
is_step_owned_and_open_here (const Claim *claim, const LnStepOwner *owner)
{
  return strcmp (owner->incarnation, claim->request.incarnation) == 0
         && claim->request.own_session == owner->session;
}

static void
on_step_owner_read (LbErrorCode error, const LnStepOwner *owner, void *user)
{
  Claim *claim = user;
  LnStepClaimResult result = { .outcome = LN_STEP_NOT_FOUND };

  if (error != LB_OK)
    {
      fail_step_claim (claim, error);
      return;
    }
  claim->owner = *owner;
  if (owner->row_version == 0 && !claim->content)
    {
      finish_step_claim (claim, &result);
      return;
    }
  if (owner->row_version != 0 && is_step_owned_and_open_here (claim, owner))
    {
      result.outcome = LN_STEP_OWNED_HERE;
      finish_step_claim (claim, &result);
      return;
    }
  if (owner->row_version != 0 && is_step_owned_by_other_live_process (claim, owner))
    {
      result.outcome = LN_STEP_OWNED_ELSEWHERE;
      finish_step_claim (claim, &result);
      return;
    }
  if (!claim->request.may_claim)
    {
      result.outcome = LN_STEP_UNOWNED;
      finish_step_claim (claim, &result);
      return;
    }
  ln_step_store_claim_step (claim->store, &claim->request.key, owner,
                            owner->row_version == 0 ? claim->content : NULL, on_step_claim_written,
                            claim);
}

static void
read_step_owner (Claim *claim)
{
  ln_step_store_read_owner (claim->store, &claim->request.key, on_step_owner_read, claim);
}

void
ln_step_claim_start (LnStepStore *store, const LnStepClaimRequest *request)
{
  Claim *claim = LB_NEW (Claim);

  claim->store = store;
  claim->request = *request;
  claim->request.content = NULL;
  claim->content = request->content ? lb_strdup (request->content) : NULL;
  read_step_owner (claim);
}
