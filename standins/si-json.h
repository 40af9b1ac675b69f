#ifndef SI_JSON_H
#define SI_JSON_H

#include "lb-types.h"

#include <json-c/json.h>

int64_t si_json_get_int (struct json_object *object, const char *key, int64_t fallback);
double si_json_get_real (struct json_object *object, const char *key, double fallback);
bool si_json_get_bool (struct json_object *object, const char *key, bool fallback);
/* The object owns the returned string. */
const char *si_json_get_text (struct json_object *object, const char *key, const char *fallback);

void si_json_set_int (struct json_object *object, const char *key, int64_t value);
void si_json_set_text (struct json_object *object, const char *key, const char *value);

#endif
