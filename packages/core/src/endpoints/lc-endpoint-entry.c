#include "lc-endpoint-table.h"

#include <string.h>

/* A longer gap between two events of the endpoint table shows that this process was paused. Applies
 * after MIN_REPEATED_REPORTS, when reports are known to arrive regularly. */
#define MAX_EVENT_GAP (2 * LB_SEC)
#define MIN_REPEATED_REPORTS 10

void
lc_endpoint_entry_invalidate_cached_prefixes (LcEndpointEntry *entry)
{
  entry->cache.epoch = ++entry->table->last_epoch;
  entry->cache.last_sequence = 0;
}

static int64_t
count_requests_of_other_instances (const LcEndpointEntry *entry)
{
  const LcLoadReport *report = &entry->endpoint.report;
  int64_t n_others = report->running + report->waiting - entry->in_flight_at_report;

  return n_others > 0 ? n_others : 0;
}

/* Returns the number of requests in the last report, corrected by the requests that this instance
 * has sent and completed since. Multiplying this correction by the number of instances that saw the
 * same report gives worse routing, see docs/design/0002-routing.md. */
static int64_t
estimate_current_requests (const LcEndpointEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  return endpoint->report.running + endpoint->report.waiting + endpoint->in_flight
         - entry->in_flight_at_report;
}

static bool
needs_full_admission_check (const LcEndpointEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  return !entry->is_reported || endpoint->swap_pending || entry->refused_until > 0
         || endpoint->breaker != LC_BREAKER_CLOSED || entry->held_slots > 0
         || (endpoint->member.kind == LC_ENDPOINT_ENGINE && endpoint->report.version == 0);
}

static void
update_endpoint_summary (LcEndpointEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  entry->table->summaries[endpoint->slot] = (LcEndpointSummary){
    .endpoint = &entry->endpoint,
    .reported_at = entry->is_reported ? endpoint->report.measured_at : LC_NEVER_REPORTED,
    .version = endpoint->report.version,
    .capacity = (float)entry->concurrency.max,
    .inverse_capacity = 1 / (float)entry->concurrency.max,
    .concurrency_limit = (float)entry->concurrency.limit,
    .requests = (float)estimate_current_requests (entry),
    .other_requests = (float)count_requests_of_other_instances (entry),
    .live_sent_since_report = (int32_t)entry->live_sent_since_report,
    .in_flight = (int32_t)endpoint->in_flight,
    .data_centre = (int16_t)entry->data_centre,
    .single_stream_token_seconds = (float)entry->single_stream_token_seconds,
    .lasting_token_seconds
    = (float)lc_endpoint_condition_lasting_seconds (&entry->condition, entry->table->last_event_at),
    .is_excluded = endpoint->leaving || entry->is_retired,
    .needs_full_check = needs_full_admission_check (entry),
    .is_slowed = lc_endpoint_condition_may_be_slowed (&entry->condition),
    .reports_pace = endpoint->report.tokens_per_second > 0,
  };
}

LbTime
lc_endpoints_reports_valid_since (const LcEndpoints *endpoints, LbTime now)
{
  bool reports_are_regular = endpoints->n_repeated_reports >= MIN_REPEATED_REPORTS;

  return reports_are_regular && now - endpoints->last_event_at > MAX_EVENT_GAP
             ? now
             : endpoints->reports_valid_since;
}

/* Called for every event of the endpoint table, to detect that this process was paused: reports
 * come several times a second, so a gap without any event shows a pause. Reports measured before
 * the end of the pause are ignored. Without this, the retry of a stream that broke during the pause
 * could be sent to an endpoint that announced meanwhile that it is leaving. */
void
lc_endpoints_detect_process_pause (LcEndpoints *endpoints, LbTime now)
{
  endpoints->reports_valid_since = lc_endpoints_reports_valid_since (endpoints, now);
  endpoints->last_event_at = now;
}

void
lc_endpoint_entry_refresh_public_state (LcEndpointEntry *entry, LbTime now)
{
  LcEndpoint *endpoint = &entry->endpoint;
  bool leaving
      = endpoint->member.leaving || lc_leaving_is_current_incarnation_leaving (&entry->leaving);

  lc_endpoints_detect_process_pause (entry->table, now);
  if (leaving && !endpoint->leaving)
    endpoint->leaving_since = now;
  endpoint->leaving = leaving;
  endpoint->breaker = entry->breaker.state;
  endpoint->breaker_open_until = entry->breaker.open_until;
  endpoint->consecutive_failures = entry->breaker.consecutive_failures;
  endpoint->concurrency_limit = entry->concurrency.limit;
  update_endpoint_summary (entry);
}

void
lc_endpoint_hold_slots (LcEndpoint *endpoint, int change, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);

  /* An endpoint that was removed and added again starts without held slots. */
  entry->held_slots = entry->held_slots + change > 0 ? entry->held_slots + change : 0;
  lc_endpoint_entry_refresh_public_state (entry, now);
}

/* Discards state that belongs to the endpoint's previous process. */
void
lc_endpoint_entry_reset_for_new_process (LcEndpointEntry *entry)
{
  entry->endpoint.swap_pending = false;
  memset (&entry->breaker, 0, sizeof entry->breaker);
  memset (&entry->condition, 0, sizeof entry->condition);
  entry->endpoint.report.slots = 0;
  entry->has_reported_invalid_load = false;
  lc_concurrency_init (&entry->concurrency, entry->endpoint.member.concurrency);
  lc_endpoint_entry_invalidate_cached_prefixes (entry);
}
