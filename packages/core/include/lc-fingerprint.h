#ifndef LC_FINGERPRINT_H
#define LC_FINGERPRINT_H

#include "lb-types.h"

/* What a request asks for, as one number: equal for requests that ask the same, whatever their ids
 * are, at any instance and after any restart. 0: not known. */
typedef uint64_t LcFingerprint;

#define LC_FINGERPRINT_TEXT_SIZE 17 /* of its text, with the NUL */

/* host may be NULL; organisation: whose request it is, "" when it is nobody's in particular. */
LcFingerprint lc_fingerprint_of_request (const char *organisation,
                                         const char *method,
                                         const char *host,
                                         const char *path,
                                         const char *body,
                                         size_t body_length);

/* 16 hexadecimal digits. */
void lc_fingerprint_to_text (LcFingerprint content, char text[LC_FINGERPRINT_TEXT_SIZE]);
bool
lc_fingerprint_is_among (LcFingerprint content, const LcFingerprint *contents, size_t n_contents);
/* 0 when the text is none. */
LcFingerprint lc_fingerprint_from_text (const char *text);

#endif
