#ifndef LN_TRUE_TIME_H
#define LN_TRUE_TIME_H

#include "ln-context.h"
#include "ln-messages.h"

/* Wall-clock time that all instances agree on (true time). It is the median of the instances'
 * clocks, so that a few wrong clocks do no harm. */
typedef struct LnTrueTime LnTrueTime;

LnTrueTime *ln_true_time_new (const LnContext *context);
void ln_true_time_free (LnTrueTime *time);

/* --- functions that change true time --- */
/* Updates true time from the clock offsets that the instances report. */
void ln_true_time_set_members (LnTrueTime *time, const LnMembersMessage *members);

/* --- functions that only read true time --- */
/* Converts the monotonic time `at` to true time as Unix milliseconds. */
int64_t ln_true_time_to_unix_ms (const LnTrueTime *time, LbTime at);
/* Returns this machine's wall clock minus the store's clock, in ms; 0: the store's clock is not
 * known. */
int64_t ln_true_time_get_local_clock_offset_ms (const LnContext *context, LbTime now);

#endif
