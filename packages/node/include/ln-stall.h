#ifndef LN_STALL_H
#define LN_STALL_H

#include "lb-types.h"

struct event_base;

/* Notices that the event loop stands still. A handler that never returns is the worst that an
 * instance can do: its process lives, its connections stay open and nothing is answered, and if it
 * holds a duty, its successor comes upon the same input and stands still in its turn. How late the
 * loop comes is a histogram, a late turn is a log line, and a turn that uses up cpu_limit of
 * processor time ends the process with a line that says what it was doing. Processor time, not time
 * on the wall: a process that was paused or stands behind others is well. */
typedef struct LnStallDetector LnStallDetector;

/* Ten to a hundred times what the longest turn takes (a list of 1,000 endpoints: 20 ms). */
#define LN_STALL_CPU_LIMIT (3 * LB_SEC)

LnStallDetector *ln_stall_detector_new (struct event_base *base, LbTime cpu_limit);
void ln_stall_detector_free (LnStallDetector *stall);

/* What begins now; a text constant. */
void ln_stall_set_activity (const char *what);

#endif
