#ifndef LC_USAGE_H
#define LC_USAGE_H

#include "lb-error.h"

struct json_object;

/* How many requests of each organisation began to run, by windows of true time. Each instance
 * counts its own and writes them to rows of a shared store; the holder of the duty adds them up. No
 * I/O. */

/* Counts of one window. */
typedef struct LcUsageCounts LcUsageCounts;

LcUsageCounts *lc_usage_counts_new (void);
void lc_usage_counts_free (LcUsageCounts *counts);
void lc_usage_counts_add (LcUsageCounts *counts, const char *organisation, int64_t requests);
/* Adds what a text says; false with an error when it can't be read. */
bool lc_usage_counts_add_text (LcUsageCounts *counts, const char *text, LbError *error);
/* Raises counts to those of others where these are larger: of two rows of one start the later one
 * holds all that the earlier one does. */
void lc_usage_counts_merge_maximum (LcUsageCounts *counts, const LcUsageCounts *others);
void lc_usage_counts_add_counts (LcUsageCounts *counts, const LcUsageCounts *others);
int64_t lc_usage_counts_get (const LcUsageCounts *counts, const char *organisation);
/* By name, so that the same counts make the same text. The caller frees. */
char *lc_usage_counts_to_text (LcUsageCounts *counts);

/* The windows of one instance that are not in the store yet, or still grow. */
typedef struct LcUsage LcUsage;

LcUsage *lc_usage_new (int64_t window_ms);
void lc_usage_free (LcUsage *usage);

/* A row to write, whole: it replaces what stands there. */
typedef struct
{
  int64_t window;
  char *text;
} LcUsageRow;

/* commands */
/* true_ms: Unix milliseconds when it began to run. */
void lc_usage_count_request (LcUsage *usage, const char *organisation, int64_t true_ms);
/* The next row to write, answered by lc_usage_write_completed; its text is the caller's to free.
 * Rows of one window are at least `period` apart. False: there is none now. */
bool lc_usage_next_row (LcUsage *usage, LbTime period, LbTime now, LcUsageRow *row);
/* Whether the write went through; one that did not is made again. */
void lc_usage_write_completed (LcUsage *usage, int64_t window, bool ok);
/* Windows before this one are of no use any more. */
void lc_usage_remove_before (LcUsage *usage, int64_t before);

/* queries */
bool lc_usage_is_fully_written (const LcUsage *usage);

#endif
