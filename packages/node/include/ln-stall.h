#ifndef LN_STALL_H
#define LN_STALL_H

#include "lb-types.h"

struct event_base;

/* Detects a stalled event loop. A handler that never returns leaves the process alive and its
 * connections open while nothing is answered; if the instance holds a duty, its successor handles
 * the same input and stalls as well. The delay of the loop goes into a histogram, a long delay is
 * logged, and an iteration that uses cpu_limit of processor time terminates the process with a log
 * line that names the current activity. Processor time is measured instead of elapsed time, since a
 * process that was paused or waits for a processor is healthy. */
typedef struct LnStallDetector LnStallDetector;

/* 10 to 100 times the longest regular iteration (a list of 1,000 endpoints takes 20 ms). */
#define LN_STALL_CPU_LIMIT (3 * LB_SEC)

LnStallDetector *ln_stall_detector_new (struct event_base *base, LbTime cpu_limit);
void ln_stall_detector_free (LnStallDetector *detector);

/* Names the current activity for log lines; must be a string literal. */
void ln_stall_set_activity (const char *activity);

#endif
