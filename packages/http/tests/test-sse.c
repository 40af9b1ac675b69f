#include "lh-sse.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct
{
  char text[256];
  int count;
} Events;

static void
append_sse_event_data (const char *data, size_t length, void *user)
{
  Events *events = user;

  strncat (events->text, data, length);
  strcat (events->text, "|");
  events->count++;
}

Test (sse, events_are_complete_however_the_stream_is_split)
{
  static const char stream[] = ": keep-alive\n\ndata: one\r\n\r\nevent: x\ndata:two\n\ndata: \n\n";

  for (size_t chunk_size = 1; chunk_size < sizeof stream - 1; chunk_size++)
    {
      LhSse sse;
      Events events = { 0 };
      LbError error = { 0 };

      lh_sse_init (&sse, 100);
      for (size_t offset = 0; offset < sizeof stream - 1; offset += chunk_size)
        {
          size_t left = sizeof stream - 1 - offset;
          cr_assert (lh_sse_parse_data_lines (&sse, stream + offset,
                                              chunk_size < left ? chunk_size : left,
                                              append_sse_event_data, &events, &error));
        }
      cr_assert_str_eq (events.text, "one|two||", "chunks of %zu bytes: %s", chunk_size,
                        events.text);
      lh_sse_clear (&sse);
    }
}

/* A stream without line ends must be refused at the size limit; buffering it would use up the
 * memory. */
Test (sse, oversized_event_is_an_error)
{
  LhSse sse;
  Events events = { 0 };
  LbError error = { 0 };
  bool ok = true;

  lh_sse_init (&sse, 100);
  for (int i = 0; i < 20 && ok; i++)
    ok = lh_sse_parse_data_lines (&sse, "aaaaaaaaaa", 10, append_sse_event_data, &events, &error);
  cr_assert_not (ok);
  cr_assert_eq (error.code, LB_ERROR_BODY_TOO_LARGE);
  cr_assert_eq (events.count, 0);
  lh_sse_clear (&sse);
}

Test (sse, empty_input_yields_no_event)
{
  LhSse sse;
  Events events = { 0 };
  LbError error = { 0 };

  lh_sse_init (&sse, 100);
  cr_assert (lh_sse_parse_data_lines (&sse, "", 0, append_sse_event_data, &events, &error));
  cr_assert_eq (events.count, 0);
  lh_sse_clear (&sse);
}
