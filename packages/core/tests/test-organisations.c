#include "lc-admission.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <string.h>

#define NOW (100 * LB_SEC)

static void
add (LcOrganisations *organisations, const char *name, int priority, const char *key)
{
  LcOrganisation organisation = { .priority = priority };
  LcKeyDigest digest;

  LB_COPY (organisation.name, name);
  cr_assert (lc_organisations_add (organisations, &organisation, NULL));
  cr_assert (lc_key_compute_digest (key, &digest));
  cr_assert (lc_organisations_add_key (organisations, &digest, NULL));
}

static LcAdmission
decide (const LcOrganisations *organisations, LbTime age, bool strict, LcAdmissionCall call)
{
  const LcAdmissionRules rules
      = { .refuse_unconfirmed = strict, .max_unconfirmed_age = 5 * LB_SEC };
  const LcAdmissionView belief = { .organisations = organisations, .confirmed_at = NOW - age };
  LcAdmission admission;

  lc_admission_decide (&rules, &belief, &call, NOW, &admission);
  return admission;
}

static LcOrganisations *
two (void)
{
  LcOrganisations *organisations = lc_organisations_new ();

  add (organisations, "post", 3, "key-of-post");
  add (organisations, "mill", 1, "key-of-mill");
  return organisations;
}

Test (organisations, a_key_names_its_holder)
{
  LcOrganisations *organisations = two ();
  LcAdmission admission
      = decide (organisations, 0, false, (LcAdmissionCall){ .key = "key-of-mill", .n_keys = 1 });

  cr_assert_eq (admission.error, LB_OK);
  cr_assert_str_eq (admission.organisation.name, "mill");
  cr_assert_eq (admission.organisation.priority, 1);
  cr_assert_eq (lc_organisations_count (organisations), 2);
  cr_assert_str_eq (lc_organisations_find (organisations, "post")->name, "post");
  cr_assert_null (lc_organisations_find (organisations, "nobody"));
  lc_organisations_free (organisations);
}

/* What callers write in place of a key: nothing, an empty text, eight kilobytes, bytes that are no
 * text, part of a key. Each is told that nobody holds it, and none is taken for another. */
Test (organisations, what_is_no_key_is_refused)
{
  LcOrganisations *organisations = two ();
  char long_key[8193];
  const char *const keys[]
      = { NULL, "", long_key, "\xff\x01\x80", "key-of-mil", "key-of-mill ", "KEY-OF-MILL" };

  memset (long_key, 'k', sizeof long_key - 1);
  long_key[sizeof long_key - 1] = '\0';
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      LcAdmission admission
          = decide (organisations, 0, false, (LcAdmissionCall){ .key = keys[i], .n_keys = 1 });
      cr_assert_eq (admission.error, LB_ERROR_UNAUTHORIZED, "key %zu", i);
      cr_assert_str_eq (admission.organisation.name, "");
    }
  lc_organisations_free (organisations);
}

/* Two keys in one call: an intermediary that looks at the first one and an instance that looks at
 * the last would take it for calls of two callers. */
Test (organisations, two_keys_are_a_bad_request)
{
  LcOrganisations *organisations = two ();
  LcAdmission admission
      = decide (organisations, 0, false, (LcAdmissionCall){ .key = "key-of-mill", .n_keys = 2 });

  cr_assert_eq (admission.error, LB_ERROR_BAD_REQUEST);
  lc_organisations_free (organisations);
}

Test (organisations, no_key_is_needed_where_none_are_declared_or_the_route_is_open)
{
  LcOrganisations *organisations = two ();

  cr_assert_eq (decide (NULL, 0, true, (LcAdmissionCall){ 0 }).error, LB_OK);
  cr_assert_eq (
      decide (organisations, 60 * LB_SEC, true, (LcAdmissionCall){ .is_public = true }).error,
      LB_OK);
  cr_assert_str_eq (decide (organisations, 0, false,
                            (LcAdmissionCall){
                                .key = "key-of-mill", .n_keys = 1, .is_public = true })
                        .organisation.name,
                    "", "an open route is nobody's, whatever its caller brings");
  lc_organisations_free (organisations);
}

/* An instance is cut off from the store for two seconds. An operator declares a key meanwhile, and
 * its holder calls here. A final "nobody holds it" would be wrong: it is asked to come back. */
Test (organisations, an_unknown_key_is_not_final_while_nothing_is_heard)
{
  LcOrganisations *organisations = two ();
  LcAdmission admission = decide (organisations, 2 * LB_SEC, false,
                                  (LcAdmissionCall){ .key = "key-of-new", .n_keys = 1 });

  cr_assert_eq (admission.error, LB_ERROR_NOT_READY);
  cr_assert_gt (admission.retry_after, 0);
  lc_organisations_free (organisations);
}

/* A key is taken away while an instance is cut off. Where operators ask for it the instance refuses
 * every key once it can't know any more; elsewhere it goes on with what it knew. */
Test (organisations, a_key_that_may_be_gone_is_refused_where_operators_ask_for_it)
{
  LcOrganisations *organisations = two ();
  const LcAdmissionCall call = { .key = "key-of-post", .n_keys = 1 };

  cr_assert_eq (decide (organisations, 4 * LB_SEC, true, call).error, LB_OK);
  cr_assert_eq (decide (organisations, 5 * LB_SEC, true, call).error, LB_ERROR_NOT_READY);
  cr_assert_eq (decide (organisations, 60 * LB_SEC, false, call).error, LB_OK);
  lc_organisations_free (organisations);
}

Test (organisations, doubled_names_and_keys_are_refused)
{
  LcOrganisations *organisations = two ();
  LcOrganisation again = { .name = "post" };
  LcOrganisation third = { .name = "third" };
  LcKeyDigest digest;
  LbError error = { 0 };

  cr_assert_not (lc_organisations_add (organisations, &again, &error));
  cr_assert (lc_organisations_add (organisations, &third, &error));
  lc_key_compute_digest ("key-of-post", &digest);
  cr_assert_not (lc_organisations_add_key (organisations, &digest, &error));
  cr_assert (strstr (error.detail, "post"));
  cr_assert_not (strstr (error.detail, "key-of-post"), "errors name keys by their mark alone");
  lc_organisations_free (organisations);
}

Test (organisations, a_digest_survives_its_text)
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
