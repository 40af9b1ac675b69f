#include "lc-admission.h"

#include <string.h>

/* If the list of organisations was last confirmed longer ago than this, an unknown API key may have
 * been added since. A refresh of the list completes every 0.7 s or sooner, so one reply may be lost
 * or late. */
#define MAX_CONFIRMATION_AGE (1500 * LB_MSEC)
/* Delay after which a call whose API key could not be checked may be retried: long enough for the
 * store to reply. If the call is refused again, the client should send it to another instance. */
#define UNCONFIRMED_RETRY_AFTER (300 * LB_MSEC)

static void
refuse_call (LcAdmission *admission, LbErrorCode error, const char *reason, LbTime retry_after)
{
  admission->error = error;
  admission->reason = reason;
  admission->retry_after = retry_after;
}

/* Whether an API key may have been revoked while this instance can't reach the store. Without this
 * check a revoked key would be accepted for as long as the partition lasts. */
static bool
may_key_be_revoked (const LcAdmissionRules *rules, LbTime confirmation_age)
{
  return rules->refuse_unconfirmed && confirmation_age >= rules->max_unconfirmed_age;
}

void
lc_admission_decide (const LcAdmissionRules *rules,
                     const LcAdmissionView *view,
                     const LcAdmissionCall *call,
                     LbTime now,
                     LcAdmission *admission)
{
  LbTime confirmation_age = now - view->confirmed_at;
  const LcOrganisation *holder = NULL;

  memset (admission, 0, sizeof *admission);
  if (!view->organisations || call->is_public)
    return;
  if (call->n_keys > 1)
    {
      refuse_call (admission, LB_ERROR_BAD_REQUEST, "the call carries more than one API key", 0);
      return;
    }
  if (!call->key || call->key[0] == '\0')
    {
      refuse_call (admission, LB_ERROR_UNAUTHORIZED, "the call carries no API key", 0);
      return;
    }
  admission->has_digest = lc_key_compute_digest (call->key, &admission->digest);
  if (!admission->has_digest)
    {
      refuse_call (admission, LB_ERROR_NOT_READY, "the API key could not be hashed",
                   UNCONFIRMED_RETRY_AFTER);
      return;
    }
  holder = lc_organisations_find_by_key (view->organisations, &admission->digest);
  if (holder)
    admission->organisation = *holder;
  if (holder && may_key_be_revoked (rules, confirmation_age))
    refuse_call (admission, LB_ERROR_NOT_READY, "the API key may have been revoked",
                 UNCONFIRMED_RETRY_AFTER);
  else if (!holder && confirmation_age >= MAX_CONFIRMATION_AGE)
    /* An unknown key may have been added since the last refresh, so its caller is told to retry:
     * "unauthorized" would be final. */
    refuse_call (admission, LB_ERROR_NOT_READY,
                 "the API key may have been added since the last refresh", UNCONFIRMED_RETRY_AFTER);
  else if (!holder)
    refuse_call (admission, LB_ERROR_UNAUTHORIZED, "the API key is unknown", 0);
}
