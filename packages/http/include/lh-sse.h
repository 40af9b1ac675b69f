#ifndef LH_SSE_H
#define LH_SSE_H

#include "lb-error.h"

/* Parser that splits a byte stream of server-sent events into events. */
typedef struct
{
  char *buffer;
  size_t length;
  size_t capacity;
  size_t max_event_bytes;
} LhSse;

typedef void (*LhSseHandler) (const char *data, size_t length, void *user);

/* Handler of one line, passed without its line end. An empty line ends an event. */
typedef void (*LhSseLineHandler) (const char *line, size_t length, void *user);

void lh_sse_init (LhSse *sse, size_t max_event_bytes);
void lh_sse_clear (LhSse *sse);
/* Parses the next bytes of the stream. Calls the handler with the value of each complete `data:`
 * line; other lines are ignored. Returns false with BODY_TOO_LARGE if an incomplete line exceeds
 * max_event_bytes. */
bool lh_sse_parse_data_lines (
    LhSse *sse, const char *bytes, size_t length, LhSseHandler handler, void *user, LbError *error);
/* Like lh_sse_parse_data_lines, but calls the handler with each complete line of any field. */
bool lh_sse_parse_lines (LhSse *sse,
                         const char *bytes,
                         size_t length,
                         LhSseLineHandler handler,
                         void *user,
                         LbError *error);

#endif
