#include "ln-step-claim.h"

#include "lb-alloc.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>

/* Races with other instances for one step end within a few rounds: one of them has won. */
#define MAX_ROUNDS 4

typedef struct
{
  LnStepStore *store;
  LnStepAsk ask;
  char *content;
  LnStepOwner owner;
  int rounds;
} Claim;

static void find (Claim *claim);

static void
claim_end (Claim *claim, LnStepAnswer *answer)
{
  answer->owner = claim->owner;
  claim->ask.done (answer, claim->ask.user);
  free (claim->content);
  free (claim);
}

static void
claim_fail (Claim *claim, LbErrorCode error)
{
  LnStepAnswer answer = { .outcome = LN_STEP_FAILED, .error = error };

  claim_end (claim, &answer);
}

static void
on_loaded (LbErrorCode error, const LnStepStored *stored, void *user)
{
  LnStepAnswer answer = { .outcome = LN_STEP_OURS, .stored = *stored };

  if (error != LB_OK)
    claim_fail (user, error);
  else
    claim_end (user, &answer);
}

static void
log_claim (const Claim *claim, const LnStepOwner *seen)
{
  lb_log (LB_LOG_INFO, "step-claimed", LB_TEXT ("subscription", claim->ask.key.subscription),
          LB_INT ("step", claim->ask.key.step), LB_INT ("session", claim->owner.session),
          LB_TEXT ("from", seen->instance));
}

static void
on_claimed (LbErrorCode error, const LnStepOwner *owner, void *user)
{
  Claim *claim = user;
  LnStepOwner seen = claim->owner;
  LnStepAnswer answer = { .outcome = LN_STEP_OURS };

  if (error == LB_ERROR_CONDITION_FAILED && ++claim->rounds < MAX_ROUNDS)
    {
      find (claim);
      return;
    }
  if (error != LB_OK)
    {
      claim_fail (claim, error);
      return;
    }
  claim->owner = *owner;
  log_claim (claim, &seen);
  if (seen.version == 0)
    claim_end (claim, &answer);
  else
    ln_step_store_load (claim->store, &claim->ask.key, &claim->owner, on_loaded, claim);
}

/* A row that names this process although it does not work on the step is what a claim left of which
 * the reply was lost, or a step that was closed here: it is claimed anew, under a new session. */
static bool
is_held_elsewhere (const Claim *claim, const LnStepOwner *owner)
{
  return strcmp (owner->incarnation, claim->ask.incarnation) != 0
         && claim->ask.is_alive (owner, claim->ask.user);
}

static bool
is_held_here (const Claim *claim, const LnStepOwner *owner)
{
  return strcmp (owner->incarnation, claim->ask.incarnation) == 0
         && claim->ask.own_session == owner->session;
}

static void
on_found (LbErrorCode error, const LnStepOwner *owner, void *user)
{
  Claim *claim = user;
  LnStepAnswer answer = { .outcome = LN_STEP_ABSENT };

  if (error != LB_OK)
    {
      claim_fail (claim, error);
      return;
    }
  claim->owner = *owner;
  if (owner->version == 0 && !claim->content)
    {
      claim_end (claim, &answer);
      return;
    }
  if (owner->version != 0 && is_held_here (claim, owner))
    {
      answer.outcome = LN_STEP_OURS;
      claim_end (claim, &answer);
      return;
    }
  if (owner->version != 0 && is_held_elsewhere (claim, owner))
    {
      answer.outcome = LN_STEP_ELSEWHERE;
      claim_end (claim, &answer);
      return;
    }
  if (!claim->ask.may_claim)
    {
      answer.outcome = LN_STEP_FREE;
      claim_end (claim, &answer);
      return;
    }
  ln_step_store_claim (claim->store, &claim->ask.key, owner,
                       owner->version == 0 ? claim->content : NULL, on_claimed, claim);
}

static void
find (Claim *claim)
{
  ln_step_store_find (claim->store, &claim->ask.key, on_found, claim);
}

void
ln_step_claim_ask (LnStepStore *store, const LnStepAsk *ask)
{
  Claim *claim = LB_NEW (Claim);

  claim->store = store;
  claim->ask = *ask;
  claim->ask.content = NULL;
  claim->content = ask->content ? lb_strdup (ask->content) : NULL;
  find (claim);
}
