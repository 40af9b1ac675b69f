#include "lc-true-time.h"
#include "lc-usage.h"

#include <criterion/criterion.h>
#include <stdlib.h>

#define WINDOW_MS 5000
#define PERIOD (200 * LB_MSEC)

static void
assert_next (LcUsage *usage, LbTime now, int64_t window, const char *text)
{
  LcUsageRow row;

  cr_assert (lc_usage_next_row (usage, PERIOD, now, &row));
  cr_assert_eq (row.window, window);
  cr_assert_str_eq (row.text, text);
  free (row.text);
}

Test (usage, a_request_is_counted_where_it_began)
{
  LcUsage *usage = lc_usage_new (WINDOW_MS);

  lc_usage_count_request (usage, "post", 4999);
  lc_usage_count_request (usage, "mill", 5000);
  lc_usage_count_request (usage, "mill", 9999);
  assert_next (usage, 0, 0, "{\"post\":1}");
  assert_next (usage, 0, 1, "{\"mill\":2}");
  cr_assert_not (lc_usage_is_fully_written (usage));
  lc_usage_write_completed (usage, 0, true);
  lc_usage_write_completed (usage, 1, true);
  cr_assert (lc_usage_is_fully_written (usage));
  lc_usage_free (usage);
}

/* Requests come all the time. Each row holds all there were, and rows of a window are a period
 * apart: a row for each request would be thousands of writes a second. */
Test (usage, rows_are_whole_and_a_period_apart)
{
  LcUsage *usage = lc_usage_new (WINDOW_MS);
  LcUsageRow row;

  lc_usage_count_request (usage, "post", 1);
  assert_next (usage, 0, 0, "{\"post\":1}");
  lc_usage_count_request (usage, "post", 2);
  cr_assert_not (lc_usage_next_row (usage, PERIOD, 10 * PERIOD, &row), "one is on its way");
  lc_usage_write_completed (usage, 0, true);
  cr_assert_not (lc_usage_next_row (usage, PERIOD, PERIOD - 1, &row));
  assert_next (usage, PERIOD, 0, "{\"post\":2}");
  lc_usage_free (usage);
}

/* The store is away while an instance counts. What it could not write is not lost. */
Test (usage, a_row_that_was_not_written_is_written_again)
{
  LcUsage *usage = lc_usage_new (WINDOW_MS);

  lc_usage_count_request (usage, "post", 1);
  assert_next (usage, 0, 0, "{\"post\":1}");
  lc_usage_write_completed (usage, 0, false);
  cr_assert_not (lc_usage_is_fully_written (usage));
  assert_next (usage, PERIOD, 0, "{\"post\":1}");
  lc_usage_write_completed (usage, 0, true);
  lc_usage_remove_before (usage, 1);
  cr_assert (lc_usage_is_fully_written (usage));
  lc_usage_free (usage);
}

/* A write without an answer is carried out after the next one, which has another key: the smaller
 * counts of the old row take nothing back. */
Test (usage, of_two_rows_of_one_start_the_largest_counts_are_gone_by)
{
  LcUsageCounts *start = lc_usage_counts_new ();
  LcUsageCounts *old = lc_usage_counts_new ();
  LcUsageCounts *total = lc_usage_counts_new ();
  LbError error = { 0 };

  cr_assert (lc_usage_counts_add_text (start, "{\"post\":5,\"mill\":1}", &error));
  cr_assert (lc_usage_counts_add_text (old, "{\"post\":3}", &error));
  lc_usage_counts_merge_maximum (start, old);
  lc_usage_counts_add (total, "post", 2);
  lc_usage_counts_add_counts (total, start);
  cr_assert_eq (lc_usage_counts_get (total, "post"), 7);
  cr_assert_eq (lc_usage_counts_get (total, "mill"), 1);
  cr_assert_eq (lc_usage_counts_get (total, "none"), 0);
  cr_assert_not (lc_usage_counts_add_text (total, "[1]", &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_JSON);
  lc_usage_counts_free (start);
  lc_usage_counts_free (old);
  lc_usage_counts_free (total);
}

/* The time of day of three machines of ten jumps by two seconds. What time it is does not change.
 */
Test (true_time, a_few_clocks_that_jump_change_nothing)
{
  const int64_t leads[] = { 1003, 1001, 3002, 3001, 999, 1002, -998, 1000, 1001, 1004 };
  int64_t lead = lc_true_time_median_offset (leads, sizeof leads / sizeof leads[0]);

  cr_assert_geq (lead, 1000);
  cr_assert_leq (lead, 1004);
}
