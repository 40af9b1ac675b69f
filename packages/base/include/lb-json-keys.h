#ifndef LB_JSON_KEYS_H
#define LB_JSON_KEYS_H

#include <stdbool.h>
#include <stddef.h>

/* Finds a key that occurs twice in one object of valid JSON text, which may have comments. Returns
 * true and sets *offset to the key's second occurrence if there is one. json-c silently uses the
 * last value of a duplicate key, so an operator's change of the first would have no effect. */
bool lb_json_find_duplicate_key (const char *text, size_t length, size_t *offset);

#endif
