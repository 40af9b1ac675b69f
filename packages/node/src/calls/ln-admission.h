#ifndef LN_ADMISSION_H
#define LN_ADMISSION_H

#include "lc-admission.h"
#include "lc-desired.h"
#include "ln-context.h"
#include "ln-dialect.h"
#include "ln-messages.h"

/* Whose call a caller's request is, by the configuration in force here. */

/* What a task believes: the desired state, and when it was last known to be the newest. */
typedef struct
{
  LcDesired *desired; /* a reference; NULL: none is known */
  LbTime confirmed_at;
} LnAdmissionState;

/* Another desired state is in force. */
void ln_admission_state_update (LnAdmissionState *belief, const LnDesiredMessage *message);

void ln_admission_check (const LnContext *context,
                         const LnAdmissionState *belief,
                         bool is_public,
                         const LnInbound *in,
                         LcAdmission *admission);
/* Final answer to a call that is not admitted; the exchange is gone afterwards. */
void ln_admission_refuse (LnExchange *exchange,
                          const LnAdmissionState *belief,
                          const LnInbound *in,
                          const LcAdmission *admission);

#endif
