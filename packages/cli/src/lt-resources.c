#include "lt-resources.h"

#include "lb-clock.h"
#include "lb-settings.h"
#include "lt-command.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WATCH_WAIT_MS 1000
#define CALL_SILENCE (15 * LB_SEC)
#define MAX_SENDS 3

void
lt_print_json (struct json_object *object)
{
  puts (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED));
}

/* "" when the key is absent or null. */
const char *
lt_json_text (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  if (!object || !json_object_object_get_ex (object, key, &value))
    return "";

  const char *text = json_object_get_string (value);
  return text ? text : "";
}

int64_t
lt_json_integer (struct json_object *object, const char *key)
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
  const LtCall call = { .method = "GET", .path = "/v1/resources", .silence = CALL_SILENCE };

  if (lt_client_call (client, &call, &reply, error))
    set = lc_resource_set_from_json (reply.body, "reply", error);
  lt_reply_clear (&reply);
  return set;
}

static bool
add_file (struct json_object *apply, const char *file, LbError *error)
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
        lb_error_set (error, LB_ERROR_UNKNOWN_KEY, file, "%s: no key of this name is known", key);
        goto out;
      }
    list = value;
  }
  ok = json_object_is_type (list, json_type_array);
  if (!ok)
    lb_error_set (error, LB_ERROR_BAD_VALUE, file, "resources: expected a list");
  for (size_t i = 0; ok && i < json_object_array_length (list); i++)
    json_object_array_add (apply, json_object_get (json_object_array_get_idx (list, i)));
out:
  json_object_put (object);
  return ok;
}

struct json_object *
lt_resources_read_files (const char *const *files, size_t n_files, LbError *error)
{
  struct json_object *change = json_object_new_object ();
  struct json_object *apply = json_object_new_array ();

  json_object_object_add (change, "apply", apply);
  for (size_t i = 0; i < n_files; i++)
    if (!add_file (apply, files[i], error))
      {
        json_object_put (change);
        return NULL;
      }
  return change;
}

static bool
is_in_force_everywhere (struct json_object *body)
{
  struct json_object *in_force = json_object_object_get (body, "in_force");

  json_object_object_foreach (in_force, revision, counts)
  {
    (void)revision;
    if (lt_json_integer (counts, "on") < lt_json_integer (counts, "of"))
      return false;
  }
  return true;
}

bool
lt_resources_wait_until_active (LtClient *client, int64_t revision, LbTime wait, LbError *error)
{
  char path[128];
  LtReply reply;
  LbTime until = lb_clock_monotonic () + wait;
  const LtCall call = { .method = "GET", .path = path, .silence = CALL_SILENCE };

  for (int wait_ms = 0;; wait_ms = WATCH_WAIT_MS)
    {
      snprintf (path, sizeof path, "/v1/resources/watch?after=%lld&wait_ms=%d", (long long)revision,
                wait_ms);
      bool ok = lt_client_call (client, &call, &reply, error);
      bool done = ok && lt_json_integer (reply.body, "accepted") >= revision
                  && is_in_force_everywhere (reply.body);
      lt_reply_clear (&reply);
      if (!ok)
        return false;
      if (done)
        return true;
      if (lb_clock_monotonic () >= until)
        return lb_error_set (error, LB_ERROR_TIMEOUT, "", "not in force everywhere yet");
    }
}

static void
print_outcome (const LtChangeRequest *change, struct json_object *body)
{
  struct json_object *in_force = json_object_object_get (body, "in_force");

  if (change->json)
    lt_print_json (body);
  else if (change->dry_run)
    printf ("would become revision %lld; nothing was changed\n",
            (long long)lt_json_integer (body, "revision"));
  else
    printf ("accepted as revision %lld, in force on %lld of %lld\n",
            (long long)lt_json_integer (body, "revision"),
            (long long)lt_json_integer (in_force, "on"),
            (long long)lt_json_integer (in_force, "of"));
}

/* The same token with each send: a reply that is lost after the change was accepted is asked for
 * again and not applied twice. */
static bool
send_with_retries (const LtChangeRequest *change, LtReply *reply, LbError *error)
{
  char token[64], if_match[32];
  const LtCall call = { .method = "POST",
                        .path = change->dry_run ? "/v1/resources?dry_run=1" : "/v1/resources",
                        .if_match = change->force ? "*" : if_match,
                        .token = token,
                        .body = change->change,
                        .silence = CALL_SILENCE };

  snprintf (token, sizeof token, "operator-%ld-%lld-%lld", (long)getpid (),
            (long long)lb_clock_wall_ms (), (long long)lb_clock_monotonic ());
  snprintf (if_match, sizeof if_match, "\"%lld\"", (long long)change->revision);
  for (int sends = 1;; sends++)
    {
      if (lt_client_call (change->client, &call, reply, error))
        return true;
      if (reply->status != 0 || sends == MAX_SENDS || change->force)
        return false;
      lt_reply_clear (reply);
    }
}

int
lt_change_request_send (const LtChangeRequest *change)
{
  LtReply reply;
  LbError error = { .code = LB_OK };
  int code = LT_EXIT_OK;

  if (!send_with_retries (change, &reply, &error))
    {
      code = lt_print_error (&error);
      if (error.code == LB_ERROR_CONFLICT)
        fprintf (stderr,
                 "lentilspindle: revision %lld is accepted now; look at it with "
                 "`lentilspindle diff` and apply again\n",
                 (long long)reply.revision);
      goto out;
    }
  print_outcome (change, reply.body);
  if (change->wait > 0 && !change->dry_run
      && !lt_resources_wait_until_active (change->client, lt_json_integer (reply.body, "revision"),
                                          change->wait, &error))
    code = lt_print_error (&error);
out:
  lt_reply_clear (&reply);
  return code;
}
