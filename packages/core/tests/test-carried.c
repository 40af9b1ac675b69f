#include "lc-text-cache.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static LcCachedText
make_cached_text (const char *item, int64_t events)
{
  static const LcVersion versions[] = { 4, 5 };
  LcCachedText text = {
    .fingerprint = 7, .n_events = events, .text = "a\nb", .versions = versions, .n_versions = 2
  };

  snprintf (text.item, sizeof text.item, "%s", item);
  return text;
}

Test (text_cache, cache_keeps_the_most_complete_text)
{
  LcTextCache *cache = lc_text_cache_new (1 << 20);
  LcCachedText text = make_cached_text ("i", 9);
  LcCachedText found;

  lc_text_cache_put (cache, &text, LB_SEC);
  text.n_events = 4;
  lc_text_cache_put (cache, &text, LB_SEC);
  cr_assert (lc_text_cache_find (cache, "i", 7, 4, &found));
  cr_assert_eq (found.n_events, 9);
  text.is_complete = true;
  lc_text_cache_put (cache, &text, LB_SEC);
  cr_assert (lc_text_cache_find (cache, "i", 7, 4, &found));
  cr_assert (found.is_complete);
  lc_text_cache_free (cache);
}

/* Two trainers may use the same id for different items. Neither may get the cached text of the
 * other trainer's item. */
Test (text_cache, text_of_another_fingerprint_or_an_older_version_is_not_found)
{
  LcTextCache *cache = lc_text_cache_new (1 << 20);
  LcCachedText text = make_cached_text ("i", 9);
  LcCachedText found;
  bool is_complete;

  lc_text_cache_put (cache, &text, LB_SEC);
  cr_assert_not (lc_text_cache_find (cache, "i", 8, 4, &found));
  cr_assert_eq (lc_text_cache_count_events (cache, "i", 8, &is_complete), 0);
  cr_assert_not (lc_text_cache_find (cache, "i", 7, 5, &found),
                 "expected no text, since version 4 generated a part of it");
  cr_assert_eq (lc_text_cache_count_events (cache, "i", 7, &is_complete), 9);
  lc_text_cache_free (cache);
}

Test (text_cache, cached_texts_are_bounded_in_bytes_and_age)
{
  LcTextCache *cache = lc_text_cache_new (1000);
  LcCachedText found;

  for (int i = 0; i < 100; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "i%d", i);
      LcCachedText text = make_cached_text (name, 1);
      lc_text_cache_put (cache, &text, LB_SEC);
      cr_assert_leq (lc_text_cache_count_bytes (cache), 1000);
    }
  cr_assert (lc_text_cache_find (cache, "i99", 7, 4, &found), "the newest entry must stay");
  cr_assert_not (lc_text_cache_find (cache, "i0", 7, 4, &found));
  lc_text_cache_evict_old_texts (cache, 120 * LB_SEC);
  cr_assert_eq (lc_text_cache_count_bytes (cache), 0);
  lc_text_cache_free (cache);
}
