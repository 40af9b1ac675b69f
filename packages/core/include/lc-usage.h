#ifndef LC_USAGE_H
#define LC_USAGE_H

#include "lb-error.h"

struct json_object;

/* This header declares the counts of the requests that each organisation starts in each time
 * window, with the clock of lc-true-time.h. Each instance writes its own counts to rows of a shared
 * store; the instance that holds the usage reporting duty sums all rows of a window. No I/O. */

/* Number of requests of each organisation in one window. */
typedef struct LcUsageCounts LcUsageCounts;

LcUsageCounts *lc_usage_counts_new (void);
void lc_usage_counts_free (LcUsageCounts *counts);
void
lc_usage_counts_add_requests (LcUsageCounts *counts, const char *organisation, int64_t requests);
/* Adds the counts in a row's JSON text; returns false with an error if the text is malformed. */
bool lc_usage_counts_add_text (LcUsageCounts *counts, const char *text, LbError *error);
/* Raises each count to the count of the same organisation in `others` if that is larger. Merges
 * rows of one incarnation of an instance, where each later row includes the counts of the earlier
 * ones. */
void lc_usage_counts_merge_maximum (LcUsageCounts *counts, const LcUsageCounts *others);
void lc_usage_counts_add_counts (LcUsageCounts *counts, const LcUsageCounts *others);
int64_t lc_usage_counts_get_requests (const LcUsageCounts *counts, const char *organisation);
/* Returns the counts as JSON text, sorted by name so that equal counts give equal text. The caller
 * frees the text. */
char *lc_usage_counts_to_text (LcUsageCounts *counts);

/* The request counts of one instance, for the windows that may still grow or are not yet written to
 * the store. */
typedef struct LcUsage LcUsage;

LcUsage *lc_usage_new (int64_t window_ms);
void lc_usage_free (LcUsage *usage);

/* Complete row of counts, which replaces the stored row of the same window. */
typedef struct
{
  int64_t window; /* number of the window: Unix milliseconds / window_ms */
  char *text;
} LcUsageRow;

/* Functions that change an LcUsage. */

/* Counts a request that started at true_ms, in Unix milliseconds. */
void lc_usage_count_request (LcUsage *usage, const char *organisation, int64_t true_ms);
/* Sets *row to the next row to write; returns false if there is none to write now. After the write,
 * the caller calls lc_usage_row_write_completed and frees the text. The row of one window is
 * returned at most once in each `period`. */
bool lc_usage_next_row (LcUsage *usage, LbTime period, LbTime now, LcUsageRow *row);
/* Ends the write of the window's row; the row is written again if ok is false. */
void lc_usage_row_write_completed (LcUsage *usage, int64_t window, bool ok);
/* Removes windows with a number below first_kept, except those with a write in progress. */
void lc_usage_remove_windows_before (LcUsage *usage, int64_t first_kept);

/* Functions that only read an LcUsage. */

bool lc_usage_is_fully_written (const LcUsage *usage);

#endif
