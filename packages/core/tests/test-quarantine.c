#include "lc-quarantine.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_TIME (1000 * LB_SEC)
#define HARMFUL_FINGERPRINT 1
#define HARMLESS_FINGERPRINT 100
#define MAX_TEST_REPORTS 64

static LcCrashReport
make_crash_report (const char *id,
                   const char *endpoint,
                   LbTime crashed_at,
                   LcFingerprint first,
                   LcFingerprint second)
{
  LcCrashReport crash
      = { .at = crashed_at, .fingerprints = { first, second }, .n_fingerprints = second ? 2 : 1 };

  LB_COPY (crash.id, id);
  LB_COPY (crash.endpoint, endpoint);
  return crash;
}

/* Adds one instance's report that endpoint n crashed n seconds after START_TIME with the given
 * requests in flight. */
static void
add_crash_report (LcQuarantine *quarantine, int n, LcFingerprint first, LcFingerprint second)
{
  char name[16];

  snprintf (name, sizeof name, "e%d", n);
  LcCrashReport crash = make_crash_report (name, name, START_TIME + n * LB_SEC, first, second);
  lc_quarantine_add_report (quarantine, &crash, crash.at);
}

static bool
is_quarantined (const LcQuarantine *quarantine, LcFingerprint fingerprint)
{
  return lc_quarantine_ends_at (quarantine, fingerprint) > 0;
}

/* A sound item of a batch was in flight in crashes that it did not cause. It must be postponed for
 * seconds at most, however many crashes there were, or its trainer would never get it. */
Test (quarantine, an_owed_request_is_postponed_for_seconds_only)
{
  static const int expected_s[] = { 0, 0, 1, 2, 4, 4, 4 };
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (int n = 1; n <= 7; n++)
    {
      add_crash_report (quarantine, n, HARMLESS_FINGERPRINT, 0);
      LbTime until = lc_quarantine_postponed_until (quarantine, HARMLESS_FINGERPRINT);
      LbTime last_crash_at = START_TIME + n * LB_SEC;
      cr_assert_eq (until, n < 3 ? 0 : last_crash_at + expected_s[n - 1] * LB_SEC,
                    "after %d crashes until %ld", n, (long)until);
    }
  lc_quarantine_free (quarantine);
}

/* Two crashes with the same request in flight may be chance. The third must quarantine the request
 * for the lifetime of its crash report. */
Test (quarantine, third_crash_quarantines_a_request)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  add_crash_report (quarantine, 1, HARMFUL_FINGERPRINT, 0);
  add_crash_report (quarantine, 2, HARMFUL_FINGERPRINT, 0);
  cr_assert_not (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  add_crash_report (quarantine, 3, HARMFUL_FINGERPRINT, 0);
  cr_assert_eq (lc_quarantine_ends_at (quarantine, HARMFUL_FINGERPRINT),
                START_TIME + 3 * LB_SEC + lc_quarantine_report_lifetime ());
  cr_assert_eq (lc_quarantine_count_fingerprints (quarantine), 1);
  cr_assert_not (is_quarantined (quarantine, HARMLESS_FINGERPRINT));
  lc_quarantine_free (quarantine);
}

/* Two instances that send the same request to one endpoint both report its crash. The reports must
 * count as one crash, however often and in whatever order they arrive. */
Test (quarantine, reports_of_one_crash_count_once)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  const LcCrashReport first = make_crash_report ("a", "e1", START_TIME, HARMFUL_FINGERPRINT, 0);
  const LcCrashReport second
      = make_crash_report ("b", "e1", START_TIME + 30 * LB_MSEC, HARMFUL_FINGERPRINT, 0);
  const LcCrashReport other
      = make_crash_report ("c", "e2", START_TIME + LB_SEC, HARMFUL_FINGERPRINT, 0);

  lc_quarantine_add_report (quarantine, &first, START_TIME + LB_SEC);
  lc_quarantine_add_report (quarantine, &other, START_TIME + LB_SEC);
  lc_quarantine_add_report (quarantine, &second, START_TIME + LB_SEC);
  lc_quarantine_add_report (quarantine, &second, START_TIME + LB_SEC);
  cr_assert_not (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  lc_quarantine_free (quarantine);
}

/* A harmless request is in flight together with a harmful one in three crashes, because it is
 * retried after each. Only the harmful request, which was also involved in a fourth crash, must be
 * quarantined. */
Test (quarantine, requests_beside_a_harmful_one_are_not_quarantined)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  add_crash_report (quarantine, 1, HARMFUL_FINGERPRINT, 0);
  add_crash_report (quarantine, 2, HARMFUL_FINGERPRINT, HARMLESS_FINGERPRINT);
  add_crash_report (quarantine, 3, HARMFUL_FINGERPRINT, HARMLESS_FINGERPRINT);
  add_crash_report (quarantine, 4, HARMLESS_FINGERPRINT, HARMFUL_FINGERPRINT);
  cr_assert (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  cr_assert_not (is_quarantined (quarantine, HARMLESS_FINGERPRINT));
  add_crash_report (quarantine, 5, HARMLESS_FINGERPRINT, 0);
  cr_assert_not (
      is_quarantined (quarantine, HARMLESS_FINGERPRINT),
      "the harmless request is quarantined: its crashes with the harmful one must not count");
  lc_quarantine_free (quarantine);
}

/* Two instances report the same crashes: one sent a harmless request, the other the harmful one,
 * and its reports arrive later. The quarantine of the harmless request must end when the late
 * reports arrive. */
Test (quarantine, late_reports_lift_a_wrong_quarantine)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  char id[16];

  for (int n = 2; n <= 4; n++)
    add_crash_report (quarantine, n, HARMLESS_FINGERPRINT, 0);
  cr_assert (is_quarantined (quarantine, HARMLESS_FINGERPRINT));
  for (int n = 1; n <= 4; n++)
    {
      snprintf (id, sizeof id, "late%d", n);
      LcCrashReport late = make_crash_report (id, n == 1 ? "e1" : "e2", START_TIME + n * LB_SEC,
                                              HARMFUL_FINGERPRINT, 0);
      snprintf (late.endpoint, sizeof late.endpoint, "e%d", n);
      lc_quarantine_add_report (quarantine, &late, START_TIME + 5 * LB_SEC);
    }
  cr_assert (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  cr_assert_not (is_quarantined (quarantine, HARMLESS_FINGERPRINT));
  lc_quarantine_free (quarantine);
}

/* Many callers send the same request, and all endpoints crash at once for another reason. An
 * instance that got an answer a second earlier must announce it, and then no instance may refuse
 * the request. */
Test (quarantine, request_answered_just_before_the_crashes_is_not_quarantined)
{
  LcQuarantine *here = lc_quarantine_new ();
  LcQuarantine *elsewhere = lc_quarantine_new ();
  LcFingerprint fingerprint = 0;
  LbTime answered_at = 0;

  lc_quarantine_record_answer (here, HARMLESS_FINGERPRINT, START_TIME);
  for (int n = 0; n < 3; n++)
    {
      char name[16];
      snprintf (name, sizeof name, "e%d", n);
      LcCrashReport crash
          = make_crash_report (name, name, START_TIME + LB_SEC, HARMLESS_FINGERPRINT, 0);
      lc_quarantine_add_report (here, &crash, crash.at);
      lc_quarantine_add_report (elsewhere, &crash, crash.at);
    }
  cr_assert_not (is_quarantined (here, HARMLESS_FINGERPRINT));
  cr_assert (is_quarantined (elsewhere, HARMLESS_FINGERPRINT));
  cr_assert (lc_quarantine_pop_clearance (here, &fingerprint, &answered_at));
  cr_assert_eq (fingerprint, HARMLESS_FINGERPRINT);
  cr_assert_eq (answered_at, START_TIME);
  cr_assert_not (lc_quarantine_pop_clearance (here, &fingerprint, &answered_at),
                 "a clearance must be announced only once");
  lc_quarantine_add_clearance (elsewhere, fingerprint, answered_at);
  cr_assert_not (is_quarantined (elsewhere, HARMLESS_FINGERPRINT));
  lc_quarantine_free (here);
  lc_quarantine_free (elsewhere);
}

/* A harmless request is in flight in two crashes and is then answered by a third endpoint. Crashes
 * before the answer must no longer count. Crashes long after it must count in full, since the
 * software of an endpoint may change. */
Test (quarantine, answer_clears_earlier_crashes)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  LcFingerprint fingerprint = 0;
  LbTime answered_at = 0;

  add_crash_report (quarantine, 1, HARMLESS_FINGERPRINT, 0);
  add_crash_report (quarantine, 2, HARMLESS_FINGERPRINT, 0);
  lc_quarantine_record_answer (quarantine, HARMLESS_FINGERPRINT, START_TIME + 2 * LB_SEC);
  cr_assert (lc_quarantine_pop_clearance (quarantine, &fingerprint, &answered_at));
  add_crash_report (quarantine, 10, HARMLESS_FINGERPRINT, 0);
  add_crash_report (quarantine, 11, HARMLESS_FINGERPRINT, 0);
  cr_assert_not (is_quarantined (quarantine, HARMLESS_FINGERPRINT));
  add_crash_report (quarantine, 12, HARMLESS_FINGERPRINT, 0);
  cr_assert (is_quarantined (quarantine, HARMLESS_FINGERPRINT));
  lc_quarantine_free (quarantine);
}

Test (quarantine, answers_to_unsuspected_requests_are_not_announced)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  LcFingerprint fingerprint = 0;
  LbTime answered_at = 0;

  for (int i = 0; i < 5000; i++)
    lc_quarantine_record_answer (quarantine, HARMLESS_FINGERPRINT + (LcFingerprint)i, START_TIME);
  cr_assert_not (lc_quarantine_pop_clearance (quarantine, &fingerprint, &answered_at));
  lc_quarantine_free (quarantine);
}

Test (quarantine, quarantine_ends_when_a_report_expires_or_is_withdrawn)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (int n = 1; n <= 3; n++)
    add_crash_report (quarantine, n, HARMFUL_FINGERPRINT, 0);
  lc_quarantine_expire (quarantine, START_TIME + LB_SEC + lc_quarantine_report_lifetime () - 1);
  cr_assert (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  lc_quarantine_withdraw_report (quarantine, "e2");
  cr_assert_not (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  add_crash_report (quarantine, 4, HARMFUL_FINGERPRINT, 0);
  cr_assert (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  lc_quarantine_expire (quarantine, START_TIME + LB_SEC + lc_quarantine_report_lifetime ());
  cr_assert_not (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  add_crash_report (quarantine, 2, HARMFUL_FINGERPRINT, 0);
  cr_assert (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  lc_quarantine_free (quarantine);
}

/* Hundreds of crashes for other reasons must not displace the reports that a quarantine is based
 * on. */
Test (quarantine, unrelated_crashes_do_not_end_a_quarantine)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (int n = 1; n <= 3; n++)
    add_crash_report (quarantine, n, HARMFUL_FINGERPRINT, 0);
  for (int n = 4; n < 1000; n++)
    add_crash_report (quarantine, n, HARMLESS_FINGERPRINT + (LcFingerprint)n, 0);
  cr_assert (is_quarantined (quarantine, HARMFUL_FINGERPRINT));
  cr_assert_eq (lc_quarantine_count_fingerprints (quarantine), 1);
  lc_quarantine_free (quarantine);
}

/* --- the outcome does not depend on the order of reports --- */

typedef struct
{
  LcCrashReport reports[MAX_TEST_REPORTS];
  size_t n;
} Reports;

/* Draws random crash reports. The harmful request is involved in all crashes, alone in the first;
 * other crashes also involve harmless requests. One or two instances report each crash, each with
 * its own requests only. */
static void
draw_random_reports (Reports *reports, gsl_rng *random, int n_crashes)
{
  reports->n = 0;
  for (int crash_index = 0; crash_index < n_crashes; crash_index++)
    {
      int n_instances = crash_index == 0 ? 1 : 1 + (int)gsl_rng_uniform_int (random, 2);
      for (int instance = 0; instance < n_instances; instance++)
        {
          LcFingerprint harmless = HARMLESS_FINGERPRINT + gsl_rng_uniform_int (random, 6);
          char name[24];
          snprintf (name, sizeof name, "e%d", crash_index);
          LcCrashReport crash
              = make_crash_report ("", name,
                                   START_TIME + crash_index * 5 * LB_SEC + instance * LB_MSEC,
                                   instance == 0 ? HARMFUL_FINGERPRINT : harmless, harmless);
          snprintf (crash.id, sizeof crash.id, "e%d-%d", crash_index, instance);
          if (crash_index == 0)
            crash.n_fingerprints = 1;
          reports->reports[reports->n++] = crash;
        }
    }
}

static LcQuarantine *
make_quarantine_from_reports (const Reports *reports)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (size_t i = 0; i < reports->n; i++)
    lc_quarantine_add_report (quarantine, &reports->reports[i], START_TIME + 100 * LB_SEC);
  return quarantine;
}

/* Two instances that receive the same reports in different orders must quarantine the same
 * requests: otherwise one would refuse what the other forwards. Only the harmful request, which is
 * involved in every crash, may be quarantined. */
Test (quarantine, order_of_reports_does_not_change_the_outcome)
{
  for (unsigned long seed = 1; seed <= 200; seed++)
    {
      gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
      Reports reports;

      gsl_rng_set (random, seed);
      draw_random_reports (&reports, random, 3 + (int)gsl_rng_uniform_int (random, 6));
      LcQuarantine *one = make_quarantine_from_reports (&reports);
      gsl_ran_shuffle (random, reports.reports, reports.n, sizeof reports.reports[0]);
      LcQuarantine *other = make_quarantine_from_reports (&reports);
      cr_assert (is_quarantined (one, HARMFUL_FINGERPRINT),
                 "seed %lu: the harmful request is not quarantined", seed);
      cr_assert_eq (lc_quarantine_ends_at (one, HARMFUL_FINGERPRINT),
                    lc_quarantine_ends_at (other, HARMFUL_FINGERPRINT),
                    "seed %lu: expected the same end of the quarantine, got different ones", seed);
      cr_assert_eq (lc_quarantine_count_fingerprints (one), 1,
                    "seed %lu: more or fewer than 1 fingerprint is quarantined", seed);
      cr_assert_eq (lc_quarantine_count_fingerprints (other), 1,
                    "seed %lu: more or fewer than 1 fingerprint is quarantined", seed);
      lc_quarantine_free (one);
      lc_quarantine_free (other);
      gsl_rng_free (random);
    }
}
