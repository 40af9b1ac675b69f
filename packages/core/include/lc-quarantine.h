#ifndef LC_QUARANTINE_H
#define LC_QUARANTINE_H

#include "lc-fingerprint.h"
#include "lc-types.h"

/* Quarantine of requests under which endpoints have crashed repeatedly. It is computed from crash
 * reports of all instances. No I/O; the outcome depends on the set of reports alone, not on their
 * order, so that all instances refuse the same requests. */
typedef struct LcQuarantine LcQuarantine;

#define LC_CRASH_REPORT_ID_SIZE 256
#define LC_MAX_REPORT_FINGERPRINTS 64

/* Observation of an endpoint's crash by one instance. */
typedef struct
{
  char id[LC_CRASH_REPORT_ID_SIZE]; /* the same on all instances */
  LbName endpoint;                  /* with its incarnation if known */
  LbTime at;
  LcFingerprint fingerprints[LC_MAX_REPORT_FINGERPRINTS]; /* of the requests that failed with it */
  size_t n_fingerprints;
} LcCrashReport;

LcQuarantine *lc_quarantine_new (void);
void lc_quarantine_free (LcQuarantine *quarantine);

/* commands */
/* Has no effect if the report is known already. */
void lc_quarantine_add_report (LcQuarantine *quarantine, const LcCrashReport *report, LbTime now);
void lc_quarantine_withdraw_report (LcQuarantine *quarantine, const char *id);
/* An endpoint has answered a request of this instance. */
void lc_quarantine_record_answer (LcQuarantine *quarantine, LcFingerprint fingerprint, LbTime now);
/* Another instance has announced that an endpoint answered (see lc_quarantine_pop_clearance). */
void lc_quarantine_add_clearance (LcQuarantine *quarantine, LcFingerprint fingerprint, LbTime at);
/* Drops reports and clearances that are too old to count. */
void lc_quarantine_expire (LcQuarantine *quarantine, LbTime now);
/* Returns a suspected fingerprint that an endpoint has answered here, to be announced to the other
 * instances; false: there is none. */
bool lc_quarantine_pop_clearance (LcQuarantine *quarantine,
                                  LcFingerprint *fingerprint,
                                  LbTime *answered_at);

/* queries */
/* End of the quarantine; 0: not in quarantine. */
LbTime lc_quarantine_ends_at (const LcQuarantine *quarantine, LcFingerprint fingerprint);
/* Number of fingerprints in quarantine. */
size_t lc_quarantine_count_fingerprints (const LcQuarantine *quarantine);
LbTime lc_quarantine_report_lifetime (void);

#endif
