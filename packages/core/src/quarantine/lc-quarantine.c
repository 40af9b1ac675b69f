#include "lc-crash-log.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-list.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Endpoints that crash under one content before it is kept from them. One or two may be chance: the
 * endpoint to which a request goes next may crash for another reason. */
#define CRASHES_TO_BLAME 3
/* How long a report counts: a caller that sends the same for hours costs three starts an hour, and
 * what was blamed wrongly, or was repaired, runs again within the hour. */
#define TERM (3600 * LB_SEC)
/* An answer clears the content of crashes that come shortly after it: many callers may ask the
 * same, and all endpoints may crash at once for another reason. */
#define CLEARED_FOR (2 * LB_SEC)
/* Of answers given here, a few seconds' worth at two hundred a second. */
#define MAX_ANSWERED 1024

/* A content that a report names. */
typedef struct
{
  UT_hash_handle hh;
  LcFingerprint content;
  int n_crashes;       /* that no blamed content explains */
  const LcCrash *last; /* of these */
  LbTime full_at;      /* of the crash that made them enough to blame it */
  LbTime until;        /* kept from endpoints; 0: not */
} Suspect;

typedef struct
{
  UT_hash_handle hh;
  LcFingerprint content;
  LbTime at;
} Clearance;

typedef struct
{
  LcFingerprint content;
  LbTime at;
} Answered;

struct LcQuarantine
{
  LcCrashLog log;
  Suspect *suspects;
  Clearance *clearances;
  Answered answered[MAX_ANSWERED]; /* a ring */
  size_t next_answered;
  LbList to_tell; /* ToTell */
};

typedef struct
{
  LbLink link;
  LcFingerprint content;
  LbTime at;
} ToTell;

static LbMetric in_quarantine = LB_GAUGE_INIT ("lentilspindle_quarantined_requests",
                                               NULL,
                                               "Contents of requests that are kept from endpoints");

LcQuarantine *
lc_quarantine_new (void)
{
  LcQuarantine *quarantine = LB_NEW (LcQuarantine);

  lc_crash_log_init (&quarantine->log);
  lb_list_init (&quarantine->to_tell);
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
  while ((link = lb_list_pop (&quarantine->to_tell)))
    free (LB_CONTAINER (link, ToTell, link));
  free (quarantine);
}

/* --- who is blamed --- */

static Suspect *
find_suspect (const LcQuarantine *quarantine, LcFingerprint content)
{
  Suspect *suspect = NULL;

  HASH_FIND (hh, quarantine->suspects, &content, sizeof content, suspect);
  return suspect;
}

static Clearance *
find_clearance (const LcQuarantine *quarantine, LcFingerprint content)
{
  Clearance *clearance = NULL;

  HASH_FIND (hh, quarantine->clearances, &content, sizeof content, clearance);
  return clearance;
}

static bool
is_cleared (const LcQuarantine *quarantine, LcFingerprint content, LbTime crashed_at)
{
  const Clearance *clearance = find_clearance (quarantine, content);

  return clearance && crashed_at <= clearance->at + CLEARED_FOR;
}

static Suspect *
add_suspect (LcQuarantine *quarantine, LcFingerprint content)
{
  Suspect *suspect = find_suspect (quarantine, content);

  if (suspect)
    return suspect;
  suspect = LB_NEW (Suspect);
  suspect->content = content;
  HASH_ADD (hh, quarantine->suspects, content, sizeof suspect->content, suspect);
  return suspect;
}

static void
count_crash (Suspect *suspect, const LcCrash *crash)
{
  if (suspect->last == crash)
    return;
  suspect->last = crash;
  suspect->n_crashes++;
  if (suspect->n_crashes == CRASHES_TO_BLAME)
    suspect->full_at = crash->at;
}

static void
count_contents (LcQuarantine *quarantine, const LcCrash *crash)
{
  LB_LIST_FOREACH (&crash->entries, LcReportEntry, link, entry)
  {
    const LcCrashReport *report = &entry->report;
    for (size_t i = 0; i < report->n_fingerprints; i++)
      if (!is_cleared (quarantine, report->fingerprints[i], crash->at))
        count_crash (add_suspect (quarantine, report->fingerprints[i]), crash);
  }
}

/* Counts the crashes under each content anew, without those that a blamed one explains. */
static void
count_crashes (LcQuarantine *quarantine)
{
  for (Suspect *suspect = quarantine->suspects; suspect; suspect = suspect->hh.next)
    {
      suspect->n_crashes = 0;
      suspect->last = NULL;
    }
  LB_LIST_FOREACH (&quarantine->log.crashes, LcCrash, link, crash)
  {
    if (!crash->explained)
      count_contents (quarantine, crash);
  }
}

/* Positive: a is blamed before b. 0: nothing tells them apart. */
static int
compare (const Suspect *a, const Suspect *b)
{
  if (a->n_crashes != b->n_crashes)
    return a->n_crashes > b->n_crashes ? 1 : -1;
  if (a->full_at != b->full_at)
    return a->full_at < b->full_at ? 1 : -1;
  return 0;
}

/* NULL: nobody has enough crashes. */
static const Suspect *
find_worst (const LcQuarantine *quarantine)
{
  const Suspect *worst = NULL;

  for (const Suspect *suspect = quarantine->suspects; suspect; suspect = suspect->hh.next)
    if (suspect->n_crashes >= CRASHES_TO_BLAME && (!worst || compare (suspect, worst) > 0))
      worst = suspect;
  return worst;
}

static void
blame (LcQuarantine *quarantine, Suspect *suspect)
{
  LB_LIST_FOREACH (&quarantine->log.crashes, LcCrash, link, crash)
  {
    if (!lc_crash_names (crash, suspect->content)
        || is_cleared (quarantine, suspect->content, crash->at))
      continue;
    crash->explained = true;
    suspect->until = crash->at + TERM;
  }
}

static void
blame_all_like (LcQuarantine *quarantine, const Suspect *worst)
{
  const Suspect like = *worst;

  for (Suspect *suspect = quarantine->suspects; suspect; suspect = suspect->hh.next)
    if (compare (suspect, &like) == 0)
      blame (quarantine, suspect);
}

/* Guards against requests that are kept out for what another one did: an endpoint works on several
 * at once, all of them break with it, and those that are tried again meet the bad one again at the
 * next endpoint. The bad one is under every crash, the others under some; so the one with the most
 * crashes is blamed first, of several the one that had enough of them first, and its crashes do not
 * count against anybody else. */
static void
judge (LcQuarantine *quarantine)
{
  const Suspect *worst;

  drop_suspects (quarantine);
  LB_LIST_FOREACH (&quarantine->log.crashes, LcCrash, link, crash)
  {
    crash->explained = false;
  }
  count_crashes (quarantine);
  while ((worst = find_worst (quarantine)))
    {
      blame_all_like (quarantine, worst);
      count_crashes (quarantine);
    }
  lb_metric_set (&in_quarantine, (int64_t)lc_quarantine_count (quarantine));
}

/* --- reports --- */

static void clear (LcQuarantine *quarantine, LcFingerprint content, LbTime at);

/* What was answered here shortly before, or since, speaks for the content. */
static void
clear_answered (LcQuarantine *quarantine, const LcCrashReport *report)
{
  for (size_t i = 0; i < MAX_ANSWERED; i++)
    {
      const Answered *answered = &quarantine->answered[i];
      if (answered->content && report->at <= answered->at + CLEARED_FOR
          && lc_fingerprint_is_among (answered->content, report->fingerprints,
                                      report->n_fingerprints))
        clear (quarantine, answered->content, answered->at);
    }
}

static void
log_quarantined (const LcQuarantine *quarantine, const LcCrashReport *report, LbTime now)
{
  char content[LC_FINGERPRINT_TEXT_SIZE];

  for (size_t i = 0; i < report->n_fingerprints; i++)
    {
      LbTime until = lc_quarantine_ends_at (quarantine, report->fingerprints[i]);
      if (until == 0)
        continue;
      lc_fingerprint_to_text (report->fingerprints[i], content);
      lb_log (LB_LOG_WARNING, "request_quarantined", LB_TEXT ("content", content),
              LB_TEXT ("endpoint", report->endpoint), LB_TEXT ("report", report->id),
              LB_INT ("crashes_to_blame", CRASHES_TO_BLAME),
              LB_INT ("for_s", (until - now) / LB_SEC));
    }
}

void
lc_quarantine_add_report (LcQuarantine *quarantine, const LcCrashReport *report, LbTime now)
{
  if (report->at + TERM <= now || !lc_crash_log_add (&quarantine->log, report))
    return;
  clear_answered (quarantine, report);
  judge (quarantine);
  log_quarantined (quarantine, report, now);
}

void
lc_quarantine_withdraw_report (LcQuarantine *quarantine, const char *id)
{
  if (lc_crash_log_withdraw (&quarantine->log, id))
    judge (quarantine);
}

/* --- answers --- */

void
lc_quarantine_add_clearance (LcQuarantine *quarantine, LcFingerprint content, LbTime at)
{
  Clearance *clearance = find_clearance (quarantine, content);

  if (!clearance)
    {
      clearance = LB_NEW (Clearance);
      clearance->content = content;
      HASH_ADD (hh, quarantine->clearances, content, sizeof clearance->content, clearance);
    }
  if (at > clearance->at)
    clearance->at = at;
  judge (quarantine);
}

static void
clear (LcQuarantine *quarantine, LcFingerprint content, LbTime at)
{
  const Clearance *known = find_clearance (quarantine, content);
  ToTell *to_tell = NULL;

  if (known && known->at >= at)
    return;
  to_tell = LB_NEW (ToTell);
  to_tell->content = content;
  to_tell->at = at;
  lb_list_append (&quarantine->to_tell, &to_tell->link);
  lc_quarantine_add_clearance (quarantine, content, at);
}

void
lc_quarantine_record_answer (LcQuarantine *quarantine, LcFingerprint content, LbTime now)
{
  if (content == 0)
    return;
  quarantine->answered[quarantine->next_answered] = (Answered){ content, now };
  quarantine->next_answered = (quarantine->next_answered + 1) % MAX_ANSWERED;
  if (find_suspect (quarantine, content))
    clear (quarantine, content, now);
}

bool
lc_quarantine_pop_clearance (LcQuarantine *quarantine, LcFingerprint *content, LbTime *answered_at)
{
  LbLink *link = lb_list_pop (&quarantine->to_tell);
  ToTell *to_tell = NULL;

  if (!link)
    return false;
  to_tell = LB_CONTAINER (link, ToTell, link);
  *content = to_tell->content;
  *answered_at = to_tell->at;
  free (to_tell);
  return true;
}

/* --- time --- */

void
lc_quarantine_expire (LcQuarantine *quarantine, LbTime now)
{
  Clearance *clearance, *next;

  HASH_ITER (hh, quarantine->clearances, clearance, next)
  {
    if (clearance->at + TERM <= now)
      drop_clearance (quarantine, clearance);
  }
  if (lc_crash_log_expire (&quarantine->log, now - TERM))
    judge (quarantine);
}

LbTime
lc_quarantine_ends_at (const LcQuarantine *quarantine, LcFingerprint content)
{
  const Suspect *suspect = find_suspect (quarantine, content);

  return suspect ? suspect->until : 0;
}

size_t
lc_quarantine_count (const LcQuarantine *quarantine)
{
  size_t n = 0;

  for (const Suspect *suspect = quarantine->suspects; suspect; suspect = suspect->hh.next)
    n += suspect->until > 0;
  return n;
}

LbTime
lc_quarantine_report_lifetime (void)
{
  return TERM;
}
