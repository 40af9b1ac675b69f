#include "lc-admission.h"

#include <string.h>

/* A refresh of the organisation rows completes at least every 0.7 s; this allows for one lost or
 * late reply. */
#define MAX_REFRESH_AGE (1500 * LB_MSEC)
/* Enough for the store to reply; after that the caller does better to try another instance. */
#define RETRY_AFTER (300 * LB_MSEC)

static void
refuse (LcAdmission *admission, LbErrorCode error, const char *reason, LbTime retry_after)
{
  admission->error = error;
  admission->reason = reason;
  admission->retry_after = retry_after;
}

/* Whether the key may have been revoked unnoticed while this instance is cut off from the store. If
 * it were still accepted, its holder would be served for as long as the partition lasts. */
static bool
may_be_revoked (const LcAdmissionRules *rules, LbTime age)
{
  return rules->refuse_unconfirmed && age >= rules->max_unconfirmed_age;
}

void
lc_admission_decide (const LcAdmissionRules *rules,
                     const LcAdmissionView *view,
                     const LcAdmissionCall *call,
                     LbTime now,
                     LcAdmission *admission)
{
  LbTime age = now - view->confirmed_at;
  const LcOrganisation *holder = NULL;

  memset (admission, 0, sizeof *admission);
  if (!view->organisations || call->is_public)
    return;
  if (call->n_keys > 1)
    {
      refuse (admission, LB_ERROR_BAD_REQUEST, "the call carries more than one API key", 0);
      return;
    }
  if (!call->key || call->key[0] == '\0')
    {
      refuse (admission, LB_ERROR_UNAUTHORIZED, "the call carries no API key", 0);
      return;
    }
  admission->has_digest = lc_key_compute_digest (call->key, &admission->digest);
  if (!admission->has_digest)
    {
      refuse (admission, LB_ERROR_NOT_READY, "the API key could not be hashed", RETRY_AFTER);
      return;
    }
  holder = lc_organisations_find_by_key (view->organisations, &admission->digest);
  if (holder)
    admission->organisation = *holder;
  if (holder && may_be_revoked (rules, age))
    refuse (admission, LB_ERROR_NOT_READY, "the API key may have been revoked", RETRY_AFTER);
  else if (!holder && age >= MAX_REFRESH_AGE)
    /* An unknown key may have been added since the last refresh: a final "unauthorized" would keep
     * its caller from retrying. */
    refuse (admission, LB_ERROR_NOT_READY, "the API key may have been added since the last refresh",
            RETRY_AFTER);
  else if (!holder)
    refuse (admission, LB_ERROR_UNAUTHORIZED, "the API key is unknown", 0);
}
