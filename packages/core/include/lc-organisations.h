#ifndef LC_ORGANISATIONS_H
#define LC_ORGANISATIONS_H

#include "lb-error.h"

/* This header declares the table of organisations and of the API keys that identify them as
 * callers. Only digests of keys are stored, so that no log, core dump or stored row reveals a key.
 * The table is filled once and then only read. */

#define LC_KEY_DIGEST_SIZE 32

typedef struct
{
  unsigned char bytes[LC_KEY_DIGEST_SIZE];
} LcKeyDigest;

/* Size, with the NUL, of a key's id in logs: the first eight hexadecimal digits of its digest. */
#define LC_KEY_LOG_ID_SIZE 9

/* Computes the digest of an API key. Returns false if OpenSSL fails, which happens only when memory
 * runs out. */
bool lc_key_compute_digest (const char *key, LcKeyDigest *digest);
void lc_key_format_log_id (const LcKeyDigest *digest, char log_id[LC_KEY_LOG_ID_SIZE]);
/* Size, with the NUL, of a digest as 64 hexadecimal digits. */
#define LC_KEY_DIGEST_TEXT_SIZE (2 * LC_KEY_DIGEST_SIZE + 1)
void lc_key_digest_to_text (const LcKeyDigest *digest, char text[LC_KEY_DIGEST_TEXT_SIZE]);
bool lc_key_digest_from_text (const char *text, LcKeyDigest *digest);

typedef struct
{
  LbName name;
  /* requests of organisations with a larger value go first; overrides the route's priority */
  int priority;
} LcOrganisation;

typedef struct LcOrganisations LcOrganisations;

LcOrganisations *lc_organisations_new (void);
void lc_organisations_free (LcOrganisations *organisations);

/* Functions that change an LcOrganisations table. */

/* Returns false with an error if the name is empty or already in use. */
bool lc_organisations_add (LcOrganisations *organisations,
                           const LcOrganisation *organisation,
                           LbError *error);
/* Adds a key to the organisation that was added last. Returns false with an error if another
 * organisation has the same key, since the key would not identify the caller. */
bool lc_organisations_add_key (LcOrganisations *organisations,
                               const LcKeyDigest *digest,
                               LbError *error);

/* Functions that only read an LcOrganisations table. */

size_t lc_organisations_count (const LcOrganisations *organisations);
/* Returns the organisation that has the key; NULL if there is none. */
const LcOrganisation *lc_organisations_find_by_key (const LcOrganisations *organisations,
                                                    const LcKeyDigest *digest);
/* Returns NULL if no organisation has the name. */
const LcOrganisation *lc_organisations_find (const LcOrganisations *organisations,
                                             const char *name);

#endif
