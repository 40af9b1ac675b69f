#include "lc-cursor.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

static LcCursor
sample_cursor (void)
{
  LcCursor cursor;

  lc_cursor_init (&cursor, 19);
  cursor.session = 0x1122334455667788;
  cursor.chunk = 5;
  lc_cursor_add (&cursor, 0);
  lc_cursor_add (&cursor, 8);
  lc_cursor_add (&cursor, 18);
  return cursor;
}

Test (cursor, comes_back_as_it_went)
{
  LcCursor cursor = sample_cursor ();
  LcCursor back;
  char *text = lc_cursor_to_text (&cursor, 99);

  cr_assert_eq (strspn (text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"),
                strlen (text));
  cr_assert (lc_cursor_from_text (&back, text, 19, 99, NULL));
  cr_assert_eq (back.session, cursor.session);
  cr_assert_eq (back.chunk, 5);
  cr_assert_eq (lc_cursor_count (&back), 3);
  cr_assert (lc_cursor_includes (&back, &cursor) && lc_cursor_includes (&cursor, &back));
  lc_cursor_add (&back, 3);
  cr_assert_not (lc_cursor_includes (&cursor, &back));
  lc_cursor_clear (&back);
  lc_cursor_clear (&cursor);
  free (text);
}

/* A trainer's bug sends the cursor of another step, or a proxy damages it. Taken at its word it
 * would acknowledge samples that the trainer never got: they would be lost. */
Test (cursor, a_damaged_one_or_that_of_another_step_is_refused)
{
  LcCursor cursor = sample_cursor ();
  LcCursor back;
  LbError error;
  char *text = lc_cursor_to_text (&cursor, 99);

  cr_assert_not (lc_cursor_from_text (&back, text, 19, 98, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_CURSOR);
  lc_cursor_clear (&back);
  cr_assert_not (lc_cursor_from_text (&back, text, 20, 99, &error));
  lc_cursor_clear (&back);
  for (size_t i = 0; text[i]; i++)
    {
      char kept = text[i];
      text[i] = kept == 'A' ? 'B' : 'A';
      cr_assert_not (lc_cursor_from_text (&back, text, 19, 99, &error), "letter %zu", i);
      cr_assert_eq (lc_cursor_count (&back), 0);
      lc_cursor_clear (&back);
      text[i] = kept;
    }
  text[strlen (text) - 1] = '\0';
  cr_assert_not (lc_cursor_from_text (&back, text, 19, 99, &error));
  lc_cursor_clear (&back);
  lc_cursor_clear (&cursor);
  free (text);
}

Test (cursor, an_empty_text_is_the_beginning)
{
  LcCursor cursor;

  cr_assert (lc_cursor_from_text (&cursor, "", 19, 99, NULL));
  cr_assert_eq (lc_cursor_count (&cursor), 0);
  cr_assert_eq (cursor.session, 0);
  lc_cursor_clear (&cursor);
}
