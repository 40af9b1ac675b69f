#include "lc-label.h"

#include <criterion/criterion.h>

/* The user sees a sample whose first half was written by other weights than its label says. The
 * engine swapped weights in mid-stream; a label made of the version at the start would lie. */
Test (label, a_swap_in_mid_sample_is_a_second_span)
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

/* A trainer learns from a token as if the stated weights had made it, but nobody knows which did:
 * the engine left the version out, or two streams were mixed. No later piece may heal that. */
Test (label, what_is_missing_or_contradictory_stays_unlabelled)
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
      cr_assert (label.unlabelled, "case %zu", i);
      cr_assert_not (lc_label_is_complete (&label, 6), "case %zu", i);
    }
}

/* A sample counts as fresh although half of its attention came from old weights: the engine reused
 * KV cache that version 38 had made. Both versions count. */
Test (label, reused_kv_cache_counts_as_its_version_too)
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

Test (label, more_spans_than_fit_are_not_cut)
{
  LcLabel label;

  lc_label_init (&label);
  for (int64_t i = 0; i <= LC_MAX_SPANS; i++)
    lc_label_add_tokens (&label, i, 1, 40 + i);
  cr_assert (label.unlabelled);
}

Test (label, an_empty_one_is_not_complete)
{
  LcLabel label;

  lc_label_init (&label);
  lc_label_add_tokens (&label, 0, 0, 40);
  cr_assert_not (lc_label_is_complete (&label, 0));
}
