#include "lc-crash-log.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-list.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Crashes of endpoints under one request before it is quarantined. One or two may be chance: the
 * next endpoint that the request is sent to may crash for another reason. */
#define MIN_CRASHES 3
/* How long a report counts. A caller that sends the same request for hours causes three restarts an
 * hour, and a request that was quarantined wrongly, or was repaired, is allowed again within the
 * hour. */
#define REPORT_LIFETIME (3600 * LB_SEC)
/* An answer also clears a request of crashes that follow within this time: many callers may send
 * the same request, and all endpoints may crash at once for another reason. */
#define CLEARANCE_WINDOW (2 * LB_SEC)
/* A few seconds of answers on this instance, at two hundred a second. */
#define MAX_RECENT_ANSWERS 1024

/* A fingerprint in a crash report. */
typedef struct
{
  UT_hash_handle hh;
  LcFingerprint fingerprint;
  int n_crashes;               /* crashes not attributed to a quarantined fingerprint */
  const LcCrash *last_counted; /* the last one counted */
  LbTime threshold_at;         /* time of crash number MIN_CRASHES */
  LbTime quarantined_until;    /* 0: not in quarantine */
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
  RecentAnswer answers[MAX_RECENT_ANSWERS]; /* a ring */
  size_t next_answer;
  LbList pending_clearances; /* PendingClearance */
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
drop_suspects (LcQuarantine *quarantine)
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
  drop_suspects (quarantine);
  HASH_ITER (hh, quarantine->clearances, clearance, next)
  {
    drop_clearance (quarantine, clearance);
  }
  lc_crash_log_clear (&quarantine->log);
  while ((link = lb_list_pop (&quarantine->pending_clearances)))
    free (LB_CONTAINER (link, PendingClearance, link));
  free (quarantine);
}

/* --- suspects --- */

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
count_crash (Suspect *suspect, const LcCrash *crash)
{
  if (suspect->last_counted == crash)
    return;
  suspect->last_counted = crash;
  suspect->n_crashes++;
  if (suspect->n_crashes == MIN_CRASHES)
    suspect->threshold_at = crash->crashed_at;
}

static void
count_report_fingerprints (LcQuarantine *quarantine, const LcCrash *crash)
{
  LB_LIST_FOREACH (&crash->entries, LcReportEntry, link, entry)
  {
    const LcCrashReport *report = &entry->report;
    for (size_t i = 0; i < report->n_fingerprints; i++)
      if (!is_cleared_of_crash (quarantine, report->fingerprints[i], crash->crashed_at))
        count_crash (find_or_add_suspect (quarantine, report->fingerprints[i]), crash);
  }
}

/* Counts the crashes of each suspect, except those attributed to a quarantined one. */
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
      count_report_fingerprints (quarantine, crash);
  }
}

/* Positive if a is the worse suspect: more crashes or, with as many, MIN_CRASHES of them earlier.
 * 0: equal. */
static int
compare_suspects (const Suspect *a, const Suspect *b)
{
  if (a->n_crashes != b->n_crashes)
    return a->n_crashes > b->n_crashes ? 1 : -1;
  if (a->threshold_at != b->threshold_at)
    return a->threshold_at < b->threshold_at ? 1 : -1;
  return 0;
}

/* NULL: no suspect has MIN_CRASHES crashes. */
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

/* Guards against quarantining requests for crashes that another one caused. An endpoint processes
 * several requests at once; all of them fail with it, and those that are retried meet the harmful
 * one again at the next endpoint. Only the harmful one is involved in every crash. So the suspect
 * with the most crashes is quarantined first, of several the one that reached MIN_CRASHES first,
 * and its crashes are not counted against the others. */
static void
update_quarantine (LcQuarantine *quarantine)
{
  const Suspect *worst_suspect;

  drop_suspects (quarantine);
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

/* --- reports --- */

static void
clear_fingerprint (LcQuarantine *quarantine, LcFingerprint fingerprint, LbTime answered_at);

/* Clears fingerprints of the report that an endpoint answered on this instance shortly before the
 * crash or since. */
static void
apply_recent_answers (LcQuarantine *quarantine, const LcCrashReport *report)
{
  for (size_t i = 0; i < MAX_RECENT_ANSWERS; i++)
    {
      const RecentAnswer *answer = &quarantine->answers[i];
      if (answer->fingerprint && report->at <= answer->answered_at + CLEARANCE_WINDOW
          && lc_fingerprint_is_among (answer->fingerprint, report->fingerprints,
                                      report->n_fingerprints))
        clear_fingerprint (quarantine, answer->fingerprint, answer->answered_at);
    }
}

static void
log_quarantined (const LcQuarantine *quarantine, const LcCrashReport *report, LbTime now)
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
  apply_recent_answers (quarantine, report);
  update_quarantine (quarantine);
  log_quarantined (quarantine, report, now);
}

void
lc_quarantine_withdraw_report (LcQuarantine *quarantine, const char *id)
{
  if (lc_crash_log_withdraw_report (&quarantine->log, id))
    update_quarantine (quarantine);
}

/* --- answers --- */

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
  update_quarantine (quarantine);
}

static void
clear_fingerprint (LcQuarantine *quarantine, LcFingerprint fingerprint, LbTime answered_at)
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
    clear_fingerprint (quarantine, fingerprint, now);
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

/* --- time --- */

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
    update_quarantine (quarantine);
}

LbTime
lc_quarantine_ends_at (const LcQuarantine *quarantine, LcFingerprint fingerprint)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint);

  return suspect ? suspect->quarantined_until : 0;
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
