#ifndef LN_ADMISSION_H
#define LN_ADMISSION_H

#include "lc-admission.h"
#include "lc-desired.h"
#include "ln-context.h"
#include "ln-dialect.h"
#include "ln-messages.h"

/* Authenticates callers' requests by the configuration in force on this instance. */

/* Desired state as a task knows it, and when it was last confirmed to be the newest. */
typedef struct
{
  LcDesired *desired; /* owned reference; NULL: none known */
  LbTime confirmed_at;
} LnAdmissionState;

/* Replaces the desired state by a newer one. */
void ln_admission_state_update (LnAdmissionState *state, const LnDesiredMessage *message);

void ln_admission_check (const LnContext *context,
                         const LnAdmissionState *state,
                         bool is_public,
                         const LnInbound *inbound,
                         LcAdmission *admission);
/* Sends the final reply to a call that is not admitted; invalidates the exchange. */
void ln_admission_refuse (LnExchange *exchange,
                          const LnAdmissionState *state,
                          const LnInbound *inbound,
                          const LcAdmission *admission);

#endif
