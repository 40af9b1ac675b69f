#include "ln-calls-private.h"

#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-histogram.h"
#include "lb-log.h"

#include <event2/buffer.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Endpoints refuse a request at once, so an attempt that is not refused within this time counts as
 * started. */
#define ATTEMPT_ASSUMED_STARTED_AFTER (300 * LB_MSEC)

static LbHistogram attempt_duration
    = LB_HISTOGRAM_INIT ("lentilspindle_attempt_seconds",
                         "Duration of attempts at endpoints, complete or not");
static LbMetric invalid_load_figures = LB_COUNTER_INIT (
    "lentilspindle_invalid_load_figures_total",
    NULL,
    "Figures in endpoints' load headers that are missing, unreadable or out of range");
static LbMetric pieces_dropped = LB_COUNTER_INIT (
    "lentilspindle_pieces_dropped_total",
    NULL,
    "Pieces of answers dropped as repeated, out of order or from a losing attempt");

static void
clear_sample_piece_message (LnMessage *message)
{
  free (((LnSamplePieceMessage *)message)->text);
}

void
ln_calls_post_sample_piece (LnCalls *calls,
                            const LnCall *call,
                            const LcPiece *piece,
                            const char *endpoint,
                            const char *text)
{
  LnSamplePieceMessage message
      = { .base = LN_MESSAGE (LN_SAMPLE_PIECE), .request = call->spec.id, .piece = *piece };

  LB_COPY (message.endpoint, endpoint);
  message.text = calls->context->dialect ? lb_strdup (text) : NULL;
  message.base.clear = clear_sample_piece_message;
  LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), message);
}

/* Records the weight version that an engine reports in its events. The report is more reliable than
 * the endpoint list, which lags behind, and than the plan of the engines' weight loads, which may
 * be wrong. */
static void
record_reported_weight_version (LnCalls *calls,
                                const LnCall *call,
                                const LnUpstream *upstream,
                                LcVersion version)
{
  LcEndpoints *endpoints = lc_dispatch_get_endpoints (calls->dispatch);
  const LcEndpoint *endpoint
      = lc_endpoints_find (endpoints, ln_upstream_get_endpoint_name (upstream));
  LcLoadReport report = { 0 };

  if (!endpoint || version <= 0 || endpoint->report.version == version
      || strcmp (endpoint->member.pool, call->spec.pool) != 0)
    return;
  lb_log (LB_LOG_INFO, "endpoint_version", LB_TEXT ("endpoint", endpoint->member.name),
          LB_INT ("believed", endpoint->report.version), LB_INT ("stated", version));
  report = endpoint->report;
  report.version = version;
  report.measured_at = lb_clock_monotonic ();
  report.running = endpoint->in_flight;
  lc_endpoints_record_load_report (endpoints, endpoint->member.name, &report, report.measured_at);
}

static void
count_and_log_invalid_load (LcEndpoint *endpoint, const LnReportedLoad *load)
{
  lb_metric_add (&invalid_load_figures, load->n_invalid_figures);
  if (lc_endpoint_invalid_load_reported (endpoint))
    lb_log (LB_LOG_WARNING, "endpoint_load_invalid", LB_TEXT ("endpoint", endpoint->member.name),
            LB_INT ("invalid_figures", load->n_invalid_figures),
            LB_BOOL ("requests_known", load->is_reported), LB_INT ("slots", load->slots),
            LB_INT ("work_time_percent", load->work_time_percent));
}

static void
fill_load_report (LcLoadReport *report, const LcEndpoint *endpoint, const LnReportedLoad *load)
{
  LB_COPY (report->incarnation, endpoint->member.name);
  report->version = endpoint->report.version;
  report->running = load->running;
  report->waiting = load->waiting;
  report->slots = load->slots;
  report->work_time_percent = load->work_time_percent;
}

/* Records the load that the endpoint reports in its reply headers, which saves a load request. The
 * headers of a stream precede its first event, so they are read with the first piece: at the end of
 * the stream the load would be out of date by the duration of the stream. */
static void
record_reported_endpoint_load (LnCalls *calls, LnAttempt *attempt, const LnUpstream *upstream)
{
  LcEndpoint *endpoint = lc_endpoints_find (lc_dispatch_get_endpoints (calls->dispatch),
                                            ln_upstream_get_endpoint_name (upstream));
  LcLoadReport report = { 0 };
  LnReportedLoad load;

  ln_upstream_read_load (upstream, &load);
  attempt->is_load_read = true;
  if (!endpoint)
    return;
  if (load.n_invalid_figures > 0)
    count_and_log_invalid_load (endpoint, &load);
  report.measured_at = lb_clock_monotonic ();
  if (!load.is_reported)
    {
      lc_endpoint_work_time_reported (endpoint, load.work_time_percent, report.measured_at);
      return;
    }
  fill_load_report (&report, endpoint, &load);
  /* Samples of batches fill the engines on purpose, and their number is known in advance, so their
   * load is no sign of overload. */
  if (attempt->call->kind != LN_CALL_SAMPLE)
    lc_utilisation_add_report (calls->utilisation, endpoint->member.service,
                               load.running + load.waiting, endpoint->member.concurrency);
  lc_endpoints_record_load_report (lc_dispatch_get_endpoints (calls->dispatch),
                                   endpoint->member.name, &report, report.measured_at);
}

/* Records a load report at the end of a stream, which shows that the endpoint works. The load is
 * estimated from the last report and this instance's requests since then. Otherwise an engine would
 * have no current load report after a long stream while the store is unavailable. */
static void
confirm_endpoint_load (LnCalls *calls, const LnUpstream *upstream)
{
  LcEndpoints *endpoints = lc_dispatch_get_endpoints (calls->dispatch);
  const LcEndpoint *endpoint
      = lc_endpoints_find (endpoints, ln_upstream_get_endpoint_name (upstream));
  LcLoadReport report = { 0 };

  if (!endpoint || !calls->context->dialect)
    return;
  report = endpoint->report;
  report.running = lc_endpoint_estimate_requests (endpoint);
  report.is_from_registry = false;
  report.waiting = 0;
  report.work_time_percent = 0;
  report.measured_at = lb_clock_monotonic ();
  lc_endpoints_record_load_report (endpoints, endpoint->member.name, &report, report.measured_at);
}

static void
on_piece_received (LnUpstream *upstream,
                   const LcPiece *piece,
                   struct json_object *event,
                   const char *text,
                   void *user)
{
  LnAttempt *attempt = user;
  LnCall *call = attempt->call;
  LnCalls *calls = call->owner;
  LbList actions;

  lb_list_init (&actions);
  if (calls->context->dialect)
    {
      if (!attempt->is_load_read)
        record_reported_endpoint_load (calls, attempt, upstream);
      record_reported_weight_version (calls, call, upstream, piece->version);
    }
  LcPieceVerdict verdict = lc_dispatch_receive_piece (calls->dispatch, call->spec.id,
                                                      ln_upstream_get_attempt_number (upstream),
                                                      piece, lb_clock_monotonic (), &actions);
  if (verdict == LC_PIECE_DROP)
    lb_metric_add (&pieces_dropped, 1);
  else
    {
      ln_attempt_add_piece (attempt, piece, event, text);
      if (call->spec.delivery == LC_DELIVER_STREAM && !calls->context->dialect)
        evbuffer_add (call->sent_text, text, strlen (text));
      if (call->wants_stream)
        ln_call_forward_event (call, event, ln_upstream_get_endpoint_name (upstream));
      else if (call->kind == LN_CALL_SAMPLE && call->spec.delivery == LC_DELIVER_STREAM)
        ln_calls_post_sample_piece (calls, call, piece, ln_upstream_get_endpoint_name (upstream),
                                    text);
    }
  ln_calls_perform_actions (calls, &actions);
}

static void
log_attempt_end (const LnAttempt *attempt, LcAttemptEnd end)
{
  static const char *const names[] = {
    [LC_END_COMPLETE] = "whole",
    [LC_END_REFUSED] = "refused",
    [LC_END_REFUSED_LEAVING] = "gone",
    [LC_END_NOT_SENT] = "not_handed",
    [LC_END_REFUSED_CONDITION] = "condition",
    [LC_END_BROKEN] = "broken",
    [LC_END_REJECTED] = "rejected",
    [LC_END_FAILED] = "failed",
  };
  const LnCall *call = attempt->call;
  char content[LC_FINGERPRINT_TEXT_SIZE];

  lc_fingerprint_to_text (call->spec.content, content);
  lb_histogram_add (&attempt_duration, lb_clock_monotonic () - attempt->sent_at);
  lb_log (LB_LOG_INFO, "attempt_ended", LB_INT ("request", call->spec.id),
          LB_TEXT ("id", call->outgoing.id), LB_TEXT ("caller", call->spec.caller),
          LB_TEXT ("content", content),
          LB_INT ("attempt", ln_upstream_get_attempt_number (attempt->upstream)),
          LB_TEXT ("endpoint", ln_upstream_get_endpoint_name (attempt->upstream)),
          LB_TEXT ("outcome", names[end]),
          LB_INT ("status", ln_upstream_get_http_status (attempt->upstream)),
          LB_INT ("pieces", attempt->tokens),
          LB_INT ("took_us", lb_clock_monotonic () - attempt->sent_at));
}

/* Stores the endpoint's number of idle connections for the router, which prefers an endpoint with
 * an idle connection among equally good ones. */
static void
update_endpoint_idle_connections (LnCalls *calls, const char *endpoint_name)
{
  LcEndpoint *endpoint
      = lc_endpoints_find (lc_dispatch_get_endpoints (calls->dispatch), endpoint_name);

  if (endpoint)
    lc_endpoint_set_idle_connections (endpoint,
                                      lh_pool_count_idle_connections (calls->context->http_pool,
                                                                      endpoint->member.address),
                                      lb_clock_monotonic ());
}

/* Counts the call once in its organisation's usage, at the start of its first attempt that was not
 * refused, since a plain service starts work on an accepted request at once. */
void
ln_calls_count_call_in_usage (LnCalls *calls, const LnAttempt *attempt)
{
  LnCall *call = attempt->call;
  LnTask *duties = ln_hub_find_task (calls->task.hub, "duties");
  LnRequestStartedMessage message
      = { .base = LN_MESSAGE (LN_REQUEST_STARTED), .at = attempt->sent_at };

  if (call->is_usage_counted || call->kind != LN_CALL_SERVICE || !call->organisation[0] || !duties)
    return;
  call->is_usage_counted = true;
  LB_COPY (message.organisation, call->organisation);
  LN_POST (calls->task.hub, duties, message);
}

/* Counts a running call in its organisation's usage without waiting for the call's end, because the
 * usage report for the time window in which the call started may be due before the call ends. */
void
ln_calls_count_running_call_in_usage (LnCalls *calls, LnCall *call, LbTime now)
{
  LB_LIST_FOREACH (&call->attempts, LnAttempt, link, attempt)
  {
    if (now - attempt->sent_at >= ATTEMPT_ASSUMED_STARTED_AFTER)
      {
        ln_calls_count_call_in_usage (calls, attempt);
        return;
      }
  }
}

static bool
attempt_may_have_run (LcAttemptEnd end)
{
  return end != LC_END_REFUSED && end != LC_END_REFUSED_LEAVING && end != LC_END_REFUSED_CONDITION
         && end != LC_END_NOT_SENT;
}

/* Requests a check of the endpoint after a lost connection, since only a check tells a crash of the
 * endpoint from a single truncated answer. A stream that is resumed after its last piece is not
 * reported, since its next attempt is a different request. */
static void
report_lost_connection_to_endpoint_checks (LnCalls *calls,
                                           const LnAttempt *attempt,
                                           LcAttemptEnd end)
{
  const LnUpstream *upstream = attempt->upstream;
  const LcRequestSpec *spec = &attempt->call->spec;
  bool is_resumed = attempt->tokens > 0 && spec->resumable && spec->delivery == LC_DELIVER_STREAM;

  if (end == LC_END_BROKEN && !is_resumed && ln_upstream_has_lost_connection (upstream))
    ln_endpoint_checks_on_request_failed (calls->checks, ln_upstream_get_endpoint_name (upstream),
                                          ln_upstream_get_endpoint_address (upstream),
                                          spec->content);
}

/* Keeps the attempt until the resulting actions are performed, since a FINISH action takes the
 * answer from the attempt. */
static void
on_attempt_ended (LnUpstream *upstream, LcAttemptEnd end, void *user)
{
  LnAttempt *attempt = user;
  LnCall *call = attempt->call;
  LnCalls *calls = call->owner;
  LbList actions;

  lb_list_init (&actions);
  if (!attempt->is_load_read)
    record_reported_endpoint_load (calls, attempt, upstream);
  else if (end == LC_END_COMPLETE)
    confirm_endpoint_load (calls, upstream);
  update_endpoint_idle_connections (calls, ln_upstream_get_endpoint_name (upstream));
  lb_list_remove (&call->attempts, &attempt->link);
  call->ended_attempt = attempt;
  log_attempt_end (attempt, end);
  if (attempt_may_have_run (end))
    ln_calls_count_call_in_usage (calls, attempt);
  report_lost_connection_to_endpoint_checks (calls, attempt, end);
  LcRequestId id = call->spec.id;
  lc_dispatch_record_attempt_end (calls->dispatch, id, ln_upstream_get_attempt_number (upstream),
                                  end, lb_clock_monotonic (), &actions);
  ln_calls_perform_actions (calls, &actions);
  ln_crashes_publish_clearances (calls->crashes);
  if (end == LC_END_REFUSED_LEAVING)
    ln_calls_broadcast_endpoint_leaving (calls, ln_upstream_get_endpoint_name (upstream));
  call = ln_calls_find (calls, id);
  if (call)
    call->ended_attempt = NULL;
  ln_attempt_free (attempt);
}

static LnUpstream *
start_engine_attempt (LnCalls *calls, LnAttempt *attempt, const LcAction *action, LbError *error)
{
  static const LnUpstreamHandlers handlers
      = { .on_piece = on_piece_received, .on_end = on_attempt_ended };
  static const LhHeader headers[] = { { "Content-Type", "application/json" } };
  LnCall *call = attempt->call;
  char stream_id[96];

  snprintf (stream_id, sizeof stream_id, "%s-%llu.%u", calls->context->incarnation,
            (unsigned long long)action->request, action->attempt);
  char *body = ln_call_format_engine_body (call, stream_id, action->resume_at);
  const LnUpstreamSpec spec
      = { .request = action->request,
          .attempt = action->attempt,
          .endpoint = action->endpoint,
          .address = action->address,
          .method = "POST",
          .path = ln_call_get_engine_path (call),
          .headers = headers,
          .n_headers = 1,
          .body = body,
          .body_length = strlen (body),
          .stream_id = stream_id,
          .external_id = call->outgoing.id,
          .idle_timeout = calls->context->settings->calls.stream_silence_ms * LB_MSEC };
  LnUpstream *upstream
      = ln_upstream_start (calls->context->http_pool, &spec, &handlers, attempt, error);
  free (body);
  return upstream;
}

/* A plain service sends nothing while it works, so its idle timeout is the time to the deadline. */
static LbTime
get_plain_service_idle_timeout (const LnCall *call)
{
  LbTime left = call->spec.deadline - lb_clock_monotonic ();

  return left < LB_SEC ? LB_SEC : left;
}

static LnUpstream *
start_service_attempt (LnCalls *calls, LnAttempt *attempt, const LcAction *action, LbError *error)
{
  static const LnUpstreamHandlers handlers = { .on_end = on_attempt_ended };
  LnCall *call = attempt->call;
  const LnUpstreamSpec spec = { .request = action->request,
                                .attempt = action->attempt,
                                .endpoint = action->endpoint,
                                .address = action->address,
                                .method = call->method,
                                .path = call->path,
                                .headers = call->headers,
                                .n_headers = call->n_headers,
                                .body = call->raw_body,
                                .body_length = call->raw_length,
                                .external_id = call->outgoing.id,
                                .idle_timeout = get_plain_service_idle_timeout (call) };

  return ln_upstream_start (calls->context->http_pool, &spec, &handlers, attempt, error);
}

static LhHeader *
concatenate_headers (const LcOutgoingRequest *a, const LcOutgoingRequest *b, size_t *n)
{
  LhHeader *headers = LB_NEW_ARRAY (LhHeader, a->n_headers + b->n_headers);

  *n = 0;
  for (size_t i = 0; i < a->n_headers; i++)
    headers[(*n)++] = (LhHeader){ a->headers[i].name, a->headers[i].value };
  for (size_t i = 0; i < b->n_headers; i++)
    headers[(*n)++] = (LhHeader){ b->headers[i].name, b->headers[i].value };
  return headers;
}

/* Returns the time to the caller's deadline; 0: no deadline. The endpoint receives the time and
 * stops work at the deadline. */
static LbTime
get_time_to_deadline (const LnCall *call)
{
  LbTime left = call->spec.deadline - lb_clock_monotonic ();

  if (call->kind == LN_CALL_SAMPLE || call->spec.deadline == LB_TIME_NEVER)
    return 0;
  return left < LB_MSEC ? LB_MSEC : left;
}

static LnUpstream *
start_attempt_on_shared_platform (LnCalls *calls,
                                  LnAttempt *attempt,
                                  const LcAction *action,
                                  LbError *error)
{
  static const LnUpstreamHandlers handlers
      = { .on_piece = on_piece_received, .on_end = on_attempt_ended };
  LnCall *call = attempt->call;
  const LnDialect *dialect = calls->context->dialect;
  bool is_stream = ln_call_is_for_engine (call);
  LbTime stream_idle_timeout = calls->context->settings->calls.stream_silence_ms * LB_MSEC;
  const LnAttemptHeaders headers_to_write = { .time_left = get_time_to_deadline (call),
                                              .endpoint = action->endpoint,
                                              .resume_at = action->resume_at,
                                              .organisation = call->organisation,
                                              .is_sample = call->kind != LN_CALL_SERVICE };
  LcOutgoingRequest attempt_headers = { 0 };
  LnUpstreamSpec spec
      = { .request = action->request,
          .attempt = action->attempt,
          .endpoint = action->endpoint,
          .address = action->address,
          .method = call->outgoing.method,
          .path = call->outgoing.path,
          .host = call->outgoing.host,
          .body = call->outgoing.body,
          .body_length = call->outgoing.body_length,
          .dialect = dialect,
          .external_id = call->outgoing.id,
          .is_stream = is_stream,
          .is_conditional = dialect->is_conditional_request (&call->outgoing),
          .idle_timeout = is_stream ? stream_idle_timeout : get_plain_service_idle_timeout (call) };

  LB_COPY (attempt_headers.id, call->outgoing.id);
  dialect->write_attempt_headers (&headers_to_write, &attempt_headers);
  LhHeader *headers = concatenate_headers (&call->outgoing, &attempt_headers, &spec.n_headers);
  spec.headers = headers;
  LnUpstream *upstream
      = ln_upstream_start (calls->context->http_pool, &spec, &handlers, attempt, error);
  free (headers);
  lc_outgoing_request_clear (&attempt_headers);
  return upstream;
}

LnUpstream *
ln_calls_start_attempt (LnCalls *calls, LnAttempt *attempt, const LcAction *action, LbError *error)
{
  LnUpstream *upstream = NULL;

  if (calls->context->dialect)
    upstream = start_attempt_on_shared_platform (calls, attempt, action, error);
  else if (ln_call_is_for_engine (attempt->call))
    upstream = start_engine_attempt (calls, attempt, action, error);
  else
    upstream = start_service_attempt (calls, attempt, action, error);
  update_endpoint_idle_connections (calls, action->endpoint);
  return upstream;
}
