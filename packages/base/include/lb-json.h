#ifndef LB_JSON_H
#define LB_JSON_H

#include <stdbool.h>
#include <stdint.h>

struct json_object;

struct json_object *lb_json_member (struct json_object *object, const char *key);
const char *lb_json_text (struct json_object *object, const char *key, const char *fallback);
int64_t lb_json_int (struct json_object *object, const char *key, int64_t fallback);
bool lb_json_bool (struct json_object *object, const char *key, bool fallback);

#endif
