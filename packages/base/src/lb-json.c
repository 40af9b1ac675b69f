#include "lb-json.h"

#include "lb-alloc.h"

#include <json-c/json.h>

/* Returns NULL if object is not a JSON object, or if the key is absent or its value null. The
 * returned value stays owned by object. */
struct json_object *
lb_json_member (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (object, key, &value);
  return value;
}

/* Returns fallback unless the value of key is a string. The text stays owned by object. */
const char *
lb_json_text (struct json_object *object, const char *key, const char *fallback)
{
  struct json_object *value = lb_json_member (object, key);

  return json_object_is_type (value, json_type_string) ? json_object_get_string (value) : fallback;
}

/* Returns fallback unless the value of key is an integer; strings and fractions are not
 * converted. */
int64_t
lb_json_int (struct json_object *object, const char *key, int64_t fallback)
{
  struct json_object *value = lb_json_member (object, key);

  return json_object_is_type (value, json_type_int) ? json_object_get_int64 (value) : fallback;
}

/* Returns fallback unless the value of key is a boolean; numbers are not converted. */
bool
lb_json_bool (struct json_object *object, const char *key, bool fallback)
{
  struct json_object *value = lb_json_member (object, key);

  return json_object_is_type (value, json_type_boolean) ? json_object_get_boolean (value)
                                                        : fallback;
}

struct json_object *
lb_json_array_from_integers (const int64_t *numbers, size_t n)
{
  struct json_object *array = json_object_new_array ();

  for (size_t i = 0; i < n; i++)
    json_object_array_add (array, json_object_new_int64 (numbers[i]));
  return array;
}

size_t
lb_json_read_integers (struct json_object *object, const char *key, int64_t *numbers, size_t max)
{
  struct json_object *array = lb_json_member (object, key);
  size_t n = 0;

  if (!json_object_is_type (array, json_type_array))
    return 0;
  for (; n < json_object_array_length (array) && n < max; n++)
    numbers[n] = json_object_get_int64 (json_object_array_get_idx (array, n));
  return n;
}

char *
lb_json_serialize_and_release (struct json_object *object, int flags)
{
  char *text = lb_strdup (json_object_to_json_string_ext (object, flags));

  json_object_put (object);
  return text;
}
