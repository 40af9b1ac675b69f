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
/* Reads up to max integers from the array at key. Returns the number read; 0 if the value of key is
 * not an array. */
size_t
lb_json_read_integers (struct json_object *object, const char *key, int64_t *numbers, size_t max);
/* Serializes the object with JSON_C_TO_STRING flags, releases the caller's reference to it and
 * returns the text, which the caller frees. */
char *lb_json_serialize_and_release (struct json_object *object, int flags);

#endif
