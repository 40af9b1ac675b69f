#include "lc-crash-log.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-list.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Endpoint crashes after which a request that was in flight in all of them is quarantined. One or
 * two may be chance: the next endpoint that gets the request may crash for another reason. */
#define MIN_CRASHES 3
/* How long a crash report counts. A caller that repeats a harmful request for hours causes three
 * endpoint restarts an hour. A request that was quarantined wrongly, or whose fault was repaired,
 * is allowed again within an hour. */
#define REPORT_LIFETIME (3600 * LB_SEC)
/* A batch's request under which endpoints crashed is postponed after the crash that quarantines it
 * by the first delay, which doubles with each further crash. The longest delay is below the 5 s
 * within which a trainer may expect an item of a step to run once the endpoints are back. */
#define FIRST_POSTPONEMENT LB_SEC
#define MAX_POSTPONEMENT (4 * LB_SEC)
/* An answer proves the request harmless. The answer also clears the request of crashes up to this
 * long after the answer, because many callers may send the same request and all endpoints may crash
 * at once for another reason. */
#define CLEARANCE_WINDOW (2 * LB_SEC)
/* Number of recorded answers: five seconds of answers at two hundred a second on one instance. */
#define MAX_RECENT_ANSWERS 1024

/* A fingerprint that occurs in crash reports, with the number of its crashes. */
typedef struct
{
  UT_hash_handle hh;
  LcFingerprint fingerprint;
  int n_crashes; /* number of crashes, except those attributed to a quarantined fingerprint */
  const LcCrash *last_counted; /* the last crash that was counted for this suspect */
  LbTime threshold_at;         /* when the MIN_CRASHES-th counted crash happened */
  LbTime quarantined_until;    /* end of the quarantine; 0: not in quarantine */
  int n_attributed;            /* number of crashes that are attributed to this suspect */
  LbTime last_attributed_at;   /* time of the last of these crashes */
} Suspect;

typedef struct
{
  UT_hash_handle hh;
  LcFingerprint fingerprint;
  LbTime answered_at;
} Clearance;

typedef struct
{
  LcFingerprint fingerprint;
  LbTime answered_at;
} RecentAnswer;

struct LcQuarantine
{
  LcCrashLog log;
  Suspect *suspects;
  Clearance *clearances;
  RecentAnswer answers[MAX_RECENT_ANSWERS]; /* ring buffer of the last answers to requests of this
                                               instance */
  size_t next_answer;
  LbList pending_clearances; /* fingerprints proved harmless (PendingClearance), to be announced to
                                the other instances */
};

typedef struct
{
  LbLink link;
  LcFingerprint fingerprint;
  LbTime answered_at;
} PendingClearance;

static LbMetric quarantined_requests
    = LB_GAUGE_INIT ("lentilspindle_quarantined_requests",
                     NULL,
                     "Contents of requests that are kept from endpoints");

LcQuarantine *
lc_quarantine_new (void)
{
  LcQuarantine *quarantine = LB_NEW (LcQuarantine);

  lc_crash_log_init (&quarantine->log);
  lb_list_init (&quarantine->pending_clearances);
  return quarantine;
}

static void
drop_all_suspects (LcQuarantine *quarantine)
{
  Suspect *suspect, *next;

  HASH_ITER (hh, quarantine->suspects, suspect, next)
  {
    HASH_DELETE (hh, quarantine->suspects, suspect);
    free (suspect);
  }
}

static void
drop_clearance (LcQuarantine *quarantine, Clearance *clearance)
{
  HASH_DELETE (hh, quarantine->clearances, clearance);
  free (clearance);
}

void
lc_quarantine_free (LcQuarantine *quarantine)
{
  Clearance *clearance, *next;
  LbLink *link;

  if (!quarantine)
    return;
  drop_all_suspects (quarantine);
  HASH_ITER (hh, quarantine->clearances, clearance, next)
  {
    drop_clearance (quarantine, clearance);
  }
  lc_crash_log_clear (&quarantine->log);
  while ((link = lb_list_pop (&quarantine->pending_clearances)))
    free (LB_CONTAINER (link, PendingClearance, link));
  free (quarantine);
}

/* --- fingerprints suspected of crashes --- */

static Suspect *
find_suspect (const LcQuarantine *quarantine, LcFingerprint fingerprint)
{
  Suspect *suspect = NULL;

  HASH_FIND (hh, quarantine->suspects, &fingerprint, sizeof fingerprint, suspect);
  return suspect;
}

static Clearance *
find_clearance (const LcQuarantine *quarantine, LcFingerprint fingerprint)
{
  Clearance *clearance = NULL;

  HASH_FIND (hh, quarantine->clearances, &fingerprint, sizeof fingerprint, clearance);
  return clearance;
}

static bool
is_cleared_of_crash (const LcQuarantine *quarantine, LcFingerprint fingerprint, LbTime crashed_at)
{
  const Clearance *clearance = find_clearance (quarantine, fingerprint);

  return clearance && crashed_at <= clearance->answered_at + CLEARANCE_WINDOW;
}

static Suspect *
find_or_add_suspect (LcQuarantine *quarantine, LcFingerprint fingerprint)
{
  Suspect *suspect = find_suspect (quarantine, fingerprint);

  if (suspect)
    return suspect;
  suspect = LB_NEW (Suspect);
  suspect->fingerprint = fingerprint;
  HASH_ADD (hh, quarantine->suspects, fingerprint, sizeof suspect->fingerprint, suspect);
  return suspect;
}

static void
count_crash_of_suspect (Suspect *suspect, const LcCrash *crash)
{
  if (suspect->last_counted == crash)
    return;
  suspect->last_counted = crash;
  suspect->n_crashes++;
  if (suspect->n_crashes == MIN_CRASHES)
    suspect->threshold_at = crash->crashed_at;
}

static void
count_crash_for_fingerprints (LcQuarantine *quarantine, const LcCrash *crash)
{
  LB_LIST_FOREACH (&crash->entries, LcReportEntry, link, entry)
  {
    const LcCrashReport *report = &entry->report;
    for (size_t i = 0; i < report->n_fingerprints; i++)
      if (!is_cleared_of_crash (quarantine, report->fingerprints[i], crash->crashed_at))
        count_crash_of_suspect (find_or_add_suspect (quarantine, report->fingerprints[i]), crash);
  }
}

/* Counts the crashes of each suspect, except crashes attributed to a quarantined suspect. */
static void
recount_crashes (LcQuarantine *quarantine)
{
  for (Suspect *suspect = quarantine->suspects; suspect; suspect = suspect->hh.next)
    {
      suspect->n_crashes = 0;
      suspect->last_counted = NULL;
    }
  LB_LIST_FOREACH (&quarantine->log.crashes, LcCrash, link, crash)
  {
    if (!crash->is_attributed)
      count_crash_for_fingerprints (quarantine, crash);
  }
}

/* Returns a positive number if a is the worse suspect: it has more crashes or, if equal, reached
 * MIN_CRASHES earlier. 0: both are equally bad. */
static int
compare_suspects (const Suspect *a, const Suspect *b)
{
  if (a->n_crashes != b->n_crashes)
    return a->n_crashes > b->n_crashes ? 1 : -1;
  if (a->threshold_at != b->threshold_at)
    return a->threshold_at < b->threshold_at ? 1 : -1;
  return 0;
}

/* Returns NULL if no suspect has MIN_CRASHES crashes. */
static const Suspect *
find_worst_suspect (const LcQuarantine *quarantine)
{
  const Suspect *worst_suspect = NULL;

  for (const Suspect *suspect = quarantine->suspects; suspect; suspect = suspect->hh.next)
    if (suspect->n_crashes >= MIN_CRASHES
        && (!worst_suspect || compare_suspects (suspect, worst_suspect) > 0))
      worst_suspect = suspect;
  return worst_suspect;
}

static void
quarantine_suspect (LcQuarantine *quarantine, Suspect *suspect)
{
  LB_LIST_FOREACH (&quarantine->log.crashes, LcCrash, link, crash)
  {
    if (!lc_crash_involves (crash, suspect->fingerprint)
        || is_cleared_of_crash (quarantine, suspect->fingerprint, crash->crashed_at))
      continue;
    crash->is_attributed = true;
    suspect->n_attributed++;
    if (crash->crashed_at > suspect->last_attributed_at)
      suspect->last_attributed_at = crash->crashed_at;
    suspect->quarantined_until = crash->crashed_at + REPORT_LIFETIME;
  }
}

static void
quarantine_equal_suspects (LcQuarantine *quarantine, const Suspect *worst_suspect)
{
  const Suspect reference = *worst_suspect;

  for (Suspect *suspect = quarantine->suspects; suspect; suspect = suspect->hh.next)
    if (compare_suspects (suspect, &reference) == 0)
      quarantine_suspect (quarantine, suspect);
}

/* Guards against quarantining requests for crashes that another request caused. All requests in
 * flight at an endpoint fail when it crashes, and harmless ones may meet the harmful one again
 * after a retry. Only the harmful one is involved in every crash. So the suspect with the most
 * crashes is quarantined first (if several, the first to reach MIN_CRASHES), and its crashes are
 * not counted against others. */
static void
recompute_quarantine (LcQuarantine *quarantine)
{
  const Suspect *worst_suspect;

  drop_all_suspects (quarantine);
  LB_LIST_FOREACH (&quarantine->log.crashes, LcCrash, link, crash)
  {
    crash->is_attributed = false;
  }
  recount_crashes (quarantine);
  while ((worst_suspect = find_worst_suspect (quarantine)))
    {
      quarantine_equal_suspects (quarantine, worst_suspect);
      recount_crashes (quarantine);
    }
  lb_metric_set (&quarantined_requests, (int64_t)lc_quarantine_count_fingerprints (quarantine));
}

/* --- crash reports --- */

static void clear_and_announce_fingerprint (LcQuarantine *quarantine,
                                            LcFingerprint fingerprint,
                                            LbTime answered_at);

/* Records as harmless the fingerprints of the crash report whose requests were answered on this
 * instance shortly before the crash or after the crash. */
static void
clear_recently_answered_fingerprints (LcQuarantine *quarantine, const LcCrashReport *report)
{
  for (size_t i = 0; i < MAX_RECENT_ANSWERS; i++)
    {
      const RecentAnswer *answer = &quarantine->answers[i];
      if (answer->fingerprint && report->at <= answer->answered_at + CLEARANCE_WINDOW
          && lc_fingerprint_is_among (answer->fingerprint, report->fingerprints,
                                      report->n_fingerprints))
        clear_and_announce_fingerprint (quarantine, answer->fingerprint, answer->answered_at);
    }
}

static void
log_quarantined_requests (const LcQuarantine *quarantine, const LcCrashReport *report, LbTime now)
{
  char text[LC_FINGERPRINT_TEXT_SIZE];

  for (size_t i = 0; i < report->n_fingerprints; i++)
    {
      LbTime until = lc_quarantine_ends_at (quarantine, report->fingerprints[i]);
      if (until == 0)
        continue;
      lc_fingerprint_to_text (report->fingerprints[i], text);
      lb_log (LB_LOG_WARNING, "request_quarantined", LB_TEXT ("content", text),
              LB_TEXT ("endpoint", report->endpoint), LB_TEXT ("report", report->id),
              LB_INT ("crashes_to_blame", MIN_CRASHES), LB_INT ("for_s", (until - now) / LB_SEC));
    }
}

void
lc_quarantine_add_report (LcQuarantine *quarantine, const LcCrashReport *report, LbTime now)
{
  if (report->at + REPORT_LIFETIME <= now || !lc_crash_log_add_report (&quarantine->log, report))
    return;
  clear_recently_answered_fingerprints (quarantine, report);
  recompute_quarantine (quarantine);
  log_quarantined_requests (quarantine, report, now);
}

void
lc_quarantine_withdraw_report (LcQuarantine *quarantine, const char *id)
{
  if (lc_crash_log_withdraw_report (&quarantine->log, id))
    recompute_quarantine (quarantine);
}

/* --- answers, which clear fingerprints --- */

void
lc_quarantine_add_clearance (LcQuarantine *quarantine,
                             LcFingerprint fingerprint,
                             LbTime answered_at)
{
  Clearance *clearance = find_clearance (quarantine, fingerprint);

  if (!clearance)
    {
      clearance = LB_NEW (Clearance);
      clearance->fingerprint = fingerprint;
      HASH_ADD (hh, quarantine->clearances, fingerprint, sizeof clearance->fingerprint, clearance);
    }
  if (answered_at > clearance->answered_at)
    clearance->answered_at = answered_at;
  recompute_quarantine (quarantine);
}

static void
clear_and_announce_fingerprint (LcQuarantine *quarantine,
                                LcFingerprint fingerprint,
                                LbTime answered_at)
{
  const Clearance *known = find_clearance (quarantine, fingerprint);
  PendingClearance *pending = NULL;

  if (known && known->answered_at >= answered_at)
    return;
  pending = LB_NEW (PendingClearance);
  pending->fingerprint = fingerprint;
  pending->answered_at = answered_at;
  lb_list_append (&quarantine->pending_clearances, &pending->link);
  lc_quarantine_add_clearance (quarantine, fingerprint, answered_at);
}

void
lc_quarantine_record_answer (LcQuarantine *quarantine, LcFingerprint fingerprint, LbTime now)
{
  if (fingerprint == 0)
    return;
  quarantine->answers[quarantine->next_answer] = (RecentAnswer){ fingerprint, now };
  quarantine->next_answer = (quarantine->next_answer + 1) % MAX_RECENT_ANSWERS;
  if (find_suspect (quarantine, fingerprint))
    clear_and_announce_fingerprint (quarantine, fingerprint, now);
}

bool
lc_quarantine_pop_clearance (LcQuarantine *quarantine,
                             LcFingerprint *fingerprint,
                             LbTime *answered_at)
{
  LbLink *link = lb_list_pop (&quarantine->pending_clearances);
  PendingClearance *pending = NULL;

  if (!link)
    return false;
  pending = LB_CONTAINER (link, PendingClearance, link);
  *fingerprint = pending->fingerprint;
  *answered_at = pending->answered_at;
  free (pending);
  return true;
}

/* --- expiry of reports and clearances --- */

void
lc_quarantine_expire (LcQuarantine *quarantine, LbTime now)
{
  Clearance *clearance, *next;

  HASH_ITER (hh, quarantine->clearances, clearance, next)
  {
    if (clearance->answered_at + REPORT_LIFETIME <= now)
      drop_clearance (quarantine, clearance);
  }
  if (lc_crash_log_expire (&quarantine->log, now - REPORT_LIFETIME))
    recompute_quarantine (quarantine);
}

LbTime
lc_quarantine_ends_at (const LcQuarantine *quarantine, LcFingerprint fingerprint)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint);

  return suspect ? suspect->quarantined_until : 0;
}

LbTime
lc_quarantine_postponed_until (const LcQuarantine *quarantine, LcFingerprint fingerprint)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint);
  LbTime delay = FIRST_POSTPONEMENT;

  if (!suspect || suspect->quarantined_until == 0)
    return 0;
  for (int i = MIN_CRASHES; i < suspect->n_attributed && delay < MAX_POSTPONEMENT; i++)
    delay *= 2;
  return suspect->last_attributed_at + (delay < MAX_POSTPONEMENT ? delay : MAX_POSTPONEMENT);
}

size_t
lc_quarantine_count_fingerprints (const LcQuarantine *quarantine)
{
  size_t n = 0;

  for (const Suspect *suspect = quarantine->suspects; suspect; suspect = suspect->hh.next)
    n += suspect->quarantined_until > 0;
  return n;
}

LbTime
lc_quarantine_report_lifetime (void)
{
  return REPORT_LIFETIME;
}
