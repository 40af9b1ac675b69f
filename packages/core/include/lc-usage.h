#ifndef LC_USAGE_H
#define LC_USAGE_H

#include "lb-error.h"

struct json_object;

/* Requests started by each organisation, counted in windows of true time (see lc-true-time.h).
 * Each instance writes its own counts to rows of a shared store; the holder of the usage duty sums
 * them. No I/O. */

/* Counts of one window by organisation. */
typedef struct LcUsageCounts LcUsageCounts;

LcUsageCounts *lc_usage_counts_new (void);
void lc_usage_counts_free (LcUsageCounts *counts);
void lc_usage_counts_add (LcUsageCounts *counts, const char *organisation, int64_t requests);
/* Adds the counts of a row's text; returns false with an error if it is malformed. */
bool lc_usage_counts_add_text (LcUsageCounts *counts, const char *text, LbError *error);
/* Raises each count to that of others if it is smaller. For rows of one incarnation: the later row
 * includes all that the earlier one has. */
void lc_usage_counts_merge_maximum (LcUsageCounts *counts, const LcUsageCounts *others);
void lc_usage_counts_add_counts (LcUsageCounts *counts, const LcUsageCounts *others);
int64_t lc_usage_counts_get (const LcUsageCounts *counts, const char *organisation);
/* Sorted by name, so that equal counts give equal text. The caller frees it. */
char *lc_usage_counts_to_text (LcUsageCounts *counts);

/* Windows of one instance that are not yet written to the store or still grow. */
typedef struct LcUsage LcUsage;

LcUsage *lc_usage_new (int64_t window_ms);
void lc_usage_free (LcUsage *usage);

/* Complete row to write in place of the stored one. */
typedef struct
{
  int64_t window; /* number of the window: Unix milliseconds / window_ms */
  char *text;
} LcUsageRow;

/* commands */
/* true_ms: Unix milliseconds at which the request started. */
void lc_usage_count_request (LcUsage *usage, const char *organisation, int64_t true_ms);
/* Returns the next row to write, to be answered by lc_usage_write_completed; false if there is
 * none. The caller frees the text. Rows of one window are at least `period` apart. */
bool lc_usage_next_row (LcUsage *usage, LbTime period, LbTime now, LcUsageRow *row);
/* ok: false if the write failed; it is then repeated. */
void lc_usage_write_completed (LcUsage *usage, int64_t window, bool ok);
/* Removes the windows before first_kept. */
void lc_usage_remove_windows_before (LcUsage *usage, int64_t first_kept);

/* queries */
bool lc_usage_is_fully_written (const LcUsage *usage);

#endif
