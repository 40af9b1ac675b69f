#include "si-json.h"

int64_t
si_json_get_int (struct json_object *object, const char *key, int64_t fallback)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return fallback;
  return json_object_get_int64 (value);
}

double
si_json_get_real (struct json_object *object, const char *key, double fallback)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return fallback;
  return json_object_get_double (value);
}

bool
si_json_get_bool (struct json_object *object, const char *key, bool fallback)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return fallback;
  return json_object_get_boolean (value);
}

const char *
si_json_get_text (struct json_object *object, const char *key, const char *fallback)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return fallback;
  return json_object_get_string (value);
}

void
si_json_set_int (struct json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

void
si_json_set_text (struct json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}
