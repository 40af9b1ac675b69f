#include "lc-fingerprint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define HEX_DIGITS "0123456789abcdef"

static XXH64_hash_t
hash_bytes (XXH64_hash_t seed, const char *bytes, size_t length)
{
  return XXH3_64bits_withSeed (bytes, length, seed);
}

/* The caller is not part of the fingerprint, since the content of a request makes an endpoint
 * crash, whoever sends it. The organisation is part of it, so that requests of one organisation
 * cannot cause those of another to be refused. Headers are left out, since their ids and times
 * differ with each attempt. */
LcFingerprint
lc_fingerprint_of_request (const char *organisation,
                           const char *method,
                           const char *host,
                           const char *path,
                           const char *body,
                           size_t body_length)
{
  XXH64_hash_t seed = organisation[0] ? hash_bytes (0, organisation, strlen (organisation)) : 0;
  XXH64_hash_t hash = hash_bytes (seed, method, strlen (method));

  hash = hash_bytes (hash, host ? host : "", host ? strlen (host) : 0);
  hash = hash_bytes (hash, path, strlen (path));
  hash = hash_bytes (hash, body, body_length);
  return hash ? hash : 1;
}

void
lc_fingerprint_to_text (LcFingerprint fingerprint, char text[LC_FINGERPRINT_TEXT_SIZE])
{
  snprintf (text, LC_FINGERPRINT_TEXT_SIZE, "%016llx", (unsigned long long)fingerprint);
}

bool
lc_fingerprint_is_among (LcFingerprint fingerprint,
                         const LcFingerprint *fingerprints,
                         size_t n_fingerprints)
{
  for (size_t i = 0; i < n_fingerprints; i++)
    if (fingerprints[i] == fingerprint)
      return true;
  return false;
}

LcFingerprint
lc_fingerprint_from_text (const char *text)
{
  bool has_full_length = strlen (text) == LC_FINGERPRINT_TEXT_SIZE - 1;

  if (!has_full_length || strspn (text, HEX_DIGITS) != LC_FINGERPRINT_TEXT_SIZE - 1)
    return 0;
  return strtoull (text, NULL, 16);
}
