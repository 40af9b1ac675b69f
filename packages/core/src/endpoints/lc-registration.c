#include "lc-registration.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <string.h>

char *
lc_registration_to_json (const LcRegistration *listed)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *models = json_object_new_array ();

  for (size_t i = 0; i < listed->n_models; i++)
    json_object_array_add (models, json_object_new_string (listed->models[i].name));
  json_object_object_add (object, "name", json_object_new_string (listed->name));
  json_object_object_add (object, "address", json_object_new_string (listed->address));
  json_object_object_add (object, "data_centre", json_object_new_string (listed->data_centre));
  json_object_object_add (object, "service", json_object_new_string (listed->service));
  json_object_object_add (object, "slots", json_object_new_int64 (listed->slots));
  json_object_object_add (object, "leaving", json_object_new_boolean (listed->leaving));
  if (listed->is_spot)
    json_object_object_add (object, "cheap", json_object_new_boolean (true));
  json_object_object_add (object, "models", models);
  return lb_json_take_text (object, JSON_C_TO_STRING_PLAIN);
}

static bool
read_models (struct json_object *models, LcRegistration *listed)
{
  size_t n = json_object_is_type (models, json_type_array) ? json_object_array_length (models) : 0;

  if (n > LC_MAX_MODELS)
    return false;
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *model = json_object_array_get_idx (models, i);
      if (!json_object_is_type (model, json_type_string))
        return false;
      LB_COPY (listed->models[i].name, json_object_get_string (model));
    }
  listed->n_models = n;
  return true;
}

bool
lc_registration_from_json (const char *text, LcRegistration *listed)
{
  struct json_object *object = json_tokener_parse (text);

  memset (listed, 0, sizeof *listed);
  LB_COPY (listed->name, lb_json_text (object, "name", ""));
  LB_COPY (listed->address, lb_json_text (object, "address", ""));
  LB_COPY (listed->data_centre, lb_json_text (object, "data_centre", ""));
  LB_COPY (listed->service, lb_json_text (object, "service", ""));
  listed->slots = lb_json_int (object, "slots", 0);
  listed->leaving = lb_json_bool (object, "leaving", true);
  listed->is_spot = lb_json_bool (object, "cheap", false);
  bool ok = read_models (lb_json_member (object, "models"), listed) && listed->name[0]
            && listed->address[0] && listed->service[0] && listed->slots > 0;
  json_object_put (object);
  return ok;
}
