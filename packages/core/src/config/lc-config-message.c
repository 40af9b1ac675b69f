#include "lc-config.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

static const char *const message_type_names[] = { [LC_CONFIG_MESSAGE_CHANGE] = "news",
                                                  [LC_CONFIG_MESSAGE_QUERY] = "ask",
                                                  [LC_CONFIG_MESSAGE_STATUS] = "have",
                                                  [LC_CONFIG_MESSAGE_FETCH] = "want",
                                                  [LC_CONFIG_MESSAGE_SNAPSHOT] = "set" };

#define N_MESSAGE_TYPES (sizeof message_type_names / sizeof message_type_names[0])

void
lc_config_message_clear (LcConfigMessage *message)
{
  json_object_put (message->body);
  message->body = NULL;
}

struct json_object *
lc_config_message_to_json (const LcConfigMessage *message)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "type",
                          json_object_new_string (message_type_names[message->type]));
  json_object_object_add (object, "revision", json_object_new_int64 (message->revision));
  json_object_object_add (object, "asked_at", json_object_new_int64 (message->asked_at));
  json_object_object_add (object, "age", json_object_new_int64 (message->age));
  json_object_object_add (object, "confirmed", json_object_new_boolean (message->confirmed));
  json_object_object_add (object, "intent", json_object_new_int64 (message->announced_change));
  if (message->body)
    json_object_object_add (object, "body", json_object_get (message->body));
  return object;
}

static bool
read_required_integer (struct json_object *object, const char *key, int64_t *value)
{
  struct json_object *member = NULL;

  if (!json_object_object_get_ex (object, key, &member)
      || !json_object_is_type (member, json_type_int))
    return false;
  *value = json_object_get_int64 (member);
  return true;
}

/* Parses a message from JSON. The message keeps a reference to the JSON body until
 * lc_config_message_clear. */
bool
lc_config_message_from_json (struct json_object *object, LcConfigMessage *message, LbError *error)
{
  struct json_object *member = NULL;
  const char *type_name = "";

  memset (message, 0, sizeof *message);
  if (json_object_object_get_ex (object, "type", &member))
    type_name = json_object_get_string (member);
  size_t type = 0;
  while (type < N_MESSAGE_TYPES
         && strcmp (message_type_names[type], type_name ? type_name : "") != 0)
    type++;
  if (type == N_MESSAGE_TYPES || !read_required_integer (object, "revision", &message->revision)
      || !read_required_integer (object, "asked_at", &message->asked_at)
      || !read_required_integer (object, "age", &message->age)
      || !read_required_integer (object, "intent", &message->announced_change))
    return lb_error_set (error, LB_ERROR_FRAME_GARBLED, "config",
                         "type, revision, asked_at, age or intent is missing or invalid");
  message->type = (LcConfigMessageType)type;
  if (json_object_object_get_ex (object, "confirmed", &member))
    message->confirmed = json_object_get_boolean (member);
  if (json_object_object_get_ex (object, "body", &member))
    message->body = json_object_get (member);
  return true;
}
