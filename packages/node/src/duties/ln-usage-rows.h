#ifndef LN_USAGE_ROWS_H
#define LN_USAGE_ROWS_H

#include "ln-context.h"

#include "lb-error.h"

/* Rows of the store in which instances write their request counts, in a few partitions: normally
 * one row per incarnation of an instance and window. */

#define LN_USAGE_N_PARTITIONS 4
#define LN_USAGE_KEY_SIZE 200

/* Key prefix of a window's rows in one partition. */
void ln_usage_window_prefix (size_t partition, int64_t window, char *key);
void ln_usage_partition_prefix (size_t partition, char *key);
/* -1: not the key of such a row. */
int64_t ln_usage_window_from_key (const char *key);
/* Length of the key prefix common to all rows of one incarnation and window; 0: not the key of such
 * a row. If there are several such rows, the incarnation's counts are the largest ones. */
size_t ln_usage_incarnation_prefix_length (const char *key);

/* Writes this instance's counts to the store. */
typedef struct LnUsageRows LnUsageRows;

LnUsageRows *ln_usage_rows_new (LnContext *context, int64_t window_ms);
void ln_usage_rows_free (LnUsageRows *rows);

/* commands */
void ln_usage_rows_count_request (LnUsageRows *rows, const char *organisation, int64_t true_ms);
/* n_instances: number of instances that write rows. */
void ln_usage_rows_tick (LnUsageRows *rows, size_t n_instances, int64_t true_ms, LbTime now);

/* queries */
bool ln_usage_rows_are_written (const LnUsageRows *rows);

#endif
