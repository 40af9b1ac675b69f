#ifndef LW_FRAME_H
#define LW_FRAME_H

#include "lb-error.h"

/* Version of the frame format between instances. A frame of a different version closes the
 * connection. */
#define LW_FRAME_VERSION 1

/* Size of a frame's header: length of the body (4 bytes, big-endian) and version (1 byte). The body
 * follows as msgpack. */
#define LW_FRAME_HEADER_BYTES 5

/* Largest accepted body of a frame in bytes: the first limit applies until the peer has proved that
 * it knows the cluster key, the second one after that. */
#define LW_FRAME_MAX_UNAUTHENTICATED_BODY_BYTES ((size_t)4096)
#define LW_FRAME_MAX_BODY_BYTES ((size_t)8 << 20)

typedef struct
{
  const uint8_t *body; /* not owned: points into the input of lw_frame_parse */
  size_t length;       /* size of the body in bytes */
  size_t consumed; /* size of the whole frame; for LW_FRAME_PARTIAL, the least size known so far */
} LwFrame;

typedef enum
{
  LW_FRAME_COMPLETE,
  LW_FRAME_PARTIAL, /* the input ends before the frame does: more bytes are needed */
  LW_FRAME_INVALID
} LwFrameResult;

void lw_frame_write_header (uint8_t header[LW_FRAME_HEADER_BYTES], size_t body_length);
LwFrameResult lw_frame_parse (
    const uint8_t *bytes, size_t length, size_t max_body, LwFrame *frame, LbError *error);

#endif
