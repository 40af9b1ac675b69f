#ifndef LC_CONTENT_H
#define LC_CONTENT_H

#include "lb-types.h"

/* What a request asks for, as one number: equal for requests that ask the same, whatever their ids
 * are, at any instance and after any restart. 0: not known. */
typedef uint64_t LcContent;

#define LC_CONTENT_SIZE 17 /* of its text, with the NUL */

/* host may be NULL; organisation: whose request it is, "" when it is nobody's in particular. */
LcContent lc_content_new (const char *organisation,
                          const char *method,
                          const char *host,
                          const char *path,
                          const char *body,
                          size_t body_length);

/* 16 hexadecimal digits. */
void lc_content_to_text (LcContent content, char text[LC_CONTENT_SIZE]);
bool lc_content_is_among (LcContent content, const LcContent *contents, size_t n_contents);
/* 0 when the text is none. */
LcContent lc_content_from_text (const char *text);

#endif
