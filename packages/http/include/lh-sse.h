#ifndef LH_SSE_H
#define LH_SSE_H

#include "lb-error.h"

/* Cuts a byte stream of server-sent events into events. */
typedef struct
{
  char *buffer;
  size_t length;
  size_t capacity;
  size_t limit; /* longest event, bytes */
} LhSse;

typedef void (*LhSseHandler) (const char *data, size_t length, void *user);

/* A line without its end; the empty line ends an event. */
typedef void (*LhSseLineHandler) (const char *line, size_t length, void *user);

void lh_sse_init (LhSse *sse, size_t limit);
void lh_sse_clear (LhSse *sse);
/* Calls the handler once for each whole `data:` event; comments are passed over. False with a typed
 * error when an event is longer than the limit. */
bool lh_sse_feed (
    LhSse *sse, const char *bytes, size_t length, LhSseHandler handler, void *user, LbError *error);
/* The same for readers that need more of an event than its data: calls the handler for each line.
 */
bool lh_sse_feed_lines (LhSse *sse,
                        const char *bytes,
                        size_t length,
                        LhSseLineHandler handler,
                        void *user,
                        LbError *error);

#endif
