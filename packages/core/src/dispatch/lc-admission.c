#include "lc-admission.h"

#include <string.h>

/* The operators' rows are heard of each 0.7 s at least; one answer may be lost or late. */
#define FRESH (1500 * LB_MSEC)
/* By then the store has answered, or the caller had better ask elsewhere. */
#define RETRY_AFTER (300 * LB_MSEC)

static void
refuse (LcAdmission *admission, LbErrorCode error, const char *reason, LbTime retry_after)
{
  admission->error = error;
  admission->reason = reason;
  admission->retry_after = retry_after;
}

/* Guards against a key that was taken away while this instance is cut off: it would serve its
 * holder for as long as the cut lasts. */
static bool
may_have_lost_it (const LcAdmissionRules *rules, LbTime age)
{
  return rules->refuse_unconfirmed && age >= rules->max_unconfirmed_age;
}

void
lc_admission_decide (const LcAdmissionRules *rules,
                     const LcAdmissionView *belief,
                     const LcAdmissionCall *call,
                     LbTime now,
                     LcAdmission *admission)
{
  LbTime age = now - belief->confirmed_at;
  const LcOrganisation *holder = NULL;

  memset (admission, 0, sizeof *admission);
  if (!belief->organisations || call->is_public)
    return;
  if (call->n_keys > 1)
    {
      refuse (admission, LB_ERROR_BAD_REQUEST, "it brings more than one key", 0);
      return;
    }
  if (!call->key || call->key[0] == '\0')
    {
      refuse (admission, LB_ERROR_UNAUTHORIZED, "it brings no key", 0);
      return;
    }
  admission->has_digest = lc_key_digest (call->key, &admission->digest);
  if (!admission->has_digest)
    {
      refuse (admission, LB_ERROR_NOT_READY, "its key could not be looked at", RETRY_AFTER);
      return;
    }
  holder = lc_organisations_holder (belief->organisations, &admission->digest);
  if (holder)
    admission->organisation = *holder;
  if (holder && may_have_lost_it (rules, age))
    refuse (admission, LB_ERROR_NOT_READY, "its key may have been taken away", RETRY_AFTER);
  else if (!holder && age >= FRESH)
    /* Guards against a final "unknown" for a key that was declared while this instance heard
     * nothing: its caller would not come back. */
    refuse (admission, LB_ERROR_NOT_READY, "its key may have been declared since", RETRY_AFTER);
  else if (!holder)
    refuse (admission, LB_ERROR_UNAUTHORIZED, "nobody holds its key", 0);
}
