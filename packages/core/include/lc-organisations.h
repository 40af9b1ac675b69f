#ifndef LC_ORGANISATIONS_H
#define LC_ORGANISATIONS_H

#include "lb-error.h"

/* Who callers are: organisations, and the keys by which they are known. Keys are held as digests
 * alone, so that no log, dump or row of ours can give one away. Filled once, then only read. */

#define LC_KEY_DIGEST_SIZE 32

typedef struct
{
  unsigned char bytes[LC_KEY_DIGEST_SIZE];
} LcKeyDigest;

/* Of the text by which a log names a key, with the NUL: eight hexadecimal digits of its digest. */
#define LC_KEY_LOG_ID_SIZE 9

/* False when the library refuses, which it does for want of memory alone. */
bool lc_key_compute_digest (const char *key, LcKeyDigest *digest);
void lc_key_format_log_id (const LcKeyDigest *digest, char mark[LC_KEY_LOG_ID_SIZE]);
/* The digest as text, 64 hexadecimal digits. */
#define LC_KEY_DIGEST_TEXT_SIZE (2 * LC_KEY_DIGEST_SIZE + 1)
void lc_key_digest_to_text (const LcKeyDigest *digest, char text[LC_KEY_DIGEST_TEXT_SIZE]);
bool lc_key_digest_from_text (const char *text, LcKeyDigest *digest);

typedef struct
{
  LbName name;
  int priority; /* larger first; it goes before that of a route */
} LcOrganisation;

typedef struct LcOrganisations LcOrganisations;

LcOrganisations *lc_organisations_new (void);
void lc_organisations_free (LcOrganisations *organisations);

/* commands */
/* False with an error: it has no name, or another one has the same. */
bool lc_organisations_add (LcOrganisations *organisations,
                           const LcOrganisation *organisation,
                           LbError *error);
/* Of the organisation that was added last. False with an error: another one has the same key, and
 * whose call it is could not be told. */
bool lc_organisations_add_key (LcOrganisations *organisations,
                               const LcKeyDigest *digest,
                               LbError *error);

/* queries */
size_t lc_organisations_count (const LcOrganisations *organisations);
/* NULL: nobody holds the key. */
const LcOrganisation *lc_organisations_find_by_key (const LcOrganisations *organisations,
                                                    const LcKeyDigest *digest);
/* NULL: none has the name. */
const LcOrganisation *lc_organisations_find (const LcOrganisations *organisations,
                                             const char *name);

#endif
