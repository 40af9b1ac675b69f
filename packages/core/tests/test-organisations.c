#include "lc-admission.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <string.h>

#define NOW (100 * LB_SEC)

static void
add_organisation_with_key (LcOrganisations *organisations,
                           const char *name,
                           int priority,
                           const char *key)
{
  LcOrganisation organisation = { .priority = priority };
  LcKeyDigest digest;

  LB_COPY (organisation.name, name);
  cr_assert (lc_organisations_add (organisations, &organisation, NULL));
  cr_assert (lc_key_compute_digest (key, &digest));
  cr_assert (lc_organisations_add_key (organisations, &digest, NULL));
}

static LcAdmission
decide_call_admission (const LcOrganisations *organisations,
                       LbTime age,
                       bool strict,
                       LcAdmissionCall call)
{
  const LcAdmissionRules rules
      = { .refuse_unconfirmed = strict, .max_unconfirmed_age = 5 * LB_SEC };
  const LcAdmissionView view = { .organisations = organisations, .confirmed_at = NOW - age };
  LcAdmission admission;

  lc_admission_decide (&rules, &view, &call, NOW, &admission);
  return admission;
}

static LcOrganisations *
new_organisations_named_post_and_mill (void)
{
  LcOrganisations *organisations = lc_organisations_new ();

  add_organisation_with_key (organisations, "post", 3, "key-of-post");
  add_organisation_with_key (organisations, "mill", 1, "key-of-mill");
  return organisations;
}

Test (organisations, key_identifies_its_organisation)
{
  LcOrganisations *organisations = new_organisations_named_post_and_mill ();
  LcAdmission admission
      = decide_call_admission (organisations, 0, false,
                               (LcAdmissionCall){ .key = "key-of-mill", .n_keys = 1 });

  cr_assert_eq (admission.error, LB_OK);
  cr_assert_str_eq (admission.organisation.name, "mill");
  cr_assert_eq (admission.organisation.priority, 1);
  cr_assert_eq (lc_organisations_count (organisations), 2);
  cr_assert_str_eq (lc_organisations_find (organisations, "post")->name, "post");
  cr_assert_null (lc_organisations_find (organisations, "nobody"));
  lc_organisations_free (organisations);
}

/* No key, an empty key, a key of 8 KiB, invalid UTF-8, a part of a key, upper case or a trailing
 * space: each must be rejected as unauthorized and must not match an organisation. */
Test (organisations, malformed_and_unknown_keys_are_rejected)
{
  LcOrganisations *organisations = new_organisations_named_post_and_mill ();
  char long_key[8193];
  const char *const keys[]
      = { NULL, "", long_key, "\xff\x01\x80", "key-of-mil", "key-of-mill ", "KEY-OF-MILL" };

  memset (long_key, 'k', sizeof long_key - 1);
  long_key[sizeof long_key - 1] = '\0';
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      LcAdmission admission
          = decide_call_admission (organisations, 0, false,
                                   (LcAdmissionCall){ .key = keys[i], .n_keys = 1 });
      cr_assert_eq (admission.error, LB_ERROR_UNAUTHORIZED,
                    "key %zu: expected LB_ERROR_UNAUTHORIZED", i);
      cr_assert_str_eq (admission.organisation.name, "");
    }
  lc_organisations_free (organisations);
}

/* With two keys in one call, a proxy that reads the first and an instance that reads the last would
 * attribute it to different callers. */
Test (organisations, call_with_two_keys_is_a_bad_request)
{
  LcOrganisations *organisations = new_organisations_named_post_and_mill ();
  LcAdmission admission
      = decide_call_admission (organisations, 0, false,
                               (LcAdmissionCall){ .key = "key-of-mill", .n_keys = 2 });

  cr_assert_eq (admission.error, LB_ERROR_BAD_REQUEST);
  lc_organisations_free (organisations);
}

Test (organisations, no_key_is_needed_without_organisations_or_on_a_public_route)
{
  LcOrganisations *organisations = new_organisations_named_post_and_mill ();

  cr_assert_eq (decide_call_admission (NULL, 0, true, (LcAdmissionCall){ 0 }).error, LB_OK);
  cr_assert_eq (decide_call_admission (organisations, 60 * LB_SEC, true,
                                       (LcAdmissionCall){ .is_public = true })
                    .error,
                LB_OK);
  cr_assert_str_eq (decide_call_admission (
                        organisations, 0, false,
                        (LcAdmissionCall){ .key = "key-of-mill", .n_keys = 1, .is_public = true })
                        .organisation.name,
                    "", "calls to a public route belong to no organisation");
  lc_organisations_free (organisations);
}

/* An operator adds an API key while an instance is cut off from the store for two seconds. The
 * instance must tell callers with the new key to retry instead of rejecting them for good. */
Test (organisations, unknown_key_is_rejected_temporarily_while_the_view_is_stale)
{
  LcOrganisations *organisations = new_organisations_named_post_and_mill ();
  LcAdmission admission
      = decide_call_admission (organisations, 2 * LB_SEC, false,
                               (LcAdmissionCall){ .key = "key-of-new", .n_keys = 1 });

  cr_assert_eq (admission.error, LB_ERROR_NOT_READY);
  cr_assert_gt (admission.retry_after, 0);
  lc_organisations_free (organisations);
}

/* A key may have been revoked while an instance is cut off from the store. With
 * refuse_unconfirmed, the instance rejects every key once its view of the store is too old.
 * Otherwise it continues with the last view. */
Test (organisations, keys_are_rejected_with_a_stale_view_in_strict_mode)
{
  LcOrganisations *organisations = new_organisations_named_post_and_mill ();
  const LcAdmissionCall call = { .key = "key-of-post", .n_keys = 1 };

  cr_assert_eq (decide_call_admission (organisations, 4 * LB_SEC, true, call).error, LB_OK);
  cr_assert_eq (decide_call_admission (organisations, 5 * LB_SEC, true, call).error,
                LB_ERROR_NOT_READY);
  cr_assert_eq (decide_call_admission (organisations, 60 * LB_SEC, false, call).error, LB_OK);
  lc_organisations_free (organisations);
}

Test (organisations, duplicate_names_and_keys_are_rejected)
{
  LcOrganisations *organisations = new_organisations_named_post_and_mill ();
  LcOrganisation again = { .name = "post" };
  LcOrganisation third = { .name = "third" };
  LcKeyDigest digest;
  LbError error = { 0 };

  cr_assert_not (lc_organisations_add (organisations, &again, &error));
  cr_assert (lc_organisations_add (organisations, &third, &error));
  lc_key_compute_digest ("key-of-post", &digest);
  cr_assert_not (lc_organisations_add_key (organisations, &digest, &error));
  cr_assert (strstr (error.detail, "post"));
  cr_assert_not (strstr (error.detail, "key-of-post"),
                 "errors must identify keys only by their log id");
  lc_organisations_free (organisations);
}

Test (organisations, digest_text_round_trip)
{
  LcKeyDigest digest, same;
  char text[LC_KEY_DIGEST_TEXT_SIZE];

  lc_key_compute_digest ("abc", &digest);
  lc_key_digest_to_text (&digest, text);
  cr_assert_str_eq (text, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  cr_assert (lc_key_digest_from_text (text, &same));
  cr_assert_eq (memcmp (&digest, &same, sizeof digest), 0);
  cr_assert_not (lc_key_digest_from_text ("ba78", &same));
}
