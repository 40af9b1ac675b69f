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

/* Receives a line without its line end; an empty line ends an event. */
typedef void (*LhSseLineHandler) (const char *line, size_t length, void *user);

void lh_sse_init (LhSse *sse, size_t max_event_bytes);
void lh_sse_clear (LhSse *sse);
/* Calls the handler for each complete `data:` line and ignores comments. Returns false with
 * BODY_TOO_LARGE if an event exceeds max_event_bytes. */
bool lh_sse_feed (
    LhSse *sse, const char *bytes, size_t length, LhSseHandler handler, void *user, LbError *error);
/* The same for callers that need more than the data: calls the handler for each line. */
bool lh_sse_feed_lines (LhSse *sse,
                        const char *bytes,
                        size_t length,
                        LhSseLineHandler handler,
                        void *user,
                        LbError *error);

#endif
