#include "si-engine.h"

#include "lb-clock.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

static void
reply_load_report (SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *load = json_object_new_object ();
  const SiEngineSettings *settings = &engine->settings;
  bool leaving = si_faults_is_on (&engine->faults, SI_FAULT_LEAVING);
  double used_share = settings->cache_blocks
                          ? (double)engine->cache.lru.length / (double)settings->cache_blocks
                          : 0;

  si_json_set_text (load, "incarnation", engine->incarnation);
  si_json_set_text (load, "state", leaving ? "leaving" : "serving");
  si_json_set_int (load, "weight_version", engine->version);
  json_object_object_add (load, "loading",
                          json_object_new_boolean (si_engine_is_loading_weights (engine)));
  if (engine->failed_version)
    si_json_set_int (load, "failed_version", engine->failed_version);
  si_json_set_int (load, "running", (int64_t)engine->running.length);
  si_json_set_int (load, "waiting", (int64_t)engine->waiting.length);
  json_object_object_add (load, "tokens_per_second",
                          json_object_new_double (settings->tokens_per_second));
  json_object_object_add (load, "kv_used", json_object_new_double (used_share));
  si_json_set_int (load, "concurrency", settings->concurrency);
  si_reply_json (request, 200, load);
}

static void
reply_cache_events (SiEngine *engine, struct evhttp_request *request)
{
  char *since = si_request_copy_query_value (request, "since");
  uint64_t first_sequence = since ? strtoull (since, NULL, 10) : 0;

  free (since);
  si_reply_json (request, 200, si_cache_events_to_json (&engine->cache, first_sequence));
}

static void
reply_run_log (SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *log = si_run_log_to_json (&engine->log);

  si_json_set_int (log, "tokens", engine->generated_tokens);
  si_json_set_int (log, "fence", engine->fence);
  si_reply_json (request, 200, log);
}

static void
route_post_request (SiEngine *engine, struct evhttp_request *request)
{
  const char *path = si_request_get_path (request);

  if (strcmp (path, "/v1/completions") == 0)
    si_engine_handle_completion (engine, request, false);
  else if (strcmp (path, "/v1/chat/completions") == 0)
    si_engine_handle_completion (engine, request, true);
  else if (strcmp (path, "/orders") == 0)
    si_engine_handle_control_order (engine, request);
  else if (strcmp (path, "/kv/export") == 0)
    si_engine_handle_kv_export (engine, request);
  else if (strcmp (path, "/kv/import") == 0)
    si_engine_handle_kv_import (engine, request);
  else
    si_reply_error (request, 404, "unknown_path");
}

static void
on_engine_request (struct evhttp_request *request, void *user)
{
  SiEngine *engine = user;

  if (si_request_has_method_and_path (request, EVHTTP_REQ_POST, "/faults"))
    {
      si_faults_set_from_request (&engine->faults, request);
      if (si_faults_is_on (&engine->faults, SI_FAULT_CRASH)
          && engine->faults.faults[SI_FAULT_CRASH].tokens == 0)
        _exit (1);
    }
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/log"))
    reply_run_log (engine, request);
  else if (si_faults_is_on (&engine->faults, SI_FAULT_DOWN))
    si_request_close_connection (request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/load"))
    reply_load_report (engine, request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/cache_events"))
    reply_cache_events (engine, request);
  else if (evhttp_request_get_command (request) == EVHTTP_REQ_POST)
    route_post_request (engine, request);
  else
    si_reply_error (request, 404, "unknown_path");
}

bool
si_engine_init (SiEngine *engine, const SiEngineSettings *settings, int port)
{
  memset (engine, 0, sizeof *engine);
  engine->settings = *settings;
  engine->version = settings->version;
  lb_list_init (&engine->waiting);
  lb_list_init (&engine->running);
  si_cache_init (&engine->cache, (size_t)settings->cache_blocks);
  snprintf (engine->incarnation, sizeof engine->incarnation, "%s-%llx-%x", settings->name,
            (unsigned long long)settings->seed,
            (unsigned)((uint64_t)lb_clock_monotonic () ^ ((uint64_t)getpid () << 20)));
  if (!si_server_init_standalone (&engine->server, port, on_engine_request, engine))
    return false;
  si_engine_start_timers (engine);
  return true;
}

void
si_engine_clear (SiEngine *engine)
{
  si_engine_abort_all_completions (engine);
  si_engine_free_timers_and_kv_imports (engine);
  si_server_clear (&engine->server);
  si_cache_clear (&engine->cache);
  si_run_log_clear (&engine->log);
}
