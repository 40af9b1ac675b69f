#ifndef LN_USAGE_REPORTER_H
#define LN_USAGE_REPORTER_H

#include "ln-context.h"
#include "ln-duty-lease.h"

/* Reports the usage of all organisations to the platform while this instance has the duty.
 * LcUsageReports decides what to read, write and send; this does the I/O. */
typedef struct LnUsageReporter LnUsageReporter;

/* The caller keeps ownership of the lease. */
LnUsageReporter *ln_usage_reporter_new (LnContext *context, LnDutyLease *lease);
void ln_usage_reporter_free (LnUsageReporter *reporter);

/* commands */
/* The duty was gained or lost. */
void ln_usage_reporter_set_duty_held (LnUsageReporter *reporter, bool held);
void ln_usage_reporter_tick (LnUsageReporter *reporter, int64_t true_ms, LbTime now);

#endif
