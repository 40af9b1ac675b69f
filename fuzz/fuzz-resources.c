#include "lb-settings.h"
#include "lc-change.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Writes the resource set as JSON, parses the JSON and writes it again. Aborts if the JSON is
 * rejected or the two texts differ. */
static void
check_json_round_trip (const LcResourceSet *set)
{
  struct json_object *object = lc_resource_set_to_json (set);
  LbError error = { 0 };
  LcResourceSet *parsed = lc_resource_set_from_json (object, "back", &error);

  if (!parsed)
    abort ();
  struct json_object *second_object = lc_resource_set_to_json (parsed);
  if (strcmp (json_object_to_json_string (object), json_object_to_json_string (second_object)) != 0)
    abort ();
  json_object_put (second_object);
  json_object_put (object);
  lc_resource_set_free (parsed);
}

/* Parses the input as a whole resource set, then as a change to an empty resource set. */
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
    check_json_round_trip (set);
  lc_resource_set_free (set);
  set = lc_change_apply_to_resource_set (&empty, object, "input", &error);
  if (set)
    check_json_round_trip (set);
  lc_resource_set_free (set);
  json_object_put (object);
  return 0;
}
