#ifndef LN_USAGE_ROWS_H
#define LN_USAGE_ROWS_H

#include "ln-context.h"

#include "lb-error.h"

/* The rows in which instances keep what they counted, in a few parts of the store: as a rule one of
 * each start of an instance and window. */

#define LN_USAGE_N_PARTITIONS 4
#define LN_USAGE_KEY_SIZE 200

/* What the keys of a window's rows in one part begin with. */
void ln_usage_window_prefix (size_t part, int64_t window, char *key);
void ln_usage_partition_prefix (size_t part, char *key);
/* -1: it is no key of such a row. */
int64_t ln_usage_window_from_key (const char *key);
/* Length of what the keys of all rows of one start and window have in common; 0: it is no key of
 * such a row. Of several such rows the largest counts are those of the start. */
size_t ln_usage_incarnation_prefix_length (const char *key);

/* This instance's own counts on their way to the store. */
typedef struct LnUsageRows LnUsageRows;

LnUsageRows *ln_usage_rows_new (LnContext *context, int64_t window_ms);
void ln_usage_rows_free (LnUsageRows *rows);

/* commands */
void ln_usage_rows_count_request (LnUsageRows *rows, const char *organisation, int64_t true_ms);
/* n_instances: that write such rows. */
void ln_usage_rows_tick (LnUsageRows *rows, size_t n_instances, int64_t true_ms, LbTime now);

/* queries */
bool ln_usage_rows_are_written (const LnUsageRows *rows);

#endif
