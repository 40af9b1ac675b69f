#include "lt-timeline.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static void
write_log (char *path, const char *lines)
{
  strcpy (path, "/tmp/lentilspindle-story-XXXXXX");
  int fd = mkstemp (path);
  cr_assert_geq (fd, 0);
  cr_assert_eq (write (fd, lines, strlen (lines)), (ssize_t)strlen (lines));
  close (fd);
}

static char *
tell (const char *id, const char *first, const char *second)
{
  char paths[2][64];
  char *text = NULL;
  size_t size = 0;
  LbError error;
  LtTimeline *story = lt_timeline_new (id);
  FILE *out = open_memstream (&text, &size);

  write_log (paths[0], first);
  write_log (paths[1], second);
  for (int i = 0; i < 2; i++)
    {
      cr_assert (lt_timeline_read_log (story, paths[i], &error));
      unlink (paths[i]);
    }
  lt_timeline_print (story, out);
  fclose (out);
  lt_timeline_free (story);
  return text;
}

/* A clerk's lookup failed. Its id stands in the lines that placed it and ended it; why the
 * endpoint was chosen stands in a line that does not name it. Another process, and the same one
 * after a restart, give the same number to other requests. */
Test (story, follows_a_request_and_what_was_believed)
{
  char *text = tell (
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

  char *lost = strstr (text, "store_lost");
  char *route = strstr (text, "route");
  char *ended = strstr (text, "outcome=broken");
  cr_assert (lost && route && ended && lost < route && route < ended, "%s", text);
  cr_assert_null (strstr (text, "started"), "too long ago to explain anything");
  cr_assert_null (strstr (text, " b "), "another process's request of the same number");
  cr_assert_null (strstr (text, "c2"), "the same number after a restart");
  cr_assert (strstr (text, "1 lines could not be read"));
  free (text);
}

Test (story, finds_an_item_by_its_batch)
{
  char *text
      = tell ("b1",
              "{\"time\":1,\"instance\":\"a\",\"event\":\"batch_accepted\",\"batch\":\"b1\"}\n",
              "{\"time\":2,\"instance\":\"b\",\"event\":\"route\",\"request\":3,\"id\":\"i9\","
              "\"caller\":\"b1\"}\n"
              "{\"time\":3,\"instance\":\"b\",\"event\":\"attempt_ended\",\"request\":3,"
              "\"id\":\"i9\",\"caller\":\"b1\"}\n");

  cr_assert (strstr (text, "batch_accepted"));
  cr_assert (strstr (text, "attempt_ended"));
  free (text);
}

/* Requests of two callers ask the same, and endpoints crash under them. Asked for what they have in
 * common, the story shows both, what was found of their endpoints, and the verdict. */
Test (story, finds_all_requests_of_one_content)
{
  char *text = tell (
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

Test (story, says_when_no_line_names_the_id)
{
  LtTimeline *story = lt_timeline_new ("nobody");

  cr_assert_not (lt_timeline_print (story, stdout));
  lt_timeline_free (story);
}
