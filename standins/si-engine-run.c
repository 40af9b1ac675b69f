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

#define KEEP_ALIVE (500 * LB_MSEC)

/* One request in the batch or before it. */
typedef struct
{
  LbLink link;
  LbList *list; /* waiting or running */
  SiEngine *engine;
  struct evhttp_request *request;
  char *id;
  SiText text;
  int64_t first;  /* offset of its first token: after those of a resume */
  int64_t offset; /* of the next token */
  int64_t priority;
  bool stream;
  bool chat;
  bool begun;     /* reply headers are out */
  bool hung;      /* a fault: says nothing more */
  int64_t breaks; /* a fault: closes after so many tokens; -1: never */
  size_t prefill; /* bytes of the prompt still to be read */
  int64_t reused_version;
  LbTime last_said;
} Run;

struct SiImport
{
  UT_hash_handle hh;
  char *request;
  int64_t version;
};

static void
run_free (Run *run)
{
  lb_list_remove (run->list, &run->link);
  free (run->id);
  free (run);
}

static void
detach (Run *run)
{
  evhttp_connection_set_closecb (evhttp_request_get_connection (run->request), NULL, NULL);
}

/* The caller closed the connection: that cancels. */
static void
on_caller_gone (struct evhttp_connection *connection, void *user)
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
drop_run (Run *run)
{
  struct evhttp_request *request = run->request;

  detach (run);
  run_free (run);
  si_reply_abort (request);
}

void
si_engine_drop_all_runs (SiEngine *engine)
{
  LB_LIST_FOREACH (&engine->running, Run, link, run)
  drop_run (run);
  LB_LIST_FOREACH (&engine->waiting, Run, link, run)
  drop_run (run);
}

static void
send_line (Run *run, const char *prefix, const char *text, const char *end)
{
  struct evbuffer *piece = evbuffer_new ();

  if (!run->begun)
    {
      evhttp_add_header (evhttp_request_get_output_headers (run->request), "Content-Type",
                         "text/event-stream");
      evhttp_send_reply_start (run->request, 200, "OK");
      run->begun = true;
    }
  evbuffer_add_printf (piece, "%s%s%s", prefix, text, end);
  evhttp_send_reply_chunk (run->request, piece);
  evbuffer_free (piece);
  run->last_said = lb_clock_monotonic ();
}

static const char *
finish_reason (const Run *run, int64_t end)
{
  if (end < run->text.tokens)
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
  send_line (run, "data: ", json_object_to_json_string_ext (event, JSON_C_TO_STRING_PLAIN), "\n\n");
  json_object_put (event);
}

static void
reply_whole (Run *run)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *usage = json_object_new_object ();
  char *text = si_text_slice (&run->text, run->first, run->offset - run->first);

  si_json_set_text (object, "id", run->id);
  add_choice (object, new_choice (run, text, "length", "message"));
  si_json_set_int (usage, "completion_tokens", run->offset - run->first);
  json_object_object_add (object, "usage", usage);
  si_json_set_int (object, "weight_version", run->engine->version);
  si_reply_json (run->request, 200, object);
  free (text);
}

static void
finish_run (Run *run)
{
  struct evhttp_request *request = run->request;

  detach (run);
  run->engine->log.finished++;
  if (run->stream)
    {
      send_line (run, "data: ", "[DONE]", "\n\n");
      evhttp_send_reply_end (request);
    }
  else
    reply_whole (run);
  run_free (run);
}

static void
say_token (Run *run)
{
  char token[SI_TOKEN_SIZE];
  int64_t version = run->engine->version;

  si_text_token (&run->text, run->offset, token);
  send_event (run, token, run->offset, 1, version);
  if (si_faults_is_on (&run->engine->faults, SI_FAULT_CONTRADICT))
    send_event (run, "", run->offset, 1, version + 1);
}

static void
crash_if_due (SiEngine *engine)
{
  SiFault *fault = &engine->faults.faults[SI_FAULT_CRASH];

  if (fault->remaining != 0 && --fault->tokens < 0)
    _exit (1);
}

static void
make_token (Run *run)
{
  SiEngine *engine = run->engine;

  crash_if_due (engine);
  if (run->hung)
    return;
  if (run->breaks >= 0 && run->offset - run->first >= run->breaks)
    {
      drop_run (run);
      return;
    }
  if (run->offset < run->text.tokens)
    {
      if (run->stream)
        say_token (run);
      run->offset++;
      engine->tokens_made++;
    }
  if (run->offset >= run->text.tokens)
    finish_run (run);
}

static LbTime
step_time (const SiEngine *engine)
{
  double batch = (double)engine->running.length;
  double alone = (double)LB_SEC / engine->settings.tokens_per_second;
  LbTime slow = si_faults_is_on (&engine->faults, SI_FAULT_SLOW)
                    ? engine->faults.faults[SI_FAULT_SLOW].delay
                    : 0;

  return (LbTime)(alone * (1 + engine->settings.batch_cost * (batch - 1))) + slow;
}

static void
admit (SiEngine *engine)
{
  while ((int64_t)engine->running.length < engine->settings.concurrency
         && !lb_list_is_empty (&engine->waiting))
    {
      Run *run = LB_CONTAINER (lb_list_pop (&engine->waiting), Run, link);
      run->list = &engine->running;
      lb_list_append (run->list, &run->link);
    }
}

/* Plans the next step when there is something to do and none is planned. */
void
si_engine_schedule_step (SiEngine *engine)
{
  admit (engine);
  if (engine->step_due || si_engine_is_loading (engine) || lb_list_is_empty (&engine->running))
    return;
  LbTime wait = step_time (engine);
  const struct timeval at = lb_time_to_timeval (wait);
  event_add (engine->step, &at);
  engine->step_due = true;
}

static void
advance (Run *run, size_t prefill_bytes)
{
  if (run->prefill > prefill_bytes)
    run->prefill -= prefill_bytes;
  else
    {
      run->prefill = 0;
      make_token (run);
    }
}

static void
on_step (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiEngine *engine = user;
  double seconds = (double)step_time (engine) / (double)LB_SEC;
  size_t prefill_bytes = (size_t)(engine->settings.prefill_rate * seconds);

  engine->step_due = false;
  if (si_engine_is_loading (engine))
    return;
  LB_LIST_FOREACH (&engine->running, Run, link, run)
  advance (run, prefill_bytes);
  si_engine_schedule_step (engine);
}

static void
keep_alive_list (LbList *list, LbTime now)
{
  LB_LIST_FOREACH (list, Run, link, run)
  {
    if (run->stream && !run->hung && now - run->last_said >= KEEP_ALIVE)
      send_line (run, ": keep-alive", "", "\n\n");
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
  keep_alive_list (&engine->running, now);
  keep_alive_list (&engine->waiting, now);
}

void
si_engine_start_timers (SiEngine *engine)
{
  const struct timeval period = { .tv_usec = KEEP_ALIVE / 5 };

  engine->step = evtimer_new (engine->server.base, on_step, engine);
  engine->loaded = evtimer_new (engine->server.base, si_engine_on_loaded, engine);
  engine->keep_alive = event_new (engine->server.base, -1, EV_PERSIST, on_keep_alive, engine);
  event_add (engine->keep_alive, &period);
}

void
si_engine_stop_timers (SiEngine *engine)
{
  SiImport *import, *next;

  event_free (engine->step);
  event_free (engine->loaded);
  event_free (engine->keep_alive);
  HASH_ITER (hh, engine->imports, import, next)
  {
    HASH_DEL (engine->imports, import);
    free (import->request);
    free (import);
  }
}

static const char *
refusal (const SiEngine *engine)
{
  if (si_faults_is_on (&engine->faults, SI_FAULT_LEAVING))
    return "leaving";
  if (engine->version == 0 && !si_engine_is_loading (engine))
    return "not_started";
  if ((int64_t)engine->waiting.length >= engine->settings.queue)
    return "not_started";
  return NULL;
}

static void
enqueue (SiEngine *engine, Run *run)
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
take_resume (Run *run, struct json_object *body)
{
  struct json_object *resume;

  if (!json_object_object_get_ex (body, "resume", &resume))
    return;
  run->first = si_json_int (resume, "offset", 0);
  run->offset = run->first;
  run->engine->log.resumed++;
  char *mine = si_text_slice (&run->text, 0, run->first);
  if (strcmp (mine, si_json_text (resume, "text", "")) != 0)
    run->engine->log.resume_mismatches++;
  free (mine);
}

/* A request whose KV cache was imported skips the prefill. */
static void
take_import (Run *run)
{
  SiImport *import = NULL;

  HASH_FIND_STR (run->engine->imports, run->id, import);
  if (!import)
    return;
  run->prefill = 0;
  run->reused_version = import->version;
  HASH_DEL (run->engine->imports, import);
  free (import->request);
  free (import);
}

static void
take_faults (Run *run)
{
  SiFaults *faults = &run->engine->faults;

  run->breaks = -1;
  if (si_faults_consume (faults, SI_FAULT_BREAK))
    run->breaks = faults->faults[SI_FAULT_BREAK].tokens;
  run->hung = si_faults_consume (faults, SI_FAULT_HANG);
}

/* How many bytes of the prompt are not in the prefix cache. */
static size_t
count_prefill (SiEngine *engine, struct json_object *body, const char *prompt)
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
  run->id = lb_strdup (si_json_text (body, "request_id", "none"));
  run->stream = si_json_bool (body, "stream", false);
  run->priority = si_json_int (body, "priority", 0);
  run->last_said = lb_clock_monotonic ();
  si_text_init_from_body (&run->text, body, engine->settings.vary_length);
  run->prefill = count_prefill (engine, body, prompt);
  take_resume (run, body);
  take_import (run);
  take_faults (run);
  si_run_log_count_start (&engine->log, si_json_text (body, "key", prompt));
  free (prompt);
  return run;
}

/* Takes a completion into the batch, or refuses it before it starts. */
void
si_engine_handle_completion (SiEngine *engine, struct evhttp_request *request, bool chat)
{
  struct json_object *body = si_request_json (request);
  const char *refused = refusal (engine);

  if (!refused && si_faults_consume (&engine->faults, SI_FAULT_REFUSE))
    refused = "not_started";
  if (!body)
    si_reply_error (request, 400, "bad_json");
  else if (refused)
    {
      engine->log.refused++;
      si_reply_error (request, 503, refused);
    }
  else
    {
      Run *run = run_new (engine, request, body, chat);
      evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_caller_gone, run);
      enqueue (engine, run);
    }
  json_object_put (body);
}

void
si_engine_handle_export (SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *body = si_request_json (request);
  const char *id = body ? si_json_text (body, "request", "") : "";

  LB_LIST_FOREACH (&engine->running, Run, link, run)
  {
    if (strcmp (run->id, id) != 0)
      continue;
    struct json_object *export = json_object_new_object ();
    si_json_set_text (export, "request", id);
    si_json_set_int (export, "version", engine->version);
    si_json_set_int (export, "tokens", run->offset);
    si_reply_json (request, 200, export);
    json_object_put (body);
    return;
  }
  si_reply_error (request, 404, "not_found");
  json_object_put (body);
}

void
si_engine_handle_import (SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *body = si_request_json (request);
  const char *id = body ? si_json_text (body, "request", NULL) : NULL;
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
      import->request = lb_strdup (id);
      HASH_ADD_KEYPTR (hh, engine->imports, import->request, strlen (import->request), import);
    }
  import->version = si_json_int (body, "version", 0);
  si_reply_json (request, 200, json_object_new_object ());
  json_object_put (body);
}
