#ifndef LT_TIMELINE_H
#define LT_TIMELINE_H

#include "lb-error.h"

#include <stdio.h>

/* Log lines of several instances that explain one request, batch or batch item. */
typedef struct LtTimeline LtTimeline;

LtTimeline *lt_timeline_new (const char *id);
void lt_timeline_free (LtTimeline *timeline);
/* Reads a log file with one JSON object per line. Text before the first brace of a line is ignored.
 * Lines without a JSON object are skipped and counted. */
bool lt_timeline_read_log (LtTimeline *timeline, const char *path, LbError *error);
/* Prints in time order the log lines that name the id, including the lines of requests that belong
 * to a batch with this id. Adds the state changes that the same instances logged from shortly
 * before the first to the last of these lines, and a summary of waits, moves, hand-overs,
 * refusals and failures. Returns false if no line names the id. */
bool lt_timeline_print (LtTimeline *timeline, FILE *out);

#endif
