#ifndef LN_TRUE_TIME_H
#define LN_TRUE_TIME_H

#include "ln-context.h"
#include "ln-messages.h"

/* Time of day by the median of all instances' clocks, which tolerates a few wrong clocks. */
typedef struct LnTrueTime LnTrueTime;

LnTrueTime *ln_true_time_new (const LnContext *context);
void ln_true_time_free (LnTrueTime *time);

/* commands */
void ln_true_time_set_members (LnTrueTime *time, const LnMembersMessage *members);

/* queries */
/* Unix time in ms at the monotonic time `at`. */
int64_t ln_true_time_ms (const LnTrueTime *time, LbTime at);
/* This machine's time of day minus the store's clock, in ms; 0: not known. */
int64_t ln_true_time_local_clock_offset_ms (const LnContext *context, LbTime now);

#endif
