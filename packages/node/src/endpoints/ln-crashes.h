#ifndef LN_CRASHES_H
#define LN_CRASHES_H

#include "lc-quarantine.h"
#include "ln-context.h"
#include "ln-messages.h"

/* Shares crash reports (which requests endpoints crashed under) and clearances among the instances,
 * since a caller may send the same request to any of them. They are kept as rows in the platform's
 * store, so that they survive a restart of all instances. */
typedef struct LnCrashes LnCrashes;

LnCrashes *ln_crashes_new (LnContext *context, LcQuarantine *quarantine);
void ln_crashes_free (LnCrashes *crashes);

/* Reads the rows of other instances, and retries writes that failed. */
void ln_crashes_tick (LnCrashes *crashes, LbTime now);
/* Reports that an endpoint crashed under requests of this instance. */
void ln_crashes_report_crash (LnCrashes *crashes,
                              const char *endpoint,
                              LbTime at,
                              const LcFingerprint *fingerprints,
                              size_t n_fingerprints);
/* Publishes the pending clearances of the quarantine (see lc_quarantine_pop_clearance). */
void ln_crashes_publish_clearances (LnCrashes *crashes);
/* The rows written before this instance started have been read, or could not be read in time. */
bool ln_crashes_is_initial_read_over (const LnCrashes *crashes, LbTime now);
/* Handles a frame from another instance; false if it is of another kind or malformed. */
bool ln_crashes_receive_frame (LnCrashes *crashes, const LnPeerMessage *frame);

#endif
