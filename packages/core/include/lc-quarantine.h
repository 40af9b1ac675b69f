#ifndef LC_QUARANTINE_H
#define LC_QUARANTINE_H

#include "lc-content.h"
#include "lc-types.h"

/* Requests that are kept from endpoints since endpoints crashed under them. It relies on reports of
 * all instances: which endpoint crashed, and what it was given. No I/O; the verdict depends on the
 * reports alone, not on their order, so all instances come to the same one. */
typedef struct LcQuarantine LcQuarantine;

#define LC_REPORT_ID_SIZE 256
#define LC_MAX_REPORT_CONTENTS 64

/* What one instance saw of an endpoint that crashed. */
typedef struct
{
  char id[LC_REPORT_ID_SIZE]; /* of the report, the same wherever it is heard */
  LbName endpoint;            /* with its start, where that is known */
  LbTime at;
  LcContent contents[LC_MAX_REPORT_CONTENTS]; /* of the requests that broke with it */
  size_t n_contents;
} LcCrashReport;

LcQuarantine *lc_quarantine_new (void);
void lc_quarantine_free (LcQuarantine *quarantine);

/* commands */
/* A report that is known already changes nothing. */
void lc_quarantine_report (LcQuarantine *quarantine, const LcCrashReport *report, LbTime now);
/* The report was taken back. */
void lc_quarantine_withdraw (LcQuarantine *quarantine, const char *id);
/* An endpoint has answered the content, here. */
void lc_quarantine_survived (LcQuarantine *quarantine, LcContent content, LbTime now);
/* The same at another instance, as lc_quarantine_next_clearance told it there. */
void lc_quarantine_cleared (LcQuarantine *quarantine, LcContent content, LbTime at);
/* Forgets what is too old to count. */
void lc_quarantine_expire (LcQuarantine *quarantine, LbTime now);
/* A content that was suspected and that an endpoint has answered here: the others have to hear of
 * it. False: there is none. */
bool
lc_quarantine_next_clearance (LcQuarantine *quarantine, LcContent *content, LbTime *answered_at);

/* queries */
/* Until when the content is kept from endpoints; 0: it is not. */
LbTime lc_quarantine_until (const LcQuarantine *quarantine, LcContent content);
/* Contents that are kept from endpoints. */
size_t lc_quarantine_count (const LcQuarantine *quarantine);
/* How long a report counts. */
LbTime lc_quarantine_term (void);

#endif
