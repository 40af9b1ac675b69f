#include "lc-carried.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static LcCarriedText
make_text (const char *item, int64_t events)
{
  static const LcVersion versions[] = { 4, 5 };
  LcCarriedText text
      = { .content = 7, .events = events, .text = "a\nb", .versions = versions, .n_versions = 2 };

  snprintf (text.item, sizeof text.item, "%s", item);
  return text;
}

Test (carried, holds_the_text_that_has_come_furthest)
{
  LcCarried *carried = lc_carried_new (1 << 20);
  LcCarriedText text = make_text ("i", 9);
  LcCarriedText found;

  lc_carried_put (carried, &text, LB_SEC);
  text.events = 4;
  lc_carried_put (carried, &text, LB_SEC);
  cr_assert (lc_carried_find (carried, "i", 7, 4, &found));
  cr_assert_eq (found.events, 9);
  text.whole = true;
  lc_carried_put (carried, &text, LB_SEC);
  cr_assert (lc_carried_find (carried, "i", 7, 4, &found));
  cr_assert (found.whole);
  lc_carried_free (carried);
}

/* An id that another trainer uses for something else must not get this text. */
Test (carried, another_content_under_the_id_is_another_text)
{
  LcCarried *carried = lc_carried_new (1 << 20);
  LcCarriedText text = make_text ("i", 9);
  LcCarriedText found;
  bool whole;

  lc_carried_put (carried, &text, LB_SEC);
  cr_assert_not (lc_carried_find (carried, "i", 8, 4, &found));
  cr_assert_eq (lc_carried_length (carried, "i", 8, &whole), 0);
  cr_assert_not (lc_carried_find (carried, "i", 7, 5, &found), "a part is of version 4");
  cr_assert_eq (lc_carried_length (carried, "i", 7, &whole), 9);
  lc_carried_free (carried);
}

Test (carried, is_bounded_in_bytes_and_in_time)
{
  LcCarried *carried = lc_carried_new (1000);
  LcCarriedText found;

  for (int i = 0; i < 100; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "i%d", i);
      LcCarriedText text = make_text (name, 1);
      lc_carried_put (carried, &text, LB_SEC);
      cr_assert_leq (lc_carried_bytes (carried), 1000);
    }
  cr_assert (lc_carried_find (carried, "i99", 7, 4, &found), "the newest stays");
  cr_assert_not (lc_carried_find (carried, "i0", 7, 4, &found));
  lc_carried_expire (carried, 120 * LB_SEC);
  cr_assert_eq (lc_carried_bytes (carried), 0);
  lc_carried_free (carried);
}
