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
  lb_log_buffer ();
}

/* The reader of the log stops reading. The pipe fills after 64 KiB; a write would wait for ever,
 * and every request with it. The lines are dropped instead, counted, and the log says so
 * afterwards. */
Test (log, a_reader_that_stops_holds_up_nothing)
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
  cr_assert_gt (lb_log_dropped (), 0);
  lb_log (LB_LOG_ERROR, "failure", LB_INT ("number", 7));
  for (int i = 0; i < 40; i++)
    {
      lb_log_flush ();
      if (read_all (ends[0]) > 0 && count_lines ("\"failure\"") > 0)
        break;
    }
  cr_assert_eq (count_lines ("\"failure\""), 1, "a failure has room of its own");
  cr_assert_eq (text[strlen (text) - 1], '\n');
  for (int i = 0; i < 40; i++)
    lb_log_flush ();
  read_all (ends[0]);
  cr_assert_geq (count_lines ("log_lines_dropped"), 0);
}

/* A storm of refusals says the same thing ten thousand times a second; the rest of the log has to
 * stay readable, and the processor is for requests. */
Test (log, a_storm_is_bounded)
{
  int ends[2];

  open_pipe (ends);
  fcntl (ends[1], F_SETPIPE_SZ, 1 << 20);
  for (int i = 0; i < 30000; i++)
    {
      lb_log (LB_LOG_INFO, "refused", LB_INT ("request", i));
      lb_log_flush ();
    }
  cr_assert_gt (lb_log_dropped (), 0);
  read_all (ends[0]);
  cr_assert_gt (count_lines ("\"refused\""), 100);
  lb_log (LB_LOG_WARNING, "belief", LB_TEXT ("of", "engine"));
  lb_log_flush ();
  read_all (ends[0]);
  cr_assert_eq (count_lines ("\"belief\""), 1);
}

Test (log, drops_are_said_once_there_is_room)
{
  int ends[2];

  open_pipe (ends);
  for (int i = 0; i < 30000; i++)
    lb_log (LB_LOG_INFO, "refused", LB_INT ("request", i));
  int64_t dropped = lb_log_dropped ();
  cr_assert_gt (dropped, 0);
  for (int i = 0; i < 40; i++)
    {
      lb_log_flush ();
      read_all (ends[0]);
      if (count_lines ("log_lines_dropped") > 0)
        return;
    }
  cr_assert_fail ("the log does not say that lines were dropped");
}

Test (histogram, counts_in_buckets_and_renders)
{
  static LbHistogram histogram = LB_HISTOGRAM_INIT ("test_seconds", "A test");

  lb_histogram_add (&histogram, 3 * LB_MSEC);
  lb_histogram_add (&histogram, 3 * LB_SEC);
  lb_histogram_add (&histogram, 30 * LB_SEC);
  lb_histogram_add (&histogram, -1);
  cr_assert_eq (lb_histogram_count (&histogram), 4);
  char *all = lb_metric_render ();
  cr_assert (strstr (all, "# TYPE test_seconds histogram"));
  cr_assert (strstr (all, "test_seconds_bucket{le=\"0.001\"} 1\n"));
  cr_assert (strstr (all, "test_seconds_bucket{le=\"0.005\"} 2\n"));
  cr_assert (strstr (all, "test_seconds_bucket{le=\"10\"} 3\n"));
  cr_assert (strstr (all, "test_seconds_bucket{le=\"+Inf\"} 4\n"));
  cr_assert (strstr (all, "test_seconds_count 4\n"));
  free (all);
}
