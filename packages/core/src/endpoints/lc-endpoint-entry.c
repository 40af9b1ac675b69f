#include "lc-endpoint-table.h"

#include <string.h>

#define PAUSE (2 * LB_SEC)
#define REPEATS_TO_BE_REGULAR 10

void
lc_endpoint_entry_invalidate_prefixes (LcEndpointEntry *entry)
{
  entry->cache.epoch = ++entry->table->last_epoch;
  entry->cache.last_sequence = 0;
}

static int64_t
others_by_report (const LcEndpointEntry *entry)
{
  const LcLoadReport *report = &entry->endpoint.report;
  int64_t others = report->running + report->waiting - entry->in_flight_at_report;

  return others > 0 ? others : 0;
}

/* By the report, and what we sent and ended since. To count our own growth once for each instance
 * that saw the same report was measured and is worse, see docs/design/0002-routing.md. */
static int64_t
load_by_report (const LcEndpointEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  return endpoint->report.running + endpoint->report.waiting + endpoint->in_flight
         - entry->in_flight_at_report;
}

static bool
needs_full_check (const LcEndpointEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  return !entry->is_reported || endpoint->swap_pending || entry->refused_until > 0
         || endpoint->breaker != LC_BREAKER_CLOSED
         || (endpoint->member.kind == LC_ENDPOINT_ENGINE && endpoint->report.version == 0);
}

static void
summarise (LcEndpointEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  entry->table->summaries[endpoint->slot] = (LcEndpointSummary){
    .endpoint = &entry->endpoint,
    .reported_at = entry->is_reported ? endpoint->report.measured_at : LC_NEVER_REPORTED,
    .version = endpoint->report.version,
    .capacity = (float)entry->concurrency.most,
    .inverse_capacity = 1 / (float)entry->concurrency.most,
    .concurrency_limit = (float)entry->concurrency.limit,
    .requests = (float)load_by_report (entry),
    .other_requests = (float)others_by_report (entry),
    .slot = endpoint->slot,
    .live_sent_since_report = (int32_t)entry->live_since_report,
    .in_flight = (int32_t)endpoint->in_flight,
    .data_centre = (int16_t)entry->data_centre,
    .single_stream_token_seconds = (float)entry->single_stream_token_seconds,
    .is_excluded = endpoint->leaving || entry->retired,
    .needs_full_check = needs_full_check (entry),
  };
}

LbTime
lc_endpoints_reports_valid_since (const LcEndpoints *endpoints, LbTime now)
{
  bool regular = endpoints->n_repeated_reports >= REPEATS_TO_BE_REGULAR;

  return regular && now - endpoints->last_event_at > PAUSE ? now : endpoints->reports_valid_since;
}

/* Every event of the table passes here. A process that was stopped for a while does not know it:
 * its first act may be to send the retry of a stream that broke meanwhile to an endpoint that said
 * "leaving" to all others. Reports come several times a second, so a gap without any event shows
 * the stop, and nothing that was measured before its end is believed. */
void
lc_endpoints_record_event_time (LcEndpoints *endpoints, LbTime now)
{
  endpoints->reports_valid_since = lc_endpoints_reports_valid_since (endpoints, now);
  endpoints->last_event_at = now;
}

/* Makes what the parts of an entry decided readable in its endpoint and its summary. */
void
lc_endpoint_entry_publish (LcEndpointEntry *entry, LbTime now)
{
  LcEndpoint *endpoint = &entry->endpoint;
  bool leaving = endpoint->member.leaving || lc_leaving_is_current_leaving (&entry->leaving);

  lc_endpoints_record_event_time (entry->table, now);
  if (leaving && !endpoint->leaving)
    endpoint->leaving_since = now;
  endpoint->leaving = leaving;
  endpoint->breaker = entry->breaker.state;
  endpoint->breaker_open_until = entry->breaker.until;
  endpoint->consecutive_failures = entry->breaker.consecutive_failures;
  endpoint->concurrency_limit = entry->concurrency.limit;
  summarise (entry);
}

/* What was learnt of the process behind the endpoint does not hold for the next one. */
void
lc_endpoint_entry_reset_process (LcEndpointEntry *entry)
{
  entry->endpoint.swap_pending = false;
  memset (&entry->breaker, 0, sizeof entry->breaker);
  lc_concurrency_init (&entry->concurrency, entry->endpoint.member.concurrency);
  lc_endpoint_entry_invalidate_prefixes (entry);
}
