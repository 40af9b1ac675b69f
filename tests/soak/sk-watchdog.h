#ifndef SK_WATCHDOG_H
#define SK_WATCHDOG_H

#include "sk-world.h"

/* Ends a run that takes longer than its time limit, even if its event loop never returns: reports
 * the seed as failed with the phase that did not end, kills the instances by their process ids, and
 * exits with status 1. */

void sk_watchdog_start (const SkWorld *world, uint64_t seed, LbTime limit);
void sk_watchdog_stop (void);
/* Sets what the run waits for, for the report. The text must outlive the run. */
void sk_watchdog_set_phase (const char *phase);

#endif
