#include "lt-timeline.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static void
write_temporary_log (char *path, const char *lines)
{
  strcpy (path, "/tmp/lentilspindle-story-XXXXXX");
  int fd = mkstemp (path);
  cr_assert_geq (fd, 0);
  cr_assert_eq (write (fd, lines, strlen (lines)), (ssize_t)strlen (lines));
  close (fd);
}

static char *
print_timeline_to_string (const char *id, const char *first_log, const char *second_log)
{
  char paths[2][64];
  char *text = NULL;
  size_t size = 0;
  LbError error;
  LtTimeline *timeline = lt_timeline_new (id);
  FILE *out = open_memstream (&text, &size);

  write_temporary_log (paths[0], first_log);
  write_temporary_log (paths[1], second_log);
  for (int i = 0; i < 2; i++)
    {
      cr_assert (lt_timeline_read_log (timeline, paths[i], &error));
      unlink (paths[i]);
    }
  lt_timeline_print (timeline, out);
  fclose (out);
  lt_timeline_free (timeline);
  return text;
}

/* The log lines of a failed request carry its id, but the state change that explains the choice of
 * endpoint does not. Request numbers are not unique: another instance, or the same instance after a
 * restart, uses the same number for another request. */
Test (timeline, prints_a_request_and_earlier_state_changes)
{
  char *text = print_timeline_to_string (
      "c1",
      "{\"time\":1000,\"instance\":\"a\",\"event\":\"started\"}\n"
      "{\"time\":9000,\"instance\":\"a\",\"event\":\"store_lost\",\"status\":503}\n"
      "12.5 a {\"time\":9500,\"instance\":\"a\",\"event\":\"route\",\"request\":7,\"id\":\"c1\"}\n"
      "{\"time\":9700,\"instance\":\"a\",\"event\":\"attempt_ended\",\"request\":7,"
      "\"id\":\"c1\",\"outcome\":\"broken\"}\n"
      "{\"time\":9900,\"instance\":\"a\",\"event\":\"route\",\"request\":7,\"id\":\"c2\"}\n"
      "not a line of ours\n",
      "{\"time\":9600,\"instance\":\"b\",\"event\":\"attempt_ended\",\"request\":7,"
      "\"id\":\"c3\"}\n"
      "{\"time\":9650,\"instance\":\"b\",\"event\":\"store_lost\"}\n");

  char *store_lost = strstr (text, "store_lost");
  char *route = strstr (text, "route");
  char *attempt_ended = strstr (text, "outcome=broken");
  cr_assert (store_lost && route && attempt_ended && store_lost < route && route < attempt_ended,
             "%s", text);
  cr_assert_null (strstr (text, "started"),
                  "unexpected state change 8.5 s before the first line that names the id");
  cr_assert_null (strstr (text, " b "),
                  "unexpected line of another instance's request with the same number");
  cr_assert_null (strstr (text, "c2"),
                  "unexpected line of another request with the same number after a restart");
  cr_assert (strstr (text, "1 lines could not be read"));
  free (text);
}

Test (timeline, finds_the_item_requests_of_a_batch)
{
  char *text = print_timeline_to_string (
      "b1", "{\"time\":1,\"instance\":\"a\",\"event\":\"batch_accepted\",\"batch\":\"b1\"}\n",
      "{\"time\":2,\"instance\":\"b\",\"event\":\"route\",\"request\":3,\"id\":\"i9\","
      "\"caller\":\"b1\"}\n"
      "{\"time\":3,\"instance\":\"b\",\"event\":\"attempt_ended\",\"request\":3,"
      "\"id\":\"i9\",\"caller\":\"b1\"}\n");

  cr_assert (strstr (text, "batch_accepted"));
  cr_assert (strstr (text, "attempt_ended"));
  free (text);
}

/* Two requests have the same content fingerprint. The timeline of this fingerprint shows both
 * requests, the check of the endpoint that the first request crashed, and the quarantine of the
 * content. */
Test (timeline, finds_all_requests_of_a_fingerprint)
{
  char *text = print_timeline_to_string (
      "777f26cc65beacb0",
      "{\"time\":1,\"instance\":\"a\",\"event\":\"attempt_ended\",\"request\":3,\"id\":\"c1\","
      "\"content\":\"777f26cc65beacb0\",\"outcome\":\"broken\"}\n"
      "{\"time\":2,\"instance\":\"a\",\"event\":\"endpoint_checked\",\"endpoint\":\"e1\","
      "\"connections\":\"refused\"}\n",
      "{\"time\":5,\"instance\":\"b\",\"event\":\"request_quarantined\","
      "\"content\":\"777f26cc65beacb0\"}\n"
      "{\"time\":6,\"instance\":\"b\",\"event\":\"request_given_up\",\"request\":9,\"id\":\"c2\","
      "\"content\":\"777f26cc65beacb0\",\"error\":\"quarantined\"}\n"
      "{\"time\":7,\"instance\":\"b\",\"event\":\"request_given_up\",\"request\":10,\"id\":\"c3\","
      "\"content\":\"0000000000000001\",\"error\":\"overloaded\"}\n");

  cr_assert (strstr (text, "outcome=broken"), "%s", text);
  cr_assert (strstr (text, "endpoint_checked"), "%s", text);
  cr_assert (strstr (text, "request_quarantined"), "%s", text);
  cr_assert (strstr (text, "error=quarantined"), "%s", text);
  cr_assert_null (strstr (text, "overloaded"), "%s", text);
  free (text);
}

Test (timeline, returns_false_if_no_line_names_the_id)
{
  LtTimeline *timeline = lt_timeline_new ("nobody");

  cr_assert_not (lt_timeline_print (timeline, stdout));
  lt_timeline_free (timeline);
}

/* A user asks why an answer was late or refused. The summary must count only lines that name the
 * id, and must not count the first owner of an offered batch as a change of owner. */
Test (timeline, summary_adds_up_waits_moves_hand_overs_and_failures)
{
  char *text = print_timeline_to_string (
      "i1",
      "{\"time\":1,\"event\":\"batch_taken_over\",\"batch\":\"i1\",\"epoch\":2,\"outcome\":\"ok\"}"
      "\n"
      "{\"time\":2,\"event\":\"route\",\"id\":\"i1\",\"waited_us\":250000}\n"
      "{\"time\":3,\"event\":\"route\",\"id\":\"i2\",\"waited_us\":9000000}\n"
      "{\"time\":4,\"event\":\"item_moved\",\"item\":\"i1\",\"reason\":\"stalled\"}\n",
      "{\"time\":5,\"event\":\"batch_taken_over\",\"batch\":\"i1\",\"epoch\":3,\"outcome\":\"ok\"}"
      "\n"
      "{\"time\":6,\"event\":\"route\",\"id\":\"i1\",\"waited_us\":500000}\n"
      "{\"time\":7,\"event\":\"request_given_up\",\"id\":\"i1\",\"error\":\"overloaded\","
      "\"retry_after_us\":300000}\n");

  cr_assert (strstr (text, "waited for an endpoint: 0.750 s over 2 attempts, 0.500 s at most\n"),
             "%s", text);
  cr_assert (strstr (text, "moved to another endpoint: 1: stalled 1\n"), "%s", text);
  cr_assert (strstr (text, "changes of the batch's owner: 1\n"), "%s", text);
  cr_assert (strstr (text, "failed: 1: overloaded 1; the caller was told to retry after 0.300 s\n"),
             "%s", text);
  free (text);
}

/* Calls are refused at admission, or after they have waited. Without the ids in these lines, a user
 * saw that the call was overloaded, but not why or what the caller was told. */
Test (timeline, summary_counts_refusals_by_reason)
{
  char *text = print_timeline_to_string (
      "c1",
      "{\"time\":1,\"event\":\"call_refused\",\"id\":\"c1\",\"reason\":\"wait\","
      "\"retry_after_us\":200000}\n"
      "{\"time\":2,\"event\":\"call_refused\",\"id\":\"c2\",\"reason\":\"wait\","
      "\"retry_after_us\":900000}\n",
      "{\"time\":3,\"event\":\"waiting_call_refused\",\"id\":\"c1\",\"retry_after_us\":450000}\n"
      "{\"time\":3,\"event\":\"request_given_up\",\"id\":\"c1\",\"error\":\"overloaded\","
      "\"retry_after_us\":450000}\n");

  cr_assert (strstr (text, "refused before it ran: 2: wait 1, while waiting 1; the caller was told "
                           "to retry after 0.450 s\n"),
             "%s", text);
  cr_assert (strstr (text, "failed: 1: overloaded 1; the caller was told to retry after 0.450 s\n"),
             "%s", text);
  free (text);
}
