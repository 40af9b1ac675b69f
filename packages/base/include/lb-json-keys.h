#ifndef LB_JSON_KEYS_H
#define LB_JSON_KEYS_H

#include <stdbool.h>
#include <stddef.h>

/* Looks for a key that stands twice in one object of a text that is known to be JSON, with
 * comments. The parser takes the later one without a word, and an operator who changes the first
 * wonders why nothing happens. True: *offset is where the second one begins. */
bool lb_json_find_duplicate_key (const char *text, size_t length, size_t *offset);

#endif
