#include "lc-fingerprint.h"

#include <criterion/criterion.h>
#include <string.h>

static LcFingerprint
content (const char *host, const char *path, const char *body)
{
  return lc_fingerprint_of_request ("", "POST", host, path, body, strlen (body));
}

Test (content, is_that_of_all_parts)
{
  LcFingerprint first = content ("h", "/a", "x");

  cr_assert_eq (first, content ("h", "/a", "x"));
  cr_assert_neq (first, content ("g", "/a", "x"));
  cr_assert_neq (first, content ("h", "/b", "x"));
  cr_assert_neq (first, content ("h", "/a", "y"));
  cr_assert_neq (first, content (NULL, "/a", "x"));
  cr_assert_neq (first, lc_fingerprint_of_request ("", "PUT", "h", "/a", "x", 1));
  cr_assert_neq (first, lc_fingerprint_of_request ("mill", "POST", "h", "/a", "x", 1));
  cr_assert_neq (content ("h", "/a", "bc"), content ("h", "/ab", "c"));
}

Test (content, survives_its_text)
{
  char text[LC_FINGERPRINT_TEXT_SIZE];

  lc_fingerprint_to_text (content ("h", "/a", "x"), text);
  cr_assert_eq (lc_fingerprint_from_text (text), content ("h", "/a", "x"));
  cr_assert_eq (lc_fingerprint_from_text (""), 0);
  cr_assert_eq (lc_fingerprint_from_text ("0123456789abcde"), 0);
  cr_assert_eq (lc_fingerprint_from_text ("0123456789abcdeg"), 0);
}
