#ifndef LC_FINGERPRINT_H
#define LC_FINGERPRINT_H

#include "lb-types.h"

/* Hash of the content of a request. Requests with the same content have the same fingerprint,
 * whatever their ids are, on any instance and after any restart. 0: not known. */
typedef uint64_t LcFingerprint;

#define LC_FINGERPRINT_TEXT_SIZE 17 /* 16 hexadecimal digits and the NUL */

/* host may be NULL; organisation is "" if the request belongs to none. */
LcFingerprint lc_fingerprint_of_request (const char *organisation,
                                         const char *method,
                                         const char *host,
                                         const char *path,
                                         const char *body,
                                         size_t body_length);

void lc_fingerprint_to_text (LcFingerprint fingerprint, char text[LC_FINGERPRINT_TEXT_SIZE]);
bool lc_fingerprint_is_among (LcFingerprint fingerprint,
                              const LcFingerprint *fingerprints,
                              size_t n_fingerprints);
/* Returns 0 if the text is not a fingerprint. */
LcFingerprint lc_fingerprint_from_text (const char *text);

#endif
