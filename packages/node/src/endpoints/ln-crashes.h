#ifndef LN_CRASHES_H
#define LN_CRASHES_H

#include "lc-quarantine.h"
#include "ln-context.h"
#include "ln-messages.h"

/* Tells the other instances under which requests endpoints ended, and hears it from them: a caller
 * sends its request to any of them. It is kept in the platform's store, so that a restart of all
 * instances forgets nothing. */
typedef struct LnCrashes LnCrashes;

LnCrashes *ln_crashes_new (LnContext *context, LcQuarantine *quarantine);
void ln_crashes_free (LnCrashes *crashes);

/* Reads what others wrote, and writes again what the store did not take. */
void ln_crashes_tick (LnCrashes *crashes, LbTime now);
/* An endpoint has ended under requests of this instance. */
void ln_crashes_report_crash (LnCrashes *crashes,
                              const char *endpoint,
                              LbTime at,
                              const LcFingerprint *contents,
                              size_t n_contents);
/* Tells what the quarantine wants the others to hear. */
void ln_crashes_publish_clearances (LnCrashes *crashes);
/* What was told before this instance started is known, or could not be had in good time. */
bool ln_crashes_is_ready (const LnCrashes *crashes, LbTime now);
/* A frame of another instance; false when it is not one of these. */
bool ln_crashes_receive_frame (LnCrashes *crashes, const LnPeerMessage *frame);

#endif
