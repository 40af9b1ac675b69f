#include "ln-usage-rows.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lc-usage.h"
#include "lp-platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define USAGE_TABLE "usage"
/* Minimum time between two writes of a window's row. Requests that a killed instance started since
 * its last write are not counted. The time grows with the number of instances, which bounds the
 * total write rate of all instances. */
#define MIN_USAGE_WRITE_PERIOD (200 * LB_MSEC)
#define USAGE_WRITE_PERIOD_PER_INSTANCE (4 * LB_MSEC)
/* After an outage of the store, many windows are to be written. */
#define MAX_USAGE_WRITES_IN_FLIGHT 4
#define USAGE_RETRY_DELAY (500 * LB_MSEC)
/* Number of windows whose counts are kept in memory; older windows are no longer written. */
#define N_KEPT_WINDOWS 24

struct LnUsageRows
{
  LnContext *context;
  LcUsage *usage;
  int64_t window_ms;
  size_t n_in_flight;     /* number of writes without an answer */
  LbTime next_write_at;   /* later than now after a failed write */
  int64_t key_generation; /* last part of the rows' keys; incremented after a write with unknown
                             outcome */
};

typedef struct
{
  LnUsageRows *rows;
  int64_t window;
} RowWrite;

void
ln_usage_format_partition_prefix (size_t partition, char *key)
{
  snprintf (key, LN_USAGE_KEY_SIZE, USAGE_TABLE "/%zu/", partition);
}

void
ln_usage_format_window_prefix (size_t partition, int64_t window, char *key)
{
  snprintf (key, LN_USAGE_KEY_SIZE, USAGE_TABLE "/%zu/%012lld:", partition, (long long)window);
}

int64_t
ln_usage_parse_window_from_key (const char *key)
{
  const char *number = strrchr (key, '/');
  char *end = NULL;

  if (!number)
    return -1;
  long long window = strtoll (number + 1, &end, 10);
  return end != number + 1 && *end == ':' ? window : -1;
}

size_t
ln_usage_get_incarnation_prefix_length (const char *key)
{
  const char *colon = strrchr (key, ':');

  return colon ? (size_t)(colon - key) : 0;
}

LnUsageRows *
ln_usage_rows_new (LnContext *context, int64_t window_ms)
{
  LnUsageRows *rows = LB_NEW (LnUsageRows);

  rows->context = context;
  rows->usage = lc_usage_new (window_ms);
  rows->window_ms = window_ms;
  return rows;
}

void
ln_usage_rows_free (LnUsageRows *rows)
{
  lc_usage_free (rows->usage);
  free (rows);
}

void
ln_usage_rows_count_request (LnUsageRows *rows, const char *organisation, int64_t true_ms)
{
  lc_usage_count_request (rows->usage, organisation, true_ms);
}

static void
on_usage_row_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  RowWrite *write = user;

  write->rows->n_in_flight--;
  if (error != LB_OK)
    write->rows->next_write_at = lb_clock_monotonic () + USAGE_RETRY_DELAY;
  /* Later writes use a new key, because this write may still take effect and would then replace a
   * newer row. */
  if (error == LB_ERROR_STORE_UNKNOWN)
    write->rows->key_generation++;
  if (error != LB_OK)
    lb_log (LB_LOG_INFO, "usage_row_not_written", LB_INT ("window", write->window),
            LB_TEXT ("error", lb_error_name (error)));
  lc_usage_row_write_completed (write->rows->usage, write->window, error == LB_OK);
  free (write);
}

/* Each row holds all counts of this incarnation in the window. A write without an answer may take
 * effect after a later write and would then replace larger counts by smaller ones. So later rows
 * get a new key, and readers use the largest counts. */
static void
write_usage_row (LnUsageRows *rows, const LcUsageRow *row)
{
  const LnContext *context = rows->context;
  LpPlatform *platform = context->platform;
  size_t partition
      = XXH3_64bits (context->instance, strlen (context->instance)) % LN_USAGE_N_PARTITIONS;
  char prefix[LN_USAGE_KEY_SIZE];
  RowWrite *write = LB_NEW (RowWrite);

  rows->n_in_flight++;
  *write = (RowWrite){ .rows = rows, .window = row->window };
  ln_usage_format_window_prefix (partition, row->window, prefix);
  char *key = lb_asprintf ("%s%s:%s:%lld", prefix, context->instance, context->incarnation,
                           (long long)rows->key_generation);
  const LpPut put = { .key = key, .value = row->text };
  const LpTransaction transaction = { .token = "", .puts = &put, .n_puts = 1 };
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_usage_row_written,
                             write);
  free (key);
}

void
ln_usage_rows_tick (LnUsageRows *rows, size_t n_instances, int64_t true_ms, LbTime now)
{
  LbTime period = lb_time_later (MIN_USAGE_WRITE_PERIOD,
                                 (LbTime)n_instances * USAGE_WRITE_PERIOD_PER_INSTANCE);
  LcUsageRow row;

  while (rows->n_in_flight < MAX_USAGE_WRITES_IN_FLIGHT && now >= rows->next_write_at
         && lc_usage_next_row (rows->usage, period, now, &row))
    {
      write_usage_row (rows, &row);
      free (row.text);
    }
  lc_usage_remove_windows_before (rows->usage, true_ms / rows->window_ms - N_KEPT_WINDOWS);
}

bool
ln_usage_rows_are_all_written (const LnUsageRows *rows)
{
  return lc_usage_is_fully_written (rows->usage);
}
