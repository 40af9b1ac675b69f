#include "lc-quarantine.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START (1000 * LB_SEC)
#define HARMFUL 1
#define HARMLESS 100
#define MAX_REPORTS 64

static LcCrashReport
make_report (const char *id,
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

/* Reports the crash of endpoint n, n seconds after START, by one instance. */
static void
report_crash (LcQuarantine *quarantine, int n, LcFingerprint first, LcFingerprint second)
{
  char name[16];

  snprintf (name, sizeof name, "e%d", n);
  LcCrashReport crash = make_report (name, name, START + n * LB_SEC, first, second);
  lc_quarantine_add_report (quarantine, &crash, crash.at);
}

static bool
is_quarantined (const LcQuarantine *quarantine, LcFingerprint fingerprint)
{
  return lc_quarantine_ends_at (quarantine, fingerprint) > 0;
}

/* Two crashes under a request may be chance; the third one quarantines it for the lifetime of its
 * report. */
Test (quarantine, third_crash_quarantines_a_request)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  report_crash (quarantine, 1, HARMFUL, 0);
  report_crash (quarantine, 2, HARMFUL, 0);
  cr_assert_not (is_quarantined (quarantine, HARMFUL));
  report_crash (quarantine, 3, HARMFUL, 0);
  cr_assert_eq (lc_quarantine_ends_at (quarantine, HARMFUL),
                START + 3 * LB_SEC + lc_quarantine_report_lifetime ());
  cr_assert_eq (lc_quarantine_count_fingerprints (quarantine), 1);
  cr_assert_not (is_quarantined (quarantine, HARMLESS));
  lc_quarantine_free (quarantine);
}

/* Two instances that send the same request to one endpoint both report its crash. That is one
 * crash, however often and in whatever order the reports arrive. */
Test (quarantine, reports_of_one_crash_count_once)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  const LcCrashReport first = make_report ("a", "e1", START, HARMFUL, 0);
  const LcCrashReport second = make_report ("b", "e1", START + 30 * LB_MSEC, HARMFUL, 0);
  const LcCrashReport other = make_report ("c", "e2", START + LB_SEC, HARMFUL, 0);

  lc_quarantine_add_report (quarantine, &first, START + LB_SEC);
  lc_quarantine_add_report (quarantine, &other, START + LB_SEC);
  lc_quarantine_add_report (quarantine, &second, START + LB_SEC);
  lc_quarantine_add_report (quarantine, &second, START + LB_SEC);
  cr_assert_not (is_quarantined (quarantine, HARMFUL));
  lc_quarantine_free (quarantine);
}

/* A harmless request is processed beside the harmful one, fails with it, is retried and meets it
 * again, three times. Only the harmful one, which was involved in a fourth crash, is
 * quarantined. */
Test (quarantine, requests_beside_a_harmful_one_are_not_quarantined)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  report_crash (quarantine, 1, HARMFUL, 0);
  report_crash (quarantine, 2, HARMFUL, HARMLESS);
  report_crash (quarantine, 3, HARMFUL, HARMLESS);
  report_crash (quarantine, 4, HARMLESS, HARMFUL);
  cr_assert (is_quarantined (quarantine, HARMFUL));
  cr_assert_not (is_quarantined (quarantine, HARMLESS));
  report_crash (quarantine, 5, HARMLESS, 0);
  cr_assert_not (is_quarantined (quarantine, HARMLESS),
                 "its crashes with the harmful request must not count");
  lc_quarantine_free (quarantine);
}

/* Two instances, one with the harmless and one with the harmful request, report the same crashes,
 * and the reports of the first arrive sooner. The quarantine of the harmless request must end once
 * the other reports arrive. */
Test (quarantine, late_reports_lift_a_wrong_quarantine)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  char id[16];

  for (int n = 2; n <= 4; n++)
    report_crash (quarantine, n, HARMLESS, 0);
  cr_assert (is_quarantined (quarantine, HARMLESS));
  for (int n = 1; n <= 4; n++)
    {
      snprintf (id, sizeof id, "late%d", n);
      LcCrashReport late = make_report (id, n == 1 ? "e1" : "e2", START + n * LB_SEC, HARMFUL, 0);
      snprintf (late.endpoint, sizeof late.endpoint, "e%d", n);
      lc_quarantine_add_report (quarantine, &late, START + 5 * LB_SEC);
    }
  cr_assert (is_quarantined (quarantine, HARMFUL));
  cr_assert_not (is_quarantined (quarantine, HARMLESS));
  lc_quarantine_free (quarantine);
}

/* Many callers send the same request, and all endpoints go down at once for another reason. An
 * instance that received an answer a moment before announces it, and the request is not refused. */
Test (quarantine, request_answered_just_before_the_crashes_is_not_quarantined)
{
  LcQuarantine *here = lc_quarantine_new ();
  LcQuarantine *elsewhere = lc_quarantine_new ();
  LcFingerprint fingerprint = 0;
  LbTime answered_at = 0;

  lc_quarantine_record_answer (here, HARMLESS, START);
  for (int n = 0; n < 3; n++)
    {
      char name[16];
      snprintf (name, sizeof name, "e%d", n);
      LcCrashReport crash = make_report (name, name, START + LB_SEC, HARMLESS, 0);
      lc_quarantine_add_report (here, &crash, crash.at);
      lc_quarantine_add_report (elsewhere, &crash, crash.at);
    }
  cr_assert_not (is_quarantined (here, HARMLESS));
  cr_assert (is_quarantined (elsewhere, HARMLESS));
  cr_assert (lc_quarantine_pop_clearance (here, &fingerprint, &answered_at));
  cr_assert_eq (fingerprint, HARMLESS);
  cr_assert_eq (answered_at, START);
  cr_assert_not (lc_quarantine_pop_clearance (here, &fingerprint, &answered_at),
                 "a clearance must be announced only once");
  lc_quarantine_add_clearance (elsewhere, fingerprint, answered_at);
  cr_assert_not (is_quarantined (elsewhere, HARMLESS));
  lc_quarantine_free (here);
  lc_quarantine_free (elsewhere);
}

/* A harmless request fails in two crashes and is answered by a third endpoint. Later crashes are
 * counted from zero; long after the answer they count in full, since the software of an endpoint
 * may change. */
Test (quarantine, answer_clears_earlier_crashes)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  LcFingerprint fingerprint = 0;
  LbTime answered_at = 0;

  report_crash (quarantine, 1, HARMLESS, 0);
  report_crash (quarantine, 2, HARMLESS, 0);
  lc_quarantine_record_answer (quarantine, HARMLESS, START + 2 * LB_SEC);
  cr_assert (lc_quarantine_pop_clearance (quarantine, &fingerprint, &answered_at));
  report_crash (quarantine, 10, HARMLESS, 0);
  report_crash (quarantine, 11, HARMLESS, 0);
  cr_assert_not (is_quarantined (quarantine, HARMLESS));
  report_crash (quarantine, 12, HARMLESS, 0);
  cr_assert (is_quarantined (quarantine, HARMLESS));
  lc_quarantine_free (quarantine);
}

Test (quarantine, answers_to_unsuspected_requests_are_not_announced)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  LcFingerprint fingerprint = 0;
  LbTime answered_at = 0;

  for (int i = 0; i < 5000; i++)
    lc_quarantine_record_answer (quarantine, HARMLESS + (LcFingerprint)i, START);
  cr_assert_not (lc_quarantine_pop_clearance (quarantine, &fingerprint, &answered_at));
  lc_quarantine_free (quarantine);
}

Test (quarantine, quarantine_ends_when_a_report_expires_or_is_withdrawn)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (int n = 1; n <= 3; n++)
    report_crash (quarantine, n, HARMFUL, 0);
  lc_quarantine_expire (quarantine, START + LB_SEC + lc_quarantine_report_lifetime () - 1);
  cr_assert (is_quarantined (quarantine, HARMFUL));
  lc_quarantine_withdraw_report (quarantine, "e2");
  cr_assert_not (is_quarantined (quarantine, HARMFUL));
  report_crash (quarantine, 4, HARMFUL, 0);
  cr_assert (is_quarantined (quarantine, HARMFUL));
  lc_quarantine_expire (quarantine, START + LB_SEC + lc_quarantine_report_lifetime ());
  cr_assert_not (is_quarantined (quarantine, HARMFUL));
  report_crash (quarantine, 2, HARMFUL, 0);
  cr_assert (is_quarantined (quarantine, HARMFUL));
  lc_quarantine_free (quarantine);
}

/* Hundreds of crashes for other reasons must not displace the reports that a quarantine is based
 * on. */
Test (quarantine, unrelated_crashes_do_not_end_a_quarantine)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (int n = 1; n <= 3; n++)
    report_crash (quarantine, n, HARMFUL, 0);
  for (int n = 4; n < 1000; n++)
    report_crash (quarantine, n, HARMLESS + (LcFingerprint)n, 0);
  cr_assert (is_quarantined (quarantine, HARMFUL));
  cr_assert_eq (lc_quarantine_count_fingerprints (quarantine), 1);
  lc_quarantine_free (quarantine);
}

/* --- order of reports --- */

typedef struct
{
  LcCrashReport reports[MAX_REPORTS];
  size_t n;
} Reports;

/* The harmful request is involved in all crashes, alone in the first; harmless ones are beside it
 * in others. One or two instances report each crash, each with its own requests only. */
static void
draw_random_reports (Reports *reports, gsl_rng *random, int n_crashes)
{
  reports->n = 0;
  for (int crash_index = 0; crash_index < n_crashes; crash_index++)
    {
      int n_instances = crash_index == 0 ? 1 : 1 + (int)gsl_rng_uniform_int (random, 2);
      for (int instance = 0; instance < n_instances; instance++)
        {
          LcFingerprint harmless = HARMLESS + gsl_rng_uniform_int (random, 6);
          char name[24];
          snprintf (name, sizeof name, "e%d", crash_index);
          LcCrashReport crash
              = make_report ("", name, START + crash_index * 5 * LB_SEC + instance * LB_MSEC,
                             instance == 0 ? HARMFUL : harmless, harmless);
          snprintf (crash.id, sizeof crash.id, "e%d-%d", crash_index, instance);
          if (crash_index == 0)
            crash.n_fingerprints = 1;
          reports->reports[reports->n++] = crash;
        }
    }
}

static LcQuarantine *
apply_reports (const Reports *reports)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (size_t i = 0; i < reports->n; i++)
    lc_quarantine_add_report (quarantine, &reports->reports[i], START + 100 * LB_SEC);
  return quarantine;
}

/* Two instances that received the same reports in another order must not differ: one would refuse
 * what the other forwards. Only the harmful request, which alone is involved in every crash, is
 * quarantined. */
Test (quarantine, order_of_reports_does_not_change_the_outcome)
{
  for (unsigned long seed = 1; seed <= 200; seed++)
    {
      gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
      Reports reports;

      gsl_rng_set (random, seed);
      draw_random_reports (&reports, random, 3 + (int)gsl_rng_uniform_int (random, 6));
      LcQuarantine *one = apply_reports (&reports);
      gsl_ran_shuffle (random, reports.reports, reports.n, sizeof reports.reports[0]);
      LcQuarantine *other = apply_reports (&reports);
      cr_assert (is_quarantined (one, HARMFUL), "seed %lu", seed);
      cr_assert_eq (lc_quarantine_ends_at (one, HARMFUL), lc_quarantine_ends_at (other, HARMFUL),
                    "seed %lu", seed);
      cr_assert_eq (lc_quarantine_count_fingerprints (one), 1, "seed %lu", seed);
      cr_assert_eq (lc_quarantine_count_fingerprints (other), 1, "seed %lu", seed);
      lc_quarantine_free (one);
      lc_quarantine_free (other);
      gsl_rng_free (random);
    }
}
