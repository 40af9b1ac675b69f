#include "lc-fingerprint.h"

#include <criterion/criterion.h>
#include <string.h>

static LcFingerprint
fingerprint_post_request (const char *host, const char *path, const char *body)
{
  return lc_fingerprint_of_request ("", "POST", host, path, body, strlen (body));
}

Test (content, fingerprint_covers_all_parts_of_a_request)
{
  LcFingerprint first = fingerprint_post_request ("h", "/a", "x");

  cr_assert_eq (first, fingerprint_post_request ("h", "/a", "x"));
  cr_assert_neq (first, fingerprint_post_request ("g", "/a", "x"));
  cr_assert_neq (first, fingerprint_post_request ("h", "/b", "x"));
  cr_assert_neq (first, fingerprint_post_request ("h", "/a", "y"));
  cr_assert_neq (first, fingerprint_post_request (NULL, "/a", "x"));
  cr_assert_neq (first, lc_fingerprint_of_request ("", "PUT", "h", "/a", "x", 1));
  cr_assert_neq (first, lc_fingerprint_of_request ("mill", "POST", "h", "/a", "x", 1));
  cr_assert_neq (fingerprint_post_request ("h", "/a", "bc"),
                 fingerprint_post_request ("h", "/ab", "c"));
}

Test (content, text_form_round_trips_and_invalid_text_is_rejected)
{
  char text[LC_FINGERPRINT_TEXT_SIZE];

  lc_fingerprint_to_text (fingerprint_post_request ("h", "/a", "x"), text);
  cr_assert_eq (lc_fingerprint_from_text (text), fingerprint_post_request ("h", "/a", "x"));
  cr_assert_eq (lc_fingerprint_from_text (""), 0);
  cr_assert_eq (lc_fingerprint_from_text ("0123456789abcde"), 0);
  cr_assert_eq (lc_fingerprint_from_text ("0123456789abcdeg"), 0);
}
