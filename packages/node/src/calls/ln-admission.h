#ifndef LN_ADMISSION_H
#define LN_ADMISSION_H

#include "lc-admission.h"
#include "lc-desired.h"
#include "ln-context.h"
#include "ln-dialect.h"
#include "ln-messages.h"

/* Newest desired state (routes, services and organisations of a shared platform) that a task has
 * received, and when the store last confirmed that it is the newest. */
typedef struct
{
  LcDesired *desired; /* owned reference; NULL: no desired state was received yet */
  LbTime confirmed_at;
} LnAdmissionState;

/* Replaces the desired state by the one in the message, which counts as confirmed now. */
void ln_admission_state_update (LnAdmissionState *state, const LnDesiredMessage *message);

/* Decides by the API key whether to admit a caller's request. is_public: no key is required. */
void ln_admission_check_request (const LnContext *context,
                                 const LnAdmissionState *state,
                                 bool is_public,
                                 const LnInbound *inbound,
                                 LcAdmission *admission);
/* Replies to a request that was not admitted with the error in admission; frees the exchange. */
void ln_admission_refuse_request (LnExchange *exchange,
                                  const LnAdmissionState *state,
                                  const LnInbound *inbound,
                                  const LcAdmission *admission);

#endif
