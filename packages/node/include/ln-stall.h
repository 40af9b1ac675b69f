#ifndef LN_STALL_H
#define LN_STALL_H

#include "lb-types.h"

struct event_base;

/* Detects a stalled event loop. A handler that never returns leaves the process alive and its
 * connections open while no request is answered. If the instance holds a lease, the next
 * holder handles the same input and stalls as well. The detector records the loop's delay in a
 * histogram and logs long delays. When one iteration uses cpu_limit of processor time, the detector
 * logs the current activity and terminates the process. Processor time is measured instead of
 * elapsed time, since a process that was paused or waits for a processor is healthy. */
typedef struct LnStallDetector LnStallDetector;

/* Limit of processor time for one iteration of the event loop: 10 to 100 times the longest
 * normal iteration. Handling a list of 1,000 endpoints takes 20 ms. */
#define LN_STALL_CPU_LIMIT (3 * LB_SEC)

LnStallDetector *ln_stall_detector_new (struct event_base *base, LbTime cpu_limit);
void ln_stall_detector_free (LnStallDetector *detector);

/* Sets the name of the current activity for log lines; must be a string literal. */
void ln_stall_set_activity (const char *activity);

#endif
