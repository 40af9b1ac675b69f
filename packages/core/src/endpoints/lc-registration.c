#include "lc-registration.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <string.h>

char *
lc_registration_to_json (const LcRegistration *registration)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *models = json_object_new_array ();

  for (size_t i = 0; i < registration->n_models; i++)
    json_object_array_add (models, json_object_new_string (registration->models[i].name));
  json_object_object_add (object, "name", json_object_new_string (registration->name));
  json_object_object_add (object, "address", json_object_new_string (registration->address));
  json_object_object_add (object, "data_centre",
                          json_object_new_string (registration->data_centre));
  json_object_object_add (object, "service", json_object_new_string (registration->service));
  json_object_object_add (object, "slots", json_object_new_int64 (registration->slots));
  json_object_object_add (object, "leaving", json_object_new_boolean (registration->leaving));
  if (registration->is_spot)
    json_object_object_add (object, "cheap", json_object_new_boolean (true));
  json_object_object_add (object, "models", models);
  return lb_json_serialize_and_release (object, JSON_C_TO_STRING_PLAIN);
}

static bool
parse_model_names (struct json_object *models, LcRegistration *registration)
{
  size_t n = json_object_is_type (models, json_type_array) ? json_object_array_length (models) : 0;

  if (n > LC_MAX_MODELS)
    return false;
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *model = json_object_array_get_idx (models, i);
      if (!json_object_is_type (model, json_type_string))
        return false;
      LB_COPY (registration->models[i].name, json_object_get_string (model));
    }
  registration->n_models = n;
  return true;
}

bool
lc_registration_from_json (const char *text, LcRegistration *registration)
{
  struct json_object *object = json_tokener_parse (text);

  memset (registration, 0, sizeof *registration);
  LB_COPY (registration->name, lb_json_text (object, "name", ""));
  LB_COPY (registration->address, lb_json_text (object, "address", ""));
  LB_COPY (registration->data_centre, lb_json_text (object, "data_centre", ""));
  LB_COPY (registration->service, lb_json_text (object, "service", ""));
  registration->slots = lb_json_int (object, "slots", 0);
  registration->leaving = lb_json_bool (object, "leaving", true);
  registration->is_spot = lb_json_bool (object, "cheap", false);
  bool is_valid = parse_model_names (lb_json_member (object, "models"), registration)
                  && registration->name[0] && registration->address[0] && registration->service[0]
                  && registration->slots > 0;
  json_object_put (object);
  return is_valid;
}
