#include "lc-endpoint-table.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-switch.h"

#include <math.h>
#include <string.h>

#define REQUEST_TIME_EWMA_WEIGHT 0.1
/* Time without new requests after an endpoint rejected one. It is short, so that requests resume
 * soon after the end of a weight load, which takes about a second. */
#define REFUSAL_BACKOFF (120 * LB_MSEC)
#define MAX_TOKENS_PER_SECOND 1e6

static void
end_weight_swap_if_confirmed (LcEndpointEntry *entry)
{
  LcEndpoint *endpoint = &entry->endpoint;
  const LcLoadReport *report = &endpoint->report;

  if (report->version > 0 && report->version != entry->version_before_swap
      && report->measured_at >= entry->swap_started_at)
    endpoint->swap_pending = false;
}

static void
update_single_stream_token_seconds (LcEndpointEntry *entry)
{
  const LcLoadReport *report = &entry->endpoint.report;
  LcEndpointGroup *group = lc_endpoint_entry_find_group (entry);
  double fill = fmin (1, (double)report->running / entry->concurrency.max);

  if (report->tokens_per_second <= 0)
    return;
  lc_batch_cost_add_report (&group->batch_cost, fill, 1 / report->tokens_per_second);
  group->batch_slowdown = lc_batch_cost_full_batch_slowdown (&group->batch_cost);
  entry->single_stream_token_seconds
      = 1 / report->tokens_per_second / (1 + group->batch_slowdown * fill);
}

/* Replaces the known report. Reports from other sources than the endpoint's replies don't state the
 * number of slots. */
static void
replace_report (LcLoadReport *known, const LcLoadReport *report)
{
  int64_t slots = report->slots > 0 ? report->slots : known->slots;

  *known = *report;
  known->slots = slots;
}

static void
apply_load_report (LcEndpointEntry *entry, const LcLoadReport *report)
{
  LcEndpoint *endpoint = &entry->endpoint;
  char known_incarnation[sizeof endpoint->report.incarnation];

  LB_COPY (known_incarnation, endpoint->report.incarnation);
  if (known_incarnation[0] && report->incarnation[0]
      && strcmp (known_incarnation, report->incarnation) != 0)
    lc_endpoint_entry_reset_for_new_process (entry);
  if (report->incarnation[0])
    lc_leaving_set_current_incarnation (&entry->leaving, report->incarnation);
  replace_report (&endpoint->report, report);
  if (!report->incarnation[0])
    LB_COPY (endpoint->report.incarnation, known_incarnation);
  entry->table->n_repeated_reports += entry->is_reported;
  entry->is_reported = true;
  endpoint->sent_since_report
      = lc_in_flight_history_count_requests_sent_after (&entry->in_flight_history,
                                                        report->measured_at);
  entry->live_sent_since_report
      = lc_in_flight_history_count_live_requests_sent_after (&entry->in_flight_history,
                                                             report->measured_at);
  entry->in_flight_at_report
      = lc_in_flight_history_count_requests_at (&entry->in_flight_history, report->measured_at);
  update_single_stream_token_seconds (entry);
  lc_endpoint_entry_record_work_time (entry, report->work_time_percent, report->measured_at);
  end_weight_swap_if_confirmed (entry);
}

/* Corrects invalid values: a negative load would attract all requests, and a time in the future
 * would make every later report look outdated. */
static LcLoadReport
sanitise_load_report (const LcLoadReport *report, LbTime now)
{
  LcLoadReport sanitised = *report;

  sanitised.running = report->running > 0 ? report->running : 0;
  sanitised.waiting = report->waiting > 0 ? report->waiting : 0;
  sanitised.version = report->version > 0 ? report->version : 0;
  if (!(report->tokens_per_second > 0 && report->tokens_per_second < MAX_TOKENS_PER_SECOND))
    sanitised.tokens_per_second = 0;
  sanitised.slots = report->slots > 0 ? report->slots : 0;
  sanitised.work_time_percent = report->work_time_percent > 0 ? report->work_time_percent : 0;
  sanitised.measured_at = report->measured_at < now ? report->measured_at : now;
  return sanitised;
}

static const char *const leaving_sources[] = {
  [LC_LEAVING_RESOURCE] = "resource",
  [LC_LEAVING_PLATFORM] = "platform",
  [LC_LEAVING_ENDPOINT] = "endpoint",
  [LC_LEAVING_PEER] = "peer",
};

/* Refreshes the entry's public state. If the endpoint was not leaving before and is leaving now,
 * logs the change, which happens once for each incarnation, and returns true. */
static bool
refresh_state_and_log_leaving (LcEndpointEntry *entry, LcLeavingSource source, LbTime now)
{
  bool was_leaving = entry->endpoint.leaving;

  lc_endpoint_entry_refresh_public_state (entry, now);
  if (was_leaving || !entry->endpoint.leaving)
    return false;
  lb_log (LB_LOG_INFO, "endpoint-leaving", LB_TEXT ("endpoint", entry->endpoint.member.name),
          LB_TEXT ("incarnation", entry->endpoint.report.incarnation),
          LB_TEXT ("source", leaving_sources[source]));
  return true;
}

/* Reports are ordered by the time when they were measured. An outdated report does not change the
 * load, but if it states that the endpoint is leaving, its incarnation is marked as leaving. */
void
lc_endpoints_record_load_report (LcEndpoints *endpoints,
                                 const char *name,
                                 const LcLoadReport *report,
                                 LbTime now)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  if (!entry)
    return;
  LcLoadReport sanitised = sanitise_load_report (report, now);

  if (!report->is_from_registry)
    entry->endpoint.last_reply_at = now;
  if (!entry->is_reported || sanitised.measured_at >= entry->endpoint.report.measured_at)
    apply_load_report (entry, &sanitised);
  if (report->leaving)
    lc_leaving_mark_incarnation (&entry->leaving, report->incarnation);
  refresh_state_and_log_leaving (entry, LC_LEAVING_ENDPOINT, now);
}

/* For a mark from the platform's list of endpoints, which names no incarnation, pass "" as
 * incarnation, and call lc_endpoints_clear_platform_leaving_mark when the list no longer marks the
 * endpoint. Peers always name the incarnation. */
bool
lc_endpoints_mark_leaving (LcEndpoints *endpoints,
                           const char *name,
                           const char *incarnation,
                           LcLeavingSource source,
                           LbTime now)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  if (!entry)
    return false;
  if (source == LC_LEAVING_PLATFORM && incarnation[0] == '\0')
    lc_leaving_set_marked_by_platform (&entry->leaving, true);
  else
    lc_leaving_mark_incarnation (&entry->leaving, incarnation);
  return refresh_state_and_log_leaving (entry, source, now);
}

void
lc_endpoints_clear_platform_leaving_mark (LcEndpoints *endpoints, const char *name, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  if (!entry)
    return;
  lc_leaving_set_marked_by_platform (&entry->leaving, false);
  lc_endpoint_entry_refresh_public_state (entry, now);
}

void
lc_endpoints_set_weight_swap_state (
    LcEndpoints *endpoints, const char *name, bool pending, LbTime until, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  if (!entry)
    return;
  if (pending && !entry->endpoint.swap_pending)
    {
      entry->swap_started_at = now;
      entry->version_before_swap = entry->endpoint.report.version;
    }
  entry->endpoint.swap_pending = pending;
  entry->endpoint.swap_until = until;
  lc_endpoint_entry_refresh_public_state (entry, now);
}

void
lc_endpoints_apply_cache_event (LcEndpoints *endpoints,
                                const char *name,
                                uint64_t sequence,
                                bool stored,
                                uint64_t prefix_hash,
                                LbTime now)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  if (entry)
    lc_prefix_index_apply_cache_event (endpoints->prefix_index, &entry->cache, sequence, stored,
                                       prefix_hash, now);
}

/* prefix_hash: hash of the whole prompt; 0: the request has no prompt hash. */
void
lc_endpoint_request_sent (LcEndpoint *endpoint,
                          LcRequestKind kind,
                          uint64_t prefix_hash,
                          LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);

  endpoint->in_flight++;
  endpoint->in_flight_samples += kind == LC_KIND_SAMPLE;
  endpoint->sent_since_report++;
  entry->live_sent_since_report += kind != LC_KIND_SAMPLE;
  lc_in_flight_history_add_change (&entry->in_flight_history, endpoint->in_flight, true,
                                   kind != LC_KIND_SAMPLE, now);
  lc_breaker_request_sent (&entry->breaker, now);
  if (prefix_hash != 0)
    lc_prefix_index_add_sent_prefix (entry->table->prefix_index, &entry->cache, prefix_hash, now);
  lc_endpoint_entry_refresh_public_state (entry, now);
}

static void
update_ewma (double *mean, double sample)
{
  *mean = *mean > 0 ? *mean + REQUEST_TIME_EWMA_WEIGHT * (sample - *mean) : sample;
}

/* waited: time from sending the request to receiving the first byte of the response. */
void
lc_endpoint_first_byte_received (LcEndpoint *endpoint, LbTime waited, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);
  double seconds = (double)waited / LB_SEC;

  endpoint->last_reply_at = now;
  update_ewma (&endpoint->ewma_first_byte_seconds, seconds);
  lc_concurrency_first_byte_received (&entry->concurrency, seconds, endpoint->in_flight, now);
  lc_endpoint_entry_refresh_public_state (entry, now);
}

static void
update_mean_service_time (LcEndpointEntry *entry, int64_t tokens, LbTime took)
{
  LcEndpointGroup *group = lc_endpoint_entry_find_group (entry);

  update_ewma (&group->mean_service_seconds, (double)took / LB_SEC);
  if (tokens == 0)
    return;
  update_ewma (&group->mean_request_tokens, (double)tokens);
  update_ewma (&entry->endpoint.ewma_token_seconds, (double)took / LB_SEC / (double)tokens);
  if (entry->endpoint.report.tokens_per_second <= 0 && entry->stream_pace_at == 0)
    entry->single_stream_token_seconds = entry->endpoint.ewma_token_seconds;
}

static void
record_request_end (LcEndpointEntry *entry, LcRequestKind kind, LbTime sent_at, LbTime now)
{
  lc_breaker_request_ended (&entry->breaker, sent_at);
  entry->endpoint.in_flight--;
  entry->endpoint.in_flight_samples -= kind == LC_KIND_SAMPLE;
  lc_in_flight_history_add_change (&entry->in_flight_history, entry->endpoint.in_flight, false,
                                   false, now);
}

bool
lc_endpoint_invalid_load_reported (LcEndpoint *endpoint)
{
  LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);
  bool is_first = !entry->has_reported_invalid_load;

  entry->has_reported_invalid_load = true;
  return is_first;
}

void
lc_endpoint_set_idle_connections (LcEndpoint *endpoint, size_t n_idle, LbTime now)
{
  endpoint->idle_connections = n_idle;
  endpoint->idle_connections_at = now;
}

void
lc_endpoint_request_cancelled (LcEndpoint *endpoint, LcRequestKind kind, LbTime sent_at, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);

  record_request_end (entry, kind, sent_at, now);
  lc_endpoint_entry_refresh_public_state (entry, now);
}

void
lc_endpoint_request_ended (
    LcEndpoint *endpoint, LcRequestKind kind, bool ok, int64_t tokens, LbTime took, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);

  record_request_end (entry, kind, now - took, now);
  if (ok)
    {
      endpoint->last_reply_at = now;
      lc_breaker_request_succeeded (&entry->breaker, now - took);
      update_mean_service_time (entry, tokens, took);
      lc_endpoint_entry_record_service_duration (entry, took, now);
    }
  else
    {
      lc_breaker_request_failed (&entry->breaker, now - took, now);
      lc_concurrency_request_failed (&entry->concurrency, now);
    }
  lc_endpoint_entry_refresh_public_state (entry, now);
}

/* An engine rejects all new requests while it loads weights. If each rejection counted as a
 * failure, the engine's breaker would open and admit one request, then two, long after the load;
 * with frequent weight updates half of the engines would be idle. An endpoint that reports its
 * concurrency is therefore retried after REFUSAL_BACKOFF. */
void
lc_endpoint_request_refused (LcEndpoint *endpoint, LcRequestKind kind, LbTime sent_at, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);

  if (!endpoint->member.reports_concurrency)
    {
      lc_endpoint_request_ended (endpoint, kind, false, 0, now - sent_at, now);
      return;
    }
  record_request_end (entry, kind, sent_at, now);
  entry->refused_until = now + REFUSAL_BACKOFF;
  lc_endpoint_entry_refresh_public_state (entry, now);
}

LcEndpoint *
lc_endpoints_find (LcEndpoints *endpoints, const char *name)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  return entry ? &entry->endpoint : NULL;
}
