#include "si-engine.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"
#include "si-text.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uthash.h>

#define KEEP_ALIVE_INTERVAL (500 * LB_MSEC)

/* A completion request that waits to enter the batch or is in the batch. */
typedef struct
{
  LbLink link;
  LbList *list; /* list that contains the request: engine->waiting or engine->running */
  SiEngine *engine;
  struct evhttp_request *request;
  char *id;
  SiText text;
  int64_t first_token; /* index of the first token to generate; 0: the answer is not resumed */
  int64_t next_token;
  int64_t priority;
  bool stream;
  bool chat;
  bool has_sent_headers;
  bool is_hung;           /* set by the fault "hang": the engine sends no reply */
  int64_t break_after;    /* token count at which the connection is closed; -1: never */
  size_t prefill_bytes;   /* prompt bytes that prefill has yet to process */
  int64_t reused_version; /* weight version of the imported KV cache; 0: no import */
  LbTime last_sent;
} Completion;

struct SiImport
{
  UT_hash_handle hh;
  char *request_id;
  int64_t version; /* weight version that computed the KV cache */
};

static void
completion_free (Completion *completion)
{
  lb_list_remove (completion->list, &completion->link);
  free (completion->id);
  free (completion);
}

static void
clear_close_callback (Completion *completion)
{
  evhttp_connection_set_closecb (evhttp_request_get_connection (completion->request), NULL, NULL);
}

/* Cancels the completion when the caller closes the connection. */
static void
on_caller_disconnected (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  Completion *completion = user;
  SiEngine *engine = completion->engine;

  engine->log.cancelled++;
  si_request_free_if_connection_closed (completion->request);
  completion_free (completion);
  si_engine_schedule_batch_step (engine);
}

static void
abort_completion (Completion *completion)
{
  struct evhttp_request *request = completion->request;

  clear_close_callback (completion);
  completion_free (completion);
  si_request_close_connection (request);
}

void
si_engine_abort_all_completions (SiEngine *engine)
{
  LB_LIST_FOREACH (&engine->running, Completion, link, completion)
  abort_completion (completion);
  LB_LIST_FOREACH (&engine->waiting, Completion, link, completion)
  abort_completion (completion);
}

static void
send_stream_chunk (Completion *completion, const char *prefix, const char *text, const char *end)
{
  struct evbuffer *chunk = evbuffer_new ();

  if (!completion->has_sent_headers)
    {
      evhttp_add_header (evhttp_request_get_output_headers (completion->request), "Content-Type",
                         "text/event-stream");
      evhttp_send_reply_start (completion->request, 200, "OK");
      completion->has_sent_headers = true;
    }
  evbuffer_add_printf (chunk, "%s%s%s", prefix, text, end);
  evhttp_send_reply_chunk (completion->request, chunk);
  evbuffer_free (chunk);
  completion->last_sent = lb_clock_monotonic ();
}

static const char *
get_finish_reason (const Completion *completion, int64_t end)
{
  if (end < completion->text.n_tokens)
    return NULL;
  return "length";
}

static struct json_object *
new_choice_json (const Completion *completion,
                 const char *text,
                 const char *reason,
                 const char *chat_key)
{
  struct json_object *choice = json_object_new_object ();

  si_json_set_int (choice, "index", 0);
  if (completion->chat)
    {
      struct json_object *content = json_object_new_object ();
      si_json_set_text (content, "content", text);
      json_object_object_add (choice, chat_key, content);
    }
  else
    si_json_set_text (choice, "text", text);
  json_object_object_add (choice, "finish_reason", reason ? json_object_new_string (reason) : NULL);
  return choice;
}

static void
add_choices_array (struct json_object *object, struct json_object *choice)
{
  struct json_object *choices = json_object_new_array ();

  json_object_array_add (choices, choice);
  json_object_object_add (object, "choices", choices);
}

static void
send_completion_event (
    Completion *completion, const char *text, int64_t offset, int64_t tokens, int64_t version)
{
  struct json_object *event = json_object_new_object ();

  si_json_set_text (event, "id", completion->id);
  add_choices_array (event,
                     new_choice_json (completion, text,
                                      get_finish_reason (completion, offset + tokens), "delta"));
  si_json_set_int (event, "offset", offset);
  si_json_set_int (event, "tokens", tokens);
  if (!si_faults_is_on (&completion->engine->faults, SI_FAULT_OMIT_VERSION))
    si_json_set_int (event, "weight_version", version);
  if (completion->reused_version && completion->reused_version != version)
    si_json_set_int (event, "kv_reused_version", completion->reused_version);
  send_stream_chunk (completion,
                     "data: ", json_object_to_json_string_ext (event, JSON_C_TO_STRING_PLAIN),
                     "\n\n");
  json_object_put (event);
}

static void
send_completion_reply (Completion *completion)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *usage = json_object_new_object ();
  char *text = si_text_join_tokens (&completion->text, completion->first_token,
                                    completion->next_token - completion->first_token);

  si_json_set_text (object, "id", completion->id);
  add_choices_array (object, new_choice_json (completion, text, "length", "message"));
  si_json_set_int (usage, "completion_tokens", completion->next_token - completion->first_token);
  json_object_object_add (object, "usage", usage);
  si_json_set_int (object, "weight_version", completion->engine->version);
  si_reply_json (completion->request, 200, object);
  free (text);
}

static void
finish_completion (Completion *completion)
{
  struct evhttp_request *request = completion->request;

  clear_close_callback (completion);
  completion->engine->log.finished++;
  if (completion->stream)
    {
      send_stream_chunk (completion, "data: ", "[DONE]", "\n\n");
      evhttp_send_reply_end (request);
    }
  else
    send_completion_reply (completion);
  completion_free (completion);
}

static void
send_token_event (Completion *completion)
{
  char token[SI_TOKEN_SIZE];
  int64_t version = completion->engine->version;

  si_text_write_token (&completion->text, completion->next_token, token);
  send_completion_event (completion, token, completion->next_token, 1, version);
  if (si_faults_is_on (&completion->engine->faults, SI_FAULT_CONTRADICT))
    send_completion_event (completion, "", completion->next_token, 1, version + 1);
}

/* Ends the process if the fault "crash" is on and all requests together have generated the fault's
 * number of tokens. */
static void
count_down_tokens_until_crash (SiEngine *engine)
{
  SiFault *fault = &engine->faults.faults[SI_FAULT_CRASH];

  if (fault->remaining != 0 && --fault->tokens < 0)
    _exit (1);
}

static void
generate_token (Completion *completion)
{
  SiEngine *engine = completion->engine;

  count_down_tokens_until_crash (engine);
  if (completion->is_hung)
    return;
  if (completion->break_after >= 0
      && completion->next_token - completion->first_token >= completion->break_after)
    {
      abort_completion (completion);
      return;
    }
  if (completion->next_token < completion->text.n_tokens)
    {
      if (completion->stream)
        send_token_event (completion);
      completion->next_token++;
      engine->generated_tokens++;
    }
  if (completion->next_token >= completion->text.n_tokens)
    finish_completion (completion);
}

static LbTime
get_batch_step_duration (const SiEngine *engine)
{
  double batch_size = (double)engine->running.length;
  double single_duration = (double)LB_SEC / engine->settings.tokens_per_second;
  LbTime slowdown = si_faults_is_on (&engine->faults, SI_FAULT_SLOW)
                        ? engine->faults.faults[SI_FAULT_SLOW].delay
                        : 0;

  return (LbTime)(single_duration * (1 + engine->settings.batch_cost * (batch_size - 1)))
         + slowdown;
}

static void
admit_waiting_completions_to_batch (SiEngine *engine)
{
  while ((int64_t)engine->running.length < engine->settings.concurrency
         && !lb_list_is_empty (&engine->waiting))
    {
      Completion *completion = LB_CONTAINER (lb_list_pop (&engine->waiting), Completion, link);
      completion->list = &engine->running;
      lb_list_append (completion->list, &completion->link);
    }
}

/* Moves waiting requests to the batch and schedules its next step. No step is scheduled if one is
 * already scheduled, weights are being loaded or the batch is empty. */
void
si_engine_schedule_batch_step (SiEngine *engine)
{
  admit_waiting_completions_to_batch (engine);
  if (engine->is_step_scheduled || si_engine_is_loading_weights (engine)
      || lb_list_is_empty (&engine->running))
    return;
  LbTime wait = get_batch_step_duration (engine);
  const struct timeval at = lb_time_to_timeval (wait);
  event_add (engine->step_timer, &at);
  engine->is_step_scheduled = true;
}

static void
prefill_or_generate_token (Completion *completion, size_t prefill_budget)
{
  if (completion->prefill_bytes > prefill_budget)
    completion->prefill_bytes -= prefill_budget;
  else
    {
      completion->prefill_bytes = 0;
      generate_token (completion);
    }
}

static void
on_batch_step_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiEngine *engine = user;
  double seconds = (double)get_batch_step_duration (engine) / (double)LB_SEC;
  size_t prefill_budget = (size_t)(engine->settings.prefill_rate * seconds);

  engine->is_step_scheduled = false;
  if (si_engine_is_loading_weights (engine))
    return;
  LB_LIST_FOREACH (&engine->running, Completion, link, completion)
  prefill_or_generate_token (completion, prefill_budget);
  si_engine_schedule_batch_step (engine);
}

static void
send_due_keep_alives (LbList *list, LbTime now)
{
  LB_LIST_FOREACH (list, Completion, link, completion)
  {
    if (completion->stream && !completion->is_hung
        && now - completion->last_sent >= KEEP_ALIVE_INTERVAL)
      send_stream_chunk (completion, ": keep-alive", "", "\n\n");
  }
}

static void
on_keep_alive_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiEngine *engine = user;
  LbTime now = lb_clock_monotonic ();

  if (si_faults_is_on (&engine->faults, SI_FAULT_HANG))
    return;
  send_due_keep_alives (&engine->running, now);
  send_due_keep_alives (&engine->waiting, now);
}

void
si_engine_start_timers (SiEngine *engine)
{
  const struct timeval period = { .tv_usec = KEEP_ALIVE_INTERVAL / 5 };

  engine->step_timer = evtimer_new (engine->server.base, on_batch_step_due, engine);
  engine->load_timer = evtimer_new (engine->server.base, si_engine_on_weight_load_done, engine);
  engine->keep_alive_timer
      = event_new (engine->server.base, -1, EV_PERSIST, on_keep_alive_due, engine);
  event_add (engine->keep_alive_timer, &period);
}

void
si_engine_free_timers_and_kv_imports (SiEngine *engine)
{
  SiImport *import, *next;

  event_free (engine->step_timer);
  event_free (engine->load_timer);
  event_free (engine->keep_alive_timer);
  HASH_ITER (hh, engine->imports, import, next)
  {
    HASH_DEL (engine->imports, import);
    free (import->request_id);
    free (import);
  }
}

/* Returns the error type with which new requests are refused, NULL if they are accepted. */
static const char *
get_refusal_error_type (const SiEngine *engine)
{
  if (si_faults_is_on (&engine->faults, SI_FAULT_LEAVING))
    return "leaving";
  if (engine->version == 0 && !si_engine_is_loading_weights (engine))
    return "not_started";
  if ((int64_t)engine->waiting.length >= engine->settings.max_waiting)
    return "not_started";
  return NULL;
}

static void
enqueue_by_priority (SiEngine *engine, Completion *completion)
{
  LbLink *position = engine->waiting.head.next;

  while (position != &engine->waiting.head
         && LB_CONTAINER (position, Completion, link)->priority >= completion->priority)
    position = position->next;
  completion->list = &engine->waiting;
  lb_list_insert_before (completion->list, position, &completion->link);
  si_engine_schedule_batch_step (engine);
}

static void
resume_completion_from_offset (Completion *completion, struct json_object *body)
{
  struct json_object *resume;

  if (!json_object_object_get_ex (body, "resume", &resume))
    return;
  completion->first_token = si_json_get_int (resume, "offset", 0);
  completion->next_token = completion->first_token;
  completion->engine->log.resumed++;
  char *expected = si_text_join_tokens (&completion->text, 0, completion->first_token);
  if (strcmp (expected, si_json_get_text (resume, "text", "")) != 0)
    completion->engine->log.resume_mismatches++;
  free (expected);
}

/* Skips prefill if the request's KV cache was imported from another engine. */
static void
skip_prefill_if_kv_cache_imported (Completion *completion)
{
  SiImport *import = NULL;

  HASH_FIND_STR (completion->engine->imports, completion->id, import);
  if (!import)
    return;
  completion->prefill_bytes = 0;
  completion->reused_version = import->version;
  HASH_DEL (completion->engine->imports, import);
  free (import->request_id);
  free (import);
}

static void
set_break_and_hang_faults (Completion *completion)
{
  SiFaults *faults = &completion->engine->faults;

  completion->break_after = -1;
  if (si_faults_consume_occurrence (faults, SI_FAULT_BREAK))
    completion->break_after = faults->faults[SI_FAULT_BREAK].tokens;
  completion->is_hung = si_faults_consume_occurrence (faults, SI_FAULT_HANG);
}

/* Adds the prompt to the prefix cache; returns how many prompt bytes were not cached before. */
static size_t
cache_prompt_and_count_uncached_bytes (SiEngine *engine,
                                       struct json_object *body,
                                       const char *prompt)
{
  struct json_object *messages;
  const char *text = prompt;

  if (json_object_object_get_ex (body, "messages", &messages))
    text = json_object_to_json_string_ext (messages, JSON_C_TO_STRING_PLAIN);
  return strlen (text) - si_cache_insert_prompt (&engine->cache, text);
}

static Completion *
completion_new (SiEngine *engine,
                struct evhttp_request *request,
                struct json_object *body,
                bool chat)
{
  Completion *completion = LB_NEW (Completion);
  char *prompt = si_text_copy_prompt (body);

  completion->engine = engine;
  completion->request = request;
  completion->chat = chat;
  completion->id = lb_strdup (si_json_get_text (body, "request_id", "none"));
  completion->stream = si_json_get_bool (body, "stream", false);
  completion->priority = si_json_get_int (body, "priority", 0);
  completion->last_sent = lb_clock_monotonic ();
  si_text_init_from_body (&completion->text, body, engine->settings.vary_length);
  completion->prefill_bytes = cache_prompt_and_count_uncached_bytes (engine, body, prompt);
  resume_completion_from_offset (completion, body);
  skip_prefill_if_kv_cache_imported (completion);
  set_break_and_hang_faults (completion);
  si_run_log_count_execution (&engine->log, si_json_get_text (body, "key", prompt));
  free (prompt);
  return completion;
}

/* Queues the completion request, or replies with 503 if the engine refuses new requests. */
void
si_engine_handle_completion (SiEngine *engine, struct evhttp_request *request, bool chat)
{
  struct json_object *body = si_request_parse_body (request);
  const char *refusal = get_refusal_error_type (engine);

  if (!refusal && si_faults_consume_occurrence (&engine->faults, SI_FAULT_REFUSE))
    refusal = "not_started";
  if (!body)
    si_reply_error (request, 400, "bad_json");
  else if (refusal)
    {
      engine->log.refused++;
      si_reply_error (request, 503, refusal);
    }
  else
    {
      Completion *completion = completion_new (engine, request, body, chat);
      evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                     on_caller_disconnected, completion);
      enqueue_by_priority (engine, completion);
    }
  json_object_put (body);
}

/* Replies with the weight version and the number of tokens of a running request, which another
 * engine needs to import the request's KV cache. */
void
si_engine_handle_kv_export (SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *body = si_request_parse_body (request);
  const char *id = body ? si_json_get_text (body, "request", "") : "";

  LB_LIST_FOREACH (&engine->running, Completion, link, completion)
  {
    if (strcmp (completion->id, id) != 0)
      continue;
    struct json_object *export = json_object_new_object ();
    si_json_set_text (export, "request", id);
    si_json_set_int (export, "version", engine->version);
    si_json_set_int (export, "tokens", completion->next_token);
    si_reply_json (request, 200, export);
    json_object_put (body);
    return;
  }
  si_reply_error (request, 404, "not_found");
  json_object_put (body);
}

/* Records the KV cache of a request that this engine will resume, so that the request skips
 * prefill. */
void
si_engine_handle_kv_import (SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *body = si_request_parse_body (request);
  const char *id = body ? si_json_get_text (body, "request", NULL) : NULL;
  SiImport *import = NULL;

  if (!id)
    {
      si_reply_error (request, 400, "bad_value");
      json_object_put (body);
      return;
    }
  HASH_FIND_STR (engine->imports, id, import);
  if (!import)
    {
      import = LB_NEW (SiImport);
      import->request_id = lb_strdup (id);
      HASH_ADD_KEYPTR (hh, engine->imports, import->request_id, strlen (import->request_id),
                       import);
    }
  import->version = si_json_get_int (body, "version", 0);
  si_reply_json (request, 200, json_object_new_object ());
  json_object_put (body);
}
