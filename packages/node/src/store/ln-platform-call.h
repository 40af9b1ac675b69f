#ifndef LN_PLATFORM_CALL_H
#define LN_PLATFORM_CALL_H

#include "lb-list.h"
#include "lc-outgoing.h"
#include "ln-context.h"
#include "ln-dialect.h"

/* This header sends calls to the platform's API: usage reports and orders of endpoints. Each call
 * is sent once, without retries. */

/* Called exactly once for each call to the platform, with the call's outcome. */
typedef void (*LnPlatformCallDone) (LnDutyOutcome outcome, void *user);

/* Sends the call and keeps it in the list calls until done is called. */
void ln_platform_call_start (const LnContext *context,
                             LbList *calls,
                             const LcOutgoingRequest *outgoing,
                             LnPlatformCallDone done,
                             void *user);
/* Cancels all calls in the list; done gets LN_DUTY_NO_ANSWER for each call. */
void ln_platform_calls_cancel (LbList *calls);

#endif
