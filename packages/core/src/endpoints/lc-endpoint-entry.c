#include "lc-endpoint-table.h"

#include <string.h>

#define PAUSE (2 * LB_SEC)
#define REPEATS_TO_BE_REGULAR 10

void
lc_entry_void_belief (LcEntry *entry)
{
  entry->cache.epoch = ++entry->table->last_epoch;
  entry->cache.last_sequence = 0;
}

static int64_t
others_by_report (const LcEntry *entry)
{
  const LcLoadReport *report = &entry->endpoint.report;
  int64_t others = report->running + report->waiting - entry->in_flight_at_report;

  return others > 0 ? others : 0;
}

/* By the report, and what we sent and ended since. To count our own growth once for each instance
 * that saw the same report was measured and is worse, see docs/design/0002-routing.md. */
static int64_t
load_by_report (const LcEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  return endpoint->report.running + endpoint->report.waiting + endpoint->in_flight
         - entry->in_flight_at_report;
}

static bool
is_special (const LcEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  return !entry->is_reported || endpoint->swap_pending || entry->refused_until > 0
         || endpoint->breaker != LC_BREAKER_CLOSED
         || (endpoint->member.kind == LC_ENDPOINT_ENGINE && endpoint->report.version == 0);
}

static void
summarise (LcEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  entry->table->summaries[endpoint->slot] = (LcSummary){
    .endpoint = &entry->endpoint,
    .reported_at = entry->is_reported ? endpoint->report.at : LC_NEVER_REPORTED,
    .version = endpoint->report.version,
    .size = (float)entry->concurrency.most,
    .places_inverse = 1 / (float)entry->concurrency.most,
    .limit = (float)entry->concurrency.limit,
    .load = (float)load_by_report (entry),
    .others = (float)others_by_report (entry),
    .slot = endpoint->slot,
    .live_since = (int32_t)entry->live_since_report,
    .in_flight = (int32_t)endpoint->in_flight,
    .data_centre = (int16_t)entry->data_centre,
    .alone_token_seconds = (float)entry->alone_token_seconds,
    .is_out = endpoint->leaving || entry->retired,
    .is_special = is_special (entry),
  };
}

LbTime
lc_endpoints_void_before (const LcEndpoints *endpoints, LbTime now)
{
  bool regular = endpoints->repeats >= REPEATS_TO_BE_REGULAR;

  return regular && now - endpoints->last_event > PAUSE ? now : endpoints->void_before;
}

/* Every event of the table passes here. A process that was stopped for a while does not know it:
 * its first act may be to send the retry of a stream that broke meanwhile to an endpoint that said
 * "leaving" to all others. Reports come several times a second, so a gap without any event shows
 * the stop, and nothing that was measured before its end is believed. */
void
lc_endpoints_note_time (LcEndpoints *endpoints, LbTime now)
{
  endpoints->void_before = lc_endpoints_void_before (endpoints, now);
  endpoints->last_event = now;
}

/* Makes what the parts of an entry decided readable in its endpoint and its summary. */
void
lc_entry_publish (LcEntry *entry, LbTime now)
{
  LcEndpoint *endpoint = &entry->endpoint;
  bool leaving = endpoint->member.leaving || lc_leaving_is_left (&entry->leaving);

  lc_endpoints_note_time (entry->table, now);
  if (leaving && !endpoint->leaving)
    endpoint->leaving_since = now;
  endpoint->leaving = leaving;
  endpoint->breaker = entry->breaker.state;
  endpoint->breaker_until = entry->breaker.until;
  endpoint->consecutive_failures = entry->breaker.consecutive_failures;
  endpoint->concurrency_limit = entry->concurrency.limit;
  summarise (entry);
}

/* What was learnt of the process behind the endpoint does not hold for the next one. */
void
lc_entry_forget_process (LcEntry *entry)
{
  entry->endpoint.swap_pending = false;
  memset (&entry->breaker, 0, sizeof entry->breaker);
  lc_concurrency_init (&entry->concurrency, entry->endpoint.member.concurrency);
  lc_entry_void_belief (entry);
}
