#include "dispatch-fixture.h"

#define CRASHING_FINGERPRINT 7
#define OTHER_FINGERPRINT 8

/* Adds n crash reports of other instances, each of a different endpoint that crashed on a request
 * with this content. */
static void
add_crash_reports_of_content (Fixture *f, LcFingerprint content, int n)
{
  LcCrashReport crash = { .at = f->now, .fingerprints = { content }, .n_fingerprints = 1 };

  for (int i = 0; i < n; i++)
    {
      snprintf (crash.id, sizeof crash.id, "%lu-%d", (unsigned long)content, i);
      snprintf (crash.endpoint, sizeof crash.endpoint, "%lu-gone-%d", (unsigned long)content, i);
      lc_quarantine_add_report (lc_dispatch_get_quarantine (f->dispatch), &crash, f->now);
    }
}

static LcRequestSpec
make_request_spec_with_content (Fixture *f, LcRequestKind kind, LcFingerprint content)
{
  LcRequestSpec spec = fixture_make_request_spec (f, kind);

  spec.content = content;
  return spec;
}

/* Other instances report three endpoints that crashed on requests with the same content. A request
 * with this content must be refused at once as "not run", with the time until the quarantine ends.
 * Requests with another or an unknown content must be sent as usual. */
Test (dispatch_quarantine, quarantined_request_is_refused_at_once)
{
  static const LcRequestKind kinds[] = { LC_KIND_LIVE, LC_KIND_SAMPLE, LC_KIND_SERVICE };
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 0.1 }, 2, 8);
  add_crash_reports_of_content (&f, CRASHING_FINGERPRINT, 3);
  for (size_t i = 0; i < 3; i++)
    {
      LcRequestSpec crashing = make_request_spec_with_content (&f, kinds[i], CRASHING_FINGERPRINT);
      LcRequestSpec other = make_request_spec_with_content (&f, kinds[i], OTHER_FINGERPRINT);
      LcRequestSpec unknown = make_request_spec_with_content (&f, kinds[i], 0);
      cr_assert_not (fixture_submit_request (&f, &crashing));
      cr_assert_eq (f.error.code, LB_ERROR_QUARANTINED);
      cr_assert (lb_error_proves_request_not_run (f.error.code));
      cr_assert_eq (f.retry_after, lc_quarantine_report_lifetime ());
      cr_assert (fixture_submit_request (&f, &other));
      fixture_expect_action_of_request (&f, LC_ACTION_SEND, other.id);
      cr_assert (fixture_submit_request (&f, &unknown));
      fixture_expect_action_of_request (&f, LC_ACTION_SEND, unknown.id);
    }
  fixture_clear (&f);
}

/* Endpoints crashed under a request that was handed in to run later. It must be refused for a few
 * seconds and then be sent, as an item of a batch is owed to its trainer. */
Test (dispatch_quarantine, an_owed_request_is_sent_again_within_seconds)
{
  static const LcRequestKind kinds[] = { LC_KIND_SAMPLE, LC_KIND_SERVICE };
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 0.1, .max_report_age = LB_TIME_NEVER },
                2, 8);
  add_crash_reports_of_content (&f, CRASHING_FINGERPRINT, 8);
  for (size_t i = 0; i < 2; i++)
    {
      LcRequestSpec owed = make_request_spec_with_content (&f, kinds[i], CRASHING_FINGERPRINT);
      owed.is_owed = true;
      f.now = LB_SEC;
      cr_assert_not (fixture_submit_request (&f, &owed));
      cr_assert_eq (f.error.code, LB_ERROR_QUARANTINED);
      cr_assert_leq (f.retry_after, 5 * LB_SEC);
      f.now += f.retry_after;
      cr_assert (fixture_submit_request (&f, &owed));
      fixture_expect_action_of_request (&f, LC_ACTION_SEND, owed.id);
    }
  fixture_clear (&f);
}

/* A third crash is reported for a content while a request with this content is queued. The request
 * must fail as "not run". */
Test (dispatch_quarantine, waiting_request_is_not_sent_once_quarantined)
{
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 0.1 }, 1, 1);
  LcRequestSpec first = make_request_spec_with_content (&f, LC_KIND_SAMPLE, OTHER_FINGERPRINT);
  LcRequestSpec crashing
      = make_request_spec_with_content (&f, LC_KIND_SAMPLE, CRASHING_FINGERPRINT);
  LcRequestSpec last = make_request_spec_with_content (&f, LC_KIND_SAMPLE, OTHER_FINGERPRINT + 1);
  cr_assert (fixture_submit_request (&f, &first));
  cr_assert (fixture_submit_request (&f, &crashing));
  cr_assert (fixture_submit_request (&f, &last));
  LcAction sent = fixture_expect_action_of_request (&f, LC_ACTION_SEND, first.id);
  add_crash_reports_of_content (&f, CRASHING_FINGERPRINT, 3);
  fixture_end_attempt (&f, first.id, sent.attempt, LC_END_COMPLETE);
  LcAction end = fixture_expect_action_of_request (&f, LC_ACTION_FINISH, crashing.id);
  cr_assert_eq (end.error, LB_ERROR_QUARANTINED);
  cr_assert_gt (end.retry_after, 0);
  fixture_expect_action_of_request (&f, LC_ACTION_SEND, last.id);
  fixture_clear (&f);
}

/* The first attempt of a request breaks, and three crashes are reported for its content. The
 * request must not be retried, and must not be reported as "not run". */
Test (dispatch_quarantine, broken_request_is_not_retried_once_quarantined)
{
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 1 }, 2, 8);
  LcRequestSpec crashing
      = make_request_spec_with_content (&f, LC_KIND_SERVICE, CRASHING_FINGERPRINT);
  cr_assert (fixture_submit_request (&f, &crashing));
  LcAction sent = fixture_expect_action_of_request (&f, LC_ACTION_SEND, crashing.id);
  fixture_end_attempt (&f, crashing.id, sent.attempt, LC_END_BROKEN);
  add_crash_reports_of_content (&f, CRASHING_FINGERPRINT, 3);
  fixture_tick_dispatch_at (&f, f.now + LB_SEC);
  LcAction end = fixture_expect_action_of_request (&f, LC_ACTION_FINISH, crashing.id);
  cr_assert_eq (end.error, LB_ERROR_OUTCOME_UNKNOWN);
  fixture_clear (&f);
}

/* A silent call must be hedged unless its content is quarantined: a hedge would crash a second
 * endpoint. */
Test (dispatch_quarantine, quarantined_request_is_not_hedged)
{
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 1 }, 2, 8);
  LcRequestSpec crashing
      = make_request_spec_with_content (&f, LC_KIND_SERVICE, CRASHING_FINGERPRINT);
  LcRequestSpec other = make_request_spec_with_content (&f, LC_KIND_SERVICE, OTHER_FINGERPRINT);
  crashing.hedge_after = 100 * LB_MSEC;
  other.hedge_after = 100 * LB_MSEC;
  cr_assert (fixture_submit_request (&f, &crashing));
  cr_assert (fixture_submit_request (&f, &other));
  fixture_free_pending_actions (&f);
  add_crash_reports_of_content (&f, CRASHING_FINGERPRINT, 3);
  fixture_tick_dispatch_at (&f, f.now + 150 * LB_MSEC);
  LcAction action;
  cr_assert (fixture_take_action_of_request (&f, LC_ACTION_SEND, other.id, &action));
  cr_assert_not (fixture_take_action_of_request (&f, LC_ACTION_SEND, crashing.id, &action));
  fixture_clear (&f);
}

/* Any reply of an endpoint, or the first piece of a resumable stream, proves that the request's
 * content did not crash the endpoint. Two earlier crash reports for this content must then no
 * longer count. */
Test (dispatch_quarantine, a_reply_clears_the_content)
{
  static const LcAttemptEnd ends[] = { LC_END_COMPLETE, LC_END_FAILED, LC_END_REJECTED };
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 0.1 }, 2, 8);
  for (LcFingerprint content = 20; content < 24; content++)
    {
      LcFingerprint cleared = 0;
      LbTime at = 0;
      LcRequestSpec spec = make_request_spec_with_content (&f, LC_KIND_SAMPLE, content);
      spec.failure_is_final = true;
      add_crash_reports_of_content (&f, content, 2);
      cr_assert (fixture_submit_request (&f, &spec));
      LcAction sent = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
      if (content == 23)
        fixture_deliver_piece (&f, spec.id, sent.attempt, 0, 1, false);
      else
        fixture_end_attempt (&f, spec.id, sent.attempt, ends[content - 20]);
      cr_assert (
          lc_quarantine_pop_clearance (lc_dispatch_get_quarantine (f.dispatch), &cleared, &at));
      cr_assert_eq (cleared, content);
    }
  fixture_clear (&f);
}

/* A refusal must not clear the crash reports of a content, because the endpoint did not start the
 * request. */
Test (dispatch_quarantine, a_refusal_does_not_clear_the_content)
{
  Fixture f;
  LcFingerprint cleared = 0;
  LbTime at = 0;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 0.1 }, 2, 8);
  add_crash_reports_of_content (&f, CRASHING_FINGERPRINT, 2);
  LcRequestSpec spec = make_request_spec_with_content (&f, LC_KIND_SERVICE, CRASHING_FINGERPRINT);
  cr_assert (fixture_submit_request (&f, &spec));
  LcAction sent = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);
  fixture_end_attempt (&f, spec.id, sent.attempt, LC_END_REFUSED);
  cr_assert_not (
      lc_quarantine_pop_clearance (lc_dispatch_get_quarantine (f.dispatch), &cleared, &at));
  fixture_clear (&f);
}
