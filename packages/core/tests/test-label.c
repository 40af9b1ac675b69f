#include "lc-label.h"

#include <criterion/criterion.h>

/* The engine swaps weights during a stream. A label (the weight versions of a sample's tokens) with
 * only the version at the start would be wrong for the tokens after the swap. */
Test (label, weight_swap_during_sample_adds_a_span)
{
  LcLabel label;

  lc_label_init (&label);
  lc_label_add_tokens (&label, 0, 7, 40);
  lc_label_add_tokens (&label, 7, 1, 40);
  lc_label_add_tokens (&label, 8, 4, 41);
  cr_assert (lc_label_is_complete (&label, 12));
  cr_assert_eq (label.n_spans, 2);
  cr_assert_eq (label.spans[0].count, 8);
  cr_assert_eq (label.spans[1].first, 8);
  cr_assert_eq (lc_label_oldest_version (&label), 40);
  cr_assert_eq (lc_label_staleness (&label, 42), 2);
  cr_assert_eq (lc_label_staleness (&label, 39), 0);
}

/* The engine left the weight version out, or two streams were mixed, so it is unknown which weights
 * generated a token. A later valid piece must not make the sample's label (the weight versions of
 * its tokens) complete again. */
Test (label, missing_or_contradictory_version_is_unlabelled_for_good)
{
  const struct
  {
    int64_t offset, tokens;
    LcVersion version;
  } bad[] = { { 5, 1, 0 }, { 6, 1, 40 }, { 4, 1, 40 }, { 0, 5, 41 }, { 5, -1, 40 }, { 5, 1, -3 } };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      LcLabel label;
      lc_label_init (&label);
      lc_label_add_tokens (&label, 0, 5, 40);
      lc_label_add_tokens (&label, bad[i].offset, bad[i].tokens, bad[i].version);
      lc_label_add_tokens (&label, 5, 1, 40);
      cr_assert (label.unlabelled, "case %zu: expected no label", i);
      cr_assert_not (lc_label_is_complete (&label, 6), "case %zu: expected an incomplete label", i);
    }
}

/* The engine reused KV cache entries that weight version 38 had computed. If only the version that
 * generated the tokens counted, the sample would seem less stale than it is. */
Test (label, version_of_reused_kv_cache_counts_for_staleness)
{
  LcLabel label;

  lc_label_init (&label);
  lc_label_add_tokens_kv_reused (&label, 0, 5, 40, 38);
  lc_label_add_tokens (&label, 5, 5, 40);
  cr_assert_eq (label.n_spans, 2);
  cr_assert_eq (label.spans[0].kv_reused_version, 38);
  cr_assert_eq (lc_label_oldest_version (&label), 38);
  cr_assert (lc_label_is_complete (&label, 10));
}

Test (label, more_spans_than_fit_are_unlabelled_not_truncated)
{
  LcLabel label;

  lc_label_init (&label);
  for (int64_t i = 0; i <= LC_MAX_SPANS; i++)
    lc_label_add_tokens (&label, i, 1, 40 + i);
  cr_assert (label.unlabelled);
}

Test (label, empty_label_is_not_complete)
{
  LcLabel label;

  lc_label_init (&label);
  lc_label_add_tokens (&label, 0, 0, 40);
  cr_assert_not (lc_label_is_complete (&label, 0));
}
