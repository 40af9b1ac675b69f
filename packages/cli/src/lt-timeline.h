#ifndef LT_TIMELINE_H
#define LT_TIMELINE_H

#include "lb-error.h"

#include <stdio.h>

/* What the logs of several instances tell of one request, batch or item. */
typedef struct LtTimeline LtTimeline;

LtTimeline *lt_timeline_new (const char *id);
void lt_timeline_free (LtTimeline *story);
/* Reads a log: JSON lines, each with whatever stands before its first brace left out. Lines that
 * are none are passed over and counted. */
bool lt_timeline_read_log (LtTimeline *story, const char *path, LbError *error);
/* Prints, in the order of time, the lines that name the id, those of the requests that were made
 * for it, and what the instances came to believe meanwhile. False when no line names the id. */
bool lt_timeline_print (LtTimeline *story, FILE *out);

#endif
