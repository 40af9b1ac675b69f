#include "lc-text-cache.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static LcCachedText
make_text (const char *item, int64_t events)
{
  static const LcVersion versions[] = { 4, 5 };
  LcCachedText text = {
    .fingerprint = 7, .n_events = events, .text = "a\nb", .versions = versions, .n_versions = 2
  };

  snprintf (text.item, sizeof text.item, "%s", item);
  return text;
}

Test (carried, holds_the_text_that_has_come_furthest)
{
  LcTextCache *carried = lc_text_cache_new (1 << 20);
  LcCachedText text = make_text ("i", 9);
  LcCachedText found;

  lc_text_cache_put (carried, &text, LB_SEC);
  text.n_events = 4;
  lc_text_cache_put (carried, &text, LB_SEC);
  cr_assert (lc_text_cache_find (carried, "i", 7, 4, &found));
  cr_assert_eq (found.n_events, 9);
  text.is_complete = true;
  lc_text_cache_put (carried, &text, LB_SEC);
  cr_assert (lc_text_cache_find (carried, "i", 7, 4, &found));
  cr_assert (found.is_complete);
  lc_text_cache_free (carried);
}

/* An id that another trainer uses for something else must not get this text. */
Test (carried, another_content_under_the_id_is_another_text)
{
  LcTextCache *carried = lc_text_cache_new (1 << 20);
  LcCachedText text = make_text ("i", 9);
  LcCachedText found;
  bool whole;

  lc_text_cache_put (carried, &text, LB_SEC);
  cr_assert_not (lc_text_cache_find (carried, "i", 8, 4, &found));
  cr_assert_eq (lc_text_cache_count_events (carried, "i", 8, &whole), 0);
  cr_assert_not (lc_text_cache_find (carried, "i", 7, 5, &found), "a part is of version 4");
  cr_assert_eq (lc_text_cache_count_events (carried, "i", 7, &whole), 9);
  lc_text_cache_free (carried);
}

Test (carried, is_bounded_in_bytes_and_in_time)
{
  LcTextCache *carried = lc_text_cache_new (1000);
  LcCachedText found;

  for (int i = 0; i < 100; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "i%d", i);
      LcCachedText text = make_text (name, 1);
      lc_text_cache_put (carried, &text, LB_SEC);
      cr_assert_leq (lc_text_cache_count_bytes (carried), 1000);
    }
  cr_assert (lc_text_cache_find (carried, "i99", 7, 4, &found), "the newest stays");
  cr_assert_not (lc_text_cache_find (carried, "i0", 7, 4, &found));
  lc_text_cache_expire (carried, 120 * LB_SEC);
  cr_assert_eq (lc_text_cache_count_bytes (carried), 0);
  lc_text_cache_free (carried);
}
