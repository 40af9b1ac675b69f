#include "lc-endpoint-table.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-switch.h"

#include <math.h>
#include <string.h>

#define EWMA_WEIGHT 0.1
/* A load takes about a second; one request in this time finds out that it is over. */
#define REFUSED_FOR (120 * LB_MSEC)
#define MAX_TOKENS_PER_SECOND 1e6
/* An endpoint of which no stream was seen for so long is tried again as if it were well: engines
 * turn slow for five to ten seconds. */
#define PACE_KEPT (4 * LB_SEC)
#define PACE_REVIEW (500 * LB_MSEC)

static void
end_swap_if_stated (LcEndpointEntry *entry)
{
  LcEndpoint *endpoint = &entry->endpoint;
  const LcLoadReport *report = &endpoint->report;

  if (report->version > 0 && report->version != entry->version_before_swap
      && report->measured_at >= entry->swap_since)
    endpoint->swap_pending = false;
}

static LcEndpointGroup *
group_of (const LcEndpointEntry *entry)
{
  const LcEndpointMember *member = &entry->endpoint.member;

  return lc_endpoints_find_group (entry->table, (LcEndpointKind)member->kind, member->pool);
}

static void
learn_token_time (LcEndpointEntry *entry)
{
  const LcLoadReport *report = &entry->endpoint.report;
  LcEndpointGroup *group = group_of (entry);
  double fill = fmin (1, (double)report->running / entry->concurrency.most);

  if (report->tokens_per_second <= 0)
    return;
  lc_batch_cost_add_report (&group->batch_cost, fill, 1 / report->tokens_per_second);
  group->batch_slowdown = lc_batch_cost_slowdown (&group->batch_cost);
  entry->single_stream_token_seconds
      = 1 / report->tokens_per_second / (1 + group->batch_slowdown * fill);
}

static void
take_report (LcEndpointEntry *entry, const LcLoadReport *report)
{
  LcEndpoint *endpoint = &entry->endpoint;
  char known[sizeof endpoint->report.incarnation];

  LB_COPY (known, endpoint->report.incarnation);
  if (known[0] && report->incarnation[0] && strcmp (known, report->incarnation) != 0)
    lc_endpoint_entry_reset_process (entry);
  if (report->incarnation[0])
    lc_leaving_set_incarnation (&entry->leaving, report->incarnation);
  endpoint->report = *report;
  if (!report->incarnation[0])
    LB_COPY (endpoint->report.incarnation, known);
  entry->table->n_repeated_reports += entry->is_reported;
  entry->is_reported = true;
  endpoint->sent_since_report
      = lc_in_flight_history_sent_after (&entry->flights, report->measured_at);
  entry->live_since_report
      = lc_in_flight_history_live_sent_after (&entry->flights, report->measured_at);
  entry->in_flight_at_report = lc_in_flight_history_count_at (&entry->flights, report->measured_at);
  learn_token_time (entry);
  end_swap_if_stated (entry);
}

/* What an endpoint says of itself may be nonsense: a negative load would draw in all work, and a
 * time to come would make every later report an old one. */
static LcLoadReport
sane_report (const LcLoadReport *report, LbTime now)
{
  LcLoadReport sane = *report;

  sane.running = report->running > 0 ? report->running : 0;
  sane.waiting = report->waiting > 0 ? report->waiting : 0;
  sane.version = report->version > 0 ? report->version : 0;
  if (!(report->tokens_per_second > 0 && report->tokens_per_second < MAX_TOKENS_PER_SECOND))
    sane.tokens_per_second = 0;
  sane.measured_at = report->measured_at < now ? report->measured_at : now;
  return sane;
}

static const char *const leaving_sources[] = {
  [LC_LEAVING_RESOURCE] = "resource",
  [LC_LEAVING_PLATFORM] = "platform",
  [LC_LEAVING_ENDPOINT] = "endpoint",
  [LC_LEAVING_PEER] = "peer",
};

/* True when it is news that the endpoint is leaving; logged once for each incarnation. */
static bool
publish_leaving (LcEndpointEntry *entry, LcLeavingSource source, LbTime now)
{
  bool was_leaving = entry->endpoint.leaving;

  lc_endpoint_entry_publish (entry, now);
  if (was_leaving || !entry->endpoint.leaving)
    return false;
  lb_log (LB_LOG_INFO, "endpoint-leaving", LB_TEXT ("endpoint", entry->endpoint.member.name),
          LB_TEXT ("incarnation", entry->endpoint.report.incarnation),
          LB_TEXT ("source", leaving_sources[source]));
  return true;
}

/* Reports are ordered by when they were measured: one that comes after a later one is old and
 * changes nothing, but a "leaving" in it holds for its incarnation. */
void
lc_endpoints_record_load (LcEndpoints *endpoints,
                          const char *name,
                          const LcLoadReport *report,
                          LbTime now)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  if (!entry)
    return;
  LcLoadReport sane = sane_report (report, now);

  if (!report->is_from_registry)
    entry->endpoint.last_reply_at = now;
  if (!entry->is_reported || sane.measured_at >= entry->endpoint.report.measured_at)
    take_report (entry, &sane);
  if (report->leaving)
    lc_leaving_mark (&entry->leaving, report->incarnation);
  publish_leaving (entry, LC_LEAVING_ENDPOINT, now);
}

/* The platform's list names no incarnation; pass "" with it, and call
 * lc_endpoints_clear_platform_leaving when the list no longer says leaving. Peers always name the
 * incarnation that they mean. */
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
    lc_leaving_set_platform_listed (&entry->leaving, true);
  else
    lc_leaving_mark (&entry->leaving, incarnation);
  return publish_leaving (entry, source, now);
}

/* The platform's list names the endpoint and does not say leaving. Takes back only a doubt about
 * which incarnation the list meant, never what was said of the present one. */
void
lc_endpoints_clear_platform_leaving (LcEndpoints *endpoints, const char *name, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  if (!entry)
    return;
  lc_leaving_set_platform_listed (&entry->leaving, false);
  lc_endpoint_entry_publish (entry, now);
}

/* Until is when the new weights are expected to serve. */
void
lc_endpoints_set_swap (
    LcEndpoints *endpoints, const char *name, bool pending, LbTime until, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  if (!entry)
    return;
  if (pending && !entry->endpoint.swap_pending)
    {
      entry->swap_since = now;
      entry->version_before_swap = entry->endpoint.report.version;
    }
  entry->endpoint.swap_pending = pending;
  entry->endpoint.swap_until = until;
  lc_endpoint_entry_publish (entry, now);
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
    lc_prefix_index_apply_event (endpoints->prefix_index, &entry->cache, sequence, stored,
                                 prefix_hash, now);
}

/* Prefix_hash is that of the whole prompt; 0: none. */
void
lc_endpoint_request_sent (LcEndpoint *endpoint,
                          LcRequestKind kind,
                          uint64_t prefix_hash,
                          LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_entry (endpoint);

  endpoint->in_flight++;
  endpoint->in_flight_rollout += kind == LC_KIND_SAMPLE;
  endpoint->sent_since_report++;
  entry->live_since_report += kind != LC_KIND_SAMPLE;
  lc_in_flight_history_add (&entry->flights, endpoint->in_flight, true, kind != LC_KIND_SAMPLE,
                            now);
  lc_breaker_request_sent (&entry->breaker, now);
  if (prefix_hash != 0)
    lc_prefix_index_add_sent (entry->table->prefix_index, &entry->cache, prefix_hash, now);
  lc_endpoint_entry_publish (entry, now);
}

static void
ewma_add (double *mean, double sample)
{
  *mean = *mean > 0 ? *mean + EWMA_WEIGHT * (sample - *mean) : sample;
}

/* Waited is from the sending of the request to its first byte. */
void
lc_endpoint_first_byte_received (LcEndpoint *endpoint, LbTime waited, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_entry (endpoint);
  double seconds = (double)waited / LB_SEC;

  endpoint->last_reply_at = now;
  ewma_add (&endpoint->ewma_first_byte_seconds, seconds);
  lc_concurrency_first_byte_received (&entry->concurrency, seconds, endpoint->in_flight, now);
  lc_endpoint_entry_publish (entry, now);
}

/* Seconds of one token at the fastest endpoint of the group; 0: none is known. */
static double
fastest_pace (const LcEndpointEntry *entry, const LcEndpointGroup *group)
{
  double fastest = 0;

  for (size_t i = 0; i < group->n_slots; i++)
    {
      const LcEndpointEntry *other
          = lc_endpoint_entry (entry->table->summaries[group->slots[i]].endpoint);
      double seconds = other->paced_at > 0 ? lc_stream_pace_token_seconds (&other->pace) : 0;
      if (seconds > 0 && (fastest == 0 || seconds < fastest))
        fastest = seconds;
    }
  return fastest;
}

static void
forget_pace (LcEndpointEntry *entry, double token_seconds, LbTime now)
{
  entry->pace = (LcStreamPace){ 0 };
  entry->paced_at = 0;
  entry->single_stream_token_seconds = token_seconds;
  lc_endpoint_entry_publish (entry, now);
}

/* An engine that was slow gets no requests as long as others have room, so nothing would ever show
 * that it is well again. */
static void
review_paces (LcEndpointEntry *entry, LcEndpointGroup *group, LbTime now)
{
  double fastest = 0;

  if (now < group->next_pace_review_at)
    return;
  group->next_pace_review_at = now + PACE_REVIEW;
  fastest = fastest_pace (entry, group);
  group->fastest_token_seconds = fastest;
  for (size_t i = 0; fastest > 0 && i < group->n_slots; i++)
    {
      LcEndpointEntry *other
          = lc_endpoint_entry (entry->table->summaries[group->slots[i]].endpoint);
      if (other->paced_at > 0 && now - other->paced_at > PACE_KEPT)
        forget_pace (other, fastest, now);
    }
}

/* Guards against an engine that turns slow: it is known by the whole time of requests that ended
 * there, and until its long texts end, several seconds later, it gets as many new ones as before.
 */
void
lc_endpoint_tokens_received (LcEndpoint *endpoint, int64_t tokens, LbTime interval, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_entry (endpoint);
  double seconds = 0;

  if (tokens > 0)
    endpoint->last_reply_at = now;
  if (!lb_switch_is_on (LB_SWITCH_PACE))
    return;
  lc_stream_pace_add (&entry->pace, tokens, interval);
  entry->paced_at = now;
  seconds = lc_stream_pace_token_seconds (&entry->pace);
  review_paces (entry, group_of (entry), now);
  if (seconds == 0 || endpoint->report.tokens_per_second > 0)
    return;
  entry->single_stream_token_seconds = seconds;
  lc_endpoint_entry_publish (entry, now);
}

static void
learn_service_time (LcEndpointEntry *entry, int64_t tokens, LbTime took)
{
  ewma_add (&group_of (entry)->mean_service_seconds, (double)took / LB_SEC);
  if (tokens == 0)
    return;
  ewma_add (&entry->endpoint.ewma_token_seconds, (double)took / LB_SEC / (double)tokens);
  if (entry->endpoint.report.tokens_per_second <= 0 && entry->paced_at == 0)
    entry->single_stream_token_seconds = entry->endpoint.ewma_token_seconds;
}

static void
count_out (LcEndpointEntry *entry, LcRequestKind kind, LbTime now)
{
  entry->endpoint.in_flight--;
  entry->endpoint.in_flight_rollout -= kind == LC_KIND_SAMPLE;
  lc_in_flight_history_add (&entry->flights, entry->endpoint.in_flight, false, false, now);
}

void
lc_endpoint_set_idle_connections (LcEndpoint *endpoint, size_t n_idle, LbTime now)
{
  endpoint->idle_connections = n_idle;
  endpoint->idle_connections_at = now;
}

void
lc_endpoint_request_cancelled (LcEndpoint *endpoint, LcRequestKind kind, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_entry (endpoint);

  count_out (entry, kind, now);
  lc_endpoint_entry_publish (entry, now);
}

void
lc_endpoint_request_ended (
    LcEndpoint *endpoint, LcRequestKind kind, bool ok, int64_t tokens, LbTime took, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_entry (endpoint);

  count_out (entry, kind, now);
  if (ok)
    {
      endpoint->last_reply_at = now;
      lc_breaker_request_succeeded (&entry->breaker, now - took);
      learn_service_time (entry, tokens, took);
    }
  else
    {
      lc_breaker_request_failed (&entry->breaker, now - took, now);
      lc_concurrency_request_failed (&entry->concurrency, now);
    }
  lc_endpoint_entry_publish (entry, now);
}

/* An engine refuses all new requests while it loads weights. Were each refusal a failure, its
 * breaker would open and let it have one request, then two, long after the load: as often as
 * weights change, half of the engines would stand idle. One that states its size is asked again
 * shortly instead. */
void
lc_endpoint_request_refused (LcEndpoint *endpoint, LcRequestKind kind, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_entry (endpoint);

  if (!endpoint->member.reports_concurrency)
    {
      lc_endpoint_request_ended (endpoint, kind, false, 0, 0, now);
      return;
    }
  count_out (entry, kind, now);
  entry->refused_until = now + REFUSED_FOR;
  lc_endpoint_entry_publish (entry, now);
}

LcEndpoint *
lc_endpoints_find (LcEndpoints *endpoints, const char *name)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, name);

  return entry ? &entry->endpoint : NULL;
}
