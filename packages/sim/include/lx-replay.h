#ifndef LX_REPLAY_H
#define LX_REPLAY_H

#include "lx-trace.h"

#include <stdio.h>

/* Runs a trace through the decisions of core and holds what happened against what it states.
 * Writes one line for each expectation that failed, and for each promise that was broken on the
 * way; true when there is none. */
bool lx_replay_run (const LxTrace *trace, const char *name, FILE *out);

#endif
