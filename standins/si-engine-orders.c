#include "si-engine.h"

#include "lb-alloc.h"
#include "lb-time.h"

#include <string.h>

bool
si_engine_is_loading_weights (const SiEngine *engine)
{
  return engine->loading_version != 0;
}

/* Starts loading weights in place. Until the load ends, no weight version is complete and the batch
 * is paused. */
static void
start_weight_load (SiEngine *engine, int64_t version)
{
  const struct timeval wait = lb_time_to_timeval (engine->settings.load_time);

  engine->loading_version = version;
  engine->version = 0;
  engine->failed_version = 0;
  event_add (engine->load_timer, &wait);
}

void
si_engine_on_weight_load_done (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiEngine *engine = user;
  int64_t version = engine->loading_version;

  engine->loading_version = 0;
  si_cache_evict_all_blocks (&engine->cache);
  if (si_faults_consume_occurrence (&engine->faults, SI_FAULT_FAIL_SWAP))
    {
      engine->failed_version = version;
      si_engine_abort_all_completions (engine);
      return;
    }
  engine->version = version;
  si_engine_schedule_batch_step (engine);
}

static void
reply_stale_fencing_token_error (const SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *error = json_object_new_object ();

  si_json_set_text (error, "type", "stale_fence");
  si_json_set_int (error, "fence", engine->fence);
  json_object_object_add (object, "error", error);
  si_reply_json (request, 409, object);
}

static void
accept_control_order (SiEngine *engine, struct evhttp_request *request, struct json_object *order)
{
  struct json_object *reply = json_object_new_object ();

  if (strcmp (si_json_get_text (order, "order", ""), "load_weights") == 0)
    start_weight_load (engine, si_json_get_int (order, "version", 0));
  json_object_object_add (reply, "accepted", json_object_new_boolean (true));
  si_reply_json (request, 202, reply);
}

static bool
is_valid_control_order (struct json_object *order)
{
  const char *name = si_json_get_text (order, "order", "");

  if (strcmp (name, "load_weights") == 0)
    return si_json_get_int (order, "version", 0) > 0;
  return strcmp (name, "load_adapter") == 0 || strcmp (name, "change_role") == 0;
}

void
si_engine_handle_control_order (SiEngine *engine, struct evhttp_request *request)
{
  struct json_object *order = si_request_parse_body (request);

  if (!order || !is_valid_control_order (order))
    {
      si_reply_error (request, 400, "bad_value");
      goto out;
    }
  int64_t fence = si_json_get_int (order, "fence", 0);
  if (engine->settings.checks_fence && fence < engine->fence)
    {
      reply_stale_fencing_token_error (engine, request);
      goto out;
    }
  if (fence > engine->fence)
    engine->fence = fence;
  accept_control_order (engine, request, order);

out:
  json_object_put (order);
}
