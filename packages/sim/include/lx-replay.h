#ifndef LX_REPLAY_H
#define LX_REPLAY_H

#include "lx-trace.h"

#include <stdio.h>

/* Runs the events of a trace against core and checks the expectations of the trace. Writes one line
 * for each failed expectation and for the first violation that LxAudit reports. Returns true if no
 * expectation failed and LxAudit reports no violation. */
bool lx_replay_run (const LxTrace *trace, const char *name, FILE *out);

#endif
