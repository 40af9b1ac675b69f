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

#define KEEP_ALIVE_PERIOD (500 * LB_MSEC)

/* A waiting or running completion request. */
typedef struct
{
  LbLink link;
  LbList *list; /* the engine's waiting or running list */
  SiEngine *engine;
  struct evhttp_request *request;
  char *id;
  SiText text;
  int64_t first_token; /* index of the first token to generate; above 0 for a resume */
  int64_t next_token;
  int64_t priority;
  bool stream;
  bool chat;
  bool has_sent_headers;
  bool is_hung;           /* fault: sends nothing more */
  int64_t break_after;    /* fault: tokens after which the connection is closed; -1: never */
  size_t prefill_bytes;   /* prompt bytes still to be processed */
  int64_t reused_version; /* weight version of an imported KV cache; 0: none */
  LbTime last_sent;
} Run;

struct SiImport
{
  UT_hash_handle hh;
  char *request_id;
  int64_t version; /* of the weights that made the KV cache */
};

static void
run_free (Run *run)
{
  lb_list_remove (run->list, &run->link);
  free (run->id);
  free (run);
}

static void
clear_close_callback (Run *run)
{
  evhttp_connection_set_closecb (evhttp_request_get_connection (run->request), NULL, NULL);
}

/* A closed connection cancels the request. */
static void
on_caller_disconnected (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  Run *run = user;
  SiEngine *engine = run->engine;

  engine->log.cancelled++;
  si_request_release (run->request);
  run_free (run);
  si_engine_schedule_step (engine);
}

static void
abort_run (Run *run)
{
  struct evhttp_request *request = run->request;

  clear_close_callback (run);
  run_free (run);
  si_reply_abort (request);
}

void
si_engine_drop_all_runs (SiEngine *engine)
{
  LB_LIST_FOREACH (&engine->running, Run, link, run)
  abort_run (run);
  LB_LIST_FOREACH (&engine->waiting, Run, link, run)
  abort_run (run);
}

static void
send_chunk (Run *run, const char *prefix, const char *text, const char *end)
{
  struct evbuffer *chunk = evbuffer_new ();

  if (!run->has_sent_headers)
    {
      evhttp_add_header (evhttp_request_get_output_headers (run->request), "Content-Type",
                         "text/event-stream");
      evhttp_send_reply_start (run->request, 200, "OK");
      run->has_sent_headers = true;
    }
  evbuffer_add_printf (chunk, "%s%s%s", prefix, text, end);
  evhttp_send_reply_chunk (run->request, chunk);
  evbuffer_free (chunk);
  run->last_sent = lb_clock_monotonic ();
}

static const char *
finish_reason (const Run *run, int64_t end)
{
  if (end < run->text.n_tokens)
    return NULL;
  return "length";
}

static struct json_object *
new_choice (const Run *run, const char *text, const char *reason, const char *chat_key)
{
  struct json_object *choice = json_object_new_object ();

  si_json_set_int (choice, "index", 0);
  if (run->chat)
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
add_choice (struct json_object *object, struct json_object *choice)
{
  struct json_object *choices = json_object_new_array ();

  json_object_array_add (choices, choice);
  json_object_object_add (object, "choices", choices);
}

static void
send_event (Run *run, const char *text, int64_t offset, int64_t tokens, int64_t version)
{
  struct json_object *event = json_object_new_object ();

  si_json_set_text (event, "id", run->id);
  add_choice (event, new_choice (run, text, finish_reason (run, offset + tokens), "delta"));
  si_json_set_int (event, "offset", offset);
  si_json_set_int (event, "tokens", tokens);
  if (!si_faults_is_on (&run->engine->faults, SI_FAULT_OMIT_VERSION))
    si_json_set_int (event, "weight_version", version);
  if (run->reused_version && run->reused_version != version)
    si_json_set_int (event, "kv_reused_version", run->reused_version);
  send_chunk (run, "data: ", json_object_to_json_string_ext (event, JSON_C_TO_STRING_PLAIN),
              "\n\n");
  json_object_put (event);
}

static void
reply_completion (Run *run)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *usage = json_object_new_object ();
  char *text = si_text_slice (&run->text, run->first_token, run->next_token - run->first_token);

  si_json_set_text (object, "id", run->id);
  add_choice (object, new_choice (run, text, "length", "message"));
  si_json_set_int (usage, "completion_tokens", run->next_token - run->first_token);
  json_object_object_add (object, "usage", usage);
  si_json_set_int (object, "weight_version", run->engine->version);
  si_reply_json (run->request, 200, object);
  free (text);
}

static void
finish_run (Run *run)
{
  struct evhttp_request *request = run->request;

  clear_close_callback (run);
  run->engine->log.finished++;
  if (run->stream)
    {
      send_chunk (run, "data: ", "[DONE]", "\n\n");
      evhttp_send_reply_end (request);
    }
  else
    reply_completion (run);
  run_free (run);
}

static void
send_token (Run *run)
{
  char token[SI_TOKEN_SIZE];
  int64_t version = run->engine->version;

  si_text_token (&run->text, run->next_token, token);
  send_event (run, token, run->next_token, 1, version);
  if (si_faults_is_on (&run->engine->faults, SI_FAULT_CONTRADICT))
    send_event (run, "", run->next_token, 1, version + 1);
}

/* The crash fault ends the process after a number of tokens of any request. */
static void
count_down_to_crash (SiEngine *engine)
{
  SiFault *fault = &engine->faults.faults[SI_FAULT_CRASH];

  if (fault->remaining != 0 && --fault->tokens < 0)
    _exit (1);
}

static void
generate_token (Run *run)
{
  SiEngine *engine = run->engine;

  count_down_to_crash (engine);
  if (run->is_hung)
    return;
  if (run->break_after >= 0 && run->next_token - run->first_token >= run->break_after)
    {
      abort_run (run);
      return;
    }
  if (run->next_token < run->text.n_tokens)
    {
      if (run->stream)
        send_token (run);
      run->next_token++;
      engine->generated_tokens++;
    }
  if (run->next_token >= run->text.n_tokens)
    finish_run (run);
}

static LbTime
get_step_duration (const SiEngine *engine)
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
admit_waiting_runs (SiEngine *engine)
{
  while ((int64_t)engine->running.length < engine->settings.concurrency
         && !lb_list_is_empty (&engine->waiting))
    {
      Run *run = LB_CONTAINER (lb_list_pop (&engine->waiting), Run, link);
      run->list = &engine->running;
      lb_list_append (run->list, &run->link);
    }
}

/* Admits waiting requests to the batch and schedules the next step, unless one is scheduled
 * already, weights are being loaded or no request is running. */
void
si_engine_schedule_step (SiEngine *engine)
{
  admit_waiting_runs (engine);
  if (engine->is_step_scheduled || si_engine_is_loading (engine)
      || lb_list_is_empty (&engine->running))
    return;
  LbTime wait = get_step_duration (engine);
  const struct timeval at = lb_time_to_timeval (wait);
  event_add (engine->step_timer, &at);
  engine->is_step_scheduled = true;
}

static void
advance_run (Run *run, size_t prefill_budget)
{
  if (run->prefill_bytes > prefill_budget)
    run->prefill_bytes -= prefill_budget;
  else
    {
      run->prefill_bytes = 0;
      generate_token (run);
    }
}

static void
on_step (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiEngine *engine = user;
  double seconds = (double)get_step_duration (engine) / (double)LB_SEC;
  size_t prefill_budget = (size_t)(engine->settings.prefill_rate * seconds);

  engine->is_step_scheduled = false;
  if (si_engine_is_loading (engine))
    return;
  LB_LIST_FOREACH (&engine->running, Run, link, run)
  advance_run (run, prefill_budget);
  si_engine_schedule_step (engine);
}

static void
send_keep_alives (LbList *list, LbTime now)
{
  LB_LIST_FOREACH (list, Run, link, run)
  {
    if (run->stream && !run->is_hung && now - run->last_sent >= KEEP_ALIVE_PERIOD)
      send_chunk (run, ": keep-alive", "", "\n\n");
  }
}

static void
on_keep_alive (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiEngine *engine = user;
  LbTime now = lb_clock_monotonic ();

  if (si_faults_is_on (&engine->faults, SI_FAULT_HANG))
    return;
  send_keep_alives (&engine->running, now);
  send_keep_alives (&engine->waiting, now);
}

void
si_engine_start_timers (SiEngine *engine)
{
  const struct timeval period = { .tv_usec = KEEP_ALIVE_PERIOD / 5 };

  engine->step_timer = evtimer_new (engine->server.base, on_step, engine);
  engine->load_timer = evtimer_new (engine->server.base, si_engine_on_load_done, engine);
  engine->keep_alive_timer = event_new (engine->server.base, -1, EV_PERSIST, on_keep_alive, engine);
  event_add (engine->keep_alive_timer, &period);
}

void
si_engine_stop_timers (SiEngine *engine)
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

/* The error type with which new requests are refused; NULL when they are accepted. */
static const char *
get_refusal (const SiEngine *engine)
{
  if (si_faults_is_on (&engine->faults, SI_FAULT_LEAVING))
    return "leaving";
  if (engine->version == 0 && !si_engine_is_loading (engine))
    return "not_started";
  if ((int64_t)engine->waiting.length >= engine->settings.max_waiting)
    return "not_started";
  return NULL;
}

static void
enqueue_run (SiEngine *engine, Run *run)
{
  LbLink *position = engine->waiting.head.next;

  while (position != &engine->waiting.head
         && LB_CONTAINER (position, Run, link)->priority >= run->priority)
    position = position->next;
  run->list = &engine->waiting;
  lb_list_insert_before (run->list, position, &run->link);
  si_engine_schedule_step (engine);
}

static void
apply_resume (Run *run, struct json_object *body)
{
  struct json_object *resume;

  if (!json_object_object_get_ex (body, "resume", &resume))
    return;
  run->first_token = si_json_get_int (resume, "offset", 0);
  run->next_token = run->first_token;
  run->engine->log.resumed++;
  char *expected = si_text_slice (&run->text, 0, run->first_token);
  if (strcmp (expected, si_json_get_text (resume, "text", "")) != 0)
    run->engine->log.resume_mismatches++;
  free (expected);
}

/* A request whose KV cache was imported skips prefill. */
static void
apply_import (Run *run)
{
  SiImport *import = NULL;

  HASH_FIND_STR (run->engine->imports, run->id, import);
  if (!import)
    return;
  run->prefill_bytes = 0;
  run->reused_version = import->version;
  HASH_DEL (run->engine->imports, import);
  free (import->request_id);
  free (import);
}

static void
apply_faults (Run *run)
{
  SiFaults *faults = &run->engine->faults;

  run->break_after = -1;
  if (si_faults_consume (faults, SI_FAULT_BREAK))
    run->break_after = faults->faults[SI_FAULT_BREAK].tokens;
  run->is_hung = si_faults_consume (faults, SI_FAULT_HANG);
}

/* Adds the prompt to the prefix cache; returns how many of its bytes were not cached before. */
static size_t
count_uncached_bytes (SiEngine *engine, struct json_object *body, const char *prompt)
{
  struct json_object *messages;
  const char *text = prompt;

  if (json_object_object_get_ex (body, "messages", &messages))
    text = json_object_to_json_string_ext (messages, JSON_C_TO_STRING_PLAIN);
  return strlen (text) - si_cache_insert_prompt (&engine->cache, text);
}

static Run *
run_new (SiEngine *engine, struct evhttp_request *request, struct json_object *body, bool chat)
{
  Run *run = LB_NEW (Run);
  char *prompt = si_text_prompt (body);

  run->engine = engine;
  run->request = request;
  run->chat = chat;
  run->id = lb_strdup (si_json_get_text (body, "request_id", "none"));
  run->stream = si_json_get_bool (body, "stream", false);
  run->priority = si_json_get_int (body, "priority", 0);
  run->last_sent = lb_clock_monotonic ();
  si_text_init_from_body (&run->text, body, engine->settings.vary_length);
  run->prefill_bytes = count_uncached_bytes (engine, body, prompt);
  apply_resume (run, body);
  apply_import (run);
  apply_faults (run);
  si_run_log_count_start (&engine->log, si_json_get_text (body, "key", prompt));
  free (prompt);
  return run;
}

/* Queues the completion, or answers 503 when it can't start. */
void
si_engine_handle_completion (SiEngine *engine, struct evhttp_request *request, bool chat)
{
  struct json_object *body = si_request_json (request);
  const char *refusal = get_refusal (engine);

  if (!refusal && si_faults_consume (&engine->faults, SI_FAULT_REFUSE))
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
      Run *run = run_new (engine, request, body, chat);
      evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                     on_caller_disconnected, run);
      enqueue_run (engine, run);
    }
  json_object_put (body);
}

/* Replies with what another engine needs to import a running request's KV cache: its weight version
 * and its number of tokens. */
void
si_engine_handle_kv_export (SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *body = si_request_json (request);
  const char *id = body ? si_json_get_text (body, "request", "") : "";

  LB_LIST_FOREACH (&engine->running, Run, link, run)
  {
    if (strcmp (run->id, id) != 0)
      continue;
    struct json_object *export = json_object_new_object ();
    si_json_set_text (export, "request", id);
    si_json_set_int (export, "version", engine->version);
    si_json_set_int (export, "tokens", run->next_token);
    si_reply_json (request, 200, export);
    json_object_put (body);
    return;
  }
  si_reply_error (request, 404, "not_found");
  json_object_put (body);
}

/* Records the KV cache of a request that will be resumed here, so that its prefill is skipped. */
void
si_engine_handle_kv_import (SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *body = si_request_json (request);
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
