#include "lh-sse.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

void
lh_sse_init (LhSse *sse, size_t max_event_bytes)
{
  memset (sse, 0, sizeof *sse);
  sse->max_event_bytes = max_event_bytes;
}

void
lh_sse_clear (LhSse *sse)
{
  free (sse->buffer);
  memset (sse, 0, sizeof *sse);
}

static void
append_bytes_to_buffer (LhSse *sse, const char *bytes, size_t length)
{
  if (sse->length + length > sse->capacity)
    {
      sse->capacity = (sse->length + length) * 2;
      sse->buffer = lb_realloc (sse->buffer, sse->capacity);
    }
  memcpy (sse->buffer + sse->length, bytes, length);
  sse->length += length;
}

typedef struct
{
  LhSseHandler handler;
  void *user;
} DataLineHandler;

/* Passes the value of a `data:` line to the handler. Engines send one data line per event, so each
 * data line counts as a whole event. */
static void
forward_data_line (const char *line, size_t length, void *user)
{
  static const char prefix[] = "data:";
  const size_t prefix_length = sizeof prefix - 1;
  const DataLineHandler *data_handler = user;

  if (length < prefix_length || memcmp (line, prefix, prefix_length) != 0)
    return;
  line += prefix_length;
  length -= prefix_length;
  if (length > 0 && line[0] == ' ')
    {
      line++;
      length--;
    }
  data_handler->handler (line, length, data_handler->user);
}

bool
lh_sse_parse_data_lines (
    LhSse *sse, const char *bytes, size_t length, LhSseHandler handler, void *user, LbError *error)
{
  DataLineHandler data_handler = { .handler = handler, .user = user };

  return lh_sse_parse_lines (sse, bytes, length, forward_data_line, &data_handler, error);
}

bool
lh_sse_parse_lines (LhSse *sse,
                    const char *bytes,
                    size_t length,
                    LhSseLineHandler handler,
                    void *user,
                    LbError *error)
{
  size_t start = 0;

  if (length == 0)
    return true;
  append_bytes_to_buffer (sse, bytes, length);
  for (;;)
    {
      const char *newline = memchr (sse->buffer + start, '\n', sse->length - start);
      if (!newline)
        break;
      size_t end = (size_t)(newline - sse->buffer);
      size_t line_length = end - start;
      if (line_length > 0 && sse->buffer[end - 1] == '\r')
        line_length--;
      handler (sse->buffer + start, line_length, user);
      start = end + 1;
    }
  memmove (sse->buffer, sse->buffer + start, sse->length - start);
  sse->length -= start;
  if (sse->length > sse->max_event_bytes)
    return lb_error_set (error, LB_ERROR_BODY_TOO_LARGE, "", "expected events of at most %zu bytes",
                         sse->max_event_bytes);
  return true;
}
