#include "ln-call.h"

#include "ln-fetch-outgoing.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"
#include "lh-request-check.h"

#include <event2/buffer.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define JSON_FORMAT_FLAGS (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

LnCall *
ln_call_new (LnCallKind kind)
{
  LnCall *call = LB_NEW (LnCall);

  call->kind = kind;
  call->sent_text = evbuffer_new ();
  call->replay_events = evbuffer_new ();
  lb_list_init (&call->attempts);
  return call;
}

void
ln_call_free (LnCall *call)
{
  LB_LIST_FOREACH (&call->attempts, LnAttempt, link, attempt)
  {
    ln_upstream_cancel (attempt->upstream);
    ln_attempt_free (attempt);
  }
  for (size_t i = 0; i < call->n_headers; i++)
    {
      free ((char *)call->headers[i].name);
      free ((char *)call->headers[i].value);
    }
  free (call->headers);
  free (call->method);
  free (call->path);
  free (call->raw_body);
  free (call->resume_text);
  lc_outgoing_request_clear (&call->outgoing);
  evbuffer_free (call->sent_text);
  evbuffer_free (call->replay_events);
  json_object_put (call->body);
  free (call);
}

bool
ln_call_is_for_engine (const LnCall *call)
{
  return call->kind != LN_CALL_SERVICE && call->kind != LN_CALL_SCORE;
}

const char *
ln_call_get_engine_path (const LnCall *call)
{
  return call->kind == LN_CALL_CHAT ? "/v1/chat/completions" : "/v1/completions";
}

bool
ln_call_check_request (const LnCall *call, LbError *error)
{
  const LhRequest request = { .method = call->method,
                              .path = call->path,
                              .headers = call->headers,
                              .n_headers = call->n_headers };

  if (call->outgoing.path)
    return ln_outgoing_request_check (&call->outgoing, error);
  return !call->path || lh_request_check (&request, error);
}

LcFingerprint
ln_call_compute_fingerprint (const LnCall *call)
{
  const LcOutgoingRequest *outgoing = &call->outgoing;
  const char *text = NULL;

  if (outgoing->path)
    return lc_fingerprint_of_request (call->organisation, outgoing->method, outgoing->host,
                                      outgoing->path, outgoing->body, outgoing->body_length);
  if (!ln_call_is_for_engine (call))
    return lc_fingerprint_of_request (call->organisation, call->method, NULL, call->path,
                                      call->raw_body, call->raw_length);
  text = json_object_to_json_string_ext (call->body, JSON_FORMAT_FLAGS);
  return lc_fingerprint_of_request (call->organisation, "POST", NULL,
                                    ln_call_get_engine_path (call), text, strlen (text));
}

static struct json_object *
make_resume_object (LnCall *call, int64_t resume_at)
{
  struct json_object *resume = json_object_new_object ();
  size_t length = evbuffer_get_length (call->sent_text);
  const char *sent = length > 0 ? (const char *)evbuffer_pullup (call->sent_text, -1) : "";
  char *text
      = lb_asprintf ("%s%.*s", call->resume_text ? call->resume_text : "", (int)length, sent);

  json_object_object_add (resume, "offset", json_object_new_int64 (resume_at));
  json_object_object_add (resume, "text", json_object_new_string (text));
  free (text);
  return resume;
}

char *
ln_call_format_engine_body (LnCall *call, const char *stream_id, int64_t resume_at)
{
  json_object_object_add (call->body, "stream", json_object_new_boolean (true));
  json_object_object_add (call->body, "request_id", json_object_new_string (stream_id));
  json_object_object_add (call->body, "priority", json_object_new_int (call->spec.priority));
  json_object_object_del (call->body, "resume");
  if (resume_at > 0)
    json_object_object_add (call->body, "resume", make_resume_object (call, resume_at));
  return lb_strdup (json_object_to_json_string_ext (call->body, JSON_FORMAT_FLAGS));
}

LnAttempt *
ln_attempt_new (LnCall *call)
{
  LnAttempt *attempt = LB_NEW (LnAttempt);

  attempt->call = call;
  attempt->text = evbuffer_new ();
  lb_list_append (&call->attempts, &attempt->link);
  return attempt;
}

void
ln_attempt_free (LnAttempt *attempt)
{
  if (lb_link_is_in_list (&attempt->link))
    lb_list_remove (&attempt->call->attempts, &attempt->link);
  evbuffer_free (attempt->text);
  free (attempt->pieces);
  free (attempt);
}

LnAttempt *
ln_call_find_attempt (LnCall *call, uint32_t number)
{
  LB_LIST_FOREACH (&call->attempts, LnAttempt, link, attempt)
  {
    if (ln_upstream_get_attempt_number (attempt->upstream) == number)
      return attempt;
  }
  return NULL;
}

static void
add_weight_version (LnAttempt *attempt, LcVersion version)
{
  if (version == 0 || attempt->n_versions == LN_MAX_WEIGHT_VERSIONS)
    return;
  for (size_t i = 0; i < attempt->n_versions; i++)
    if (attempt->versions[i] == version)
      return;
  attempt->versions[attempt->n_versions++] = version;
}

static void
record_finish_reason (LnAttempt *attempt, struct json_object *event)
{
  struct json_object *choices = NULL;
  struct json_object *reason = NULL;

  if (json_object_object_get_ex (event, "choices", &choices)
      && json_object_object_get_ex (json_object_array_get_idx (choices, 0), "finish_reason",
                                    &reason)
      && reason)
    LB_COPY (attempt->finish_reason, json_object_get_string (reason));
}

void
ln_attempt_add_piece (LnAttempt *attempt,
                      const LcPiece *piece,
                      struct json_object *event,
                      const char *text)
{
  attempt->tokens += piece->tokens;
  add_weight_version (attempt, piece->version);
  add_weight_version (attempt, piece->kv_reused_version);
  record_finish_reason (attempt, event);
  if (attempt->call->spec.delivery != LC_DELIVER_BUFFERED)
    return;
  evbuffer_add (attempt->text, text, strlen (text));
  attempt->pieces = lb_realloc (attempt->pieces, (attempt->n_pieces + 1) * sizeof (LcPiece));
  attempt->pieces[attempt->n_pieces++] = *piece;
}

static void
set_common_reply_fields (LnCall *call, struct json_object *event)
{
  const char *type = call->kind == LN_CALL_CHAT ? "chat.completion.chunk" : "text_completion";

  json_object_object_add (event, "id", json_object_new_string (call->stream_id));
  json_object_object_add (event, "object", json_object_new_string (type));
  json_object_object_add (event, "created", json_object_new_int64 (lb_clock_wall_ms () / 1000));
  json_object_object_add (event, "model", json_object_new_string (call->spec.pool));
}

static void
start_reply_stream (LnCall *call, const char *endpoint)
{
  call->is_stream_started = true;
  ln_exchange_set_reply_header (call->exchange, "x-endpoint", endpoint);
  ln_exchange_set_reply_header (call->exchange, "Cache-Control", "no-cache");
  ln_exchange_start_stream (call->exchange, 200, "text/event-stream");
}

void
ln_call_forward_event (LnCall *call, struct json_object *event, const char *endpoint)
{
  size_t length;

  set_common_reply_fields (call, event);
  char *line
      = lb_asprintf ("data: %s\n\n", json_object_to_json_string_ext (event, JSON_FORMAT_FLAGS));
  length = strlen (line);
  if (call->has_ticket)
    evbuffer_add (call->replay_events, line, length);
  if (call->exchange && !call->is_stream_started)
    start_reply_stream (call, endpoint);
  if (call->exchange)
    ln_exchange_write_stream (call->exchange, line, length);
  call->last_sent_at = lb_clock_monotonic ();
  free (line);
}

void
ln_call_send_keep_alive (LnCall *call, LbTime idle_since, LbTime now)
{
  static const char comment[] = ": keep-alive\n\n";

  if (!call->exchange || !call->is_stream_started || call->last_sent_at > idle_since)
    return;
  ln_exchange_write_stream (call->exchange, comment, sizeof comment - 1);
  call->last_sent_at = now;
}

static void
set_weight_versions_header (LnExchange *exchange, const LnAttempt *attempt)
{
  char text[LN_MAX_WEIGHT_VERSIONS * 21 + 1] = "";
  size_t used = 0;

  for (size_t i = 0; i < attempt->n_versions; i++)
    used += (size_t)snprintf (text + used, sizeof text - used, "%s%lld", i > 0 ? "," : "",
                              (long long)attempt->versions[i]);
  if (used > 0)
    ln_exchange_set_reply_header (exchange, "x-weight-versions", text);
}

static struct json_object *
make_choice_object (const LnCall *call, LnAttempt *winner)
{
  struct json_object *choice = json_object_new_object ();
  size_t length = evbuffer_get_length (winner->text);
  const char *bytes = length > 0 ? (const char *)evbuffer_pullup (winner->text, -1) : "";
  struct json_object *text = json_object_new_string_len (bytes, (int)length);

  json_object_object_add (choice, "index", json_object_new_int (0));
  if (call->kind == LN_CALL_CHAT)
    {
      struct json_object *message = json_object_new_object ();
      json_object_object_add (message, "role", json_object_new_string ("assistant"));
      json_object_object_add (message, "content", text);
      json_object_object_add (choice, "message", message);
    }
  else
    json_object_object_add (choice, "text", text);
  json_object_object_add (choice, "finish_reason", json_object_new_string (winner->finish_reason));
  return choice;
}

static struct json_object *
make_completion_object (LnCall *call, LnAttempt *winner)
{
  struct json_object *reply = json_object_new_object ();
  struct json_object *choices = json_object_new_array ();
  struct json_object *usage = json_object_new_object ();

  set_common_reply_fields (call, reply);
  if (call->kind == LN_CALL_CHAT)
    json_object_object_add (reply, "object", json_object_new_string ("chat.completion"));
  json_object_array_add (choices, make_choice_object (call, winner));
  json_object_object_add (reply, "choices", choices);
  json_object_object_add (usage, "completion_tokens", json_object_new_int64 (winner->tokens));
  json_object_object_add (reply, "usage", usage);
  return reply;
}

static void
reply_with_completion (LnCall *call, LnAttempt *winner)
{
  ln_exchange_set_reply_header (call->exchange, "x-endpoint",
                                ln_upstream_get_endpoint_name (winner->upstream));
  set_weight_versions_header (call->exchange, winner);
  ln_exchange_reply_json (call->exchange, 200, make_completion_object (call, winner));
}

static void
forward_header_to_caller (const char *name, const char *value, void *user)
{
  if (!lh_is_hop_by_hop_header (name))
    ln_exchange_set_reply_header (user, name, value);
}

static void
forward_service_reply (LnCall *call, LnAttempt *winner)
{
  size_t length;
  const char *body = ln_upstream_get_reply_body (winner->upstream, &length);

  lh_fetch_visit_response_headers (ln_upstream_get_fetch (winner->upstream),
                                   forward_header_to_caller, call->exchange);
  if (!call->outgoing.path)
    ln_exchange_set_reply_header (call->exchange, "x-endpoint",
                                  ln_upstream_get_endpoint_name (winner->upstream));
  ln_exchange_reply_text (call->exchange, ln_upstream_get_http_status (winner->upstream), NULL,
                          body, length);
}

static const char end_event[] = "data: [DONE]\n\n";

static void
copy_service_reply_to_answer (LnAttempt *winner, LnAnswer *answer)
{
  const char *type
      = lh_fetch_get_response_header (ln_upstream_get_fetch (winner->upstream), "Content-Type");
  const char *body = ln_upstream_get_reply_body (winner->upstream, &answer->length);

  answer->status = ln_upstream_get_http_status (winner->upstream);
  LB_COPY (answer->content_type, type ? type : "");
  answer->body = lb_memdup (body, answer->length);
}

static void
copy_stream_events_to_answer (LnCall *call, LnAnswer *answer)
{
  evbuffer_add (call->replay_events, end_event, sizeof end_event - 1);
  LB_COPY (answer->content_type, "text/event-stream");
  answer->length = evbuffer_get_length (call->replay_events);
  answer->body = lb_malloc (answer->length);
  evbuffer_copyout (call->replay_events, answer->body, answer->length);
}

static void
copy_completion_to_answer (LnCall *call, LnAttempt *winner, LnAnswer *answer)
{
  struct json_object *object = make_completion_object (call, winner);

  LB_COPY (answer->content_type, "application/json");
  answer->body = lb_json_serialize_and_release (object, JSON_FORMAT_FLAGS);
  answer->length = strlen (answer->body);
}

void
ln_call_copy_answer (LnCall *call, LnAttempt *winner, LnAnswer *answer)
{
  memset (answer, 0, sizeof *answer);
  answer->status = 200;
  if (call->kind == LN_CALL_SERVICE)
    copy_service_reply_to_answer (winner, answer);
  else if (call->wants_stream)
    copy_stream_events_to_answer (call, answer);
  else
    copy_completion_to_answer (call, winner, answer);
}

void
ln_call_reply (LnCall *call, LnAttempt *winner)
{
  if (!call->exchange)
    return;
  if (call->kind == LN_CALL_SERVICE)
    forward_service_reply (call, winner);
  else if (call->wants_stream)
    {
      ln_exchange_write_stream (call->exchange, end_event, sizeof end_event - 1);
      ln_exchange_end (call->exchange);
    }
  else
    reply_with_completion (call, winner);
  call->exchange = NULL;
}

static const char *
describe_call_error (LbErrorCode code)
{
  return lb_error_proves_request_not_run (code) ? "the request was not run"
                                                : "the request may have run";
}

void
ln_call_reply_error (LnCall *call, LbErrorCode code, LbTime retry_after)
{
  LbError error = { 0 };

  if (!call->exchange)
    return;
  lb_error_set (&error, code, call->spec.pool, "%s", describe_call_error (code));
  ln_exchange_reply_error (call->exchange, &error, retry_after);
  call->exchange = NULL;
}
