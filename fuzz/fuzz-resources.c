#include "lb-settings.h"
#include "lc-change.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* An accepted set must be written as something that is accepted again and is the same. */
static void
write_again (const LcResourceSet *set)
{
  struct json_object *object = lc_resource_set_to_json (set);
  LbError error = { 0 };
  LcResourceSet *back = lc_resource_set_from_json (object, "back", &error);

  if (!back)
    abort ();
  struct json_object *second = lc_resource_set_to_json (back);
  if (strcmp (json_object_to_json_string (object), json_object_to_json_string (second)) != 0)
    abort ();
  json_object_put (second);
  json_object_put (object);
  lc_resource_set_free (back);
}

/* The same bytes as a whole set, and as a change of an empty set. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  LbError error = { 0 };
  LcResourceSet empty = { 0 };
  struct json_object *object = lb_settings_parse ((const char *)data, size, "input", &error);

  if (!object)
    return 0;
  LcResourceSet *set = lc_resource_set_from_json (object, "input", &error);
  if (set)
    write_again (set);
  lc_resource_set_free (set);
  set = lc_change_apply (&empty, object, "input", &error);
  if (set)
    write_again (set);
  lc_resource_set_free (set);
  json_object_put (object);
  return 0;
}
