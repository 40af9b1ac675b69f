#include "ln-step-call.h"

#include "ln-step-samples.h"

#include "lb-alloc.h"

#include <json-c/json.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SUBSCRIPTION_PATH_PREFIX "/v1/subscriptions/"
#define MAX_PULL_WAIT_MS 30000
#define MAX_SAMPLES_PER_PULL 4096
#define MAX_TOKENS_PER_SAMPLE 10000000

static bool
split_subscription_path (const char *path,
                         LbName subscription,
                         const char **subpath,
                         LbError *error)
{
  bool has_prefix
      = strncmp (path, SUBSCRIPTION_PATH_PREFIX, strlen (SUBSCRIPTION_PATH_PREFIX)) == 0;
  const char *name = has_prefix ? path + strlen (SUBSCRIPTION_PATH_PREFIX) : "";
  const char *slash = strchr (name, '/');

  if (!slash || slash == name || slash - name >= LB_NAME_MAX)
    return lb_error_set (error, LB_ERROR_UNKNOWN_PATH, path,
                         "expected " SUBSCRIPTION_PATH_PREFIX "NAME/...");
  memcpy (subscription, name, (size_t)(slash - name));
  subscription[slash - name] = '\0';
  *subpath = slash + 1;
  return true;
}

static bool
parse_call_type (LnStepCall *call, const char *method, const char *subpath, LbError *error)
{
  bool is_post = strcmp (method, "POST") == 0;
  char *end = NULL;

  if (is_post && strcmp (subpath, "steps") == 0)
    call->type = LN_STEP_OPEN;
  else if (is_post && strcmp (subpath, "pull") == 0)
    call->type = LN_STEP_PULL;
  else if (strcmp (method, "GET") == 0 && strncmp (subpath, "steps/", 6) == 0)
    {
      call->type = LN_STEP_STATUS;
      call->key.step = strtoll (subpath + 6, &end, 10);
      if (end == subpath + 6 || *end)
        return lb_error_set (error, LB_ERROR_BAD_VALUE, "step",
                             "expected a whole number after steps/");
    }
  else
    return lb_error_set (error, LB_ERROR_UNKNOWN_PATH, subpath,
                         "expected POST steps, GET steps/N or POST pull");
  return true;
}

/* Reads an integer member of a JSON object. Leaves *value unchanged if the key is absent and not
 * required. */
static bool
read_json_integer (struct json_object *object,
                   const char *key,
                   int64_t min,
                   int64_t max,
                   bool is_required,
                   int64_t *value,
                   LbError *error)
{
  struct json_object *member = NULL;

  if (!json_object_object_get_ex (object, key, &member))
    return !is_required || lb_error_set (error, LB_ERROR_MISSING_KEY, key, "this key is required");
  if (!json_object_is_type (member, json_type_int))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, key, "expected a whole number");
  *value = json_object_get_int64 (member);
  if (*value < min || *value > max)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, key, "expected %lld to %lld", (long long)min,
                         (long long)max);
  return true;
}

static bool
read_json_string (struct json_object *object, const char *key, const char **text, LbError *error)
{
  struct json_object *member = NULL;

  if (!json_object_object_get_ex (object, key, &member))
    return lb_error_set (error, LB_ERROR_MISSING_KEY, key, "this key is required");
  if (!json_object_is_type (member, json_type_string))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, key, "expected a string");
  *text = json_object_get_string (member);
  return true;
}

static struct json_object *
parse_json_body (const char *body, size_t length, LbError *error)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object
      = length > INT_MAX ? NULL : json_tokener_parse_ex (tokener, body, (int)length);

  if (!json_object_is_type (object, json_type_object))
    {
      lb_error_set (error, LB_ERROR_BAD_JSON, "body", "expected a JSON object");
      json_object_put (object);
      object = NULL;
    }
  json_tokener_free (tokener);
  return object;
}

static bool
parse_pull_request (LnStepCall *call, LbTime now, LbError *error)
{
  size_t length;
  const char *body = ln_exchange_body (call->exchange, &length);
  struct json_object *object = parse_json_body (body, length, error);
  const char *cursor = "";
  int64_t wait_ms = 0;
  bool ok = object && read_json_integer (object, "step", 0, INT64_MAX, true, &call->key.step, error)
            && read_json_string (object, "cursor", &cursor, error)
            && read_json_integer (object, "received", 0, INT64_MAX, false,
                                  &call->pull.received_chunk_id, error)
            && read_json_integer (object, "weight_version", 0, INT64_MAX, true,
                                  &call->pull.trainer_version, error)
            && read_json_integer (object, "max_samples", 1, MAX_SAMPLES_PER_PULL, false,
                                  &call->pull.max_samples, error)
            && read_json_integer (object, "wait_ms", 0, MAX_PULL_WAIT_MS, false, &wait_ms, error);

  if (ok)
    {
      call->cursor = lb_strdup (cursor);
      call->pull.cursor = call->cursor;
      call->pull.names_chunk = json_object_object_get_ex (object, "received", NULL);
      call->pull.id = call->id;
      call->pull.step = call->key.step;
      call->pull.wait_until = now + wait_ms * LB_MSEC;
      LB_COPY (call->pull.subscription, call->key.subscription);
    }
  json_object_put (object);
  return ok;
}

static bool
parse_open_request (LnStepCall *call, const LcRollouts *core, LbError *error)
{
  size_t length;
  const char *body = ln_exchange_body (call->exchange, &length);
  LcStepSpec spec = { 0 };

  if (!ln_step_spec_parse (&spec, call->key.subscription, body, length, error))
    return false;
  /* Rejects an invalid step before the store is written, because a step that was claimed with
   * invalid content could not be opened. Draining is no error, because a draining instance relays
   * the call. */
  bool ok = lc_rollouts_can_open_step (core, &spec, error) || error->code == LB_ERROR_DRAINING;
  call->key.step = spec.step;
  lc_step_spec_clear (&spec);
  return ok;
}

LnStepCall *
ln_step_call_parse (LnExchange *exchange, const LcRollouts *core, LbTime now, LbError *error)
{
  LnStepCall *call = LB_NEW (LnStepCall);
  const char *subpath = "";

  call->exchange = exchange;
  call->id = ln_exchange_id (exchange);
  call->pull.max_samples = MAX_SAMPLES_PER_PULL;
  if (!split_subscription_path (ln_exchange_path (exchange), call->key.subscription, &subpath,
                                error)
      || !parse_call_type (call, ln_exchange_method (exchange), subpath, error))
    goto fail;
  if (call->type == LN_STEP_PULL && !parse_pull_request (call, now, error))
    goto fail;
  if (call->type == LN_STEP_OPEN && !parse_open_request (call, core, error))
    goto fail;
  return call;
fail:
  ln_step_call_free (call);
  return NULL;
}

void
ln_step_call_free (LnStepCall *call)
{
  free (call->cursor);
  free (call);
}

static bool
parse_group_spec (struct json_object *object, LcGroupSpec *group, LbError *error)
{
  const char *id = "";
  const char *prompt = "";

  if (!json_object_is_type (object, json_type_object))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "groups", "expected a list of objects");
  if (!read_json_string (object, "id", &id, error)
      || !read_json_string (object, "prompt", &prompt, error)
      || !read_json_integer (object, "samples", 1, INT32_MAX, true, &group->samples, error)
      || !read_json_integer (object, "max_tokens", 1, MAX_TOKENS_PER_SAMPLE, true,
                             &group->max_tokens, error))
    return false;
  if (strlen (id) >= LB_NAME_MAX)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "groups.id", "the id is too long");
  LB_COPY (group->id, id);
  group->prompt = lb_strdup (prompt);
  return true;
}

static bool
parse_group_specs (struct json_object *object, LcStepSpec *spec, LbError *error)
{
  struct json_object *groups = NULL;

  if (!json_object_object_get_ex (object, "groups", &groups)
      || !json_object_is_type (groups, json_type_array))
    return lb_error_set (error, LB_ERROR_MISSING_KEY, "groups", "expected an array of groups");
  spec->n_groups = json_object_array_length (groups);
  spec->groups = LB_NEW_ARRAY (LcGroupSpec, spec->n_groups);
  for (size_t i = 0; i < spec->n_groups; i++)
    if (!parse_group_spec (json_object_array_get_idx (groups, i), &spec->groups[i], error))
      return false;
  return true;
}

bool
ln_step_spec_parse (
    LcStepSpec *spec, const char *subscription, const char *body, size_t length, LbError *error)
{
  struct json_object *object = parse_json_body (body, length, error);
  bool ok;

  memset (spec, 0, sizeof *spec);
  LB_COPY (spec->subscription, subscription);
  ok = object && read_json_integer (object, "step", 0, INT64_MAX, true, &spec->step, error)
       && read_json_integer (object, "weight_version", 0, INT64_MAX, true, &spec->trainer_version,
                             error)
       && parse_group_specs (object, spec, error);
  if (!ok)
    lc_step_spec_clear (spec);
  json_object_put (object);
  return ok;
}

/* --- replies to the trainer --- */

void
ln_step_call_reply_error (LnStepCall *call, const LbError *error, LbTime retry_after)
{
  if (call->exchange)
    ln_exchange_reply_error (call->exchange, error, retry_after);
  call->exchange = NULL;
}

static void
send_json_reply (LnStepCall *call, int status, struct json_object *object)
{
  if (call->exchange)
    ln_exchange_reply_json (call->exchange, status, object);
  else
    json_object_put (object);
  call->exchange = NULL;
}

static void
add_json_integer (struct json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

void
ln_step_call_reply_opened (LnStepCall *call, int64_t samples, uint64_t session, bool durable)
{
  struct json_object *object = json_object_new_object ();

  add_json_integer (object, "step", call->key.step);
  add_json_integer (object, "samples", samples);
  add_json_integer (object, "session", (int64_t)session);
  json_object_object_add (object, "durable", json_object_new_boolean (durable));
  send_json_reply (call, 202, object);
}

void
ln_step_call_reply_samples (LnStepCall *call, const LcRolloutAction *action)
{
  struct json_object *object = json_object_new_object ();

  add_json_integer (object, "step", call->key.step);
  json_object_object_add (object, "cursor", json_object_new_string (action->cursor));
  if (call->pull.names_chunk)
    add_json_integer (object, "chunk", action->chunk_id);
  add_json_integer (object, "remaining", action->remaining);
  json_object_object_add (object, "done", json_object_new_boolean (action->remaining == 0));
  json_object_object_add (object, "samples",
                          ln_step_samples_to_json (action->samples, action->n_samples,
                                                   call->pull.trainer_version));
  send_json_reply (call, 200, object);
}

void
ln_step_call_reply_status (LnStepCall *call, const LcStepStatus *status, uint64_t session)
{
  struct json_object *object = json_object_new_object ();

  add_json_integer (object, "step", call->key.step);
  add_json_integer (object, "session", (int64_t)session);
  add_json_integer (object, "samples", status->slots);
  add_json_integer (object, "delivered", status->delivered);
  add_json_integer (object, "ready", status->ready);
  add_json_integer (object, "running", status->running);
  add_json_integer (object, "discarded_stale", status->discarded_stale);
  add_json_integer (object, "discarded_unlabelled", status->discarded_unlabelled);
  add_json_integer (object, "hedges", status->hedges);
  add_json_integer (object, "tokens", status->tokens);
  add_json_integer (object, "wasted_tokens", status->wasted_tokens);
  add_json_integer (object, "staleness_max", status->staleness_max);
  json_object_object_add (object, "staleness_mean",
                          json_object_new_double (
                              status->delivered ? status->staleness_sum / (double)status->delivered
                                                : 0));
  json_object_object_add (object, "done", json_object_new_boolean (status->completed_at != 0));
  send_json_reply (call, 200, object);
}
