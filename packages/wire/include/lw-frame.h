#ifndef LW_FRAME_H
#define LW_FRAME_H

#include "lb-error.h"

/* Version of the frames between instances; a different one closes the connection. */
#define LW_FRAME_VERSION 1

/* A frame: length of the body (4 bytes, big-endian), version (1 byte), body (msgpack). */
#define LW_FRAME_HEADER_BYTES 5

/* Largest body in bytes, before and after the peer has proved the cluster key. */
#define LW_FRAME_MAX_UNAUTHENTICATED_BODY_BYTES ((size_t)4096)
#define LW_FRAME_MAX_BODY_BYTES ((size_t)8 << 20)

typedef struct
{
  const uint8_t *body; /* points into the bytes read */
  size_t length;
  size_t consumed; /* size of the whole frame; after LW_FRAME_PARTIAL: bytes needed at least */
} LwFrame;

typedef enum
{
  LW_FRAME_COMPLETE,
  LW_FRAME_PARTIAL, /* more bytes are needed */
  LW_FRAME_INVALID
} LwFrameResult;

void lw_frame_write_header (uint8_t header[LW_FRAME_HEADER_BYTES], size_t body_length);
LwFrameResult lw_frame_read (
    const uint8_t *bytes, size_t length, size_t max_body, LwFrame *frame, LbError *error);

#endif
