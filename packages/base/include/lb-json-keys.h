#ifndef LB_JSON_KEYS_H
#define LB_JSON_KEYS_H

#include <stdbool.h>
#include <stddef.h>

/* Finds a key that occurs twice in one object of a text known to be JSON with comments. The parser
 * silently uses the later one, so an operator's change of the first would have no effect. Returns
 * true if there is one; *offset is then where its second occurrence begins. */
bool lb_json_find_duplicate_key (const char *text, size_t length, size_t *offset);

#endif
