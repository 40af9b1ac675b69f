#include "lb-histogram.h"
#include "lb-log.h"

#include "lb-counter.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TEXT_SIZE (1 << 20)

static char text[TEXT_SIZE];

static size_t
read_all (int fd)
{
  size_t length = 0;
  ssize_t n;

  while ((n = read (fd, text + length, sizeof text - 1 - length)) > 0)
    length += (size_t)n;
  text[length] = '\0';
  return length;
}

static int
count_lines (const char *needle)
{
  int count = 0;

  for (const char *at = text; (at = strstr (at, needle)); at++)
    count++;
  return count;
}

static void
open_pipe (int ends[2])
{
  cr_assert_eq (pipe (ends), 0);
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  lb_log_init (LB_LOG_INFO, ends[1], "a");
  lb_log_enable_buffering ();
}

/* The reader of the log stops reading, and the pipe is full after 64 KiB: a blocking write would
 * hold up every request for ever. Lines must be dropped and counted instead, and the log must
 * report it afterwards. */
Test (log, stopped_reader_does_not_block_logging)
{
  int ends[2];
  char filler[200];

  memset (filler, 'x', sizeof filler - 1);
  filler[sizeof filler - 1] = '\0';
  open_pipe (ends);
  for (int i = 0; i < 20000; i++)
    {
      lb_log (LB_LOG_INFO, "ordinary", LB_TEXT ("filler", filler));
      if (i % 100 == 0)
        lb_log_flush ();
    }
  cr_assert_gt (lb_log_count_dropped_lines (), 0);
  lb_log (LB_LOG_ERROR, "failure", LB_INT ("number", 7));
  for (int i = 0; i < 40; i++)
    {
      lb_log_flush ();
      if (read_all (ends[0]) > 0 && count_lines ("\"failure\"") > 0)
        break;
    }
  cr_assert_eq (count_lines ("\"failure\""), 1,
                "the error line was dropped in spite of its reserved space");
  cr_assert_eq (text[strlen (text) - 1], '\n');
  for (int i = 0; i < 40; i++)
    lb_log_flush ();
  read_all (ends[0]);
  cr_assert_geq (count_lines ("log_lines_dropped"), 0);
}

/* A burst of refusals logs ten thousand similar lines per second. The rest of the log must stay
 * readable, and the CPU time must remain for requests. */
Test (log, burst_of_lines_is_rate_limited)
{
  int ends[2];

  open_pipe (ends);
  fcntl (ends[1], F_SETPIPE_SZ, 1 << 20);
  for (int i = 0; i < 30000; i++)
    {
      lb_log (LB_LOG_INFO, "refused", LB_INT ("request", i));
      lb_log_flush ();
    }
  cr_assert_gt (lb_log_count_dropped_lines (), 0);
  read_all (ends[0]);
  cr_assert_gt (count_lines ("\"refused\""), 100);
  lb_log (LB_LOG_WARNING, "belief", LB_TEXT ("of", "engine"));
  lb_log_flush ();
  read_all (ends[0]);
  cr_assert_eq (count_lines ("\"belief\""), 1);
}

Test (log, dropped_lines_are_reported_once_there_is_space)
{
  int ends[2];

  open_pipe (ends);
  for (int i = 0; i < 30000; i++)
    lb_log (LB_LOG_INFO, "refused", LB_INT ("request", i));
  int64_t dropped = lb_log_count_dropped_lines ();
  cr_assert_gt (dropped, 0);
  for (int i = 0; i < 40; i++)
    {
      lb_log_flush ();
      read_all (ends[0]);
      if (count_lines ("log_lines_dropped") > 0)
        return;
    }
  cr_assert_fail ("log_lines_dropped was not logged");
}

Test (histogram, counts_by_bucket_and_renders)
{
  static LbHistogram histogram = LB_HISTOGRAM_INIT ("test_seconds", "A test");

  lb_histogram_add (&histogram, 3 * LB_MSEC);
  lb_histogram_add (&histogram, 3 * LB_SEC);
  lb_histogram_add (&histogram, 30 * LB_SEC);
  lb_histogram_add (&histogram, -1);
  cr_assert_eq (lb_histogram_count_values (&histogram), 4);
  char *all = lb_metric_render ();
  cr_assert (strstr (all, "# TYPE test_seconds histogram"));
  cr_assert (strstr (all, "test_seconds_bucket{le=\"0.001\"} 1\n"));
  cr_assert (strstr (all, "test_seconds_bucket{le=\"0.005\"} 2\n"));
  cr_assert (strstr (all, "test_seconds_bucket{le=\"10\"} 3\n"));
  cr_assert (strstr (all, "test_seconds_bucket{le=\"+Inf\"} 4\n"));
  cr_assert (strstr (all, "test_seconds_count 4\n"));
  free (all);
}
