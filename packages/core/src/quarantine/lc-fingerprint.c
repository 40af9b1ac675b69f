#include "lc-fingerprint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define HEX_DIGITS "0123456789abcdef"

static XXH64_hash_t
add (XXH64_hash_t seed, const char *bytes, size_t length)
{
  return XXH3_64bits_withSeed (bytes, length, seed);
}

/* The caller is not part of it: what ends an endpoint is what it is given, whichever caller gives
 * it. Its organisation is: what one of them sends must not be the reason to refuse another. Nor are
 * headers, among which ids and times differ with each attempt. */
LcFingerprint
lc_fingerprint_of_request (const char *organisation,
                           const char *method,
                           const char *host,
                           const char *path,
                           const char *body,
                           size_t body_length)
{
  XXH64_hash_t seed = organisation[0] ? add (0, organisation, strlen (organisation)) : 0;
  XXH64_hash_t hash = add (seed, method, strlen (method));

  hash = add (hash, host ? host : "", host ? strlen (host) : 0);
  hash = add (hash, path, strlen (path));
  hash = add (hash, body, body_length);
  return hash ? hash : 1;
}

void
lc_fingerprint_to_text (LcFingerprint content, char text[LC_FINGERPRINT_TEXT_SIZE])
{
  snprintf (text, LC_FINGERPRINT_TEXT_SIZE, "%016llx", (unsigned long long)content);
}

bool
lc_fingerprint_is_among (LcFingerprint content, const LcFingerprint *contents, size_t n_contents)
{
  for (size_t i = 0; i < n_contents; i++)
    if (contents[i] == content)
      return true;
  return false;
}

LcFingerprint
lc_fingerprint_from_text (const char *text)
{
  bool is_whole = strlen (text) == LC_FINGERPRINT_TEXT_SIZE - 1;

  if (!is_whole || strspn (text, HEX_DIGITS) != LC_FINGERPRINT_TEXT_SIZE - 1)
    return 0;
  return strtoull (text, NULL, 16);
}
