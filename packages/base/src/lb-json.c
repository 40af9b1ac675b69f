#include "lb-json.h"

#include <json-c/json.h>
#include <stddef.h>

/* The member stays owned by object. NULL when object is not a JSON object or the key is absent or
 * null. */
struct json_object *
lb_json_member (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (object, key, &value);
  return value;
}

/* The text stays owned by object. Fallback for anything but a string. */
const char *
lb_json_text (struct json_object *object, const char *key, const char *fallback)
{
  struct json_object *value = lb_json_member (object, key);

  return json_object_is_type (value, json_type_string) ? json_object_get_string (value) : fallback;
}

/* Fallback for anything but a whole number: a text or a fraction is not converted. */
int64_t
lb_json_int (struct json_object *object, const char *key, int64_t fallback)
{
  struct json_object *value = lb_json_member (object, key);

  return json_object_is_type (value, json_type_int) ? json_object_get_int64 (value) : fallback;
}

/* Fallback for anything but true and false: a number is not converted. */
bool
lb_json_bool (struct json_object *object, const char *key, bool fallback)
{
  struct json_object *value = lb_json_member (object, key);

  return json_object_is_type (value, json_type_boolean) ? json_object_get_boolean (value)
                                                        : fallback;
}
