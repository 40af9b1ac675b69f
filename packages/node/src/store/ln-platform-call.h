#ifndef LN_PLATFORM_CALL_H
#define LN_PLATFORM_CALL_H

#include "lb-list.h"
#include "lc-outgoing.h"
#include "ln-context.h"
#include "ln-dialect.h"

/* Calls to the platform's duty API. Each is sent once, without retries, and done is called exactly
 * once. */

typedef void (*LnPlatformCallDone) (LnDutyOutcome outcome, void *user);

/* Adds the call to calls until it is done. */
void ln_platform_call_start (const LnContext *context,
                             LbList *calls,
                             const LcOutgoingRequest *outgoing,
                             LnPlatformCallDone done,
                             void *user);
/* Cancels all calls in progress; their outcome is LN_DUTY_NO_ANSWER. */
void ln_platform_calls_cancel (LbList *calls);

#endif
