#ifndef LT_TIMELINE_H
#define LT_TIMELINE_H

#include "lb-error.h"

#include <stdio.h>

/* Log lines of several instances about one request, batch or item. */
typedef struct LtTimeline LtTimeline;

LtTimeline *lt_timeline_new (const char *id);
void lt_timeline_free (LtTimeline *timeline);
/* Reads a log with one JSON object a line; text before the first brace is ignored. Lines that are
 * not JSON are skipped and counted. */
bool lt_timeline_read_log (LtTimeline *timeline, const char *path, LbError *error);
/* Prints in time order the lines that name the id, which include those of requests made for a batch
 * of this id, and the state changes that the same instances logged meanwhile. Returns false if no
 * line names the id. */
bool lt_timeline_print (LtTimeline *timeline, FILE *out);

#endif
