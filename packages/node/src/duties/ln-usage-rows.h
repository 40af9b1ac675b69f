#ifndef LN_USAGE_ROWS_H
#define LN_USAGE_ROWS_H

#include "ln-context.h"

#include "lb-error.h"

/* This header defines the store's rows with the request counts of each organisation. Normally an
 * incarnation of an instance writes one row per window. The rows are spread over a few
 * partitions. */

#define LN_USAGE_N_PARTITIONS 4
#define LN_USAGE_KEY_SIZE 200

/* Writes the key prefix of a window's rows in one partition to key, which holds
 * LN_USAGE_KEY_SIZE bytes. */
void ln_usage_format_window_prefix (size_t partition, int64_t window, char *key);
/* Writes the key prefix of all rows of the partition to key. */
void ln_usage_format_partition_prefix (size_t partition, char *key);
/* Returns the number of the window in a row's key; -1: key is not the key of a usage row. */
int64_t ln_usage_parse_window_from_key (const char *key);
/* Returns the length of the key prefix that all rows of one incarnation and window share; 0: key is
 * not the key of a usage row. If several rows share the prefix, the largest counts are the valid
 * ones. */
size_t ln_usage_get_incarnation_prefix_length (const char *key);

/* Counts this instance's requests and writes the counts to the store. */
typedef struct LnUsageRows LnUsageRows;

LnUsageRows *ln_usage_rows_new (LnContext *context, int64_t window_ms);
void ln_usage_rows_free (LnUsageRows *rows);

/* --- functions that change the usage rows --- */
/* true_ms: start of the request in true time (ln-true-time.h), as Unix milliseconds. */
void ln_usage_rows_count_request (LnUsageRows *rows, const char *organisation, int64_t true_ms);
/* Writes the rows that are due. n_instances: number of instances that write rows; the more there
 * are, the less often each one writes. */
void ln_usage_rows_tick (LnUsageRows *rows, size_t n_instances, int64_t true_ms, LbTime now);

/* --- functions that only read the usage rows --- */
bool ln_usage_rows_are_all_written (const LnUsageRows *rows);

#endif
