#ifndef LN_PLATFORM_CALL_H
#define LN_PLATFORM_CALL_H

#include "lb-list.h"
#include "lc-outgoing.h"
#include "ln-context.h"
#include "ln-dialect.h"

/* A call of a duty to the platform beside its store: made once, and answered once. */

typedef void (*LnPlatformCallDone) (LnDutyOutcome outcome, void *user);

/* calls: where it stands while it is on its way. */
void ln_platform_call_start (const LnContext *context,
                             LbList *calls,
                             const LcOutgoing *outgoing,
                             LnPlatformCallDone called,
                             void *user);
/* Ends those on their way; they are answered as LN_DUTY_NO_ANSWER. */
void ln_platform_calls_cancel (LbList *calls);

#endif
