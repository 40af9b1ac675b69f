#ifndef LN_USAGE_REPORTER_H
#define LN_USAGE_REPORTER_H

#include "ln-context.h"
#include "ln-duty-lease.h"

/* Reports the request counts of all organisations to the platform while this instance holds the
 * lease for platform calls. LcUsageReports decides what to read, write and send; LnUsageReporter
 * does the I/O. */
typedef struct LnUsageReporter LnUsageReporter;

/* The caller keeps ownership of the lease. */
LnUsageReporter *ln_usage_reporter_new (LnContext *context, LnDutyLease *lease);
void ln_usage_reporter_free (LnUsageReporter *reporter);

/* --- functions that change the reporter's state --- */
/* To be called when this instance gained or lost the lease. */
void ln_usage_reporter_set_lease_held (LnUsageReporter *reporter, bool held);
/* Executes the actions that are due. true_ms: true time (ln-true-time.h) in Unix milliseconds. */
void ln_usage_reporter_tick (LnUsageReporter *reporter, int64_t true_ms, LbTime now);

#endif
