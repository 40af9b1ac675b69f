#ifndef FZ_MESSAGE_H
#define FZ_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  FZ_COMPLETE,
  FZ_INCOMPLETE, /* more bytes are needed */
  FZ_INVALID
} FzResult;

/* An HTTP/1.1 message, read by rules of its own: only what RFC 9112 lets a sender write. */
typedef struct
{
  char *words[3]; /* start line: method, target, version; or version, status, reason */
  char **names;   /* of the headers */
  char **values;
  size_t n_headers;
  char *body;
  size_t body_length;
  bool is_chunked;
  size_t length; /* bytes of the whole message */
} FzMessage;

/* Reads the request at the start of the bytes. */
FzResult fz_message_read_request (FzMessage *message, const char *bytes, size_t length);
/* Reads the response at the start of the bytes, after which the connection was closed. */
FzResult
fz_message_read_response (FzMessage *message, const char *bytes, size_t length, bool is_head);
/* Returns the value of the first header of this name; NULL: none. */
const char *fz_message_find_header (const FzMessage *message, const char *name);
void fz_message_clear (FzMessage *message);

#endif
