#ifndef LB_JSON_H
#define LB_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct json_object;

struct json_object *lb_json_member (struct json_object *object, const char *key);
const char *lb_json_text (struct json_object *object, const char *key, const char *fallback);
int64_t lb_json_int (struct json_object *object, const char *key, int64_t fallback);
bool lb_json_bool (struct json_object *object, const char *key, bool fallback);

struct json_object *lb_json_array_from_integers (const int64_t *numbers, size_t n);
/* Reads up to max integers of an array. Returns their number; 0 if there is no array. */
size_t
lb_json_read_integers (struct json_object *object, const char *key, int64_t *numbers, size_t max);
/* Serializes the object with json-c's flags and releases it; the caller frees the text. */
char *lb_json_serialize_and_release (struct json_object *object, int flags);

#endif
