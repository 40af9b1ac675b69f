#include "lb-histogram.h"
#include "lb-log.h"

#include "lb-counter.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_LOG_OUTPUT_BYTES (1 << 20)

static char log_output[MAX_LOG_OUTPUT_BYTES];

static size_t
read_log_output (int fd)
{
  size_t length = 0;
  ssize_t n;

  while ((n = read (fd, log_output + length, sizeof log_output - 1 - length)) > 0)
    length += (size_t)n;
  log_output[length] = '\0';
  return length;
}

static int
count_occurrences_in_log_output (const char *needle)
{
  int count = 0;

  for (const char *match = log_output; (match = strstr (match, needle)); match++)
    count++;
  return count;
}

static void
start_buffered_log_to_pipe (int pipe_ends[2])
{
  cr_assert_eq (pipe (pipe_ends), 0);
  fcntl (pipe_ends[0], F_SETFL, O_NONBLOCK);
  lb_log_init (LB_LOG_INFO, pipe_ends[1], "a");
  lb_log_enable_buffering ();
}

/* The reader of the log stops reading, and its pipe is full after 64 KiB: a blocking write would
 * block every request for ever. Lines must be dropped and counted instead, and an error line must
 * still be logged, in the space reserved for warnings and errors. */
Test (log, stopped_reader_does_not_block_logging)
{
  int pipe_ends[2];
  char padding[200];

  memset (padding, 'x', sizeof padding - 1);
  padding[sizeof padding - 1] = '\0';
  start_buffered_log_to_pipe (pipe_ends);
  for (int i = 0; i < 20000; i++)
    {
      lb_log (LB_LOG_INFO, "ordinary", LB_TEXT ("filler", padding));
      if (i % 100 == 0)
        lb_log_flush ();
    }
  cr_assert_gt (lb_log_count_dropped_lines (), 0);
  lb_log (LB_LOG_ERROR, "failure", LB_INT ("number", 7));
  for (int i = 0; i < 40; i++)
    {
      lb_log_flush ();
      if (read_log_output (pipe_ends[0]) > 0 && count_occurrences_in_log_output ("\"failure\"") > 0)
        break;
    }
  cr_assert_eq (count_occurrences_in_log_output ("\"failure\""), 1,
                "the error line was dropped in spite of its reserved space");
  cr_assert_eq (log_output[strlen (log_output) - 1], '\n');
  for (int i = 0; i < 40; i++)
    lb_log_flush ();
  read_log_output (pipe_ends[0]);
  cr_assert_geq (count_occurrences_in_log_output ("log_lines_dropped"), 0);
}

/* Refused requests log ten thousand similar lines per second. They must be rate-limited, so that
 * other log lines stay readable and logging doesn't use up the CPU time for requests. A warning
 * must still be logged. */
Test (log, burst_of_lines_is_rate_limited)
{
  int pipe_ends[2];

  start_buffered_log_to_pipe (pipe_ends);
  fcntl (pipe_ends[1], F_SETPIPE_SZ, 1 << 20);
  for (int i = 0; i < 30000; i++)
    {
      lb_log (LB_LOG_INFO, "refused", LB_INT ("request", i));
      lb_log_flush ();
    }
  cr_assert_gt (lb_log_count_dropped_lines (), 0);
  read_log_output (pipe_ends[0]);
  cr_assert_gt (count_occurrences_in_log_output ("\"refused\""), 100);
  lb_log (LB_LOG_WARNING, "belief", LB_TEXT ("of", "engine"));
  lb_log_flush ();
  read_log_output (pipe_ends[0]);
  cr_assert_eq (count_occurrences_in_log_output ("\"belief\""), 1);
}

/* A log line must report the number of dropped lines once the reader reads again. */
Test (log, dropped_lines_are_reported_once_there_is_space)
{
  int pipe_ends[2];

  start_buffered_log_to_pipe (pipe_ends);
  for (int i = 0; i < 30000; i++)
    lb_log (LB_LOG_INFO, "refused", LB_INT ("request", i));
  int64_t dropped = lb_log_count_dropped_lines ();
  cr_assert_gt (dropped, 0);
  for (int i = 0; i < 40; i++)
    {
      lb_log_flush ();
      read_log_output (pipe_ends[0]);
      if (count_occurrences_in_log_output ("log_lines_dropped") > 0)
        return;
    }
  cr_assert_fail ("log_lines_dropped was not logged");
}

Test (histogram, values_are_counted_by_bucket_and_rendered)
{
  static LbHistogram histogram = LB_HISTOGRAM_INIT ("test_seconds", "A test");

  lb_histogram_add (&histogram, 3 * LB_MSEC);
  lb_histogram_add (&histogram, 3 * LB_SEC);
  lb_histogram_add (&histogram, 30 * LB_SEC);
  lb_histogram_add (&histogram, -1);
  cr_assert_eq (lb_histogram_count_values (&histogram), 4);
  char *rendered = lb_metric_render_all ();
  cr_assert (strstr (rendered, "# TYPE test_seconds histogram"));
  cr_assert (strstr (rendered, "test_seconds_bucket{le=\"0.001\"} 1\n"));
  cr_assert (strstr (rendered, "test_seconds_bucket{le=\"0.005\"} 2\n"));
  cr_assert (strstr (rendered, "test_seconds_bucket{le=\"10\"} 3\n"));
  cr_assert (strstr (rendered, "test_seconds_bucket{le=\"+Inf\"} 4\n"));
  cr_assert (strstr (rendered, "test_seconds_count 4\n"));
  free (rendered);
}
