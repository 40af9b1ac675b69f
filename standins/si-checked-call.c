#include "si-checked-call.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "si-json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_EVENT (1 << 20)
#define MAX_HEADERS 8

typedef struct
{
  SiCheckedCallKind kind;
  bool stream;
  char *wanted; /* the whole right answer */
  char *got;
  size_t got_length;
  size_t got_capacity;
  char *raw; /* a reply that is no stream of events */
  size_t raw_length;
  LhSse sse;
  bool done_marker;
  LbTime start;
  SiCheckedCallResult result;
  SiCheckedCallDone done;
  void *user;
} Live;

static void
append (char **text, size_t *length, const char *bytes, size_t n)
{
  *text = lb_realloc (*text, *length + n + 1);
  memcpy (*text + *length, bytes, n);
  *length += n;
  (*text)[*length] = '\0';
}

static void
append_got (Live *live, const char *text)
{
  size_t n = strlen (text);

  if (live->got_length + n + 1 > live->got_capacity)
    {
      live->got_capacity = (live->got_length + n + 1) * 2;
      live->got = lb_realloc (live->got, live->got_capacity);
    }
  memcpy (live->got + live->got_length, text, n + 1);
  live->got_length += n;
}

static const char *
choice_text (const Live *live, struct json_object *object, const char *chat_key)
{
  struct json_object *choices, *choice, *message;

  if (!json_object_object_get_ex (object, "choices", &choices)
      || !json_object_is_type (choices, json_type_array))
    return NULL;
  choice = json_object_array_get_idx (choices, 0);
  if (live->kind != SI_CHECKED_CALL_CHAT)
    return si_json_text (choice, "text", NULL);
  return json_object_object_get_ex (choice, chat_key, &message)
             ? si_json_text (message, "content", NULL)
             : NULL;
}

static void
take_error (Live *live, struct json_object *object)
{
  struct json_object *error;

  if (json_object_object_get_ex (object, "error", &error))
    LB_COPY (live->result.error, si_json_text (error, "type", "untyped"));
}

static void
on_event (const char *data, size_t length, void *user)
{
  Live *live = user;
  char *text = lb_strndup (data, length);

  if (strcmp (text, "[DONE]") == 0)
    live->done_marker = true;
  else
    {
      struct json_object *event = json_tokener_parse (text);
      const char *piece = event ? choice_text (live, event, "delta") : NULL;
      if (piece)
        append_got (live, piece);
      else if (event)
        take_error (live, event);
      json_object_put (event);
    }
  free (text);
}

static void
on_piece (LhFetch *fetch, const char *bytes, size_t length, void *user)
{
  Live *live = user;
  LbError error;

  if (live->result.time_to_first_byte == 0)
    live->result.time_to_first_byte = lb_clock_monotonic () - live->start;
  if (live->stream && lh_fetch_status (fetch) == 200)
    lh_sse_feed (&live->sse, bytes, length, on_event, live, &error);
  else
    append (&live->raw, &live->raw_length, bytes, length);
}

static SiCallOutcome
judge_stream (Live *live, const LhResult *result)
{
  if (live->result.error[0] != '\0')
    return SI_CALL_FAILED;
  if (result->failure != LB_OK || !live->done_marker)
    return SI_CALL_TRUNCATED;
  return strcmp (live->got, live->wanted) == 0 ? SI_CALL_COMPLETE : SI_CALL_WRONG_ANSWER;
}

static SiCallOutcome
judge_whole (Live *live)
{
  struct json_object *object = json_tokener_parse (live->raw ? live->raw : "");
  const char *text = NULL;
  bool right;

  if (object && live->kind == SI_CHECKED_CALL_SERVICE)
    text = si_json_text (object, "body", NULL);
  else if (object)
    text = choice_text (live, object, "message");
  right = text && strcmp (text, live->wanted) == 0;
  json_object_put (object);
  return right ? SI_CALL_COMPLETE : SI_CALL_WRONG_ANSWER;
}

static SiCallOutcome
judge_refusal (Live *live, LhFetch *fetch)
{
  struct json_object *object = json_tokener_parse (live->raw ? live->raw : "");

  LB_COPY (live->result.error, "untyped");
  if (object)
    take_error (live, object);
  json_object_put (object);
  return lh_fetch_header (fetch, "x-not-run") ? SI_CALL_NOT_RUN : SI_CALL_FAILED;
}

/* A connection that broke before any reply: not run if no byte left, unknown otherwise. */
static SiCallOutcome
judge_failure (Live *live, const LhResult *result)
{
  LB_COPY (live->result.error, lb_error_name (result->failure));
  return result->bytes_handed ? SI_CALL_FAILED : SI_CALL_NOT_RUN;
}

static SiCallOutcome
judge (Live *live, LhFetch *fetch, const LhResult *result)
{
  int status = result->status ? result->status : lh_fetch_status (fetch);

  if (live->stream && live->got_length + (size_t)live->done_marker > 0)
    return judge_stream (live, result);
  if (result->failure != LB_OK)
    return judge_failure (live, result);
  if (status < 200 || status > 299)
    return judge_refusal (live, fetch);
  return live->stream ? judge_stream (live, result) : judge_whole (live);
}

static void
live_free (Live *live)
{
  lh_sse_clear (&live->sse);
  free (live->wanted);
  free (live->got);
  free (live->raw);
  free (live);
}

static void
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  Live *live = user;
  const char *retry = lh_fetch_header (fetch, "x-retry-after-ms");

  if (result->body_length > 0)
    append (&live->raw, &live->raw_length, result->body, result->body_length);
  live->result.duration = lb_clock_monotonic () - live->start;
  if (live->result.time_to_first_byte == 0)
    live->result.time_to_first_byte = live->result.duration;
  live->result.retry_after = retry ? strtoll (retry, NULL, 10) * LB_MSEC : 0;
  LB_COPY (live->result.body, live->raw ? live->raw : "");
  live->result.outcome = judge (live, fetch, result);
  live->done (&live->result, live->user);
  live_free (live);
}

static struct json_object *
new_body (const SiCheckedCallSpec *spec)
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
wanted_answer (const SiCheckedCallSpec *spec, struct json_object *body)
{
  SiText text;

  if (spec->kind == SI_CHECKED_CALL_SERVICE)
    return lb_strdup (spec->prompt);
  si_text_init_from_body (&text, body, spec->vary_length);
  return si_text_slice (&text, 0, text.tokens);
}

static size_t
add_headers (const SiCheckedCallSpec *spec, LhHeader *headers)
{
  const LhHeader all[] = { { "Content-Type", "application/json" },
                           { "x-caller", spec->caller },
                           { "idempotency-key", spec->idempotency_key },
                           { "x-ticket", spec->ticket },
                           { "x-order", spec->order },
                           { "x-deadline-ms", spec->deadline_ms } };
  size_t n = 0;

  for (size_t i = 0; i < sizeof all / sizeof all[0]; i++)
    if (all[i].value)
      headers[n++] = all[i];
  return n;
}

static const char *
path_of (const SiCheckedCallSpec *spec)
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
  static const LhHandlers handlers = { .on_body_chunk = on_piece, .on_done = on_done };
  Live *live = LB_NEW (Live);
  struct json_object *json = new_body (spec);
  const char *body = spec->kind == SI_CHECKED_CALL_SERVICE
                         ? spec->prompt
                         : json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN);
  LhHeader headers[MAX_HEADERS];
  const LhRequest request = { .method = "POST",
                              .address = spec->address,
                              .path = path_of (spec),
                              .headers = headers,
                              .n_headers = add_headers (spec, headers),
                              .body = body,
                              .body_length = strlen (body),
                              .idle_timeout = spec->idle_timeout };
  LbError error;

  live->kind = spec->kind;
  live->stream = spec->stream && spec->kind != SI_CHECKED_CALL_SERVICE;
  live->wanted = wanted_answer (spec, json);
  live->got = lb_strdup ("");
  live->done = done;
  live->user = user;
  live->start = lb_clock_monotonic ();
  lh_sse_init (&live->sse, MAX_EVENT);
  if (!lh_fetch_start (pool, &request, &handlers, live, &error))
    {
      fprintf (stderr, "%s: %s\n", error.where, error.detail);
      abort ();
    }
  json_object_put (json);
}
