#include "lc-organisations.h"

#include "lb-alloc.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define LOG_ID_BYTES ((LC_KEY_LOG_ID_SIZE - 1) / 2)

typedef struct
{
  LcOrganisation organisation;
  UT_hash_handle hh; /* handle in the hash table LcOrganisations.entries, keyed by name */
} Entry;

typedef struct
{
  LcKeyDigest digest;
  const Entry *entry;
  UT_hash_handle hh; /* handle in the hash table LcOrganisations.keys, keyed by digest */
} Key;

struct LcOrganisations
{
  Entry *entries;
  Entry *last_added;
  Key *keys;
};

bool
lc_key_compute_digest (const char *key, LcKeyDigest *digest)
{
  return EVP_Digest (key, strlen (key), digest->bytes, NULL, EVP_sha256 (), NULL) == 1;
}

static void
format_bytes_as_hex (const unsigned char *bytes, size_t n, char *text)
{
  for (size_t i = 0; i < n; i++)
    snprintf (text + 2 * i, 3, "%02x", bytes[i]);
}

void
lc_key_format_log_id (const LcKeyDigest *digest, char log_id[LC_KEY_LOG_ID_SIZE])
{
  format_bytes_as_hex (digest->bytes, LOG_ID_BYTES, log_id);
}

void
lc_key_digest_to_text (const LcKeyDigest *digest, char text[LC_KEY_DIGEST_TEXT_SIZE])
{
  format_bytes_as_hex (digest->bytes, LC_KEY_DIGEST_SIZE, text);
}

bool
lc_key_digest_from_text (const char *text, LcKeyDigest *digest)
{
  char pair[3] = "";

  if (strlen (text) != LC_KEY_DIGEST_TEXT_SIZE - 1
      || strspn (text, "0123456789abcdef") != LC_KEY_DIGEST_TEXT_SIZE - 1)
    return false;
  for (size_t i = 0; i < LC_KEY_DIGEST_SIZE; i++)
    {
      memcpy (pair, text + 2 * i, 2);
      digest->bytes[i] = (unsigned char)strtoul (pair, NULL, 16);
    }
  return true;
}

LcOrganisations *
lc_organisations_new (void)
{
  return LB_NEW (LcOrganisations);
}

void
lc_organisations_free (LcOrganisations *organisations)
{
  Entry *entry, *next;
  Key *key, *next_key;

  if (!organisations)
    return;
  HASH_ITER (hh, organisations->keys, key, next_key)
  {
    HASH_DEL (organisations->keys, key);
    free (key);
  }
  HASH_ITER (hh, organisations->entries, entry, next)
  {
    HASH_DEL (organisations->entries, entry);
    free (entry);
  }
  free (organisations);
}

static Entry *
find_organisation_entry (const LcOrganisations *organisations, const char *name)
{
  Entry *entry = NULL;

  HASH_FIND (hh, organisations->entries, name, strlen (name), entry);
  return entry;
}

bool
lc_organisations_add (LcOrganisations *organisations,
                      const LcOrganisation *organisation,
                      LbError *error)
{
  Entry *entry = NULL;

  if (organisation->name[0] == '\0')
    return lb_error_set (error, LB_ERROR_MISSING_KEY, "name", "organisation has an empty name");
  if (find_organisation_entry (organisations, organisation->name))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, organisation->name,
                         "another organisation has the same name");
  entry = LB_NEW (Entry);
  entry->organisation = *organisation;
  HASH_ADD_KEYPTR (hh, organisations->entries, entry->organisation.name,
                   strlen (entry->organisation.name), entry);
  organisations->last_added = entry;
  return true;
}

/* The lookup uses the digest, and the final comparison takes constant time, so response times don't
 * reveal how close a guessed key is. */
static Key *
find_key_by_digest (const LcOrganisations *organisations, const LcKeyDigest *digest)
{
  Key *key = NULL;

  HASH_FIND (hh, organisations->keys, digest->bytes, sizeof digest->bytes, key);
  if (!key || CRYPTO_memcmp (key->digest.bytes, digest->bytes, sizeof digest->bytes) != 0)
    return NULL;
  return key;
}

bool
lc_organisations_add_key (LcOrganisations *organisations, const LcKeyDigest *digest, LbError *error)
{
  Key *key = find_key_by_digest (organisations, digest);
  char log_id[LC_KEY_LOG_ID_SIZE];

  if (key && key->entry == organisations->last_added)
    return true;
  if (key)
    {
      lc_key_format_log_id (digest, log_id);
      return lb_error_set (error, LB_ERROR_BAD_VALUE, organisations->last_added->organisation.name,
                           "key %s already belongs to organisation %s", log_id,
                           key->entry->organisation.name);
    }
  key = LB_NEW (Key);
  key->digest = *digest;
  key->entry = organisations->last_added;
  HASH_ADD (hh, organisations->keys, digest, sizeof key->digest, key);
  return true;
}

size_t
lc_organisations_count (const LcOrganisations *organisations)
{
  return HASH_COUNT (organisations->entries);
}

const LcOrganisation *
lc_organisations_find_by_key (const LcOrganisations *organisations, const LcKeyDigest *digest)
{
  const Key *key = find_key_by_digest (organisations, digest);

  return key ? &key->entry->organisation : NULL;
}

const LcOrganisation *
lc_organisations_find (const LcOrganisations *organisations, const char *name)
{
  const Entry *entry = find_organisation_entry (organisations, name);

  return entry ? &entry->organisation : NULL;
}
