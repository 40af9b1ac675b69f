#ifndef LC_QUARANTINE_H
#define LC_QUARANTINE_H

#include "lc-fingerprint.h"
#include "lc-types.h"

/* This header declares the quarantine of requests that were in flight in several crashes of
 * endpoints. The quarantine is computed from the crash reports of all instances. No I/O; the
 * outcome depends on the set of reports alone, not on their order, so that all instances refuse the
 * same requests. */
typedef struct LcQuarantine LcQuarantine;

#define LC_CRASH_REPORT_ID_SIZE 256
#define LC_MAX_REPORT_FINGERPRINTS 64

/* Report by one instance that an endpoint crashed. */
typedef struct
{
  char id[LC_CRASH_REPORT_ID_SIZE]; /* unique id of the report; the same on all instances */
  LbName endpoint; /* name of the crashed endpoint, with its incarnation if known */
  LbTime at;
  LcFingerprint fingerprints[LC_MAX_REPORT_FINGERPRINTS]; /* fingerprints of the requests that
                                                             failed in the crash */
  size_t n_fingerprints;
} LcCrashReport;

LcQuarantine *lc_quarantine_new (void);
void lc_quarantine_free (LcQuarantine *quarantine);

/* Functions that change an LcQuarantine. */

/* Adds a crash report; has no effect if its id is already known. */
void lc_quarantine_add_report (LcQuarantine *quarantine, const LcCrashReport *report, LbTime now);
void lc_quarantine_withdraw_report (LcQuarantine *quarantine, const char *id);
/* Records that an endpoint answered a request of this instance, which proves that the request's
 * content does not crash endpoints. Call for each answered request. */
void lc_quarantine_record_answer (LcQuarantine *quarantine, LcFingerprint fingerprint, LbTime now);
/* Records that another instance has announced a clearance of the fingerprint: an endpoint answered
 * a request with it there (see lc_quarantine_pop_clearance). */
void lc_quarantine_add_clearance (LcQuarantine *quarantine, LcFingerprint fingerprint, LbTime at);
/* Drops crash reports, and clearances (answers that proved a fingerprint harmless), that are too
 * old to count. */
void lc_quarantine_expire (LcQuarantine *quarantine, LbTime now);
/* Takes the next clearance to announce to the other instances: a suspected fingerprint whose
 * request was answered on this instance. Returns false if there is none. */
bool lc_quarantine_pop_clearance (LcQuarantine *quarantine,
                                  LcFingerprint *fingerprint,
                                  LbTime *answered_at);

/* Functions that only read an LcQuarantine. */

/* Time at which the fingerprint's quarantine ends; 0: it is not in quarantine. */
LbTime lc_quarantine_ends_at (const LcQuarantine *quarantine, LcFingerprint fingerprint);
/* Time until which a request that is still owed to its trainer, such as an item of a batch, is kept
 * from endpoints; 0: it is not. Such a request is never lost to a quarantine, as it may have been
 * in flight in crashes that it did not cause. */
LbTime lc_quarantine_postponed_until (const LcQuarantine *quarantine, LcFingerprint fingerprint);
/* Number of fingerprints in quarantine. */
size_t lc_quarantine_count_fingerprints (const LcQuarantine *quarantine);
LbTime lc_quarantine_report_lifetime (void);

#endif
