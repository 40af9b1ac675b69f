#include "lt-resources.h"

#include "lb-clock.h"
#include "lb-settings.h"
#include "lt-command.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LONG_POLL_WAIT_MS 1000
#define CALL_IDLE_TIMEOUT (15 * LB_SEC)
#define MAX_SEND_ATTEMPTS 3

void
lt_print_json (struct json_object *object)
{
  puts (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED));
}

const char *
lt_json_get_text (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  if (!object || !json_object_object_get_ex (object, key, &value))
    return "";

  const char *text = json_object_get_string (value);
  return text ? text : "";
}

int64_t
lt_json_get_integer (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  if (!object || !json_object_object_get_ex (object, key, &value))
    return 0;
  return json_object_get_int64 (value);
}

LcResourceSet *
lt_resources_fetch (LtClient *client, LbError *error)
{
  LtReply reply;
  LcResourceSet *set = NULL;
  const LtCall call
      = { .method = "GET", .path = "/v1/resources", .idle_timeout = CALL_IDLE_TIMEOUT };

  if (lt_client_call (client, &call, &reply, error))
    set = lc_resource_set_from_json (reply.body, "reply", error);
  lt_reply_clear (&reply);
  return set;
}

static bool
append_file_resources (struct json_object *resources, const char *file, LbError *error)
{
  struct json_object *list = NULL;
  bool ok = false;
  struct json_object *object = lb_settings_read_file (file, error);

  if (!object)
    return false;
  json_object_object_foreach (object, key, value)
  {
    if (strcmp (key, "resources") != 0)
      {
        lb_error_set (error, LB_ERROR_UNKNOWN_KEY, file, "%s: unknown key; expected resources",
                      key);
        goto out;
      }
    list = value;
  }
  ok = json_object_is_type (list, json_type_array);
  if (!ok)
    lb_error_set (error, LB_ERROR_BAD_VALUE, file, "resources: expected an array");
  for (size_t i = 0; ok && i < json_object_array_length (list); i++)
    json_object_array_add (resources, json_object_get (json_object_array_get_idx (list, i)));
out:
  json_object_put (object);
  return ok;
}

struct json_object *
lt_resources_read_files (const char *const *files, size_t n_files, LbError *error)
{
  struct json_object *change = json_object_new_object ();
  struct json_object *resources = json_object_new_array ();

  json_object_object_add (change, "apply", resources);
  for (size_t i = 0; i < n_files; i++)
    if (!append_file_resources (resources, files[i], error))
      {
        json_object_put (change);
        return NULL;
      }
  return change;
}

static bool
is_revision_in_force_on_all_instances (struct json_object *body)
{
  struct json_object *in_force = json_object_object_get (body, "in_force");

  json_object_object_foreach (in_force, revision, counts)
  {
    (void)revision;
    if (lt_json_get_integer (counts, "on") < lt_json_get_integer (counts, "of"))
      return false;
  }
  return true;
}

bool
lt_resources_wait_until_active (LtClient *client, int64_t revision, LbTime timeout, LbError *error)
{
  char path[128];
  LtReply reply;
  LbTime deadline = lb_clock_monotonic () + timeout;
  const LtCall call = { .method = "GET", .path = path, .idle_timeout = CALL_IDLE_TIMEOUT };

  for (int long_poll_ms = 0;; long_poll_ms = LONG_POLL_WAIT_MS)
    {
      snprintf (path, sizeof path, "/v1/resources/watch?after=%lld&wait_ms=%d", (long long)revision,
                long_poll_ms);
      bool ok = lt_client_call (client, &call, &reply, error);
      bool is_active = ok && lt_json_get_integer (reply.body, "accepted") >= revision
                       && is_revision_in_force_on_all_instances (reply.body);
      lt_reply_clear (&reply);
      if (!ok)
        return false;
      if (is_active)
        return true;
      if (lb_clock_monotonic () >= deadline)
        return lb_error_set (error, LB_ERROR_TIMEOUT, "",
                             "timed out before the revision was in force on all instances");
    }
}

static void
print_change_outcome (const LtChangeRequest *request, struct json_object *body)
{
  struct json_object *in_force = json_object_object_get (body, "in_force");

  if (request->json)
    lt_print_json (body);
  else if (request->dry_run)
    printf ("dry run: the change would become revision %lld; nothing was changed\n",
            (long long)lt_json_get_integer (body, "revision"));
  else
    printf ("accepted as revision %lld, in force on %lld of %lld instances\n",
            (long long)lt_json_get_integer (body, "revision"),
            (long long)lt_json_get_integer (in_force, "on"),
            (long long)lt_json_get_integer (in_force, "of"));
}

/* Sends the change again if no reply arrives, except a forced change. All attempts carry the same
 * idempotency key, so that a change whose reply was lost is not applied twice. */
static bool
send_change_with_retries (const LtChangeRequest *request, LtReply *reply, LbError *error)
{
  char idempotency_key[64], if_match[32];
  const LtCall call = { .method = "POST",
                        .path = request->dry_run ? "/v1/resources?dry_run=1" : "/v1/resources",
                        .if_match = request->force ? "*" : if_match,
                        .idempotency_key = idempotency_key,
                        .body = request->change,
                        .idle_timeout = CALL_IDLE_TIMEOUT };

  snprintf (idempotency_key, sizeof idempotency_key, "operator-%ld-%lld-%lld", (long)getpid (),
            (long long)lb_clock_wall_ms (), (long long)lb_clock_monotonic ());
  snprintf (if_match, sizeof if_match, "\"%lld\"", (long long)request->expected_revision);
  for (int attempt = 1;; attempt++)
    {
      if (lt_client_call (request->client, &call, reply, error))
        return true;
      if (reply->status != 0 || attempt == MAX_SEND_ATTEMPTS || request->force)
        return false;
      lt_reply_clear (reply);
    }
}

int
lt_change_request_send (const LtChangeRequest *request)
{
  LtReply reply;
  LbError error = { .code = LB_OK };
  int code = LT_EXIT_OK;

  if (!send_change_with_retries (request, &reply, &error))
    {
      code = lt_print_error (&error);
      if (error.code == LB_ERROR_CONFLICT)
        fprintf (stderr,
                 "lentilspindle: revision %lld is accepted now; review it with "
                 "`lentilspindle diff` and apply again\n",
                 (long long)reply.revision);
      goto out;
    }
  print_change_outcome (request, reply.body);
  if (request->active_timeout > 0 && !request->dry_run
      && !lt_resources_wait_until_active (request->client,
                                          lt_json_get_integer (reply.body, "revision"),
                                          request->active_timeout, &error))
    code = lt_print_error (&error);
out:
  lt_reply_clear (&reply);
  return code;
}
