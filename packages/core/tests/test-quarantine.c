#include "lc-quarantine.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START (1000 * LB_SEC)
#define BAD 1
#define GOOD 100
#define MAX_REPORTS 64

static LcCrashReport
report (const char *id, const char *endpoint, LbTime at, LcFingerprint first, LcFingerprint second)
{
  LcCrashReport crash
      = { .at = at, .fingerprints = { first, second }, .n_fingerprints = second ? 2 : 1 };

  LB_COPY (crash.id, id);
  LB_COPY (crash.endpoint, endpoint);
  return crash;
}

/* One instance's report of the end of endpoint number n, all of them a second apart. */
static void
end_under (LcQuarantine *quarantine, int n, LcFingerprint first, LcFingerprint second)
{
  char name[16];

  snprintf (name, sizeof name, "e%d", n);
  LcCrashReport crash = report (name, name, START + n * LB_SEC, first, second);
  lc_quarantine_add_report (quarantine, &crash, crash.at);
}

static bool
is_kept_out (const LcQuarantine *quarantine, LcFingerprint content)
{
  return lc_quarantine_ends_at (quarantine, content) > 0;
}

/* A request under which two endpoints ended runs on, since that may be chance; the third end keeps
 * it out for as long as that end counts. */
Test (quarantine, a_third_end_keeps_a_content_out)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  end_under (quarantine, 1, BAD, 0);
  end_under (quarantine, 2, BAD, 0);
  cr_assert_not (is_kept_out (quarantine, BAD));
  end_under (quarantine, 3, BAD, 0);
  cr_assert_eq (lc_quarantine_ends_at (quarantine, BAD),
                START + 3 * LB_SEC + lc_quarantine_report_lifetime ());
  cr_assert_eq (lc_quarantine_count (quarantine), 1);
  cr_assert_not (is_kept_out (quarantine, GOOD));
  lc_quarantine_free (quarantine);
}

/* Two instances that send the same to one endpoint both see it end: that is one end, however often
 * and in whatever order their reports are heard. */
Test (quarantine, reports_of_one_end_count_once)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  const LcCrashReport first = report ("a", "e1", START, BAD, 0);
  const LcCrashReport second = report ("b", "e1", START + 30 * LB_MSEC, BAD, 0);
  const LcCrashReport other = report ("c", "e2", START + LB_SEC, BAD, 0);

  lc_quarantine_add_report (quarantine, &first, START + LB_SEC);
  lc_quarantine_add_report (quarantine, &other, START + LB_SEC);
  lc_quarantine_add_report (quarantine, &second, START + LB_SEC);
  lc_quarantine_add_report (quarantine, &second, START + LB_SEC);
  cr_assert_not (is_kept_out (quarantine, BAD));
  lc_quarantine_free (quarantine);
}

/* A good request is at an endpoint with the bad one, breaks with it, is tried again and meets it
 * again, three times. Only the bad one is kept out: it was under a fourth end too. */
Test (quarantine, what_broke_beside_the_bad_one_is_not_blamed)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  end_under (quarantine, 1, BAD, 0);
  end_under (quarantine, 2, BAD, GOOD);
  end_under (quarantine, 3, BAD, GOOD);
  end_under (quarantine, 4, GOOD, BAD);
  cr_assert (is_kept_out (quarantine, BAD));
  cr_assert_not (is_kept_out (quarantine, GOOD));
  end_under (quarantine, 5, GOOD, 0);
  cr_assert_not (is_kept_out (quarantine, GOOD), "its ends with the bad one do not count");
  lc_quarantine_free (quarantine);
}

/* The instance that the good request was at and the one that the bad request was at both tell of
 * the same ends, and the first one is heard sooner. For a moment the good one is alone under three
 * ends; that has to pass as soon as the others' reports are there. */
Test (quarantine, a_verdict_that_came_too_soon_is_taken_back)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  char id[16];

  for (int n = 2; n <= 4; n++)
    end_under (quarantine, n, GOOD, 0);
  cr_assert (is_kept_out (quarantine, GOOD));
  for (int n = 1; n <= 4; n++)
    {
      snprintf (id, sizeof id, "late%d", n);
      LcCrashReport late = report (id, n == 1 ? "e1" : "e2", START + n * LB_SEC, BAD, 0);
      snprintf (late.endpoint, sizeof late.endpoint, "e%d", n);
      lc_quarantine_add_report (quarantine, &late, START + 5 * LB_SEC);
    }
  cr_assert (is_kept_out (quarantine, BAD));
  cr_assert_not (is_kept_out (quarantine, GOOD));
  lc_quarantine_free (quarantine);
}

/* Many callers ask the same thing, and all endpoints end at once because somebody pulled a plug.
 * The instance that has answered it a moment ago says so, and nobody is refused. */
Test (quarantine, what_was_answered_just_before_is_not_blamed)
{
  LcQuarantine *here = lc_quarantine_new ();
  LcQuarantine *elsewhere = lc_quarantine_new ();
  LcFingerprint content = 0;
  LbTime at = 0;

  lc_quarantine_record_answer (here, GOOD, START);
  for (int n = 0; n < 3; n++)
    {
      char name[16];
      snprintf (name, sizeof name, "e%d", n);
      LcCrashReport crash = report (name, name, START + LB_SEC, GOOD, 0);
      lc_quarantine_add_report (here, &crash, crash.at);
      lc_quarantine_add_report (elsewhere, &crash, crash.at);
    }
  cr_assert_not (is_kept_out (here, GOOD));
  cr_assert (is_kept_out (elsewhere, GOOD));
  cr_assert (lc_quarantine_pop_clearance (here, &content, &at));
  cr_assert_eq (content, GOOD);
  cr_assert_eq (at, START);
  cr_assert_not (lc_quarantine_pop_clearance (here, &content, &at), "told once");
  lc_quarantine_add_clearance (elsewhere, content, at);
  cr_assert_not (is_kept_out (elsewhere, GOOD));
  lc_quarantine_free (here);
  lc_quarantine_free (elsewhere);
}

/* A good request broke twice and was answered at its third endpoint. What ends later counts from
 * zero; ends long after an answer count in full, since an endpoint's software may change. */
Test (quarantine, an_answer_clears_what_came_before)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  LcFingerprint content = 0;
  LbTime at = 0;

  end_under (quarantine, 1, GOOD, 0);
  end_under (quarantine, 2, GOOD, 0);
  lc_quarantine_record_answer (quarantine, GOOD, START + 2 * LB_SEC);
  cr_assert (lc_quarantine_pop_clearance (quarantine, &content, &at));
  end_under (quarantine, 10, GOOD, 0);
  end_under (quarantine, 11, GOOD, 0);
  cr_assert_not (is_kept_out (quarantine, GOOD));
  end_under (quarantine, 12, GOOD, 0);
  cr_assert (is_kept_out (quarantine, GOOD));
  lc_quarantine_free (quarantine);
}

Test (quarantine, what_nobody_suspects_is_not_told)
{
  LcQuarantine *quarantine = lc_quarantine_new ();
  LcFingerprint content = 0;
  LbTime at = 0;

  for (int i = 0; i < 5000; i++)
    lc_quarantine_record_answer (quarantine, GOOD + (LcFingerprint)i, START);
  cr_assert_not (lc_quarantine_pop_clearance (quarantine, &content, &at));
  lc_quarantine_free (quarantine);
}

Test (quarantine, a_content_runs_again_when_its_term_is_over_or_a_report_is_taken_back)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (int n = 1; n <= 3; n++)
    end_under (quarantine, n, BAD, 0);
  lc_quarantine_expire (quarantine, START + LB_SEC + lc_quarantine_report_lifetime () - 1);
  cr_assert (is_kept_out (quarantine, BAD));
  lc_quarantine_withdraw_report (quarantine, "e2");
  cr_assert_not (is_kept_out (quarantine, BAD));
  end_under (quarantine, 4, BAD, 0);
  cr_assert (is_kept_out (quarantine, BAD));
  lc_quarantine_expire (quarantine, START + LB_SEC + lc_quarantine_report_lifetime ());
  cr_assert_not (is_kept_out (quarantine, BAD));
  end_under (quarantine, 2, BAD, 0);
  cr_assert (is_kept_out (quarantine, BAD));
  lc_quarantine_free (quarantine);
}

/* Endpoints end by the hundred for other reasons. The reports that keep a bad request out stay. */
Test (quarantine, many_ends_do_not_let_a_bad_one_go)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (int n = 1; n <= 3; n++)
    end_under (quarantine, n, BAD, 0);
  for (int n = 4; n < 1000; n++)
    end_under (quarantine, n, GOOD + (LcFingerprint)n, 0);
  cr_assert (is_kept_out (quarantine, BAD));
  cr_assert_eq (lc_quarantine_count (quarantine), 1);
  lc_quarantine_free (quarantine);
}

/* --- all orders --- */

typedef struct
{
  LcCrashReport reports[MAX_REPORTS];
  size_t n;
} Reports;

/* The bad one is under all ends, alone under the first, others are beside it now and then; each end
 * is told by one or two instances, of which each knows a part. */
static void
draw_reports (Reports *reports, gsl_rng *random, int n_ends)
{
  reports->n = 0;
  for (int end = 0; end < n_ends; end++)
    {
      int parts = end == 0 ? 1 : 1 + (int)gsl_rng_uniform_int (random, 2);
      for (int part = 0; part < parts; part++)
        {
          LcFingerprint beside = GOOD + gsl_rng_uniform_int (random, 6);
          char name[24];
          snprintf (name, sizeof name, "e%d", end);
          LcCrashReport crash = report ("", name, START + end * 5 * LB_SEC + part * LB_MSEC,
                                        part == 0 ? BAD : beside, beside);
          snprintf (crash.id, sizeof crash.id, "e%d-%d", end, part);
          if (end == 0)
            crash.n_fingerprints = 1;
          reports->reports[reports->n++] = crash;
        }
    }
}

static LcQuarantine *
hear_all (const Reports *reports)
{
  LcQuarantine *quarantine = lc_quarantine_new ();

  for (size_t i = 0; i < reports->n; i++)
    lc_quarantine_add_report (quarantine, &reports->reports[i], START + 100 * LB_SEC);
  return quarantine;
}

/* Two instances that heard the same in another order must not differ: one would refuse what the
 * other sends on. And only the bad one, which alone is under every end, is kept out. */
Test (quarantine, all_instances_come_to_the_same_verdict)
{
  for (unsigned long seed = 1; seed <= 200; seed++)
    {
      gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
      Reports reports;

      gsl_rng_set (random, seed);
      draw_reports (&reports, random, 3 + (int)gsl_rng_uniform_int (random, 6));
      LcQuarantine *one = hear_all (&reports);
      gsl_ran_shuffle (random, reports.reports, reports.n, sizeof reports.reports[0]);
      LcQuarantine *other = hear_all (&reports);
      cr_assert (is_kept_out (one, BAD), "seed %lu", seed);
      cr_assert_eq (lc_quarantine_ends_at (one, BAD), lc_quarantine_ends_at (other, BAD),
                    "seed %lu", seed);
      cr_assert_eq (lc_quarantine_count (one), 1, "seed %lu", seed);
      cr_assert_eq (lc_quarantine_count (other), 1, "seed %lu", seed);
      lc_quarantine_free (one);
      lc_quarantine_free (other);
      gsl_rng_free (random);
    }
}
