#include "lh-sse.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct
{
  char text[256];
  int count;
} Seen;

static void
on_event (const char *data, size_t length, void *user)
{
  Seen *seen = user;

  strncat (seen->text, data, length);
  strcat (seen->text, "|");
  seen->count++;
}

Test (sse, events_come_whole_however_they_are_cut)
{
  static const char stream[] = ": keep-alive\n\ndata: one\r\n\r\nevent: x\ndata:two\n\ndata: \n\n";

  for (size_t cut = 1; cut < sizeof stream - 1; cut++)
    {
      LhSse sse;
      Seen seen = { 0 };
      LbError error = { 0 };

      lh_sse_init (&sse, 100);
      for (size_t at = 0; at < sizeof stream - 1; at += cut)
        {
          size_t left = sizeof stream - 1 - at;
          cr_assert (
              lh_sse_feed (&sse, stream + at, cut < left ? cut : left, on_event, &seen, &error));
        }
      cr_assert_str_eq (seen.text, "one|two||", "cut into %zu: %s", cut, seen.text);
      lh_sse_clear (&sse);
    }
}

/* An endpoint that sends a line without end would fill the memory. */
Test (sse, endless_event_is_an_error)
{
  LhSse sse;
  Seen seen = { 0 };
  LbError error = { 0 };
  bool ok = true;

  lh_sse_init (&sse, 100);
  for (int i = 0; i < 20 && ok; i++)
    ok = lh_sse_feed (&sse, "aaaaaaaaaa", 10, on_event, &seen, &error);
  cr_assert_not (ok);
  cr_assert_eq (error.code, LB_ERROR_BODY_TOO_LARGE);
  cr_assert_eq (seen.count, 0);
  lh_sse_clear (&sse);
}

Test (sse, nothing_fed_is_nothing_read)
{
  LhSse sse;
  Seen seen = { 0 };
  LbError error = { 0 };

  lh_sse_init (&sse, 100);
  cr_assert (lh_sse_feed (&sse, "", 0, on_event, &seen, &error));
  cr_assert_eq (seen.count, 0);
  lh_sse_clear (&sse);
}
