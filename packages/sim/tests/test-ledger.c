#include "lx-audit.h"
#include "lx-trace.h"

#include <criterion/criterion.h>
#include <string.h>

Test (audit, label_is_computed_from_generated_versions)
{
  LxAudit audit;
  LxText text = { 0 };
  LcLabel label;

  lx_audit_init (&audit);
  uint64_t job = lx_audit_add_job (&audit, &(LxJob){ .total_tokens = 100 });
  uint64_t first = lx_audit_add_stream (&audit, job, LB_SEC);
  uint64_t second = lx_audit_add_stream (&audit, job, LB_SEC);
  lx_audit_add_generated_tokens (&audit, first, 0, 30, 4, LB_SEC);
  lx_audit_add_generated_tokens (&audit, first, 30, 30, 5, LB_SEC);
  lx_audit_add_generated_tokens (&audit, second, 50, 50, 6, LB_SEC);
  lx_text_append (&text, first, 0, 50);
  lx_text_append (&text, second, 50, 50);
  lx_audit_compute_version_label (&audit, &text, &label);
  cr_assert_eq (label.n_spans, 3);
  cr_assert_eq (label.tokens, 100);
  cr_assert_eq (label.spans[1].version, 5);
  cr_assert_eq (label.spans[1].first, 30);
  cr_assert_eq (label.spans[1].count, 20);
  cr_assert_not (label.unlabelled);
  lx_text_clear (&text);
  lx_audit_clear (&audit);
}

Test (audit, audit_describes_the_first_violation_and_counts_all)
{
  LxAudit audit;

  lx_audit_init (&audit);
  lx_audit_report_violation (&audit, LX_VIOLATION_DOUBLED, LB_SEC, 7, "slot %d", 3);
  lx_audit_report_violation (&audit, LX_VIOLATION_DOUBLED, LB_SEC, 8, "slot %d", 4);
  cr_assert_eq (lx_audit_count_violations (&audit), 2);
  cr_assert_eq (audit.first_event, 7);
  cr_assert (strstr (audit.first_violation, "doubled") && strstr (audit.first_violation, "slot 3"));
  lx_audit_clear (&audit);
}

static void
expect_trace_parse_error (const char *text, LbErrorCode code, const char *where)
{
  LxTrace trace;
  LbError error = { 0 };

  cr_expect_not (lx_trace_parse (&trace, text, strlen (text), "t.jsonl", &error),
                 "expected a parse error: %s", text);
  cr_expect_eq (error.code, code, "%s: got error %s", text, lb_error_name (error.code));
  cr_expect (strstr (error.where, where) != NULL, "%s: got error at %s", text, error.where);
}

#define TRACE_HEADER "{ \"format\": 1, \"site\": \"hoa-sen\" }\n"

Test (trace, parse_errors_name_the_line)
{
  expect_trace_parse_error ("", LB_ERROR_MISSING_KEY, "t.jsonl");
  expect_trace_parse_error ("{ \"format\": 2, \"site\": \"hoa-sen\" }\n", LB_ERROR_BAD_VALUE,
                            "t.jsonl:1");
  expect_trace_parse_error ("{ \"format\": 1, \"site\": \"nowhere\" }\n", LB_ERROR_BAD_VALUE,
                            "t.jsonl:1");
  expect_trace_parse_error (TRACE_HEADER "{ \"event\": \"version\", ", LB_ERROR_BAD_JSON,
                            "t.jsonl:2");
  expect_trace_parse_error (TRACE_HEADER "{ \"event\": \"version\", \"att_ms\": 3 }",
                            LB_ERROR_UNKNOWN_KEY, "t.jsonl:2");
  expect_trace_parse_error (TRACE_HEADER "\n{ \"event\": \"call\" }", LB_ERROR_MISSING_KEY,
                            "t.jsonl:3");
  expect_trace_parse_error (TRACE_HEADER "{ \"event\": \"fault\", \"fault\": \"flood\" }",
                            LB_ERROR_BAD_VALUE, "t.jsonl:2");
  expect_trace_parse_error (TRACE_HEADER "{ \"at_ms\": 5 }", LB_ERROR_MISSING_KEY, "t.jsonl:2");
}

Test (trace, trace_parser_reads_events_and_expectations)
{
  const char *text = TRACE_HEADER "{ \"at_ms\": 5, \"event\": \"call\", \"call\": \"a\" }\n"
                                  "{ \"expect\": \"whole\", \"call\": \"a\", \"by_ms\": 9 }\n";
  LxTrace trace;
  LbError error = { 0 };

  cr_assert (lx_trace_parse (&trace, text, strlen (text), "t.jsonl", &error), "%s", error.where);
  cr_assert_eq (trace.n_lines, 2);
  cr_assert_eq (trace.lines[0].event, LX_EVENT_CALL);
  cr_assert_eq (trace.lines[1].expect, LX_EXPECT_WHOLE);
  cr_assert_eq (trace.lines[1].line, 3);
  lx_trace_clear (&trace);
}
