#ifndef LB_ALLOC_H
#define LB_ALLOC_H

#include <stddef.h>

/* Allocation functions of this file abort the process if memory runs out, so none returns NULL. */
void *lb_malloc (size_t size);
void *lb_calloc (size_t count, size_t size);
void *lb_realloc (void *memory, size_t size);
void *lb_memdup (const void *memory, size_t size);
char *lb_strdup (const char *text);
char *lb_strndup (const char *text, size_t length);
char *lb_asprintf (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

#define LB_NEW(type) ((type *)lb_calloc (1, sizeof (type)))
#define LB_NEW_ARRAY(type, count) ((type *)lb_calloc ((count), sizeof (type)))

/* Copies text into a char array, truncated to fit and always NUL-terminated. */
#define LB_COPY(array, text) lb_strlcpy ((array), (text), sizeof (array))
size_t lb_strlcpy (char *target, const char *text, size_t size);

#endif
