#include "lc-cursor.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

static LcCursor
make_cursor_with_three_slots (void)
{
  LcCursor cursor;

  lc_cursor_init (&cursor, 19);
  cursor.session = 0x1122334455667788;
  cursor.chunk_number = 5;
  lc_cursor_add_slot (&cursor, 0);
  lc_cursor_add_slot (&cursor, 8);
  lc_cursor_add_slot (&cursor, 18);
  return cursor;
}

Test (cursor, cursor_is_unchanged_after_encode_and_decode)
{
  LcCursor cursor = make_cursor_with_three_slots ();
  LcCursor decoded;
  char *text = lc_cursor_encode (&cursor, 99);

  cr_assert_eq (strspn (text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"),
                strlen (text));
  cr_assert (lc_cursor_decode (&decoded, text, 19, 99, NULL));
  cr_assert_eq (decoded.session, cursor.session);
  cr_assert_eq (decoded.chunk_number, 5);
  cr_assert_eq (lc_cursor_count_slots (&decoded), 3);
  cr_assert (lc_cursor_contains (&decoded, &cursor) && lc_cursor_contains (&cursor, &decoded));
  lc_cursor_add_slot (&decoded, 3);
  cr_assert_not (lc_cursor_contains (&cursor, &decoded));
  lc_cursor_clear (&decoded);
  lc_cursor_clear (&cursor);
  free (text);
}

/* A trainer sends the cursor of another step, or a proxy damages a cursor. If the cursor were
 * accepted, it would acknowledge samples that the trainer never received, and lose them. */
Test (cursor, cursor_that_is_damaged_or_of_another_step_is_rejected)
{
  LcCursor cursor = make_cursor_with_three_slots ();
  LcCursor decoded;
  LbError error;
  char *text = lc_cursor_encode (&cursor, 99);

  cr_assert_not (lc_cursor_decode (&decoded, text, 19, 98, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_CURSOR);
  lc_cursor_clear (&decoded);
  cr_assert_not (lc_cursor_decode (&decoded, text, 20, 99, &error));
  lc_cursor_clear (&decoded);
  for (size_t i = 0; text[i]; i++)
    {
      char original = text[i];
      text[i] = original == 'A' ? 'B' : 'A';
      cr_assert_not (lc_cursor_decode (&decoded, text, 19, 99, &error),
                     "expected a cursor with character %zu changed to be rejected", i);
      cr_assert_eq (lc_cursor_count_slots (&decoded), 0);
      lc_cursor_clear (&decoded);
      text[i] = original;
    }
  text[strlen (text) - 1] = '\0';
  cr_assert_not (lc_cursor_decode (&decoded, text, 19, 99, &error));
  lc_cursor_clear (&decoded);
  lc_cursor_clear (&cursor);
  free (text);
}

Test (cursor, empty_text_decodes_to_empty_cursor)
{
  LcCursor cursor;

  cr_assert (lc_cursor_decode (&cursor, "", 19, 99, NULL));
  cr_assert_eq (lc_cursor_count_slots (&cursor), 0);
  cr_assert_eq (cursor.session, 0);
  lc_cursor_clear (&cursor);
}
