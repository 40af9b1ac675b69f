#ifndef LN_CRASHES_H
#define LN_CRASHES_H

#include "lc-quarantine.h"
#include "ln-context.h"
#include "ln-messages.h"

/* Shares crash reports (requests under which an endpoint crashed) and clearances (requests that an
 * endpoint answered) among the instances, since a caller may send the same request to any instance.
 * Both are rows in the platform's store, so that they survive a restart of all instances.
 */
typedef struct LnCrashes LnCrashes;

LnCrashes *ln_crashes_new (LnContext *context, LcQuarantine *quarantine);
void ln_crashes_free (LnCrashes *crashes);

/* Reads the rows of other instances, retries failed writes and removes expired rows. */
void ln_crashes_tick (LnCrashes *crashes, LbTime now);
/* Reports to all instances that the endpoint crashed at `at` while it processed the requests of
 * this instance with these fingerprints (hashes of the requests). */
void ln_crashes_report_crash (LnCrashes *crashes,
                              const char *endpoint,
                              LbTime at,
                              const LcFingerprint *fingerprints,
                              size_t n_fingerprints);
/* Informs the other instances of suspected requests that an endpoint has answered on this instance
 * since the last call, and which therefore caused no crash (see lc_quarantine_pop_clearance). */
void ln_crashes_publish_clearances (LnCrashes *crashes);
/* Returns true once the rows written before this instance started have been read, or two seconds
 * after its start if they could not be read. */
bool ln_crashes_is_initial_read_over (const LnCrashes *crashes, LbTime now);
/* Applies the crash row in a frame from another instance. Returns false if the frame does not
 * contain a crash row or is malformed. */
bool ln_crashes_receive_frame (LnCrashes *crashes, const LnPeerMessage *frame);

#endif
