#include "dispatch-fixture.h"

#define BAD 7
#define GOOD 8

/* Endpoints that ended under the content elsewhere, as other instances tell. */
static void
hear_ends (Fixture *f, LcFingerprint content, int n)
{
  LcCrashReport crash = { .at = f->now, .fingerprints = { content }, .n_fingerprints = 1 };

  for (int i = 0; i < n; i++)
    {
      snprintf (crash.id, sizeof crash.id, "%lu-%d", (unsigned long)content, i);
      snprintf (crash.endpoint, sizeof crash.endpoint, "%lu-gone-%d", (unsigned long)content, i);
      lc_quarantine_add_report (lc_dispatch_quarantine (f->dispatch), &crash, f->now);
    }
}

static LcRequestSpec
spec_with (Fixture *f, LcRequestKind kind, LcFingerprint content)
{
  LcRequestSpec spec = fixture_spec (f, kind);

  spec.content = content;
  return spec;
}

/* Three endpoints ended under requests that other instances sent. The next one is refused at once
 * as not run, with the time until it may run; others are sent as before, and so is one whose
 * content is not known. */
Test (dispatch_quarantine, a_new_request_is_refused_at_once)
{
  static const LcRequestKind kinds[] = { LC_KIND_LIVE, LC_KIND_SAMPLE, LC_KIND_SERVICE };
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 0.1 }, 2, 8);
  hear_ends (&f, BAD, 3);
  for (size_t i = 0; i < 3; i++)
    {
      LcRequestSpec bad = spec_with (&f, kinds[i], BAD);
      LcRequestSpec good = spec_with (&f, kinds[i], GOOD);
      LcRequestSpec unknown = spec_with (&f, kinds[i], 0);
      cr_assert_not (fixture_submit (&f, &bad));
      cr_assert_eq (f.error.code, LB_ERROR_QUARANTINED);
      cr_assert (lb_error_is_not_run (f.error.code));
      cr_assert_eq (f.retry_after, lc_quarantine_report_lifetime ());
      cr_assert (fixture_submit (&f, &good));
      fixture_expect (&f, LC_ACTION_SEND, good.id);
      cr_assert (fixture_submit (&f, &unknown));
      fixture_expect (&f, LC_ACTION_SEND, unknown.id);
    }
  fixture_clear (&f);
}

/* It was admitted and waits for a place when the third end is heard of: it was not run, and is told
 * so. */
Test (dispatch_quarantine, what_waits_is_not_sent)
{
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 0.1 }, 1, 1);
  LcRequestSpec first = spec_with (&f, LC_KIND_SAMPLE, GOOD);
  LcRequestSpec bad = spec_with (&f, LC_KIND_SAMPLE, BAD);
  LcRequestSpec last = spec_with (&f, LC_KIND_SAMPLE, GOOD + 1);
  cr_assert (fixture_submit (&f, &first));
  cr_assert (fixture_submit (&f, &bad));
  cr_assert (fixture_submit (&f, &last));
  LcAction sent = fixture_expect (&f, LC_ACTION_SEND, first.id);
  hear_ends (&f, BAD, 3);
  fixture_end (&f, first.id, sent.attempt, LC_END_COMPLETE);
  LcAction end = fixture_expect (&f, LC_ACTION_FINISH, bad.id);
  cr_assert_eq (end.error, LB_ERROR_QUARANTINED);
  cr_assert_gt (end.retry_after, 0);
  fixture_expect (&f, LC_ACTION_SEND, last.id);
  fixture_clear (&f);
}

/* Its own first attempt broke with the third endpoint. It is not tried again, and "not run" would
 * be a lie. */
Test (dispatch_quarantine, what_broke_is_not_tried_again)
{
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 1 }, 2, 8);
  LcRequestSpec bad = spec_with (&f, LC_KIND_SERVICE, BAD);
  cr_assert (fixture_submit (&f, &bad));
  LcAction sent = fixture_expect (&f, LC_ACTION_SEND, bad.id);
  fixture_end (&f, bad.id, sent.attempt, LC_END_BROKEN);
  hear_ends (&f, BAD, 3);
  fixture_at (&f, f.now + LB_SEC);
  LcAction end = fixture_expect (&f, LC_ACTION_FINISH, bad.id);
  cr_assert_eq (end.error, LB_ERROR_OUTCOME_UNKNOWN);
  fixture_clear (&f);
}

/* A call that has heard nothing for a while is sent to a second endpoint; not one that would end
 * that endpoint as well. */
Test (dispatch_quarantine, no_second_attempt_beside_the_first)
{
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 1 }, 2, 8);
  LcRequestSpec bad = spec_with (&f, LC_KIND_SERVICE, BAD);
  LcRequestSpec good = spec_with (&f, LC_KIND_SERVICE, GOOD);
  bad.hedge_after = 100 * LB_MSEC;
  good.hedge_after = 100 * LB_MSEC;
  cr_assert (fixture_submit (&f, &bad));
  cr_assert (fixture_submit (&f, &good));
  fixture_drop_actions (&f);
  hear_ends (&f, BAD, 3);
  fixture_at (&f, f.now + 150 * LB_MSEC);
  LcAction action;
  cr_assert (fixture_take (&f, LC_ACTION_SEND, good.id, &action));
  cr_assert_not (fixture_take (&f, LC_ACTION_SEND, bad.id, &action));
  fixture_clear (&f);
}

/* A request that an endpoint answers, with whatever it likes, or whose text begins, has ended
 * nothing: what two other ends beside it said is void. */
Test (dispatch_quarantine, an_answer_clears_the_content)
{
  static const LcAttemptEnd ends[] = { LC_END_COMPLETE, LC_END_FAILED, LC_END_REJECTED };
  Fixture f;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 0.1 }, 2, 8);
  for (LcFingerprint content = 20; content < 24; content++)
    {
      LcFingerprint told = 0;
      LbTime at = 0;
      LcRequestSpec spec = spec_with (&f, LC_KIND_SAMPLE, content);
      spec.failure_is_final = true;
      hear_ends (&f, content, 2);
      cr_assert (fixture_submit (&f, &spec));
      LcAction sent = fixture_expect (&f, LC_ACTION_SEND, spec.id);
      if (content == 23)
        fixture_piece (&f, spec.id, sent.attempt, 0, 1, false);
      else
        fixture_end (&f, spec.id, sent.attempt, ends[content - 20]);
      cr_assert (lc_quarantine_pop_clearance (lc_dispatch_quarantine (f.dispatch), &told, &at));
      cr_assert_eq (told, content);
    }
  fixture_clear (&f);
}

/* A refusal says nothing: the endpoint did not begin it. */
Test (dispatch_quarantine, a_refusal_clears_nothing)
{
  Fixture f;
  LcFingerprint told = 0;
  LbTime at = 0;

  fixture_init (&f, &(LcDispatchSettings){ .retry_budget = 0.1 }, 2, 8);
  hear_ends (&f, BAD, 2);
  LcRequestSpec spec = spec_with (&f, LC_KIND_SERVICE, BAD);
  cr_assert (fixture_submit (&f, &spec));
  LcAction sent = fixture_expect (&f, LC_ACTION_SEND, spec.id);
  fixture_end (&f, spec.id, sent.attempt, LC_END_REFUSED);
  cr_assert_not (lc_quarantine_pop_clearance (lc_dispatch_quarantine (f.dispatch), &told, &at));
  fixture_clear (&f);
}
