#include "lx-replay.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define TRACE_HEADER "{ \"format\": 1, \"site\": \"hoa-sen\", \"trainers\": 0 }\n"

static bool
replay_trace (const char *text, char **output)
{
  LxTrace trace;
  LbError error = { 0 };
  size_t size = 0;
  FILE *out = open_memstream (output, &size);

  cr_assert (lx_trace_parse (&trace, text, strlen (text), "t", &error), "%s %s", error.where,
             error.detail);
  bool passed = lx_replay_run (&trace, "t", out);
  fclose (out);
  lx_trace_clear (&trace);
  return passed;
}

static void
expect_replay_failure_output (const char *text, const char *expected)
{
  char *output;

  cr_expect_not (replay_trace (text, &output), "expected a failed replay: %s", text);
  cr_expect (strstr (output, expected) != NULL, "%s: expected text not found in output: %s", text,
             output);
  free (output);
}

/* Guards against an expectation that never fails: traces with it would pass without testing
 * anything. */
Test (replay, failed_expectation_is_reported_with_its_line)
{
  const char *call = TRACE_HEADER "{ \"at_ms\": 2000, \"event\": \"call\", \"call\": \"a\" }\n";
  char text[1024];

  snprintf (text, sizeof text, "%s{ \"expect\": \"not-run\", \"call\": \"a\" }", call);
  expect_replay_failure_output (text, "t:3: not-run: ok");
  snprintf (text, sizeof text, "%s{ \"expect\": \"unknown\", \"call\": \"a\" }", call);
  expect_replay_failure_output (text, "t:3: unknown: ok");
  snprintf (text, sizeof text, "%s{ \"expect\": \"whole\", \"call\": \"a\", \"by_ms\": 2100 }",
            call);
  expect_replay_failure_output (text, "answer arrived later");
  snprintf (text, sizeof text, "%s{ \"expect\": \"runs\", \"call\": \"a\", \"count\": 0 }", call);
  expect_replay_failure_output (text, "more often than count");
  expect_replay_failure_output (TRACE_HEADER
                                "{ \"expect\": \"in-force\", \"revision\": 2, \"by_ms\": 9000 }",
                                "older revision");
  expect_replay_failure_output (
      TRACE_HEADER "{ \"expect\": \"drained\", \"instance\": \"i1\", \"by_ms\": 9000 }",
      "did not complete its drain by by_ms");
  expect_replay_failure_output (
      "{ \"format\": 1, \"site\": \"hoa-sen\" }\n"
      "{ \"expect\": \"step-done\", \"trainer\": \"trainer-1\", \"by_ms\": 9000 }",
      "samples of the step are missing");
}

Test (replay, trace_with_met_expectations_passes)
{
  char *output;

  cr_expect (replay_trace (TRACE_HEADER
                           "{ \"at_ms\": 2000, \"event\": \"call\", \"call\": \"a\" }\n"
                           "{ \"expect\": \"whole\", \"call\": \"a\", \"by_ms\": 6000 }\n"
                           "{ \"expect\": \"runs\", \"call\": \"a\", \"count\": 1 }\n",
                           &output),
             "expected no failed expectation, got: %s", output);
  free (output);
}
