#ifndef LC_QUARANTINE_H
#define LC_QUARANTINE_H

#include "lc-fingerprint.h"
#include "lc-types.h"

/* Requests that are kept from endpoints since endpoints crashed under them. It relies on reports of
 * all instances: which endpoint crashed, and what it was given. No I/O; the verdict depends on the
 * reports alone, not on their order, so all instances come to the same one. */
typedef struct LcQuarantine LcQuarantine;

#define LC_CRASH_REPORT_ID_SIZE 256
#define LC_MAX_REPORT_FINGERPRINTS 64

/* What one instance saw of an endpoint that crashed. */
typedef struct
{
  char id[LC_CRASH_REPORT_ID_SIZE]; /* of the report, the same wherever it is heard */
  LbName endpoint;                  /* with its start, where that is known */
  LbTime at;
  LcFingerprint fingerprints[LC_MAX_REPORT_FINGERPRINTS]; /* of the requests that broke with it */
  size_t n_fingerprints;
} LcCrashReport;

LcQuarantine *lc_quarantine_new (void);
void lc_quarantine_free (LcQuarantine *quarantine);

/* commands */
/* A report that is known already changes nothing. */
void lc_quarantine_add_report (LcQuarantine *quarantine, const LcCrashReport *report, LbTime now);
/* The report was taken back. */
void lc_quarantine_withdraw_report (LcQuarantine *quarantine, const char *id);
/* An endpoint has answered the content, here. */
void lc_quarantine_record_answer (LcQuarantine *quarantine, LcFingerprint content, LbTime now);
/* The same at another instance, as lc_quarantine_pop_clearance told it there. */
void lc_quarantine_add_clearance (LcQuarantine *quarantine, LcFingerprint content, LbTime at);
/* Forgets what is too old to count. */
void lc_quarantine_expire (LcQuarantine *quarantine, LbTime now);
/* A content that was suspected and that an endpoint has answered here: the others have to hear of
 * it. False: there is none. */
bool
lc_quarantine_pop_clearance (LcQuarantine *quarantine, LcFingerprint *content, LbTime *answered_at);

/* queries */
/* Until when the content is kept from endpoints; 0: it is not. */
LbTime lc_quarantine_ends_at (const LcQuarantine *quarantine, LcFingerprint content);
/* Contents that are kept from endpoints. */
size_t lc_quarantine_count (const LcQuarantine *quarantine);
/* How long a report counts. */
LbTime lc_quarantine_report_lifetime (void);

#endif
