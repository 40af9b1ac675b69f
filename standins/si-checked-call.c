#include "si-checked-call.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "si-json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SSE_EVENT_SIZE (1 << 20)
#define MAX_REQUEST_HEADERS 8

typedef struct
{
  SiCheckedCallKind kind;
  bool stream;
  char *expected; /* complete correct answer */
  char *received; /* concatenated text of the events received */
  size_t received_length;
  size_t received_capacity;
  char *body; /* reply body, unless it is an event stream */
  size_t body_length;
  LhSse sse;
  bool has_done_marker; /* set when the event [DONE] was received */
  LbTime start;
  SiCheckedCallResult result;
  SiCheckedCallDone done;
  void *user;
} CheckedCall;

static void
append_to_string (char **text, size_t *length, const char *bytes, size_t n)
{
  *text = lb_realloc (*text, *length + n + 1);
  memcpy (*text + *length, bytes, n);
  *length += n;
  (*text)[*length] = '\0';
}

static void
append_answer_text (CheckedCall *call, const char *text)
{
  size_t n = strlen (text);

  if (call->received_length + n + 1 > call->received_capacity)
    {
      call->received_capacity = (call->received_length + n + 1) * 2;
      call->received = lb_realloc (call->received, call->received_capacity);
    }
  memcpy (call->received + call->received_length, text, n + 1);
  call->received_length += n;
}

static const char *
get_choice_text (const CheckedCall *call, struct json_object *object, const char *chat_key)
{
  struct json_object *choices, *choice, *message;

  if (!json_object_object_get_ex (object, "choices", &choices)
      || !json_object_is_type (choices, json_type_array))
    return NULL;
  choice = json_object_array_get_idx (choices, 0);
  if (call->kind != SI_CHECKED_CALL_CHAT)
    return si_json_get_text (choice, "text", NULL);
  return json_object_object_get_ex (choice, chat_key, &message)
             ? si_json_get_text (message, "content", NULL)
             : NULL;
}

static void
copy_error_type (CheckedCall *call, struct json_object *object)
{
  struct json_object *error;

  if (json_object_object_get_ex (object, "error", &error))
    LB_COPY (call->result.error, si_json_get_text (error, "type", "untyped"));
}

static void
on_sse_event (const char *data, size_t length, void *user)
{
  CheckedCall *call = user;
  char *text = lb_strndup (data, length);

  if (strcmp (text, "[DONE]") == 0)
    call->has_done_marker = true;
  else
    {
      struct json_object *event = json_tokener_parse (text);
      const char *chunk = event ? get_choice_text (call, event, "delta") : NULL;
      if (chunk)
        append_answer_text (call, chunk);
      else if (event)
        copy_error_type (call, event);
      json_object_put (event);
    }
  free (text);
}

static void
on_body_chunk (LhFetch *fetch, const char *bytes, size_t length, void *user)
{
  CheckedCall *call = user;
  LbError error;

  if (call->result.time_to_first_byte == 0)
    call->result.time_to_first_byte = lb_clock_monotonic () - call->start;
  if (call->stream && lh_fetch_get_response_status (fetch) == 200)
    lh_sse_parse_data_lines (&call->sse, bytes, length, on_sse_event, call, &error);
  else
    append_to_string (&call->body, &call->body_length, bytes, length);
}

static SiCallOutcome
classify_stream_outcome (CheckedCall *call, const LhResult *result)
{
  if (call->result.error[0] != '\0')
    return SI_CALL_FAILED;
  if (result->failure != LB_OK || !call->has_done_marker)
    return SI_CALL_TRUNCATED;
  return strcmp (call->received, call->expected) == 0 ? SI_CALL_COMPLETE : SI_CALL_WRONG_ANSWER;
}

static SiCallOutcome
classify_successful_reply (CheckedCall *call)
{
  struct json_object *object = json_tokener_parse (call->body ? call->body : "");
  const char *text = NULL;
  bool is_correct;

  if (object && call->kind == SI_CHECKED_CALL_SERVICE)
    text = si_json_get_text (object, "body", NULL);
  else if (object)
    text = get_choice_text (call, object, "message");
  is_correct = text && strcmp (text, call->expected) == 0;
  json_object_put (object);
  return is_correct ? SI_CALL_COMPLETE : SI_CALL_WRONG_ANSWER;
}

static SiCallOutcome
classify_error_reply (CheckedCall *call, LhFetch *fetch)
{
  struct json_object *object = json_tokener_parse (call->body ? call->body : "");

  LB_COPY (call->result.error, "untyped");
  if (object)
    copy_error_type (call, object);
  json_object_put (object);
  return lh_fetch_get_response_header (fetch, "x-not-run") ? SI_CALL_NOT_RUN : SI_CALL_FAILED;
}

/* Classifies a call that failed without an HTTP reply. The call has certainly not run if no byte of
 * the request was sent; otherwise it may have run. */
static SiCallOutcome
classify_transport_failure (CheckedCall *call, const LhResult *result)
{
  LB_COPY (call->result.error, lb_error_name (result->failure));
  return result->bytes_handed ? SI_CALL_FAILED : SI_CALL_NOT_RUN;
}

static SiCallOutcome
classify_call_outcome (CheckedCall *call, LhFetch *fetch, const LhResult *result)
{
  int status = result->status ? result->status : lh_fetch_get_response_status (fetch);

  if (call->stream && call->received_length + (size_t)call->has_done_marker > 0)
    return classify_stream_outcome (call, result);
  if (result->failure != LB_OK)
    return classify_transport_failure (call, result);
  if (status < 200 || status > 299)
    return classify_error_reply (call, fetch);
  return call->stream ? classify_stream_outcome (call, result) : classify_successful_reply (call);
}

static void
checked_call_free (CheckedCall *call)
{
  lh_sse_clear (&call->sse);
  free (call->expected);
  free (call->received);
  free (call->body);
  free (call);
}

static void
on_call_done (LhFetch *fetch, const LhResult *result, void *user)
{
  CheckedCall *call = user;
  const char *retry_after_ms = lh_fetch_get_response_header (fetch, "x-retry-after-ms");

  if (result->body_length > 0)
    append_to_string (&call->body, &call->body_length, result->body, result->body_length);
  call->result.duration = lb_clock_monotonic () - call->start;
  if (call->result.time_to_first_byte == 0)
    call->result.time_to_first_byte = call->result.duration;
  call->result.retry_after = retry_after_ms ? strtoll (retry_after_ms, NULL, 10) * LB_MSEC : 0;
  LB_COPY (call->result.body, call->body ? call->body : "");
  call->result.outcome = classify_call_outcome (call, fetch, result);
  call->done (&call->result, call->user);
  checked_call_free (call);
}

static struct json_object *
new_request_body (const SiCheckedCallSpec *spec)
{
  struct json_object *body = json_object_new_object ();

  si_json_set_text (body, "model", spec->model);
  si_json_set_int (body, "max_tokens", spec->max_tokens);
  json_object_object_add (body, "stream", json_object_new_boolean (spec->stream));
  if (spec->kind == SI_CHECKED_CALL_CHAT)
    {
      struct json_object *messages = json_object_new_array ();
      struct json_object *message = json_object_new_object ();
      si_json_set_text (message, "role", "user");
      si_json_set_text (message, "content", spec->prompt);
      json_object_array_add (messages, message);
      json_object_object_add (body, "messages", messages);
    }
  else
    si_json_set_text (body, "prompt", spec->prompt);
  return body;
}

static char *
new_expected_answer (const SiCheckedCallSpec *spec, struct json_object *body)
{
  SiText text;

  if (spec->kind == SI_CHECKED_CALL_SERVICE)
    return lb_strdup (spec->prompt);
  si_text_init_from_body (&text, body, spec->vary_length);
  return si_text_join_tokens (&text, 0, text.n_tokens);
}

static size_t
add_request_headers (const SiCheckedCallSpec *spec, LhHeader *headers)
{
  const LhHeader optional_headers[] = { { "Content-Type", "application/json" },
                                        { "x-caller", spec->caller },
                                        { "idempotency-key", spec->idempotency_key },
                                        { "x-ticket", spec->ticket },
                                        { "x-order", spec->order },
                                        { "x-deadline-ms", spec->deadline_ms } };
  size_t n = 0;

  for (size_t i = 0; i < sizeof optional_headers / sizeof optional_headers[0]; i++)
    if (optional_headers[i].value)
      headers[n++] = optional_headers[i];
  return n;
}

static const char *
get_request_path (const SiCheckedCallSpec *spec)
{
  if (spec->kind == SI_CHECKED_CALL_SERVICE)
    return spec->model;
  return spec->kind == SI_CHECKED_CALL_CHAT ? "/v1/chat/completions" : "/v1/completions";
}

void
si_checked_call_start (LhPool *pool,
                       const SiCheckedCallSpec *spec,
                       SiCheckedCallDone done,
                       void *user)
{
  static const LhHandlers handlers = { .on_body_chunk = on_body_chunk, .on_done = on_call_done };
  CheckedCall *call = LB_NEW (CheckedCall);
  struct json_object *json = new_request_body (spec);
  const char *body = spec->kind == SI_CHECKED_CALL_SERVICE
                         ? spec->prompt
                         : json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN);
  LhHeader headers[MAX_REQUEST_HEADERS];
  const LhRequest request = { .method = "POST",
                              .address = spec->address,
                              .path = get_request_path (spec),
                              .headers = headers,
                              .n_headers = add_request_headers (spec, headers),
                              .body = body,
                              .body_length = strlen (body),
                              .idle_timeout = spec->idle_timeout };
  LbError error;

  call->kind = spec->kind;
  call->stream = spec->stream && spec->kind != SI_CHECKED_CALL_SERVICE;
  call->expected = new_expected_answer (spec, json);
  call->received = lb_strdup ("");
  call->done = done;
  call->user = user;
  call->start = lb_clock_monotonic ();
  lh_sse_init (&call->sse, MAX_SSE_EVENT_SIZE);
  if (!lh_fetch_start (pool, &request, &handlers, call, &error))
    {
      fprintf (stderr, "invalid call: %s: %s\n", error.where, error.detail);
      abort ();
    }
  json_object_put (json);
}
