#include "lc-true-time.h"
#include "lc-usage.h"

#include <criterion/criterion.h>
#include <stdlib.h>

#define WINDOW_MS 5000
#define ROW_PERIOD (200 * LB_MSEC)

static void
assert_next_usage_row (LcUsage *usage, LbTime now, int64_t window, const char *text)
{
  LcUsageRow row;

  cr_assert (lc_usage_next_row (usage, ROW_PERIOD, now, &row));
  cr_assert_eq (row.window, window);
  cr_assert_str_eq (row.text, text);
  free (row.text);
}

Test (usage, request_counts_in_the_window_of_its_start)
{
  LcUsage *usage = lc_usage_new (WINDOW_MS);

  lc_usage_count_request (usage, "post", 4999);
  lc_usage_count_request (usage, "mill", 5000);
  lc_usage_count_request (usage, "mill", 9999);
  assert_next_usage_row (usage, 0, 0, "{\"post\":1}");
  assert_next_usage_row (usage, 0, 1, "{\"mill\":2}");
  cr_assert_not (lc_usage_is_fully_written (usage));
  lc_usage_row_write_completed (usage, 0, true);
  lc_usage_row_write_completed (usage, 1, true);
  cr_assert (lc_usage_is_fully_written (usage));
  lc_usage_free (usage);
}

/* Each usage row that an instance writes includes all requests counted in the row's window so far.
 * Rows of one window are at least ROW_PERIOD apart, because a row per request would cause thousands
 * of writes per second. */
Test (usage, rows_have_all_counts_and_are_a_period_apart)
{
  LcUsage *usage = lc_usage_new (WINDOW_MS);
  LcUsageRow row;

  lc_usage_count_request (usage, "post", 1);
  assert_next_usage_row (usage, 0, 0, "{\"post\":1}");
  lc_usage_count_request (usage, "post", 2);
  cr_assert_not (lc_usage_next_row (usage, ROW_PERIOD, 10 * ROW_PERIOD, &row),
                 "expected no row while a write is in progress");
  lc_usage_row_write_completed (usage, 0, true);
  cr_assert_not (lc_usage_next_row (usage, ROW_PERIOD, ROW_PERIOD - 1, &row));
  assert_next_usage_row (usage, ROW_PERIOD, 0, "{\"post\":2}");
  lc_usage_free (usage);
}

/* The store is down while an instance counts requests. The counts must not be lost. */
Test (usage, failed_write_is_repeated)
{
  LcUsage *usage = lc_usage_new (WINDOW_MS);

  lc_usage_count_request (usage, "post", 1);
  assert_next_usage_row (usage, 0, 0, "{\"post\":1}");
  lc_usage_row_write_completed (usage, 0, false);
  cr_assert_not (lc_usage_is_fully_written (usage));
  assert_next_usage_row (usage, ROW_PERIOD, 0, "{\"post\":1}");
  lc_usage_row_write_completed (usage, 0, true);
  lc_usage_remove_windows_before (usage, 1);
  cr_assert (lc_usage_is_fully_written (usage));
  lc_usage_free (usage);
}

/* A write whose reply was lost is applied after the next write, which has another key. The smaller
 * counts of that write must not replace the later counts. */
Test (usage, earlier_row_of_an_incarnation_does_not_lower_counts)
{
  LcUsageCounts *later = lc_usage_counts_new ();
  LcUsageCounts *earlier = lc_usage_counts_new ();
  LcUsageCounts *total = lc_usage_counts_new ();
  LbError error = { 0 };

  cr_assert (lc_usage_counts_add_text (later, "{\"post\":5,\"mill\":1}", &error));
  cr_assert (lc_usage_counts_add_text (earlier, "{\"post\":3}", &error));
  lc_usage_counts_merge_maximum (later, earlier);
  lc_usage_counts_add_requests (total, "post", 2);
  lc_usage_counts_add_counts (total, later);
  cr_assert_eq (lc_usage_counts_get_requests (total, "post"), 7);
  cr_assert_eq (lc_usage_counts_get_requests (total, "mill"), 1);
  cr_assert_eq (lc_usage_counts_get_requests (total, "none"), 0);
  cr_assert_not (lc_usage_counts_add_text (total, "[1]", &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_JSON);
  lc_usage_counts_free (later);
  lc_usage_counts_free (earlier);
  lc_usage_counts_free (total);
}

/* The wall clocks of three of ten machines jump by two seconds; the median must not follow them. */
Test (true_time, median_offset_ignores_a_few_clocks_that_jump)
{
  const int64_t offsets[] = { 1003, 1001, 3002, 3001, 999, 1002, -998, 1000, 1001, 1004 };
  int64_t offset = lc_true_time_median_offset (offsets, sizeof offsets / sizeof offsets[0]);

  cr_assert_geq (offset, 1000);
  cr_assert_leq (offset, 1004);
}
