#ifndef LW_FRAME_H
#define LW_FRAME_H

#include "lb-error.h"

/* Version of the frames between instances; another one closes the connection. */
#define LW_FRAME_VERSION 1

/* A frame: length of the body (4 bytes, big-endian), version (1 byte), body (msgpack). */
#define LW_FRAME_HEADER 5

/* Largest bodies: before the key is proved, and after. */
#define LW_FRAME_MAX_BODY_UNAUTHENTICATED ((size_t)4096)
#define LW_FRAME_MAX_BODY ((size_t)8 << 20)

typedef struct
{
  const uint8_t *body; /* inside the bytes that were read */
  size_t length;
  size_t consumed; /* bytes of the whole frame; PARTIAL: so many are needed at least */
} LwFrame;

typedef enum
{
  LW_FRAME_COMPLETE,
  LW_FRAME_PARTIAL, /* more bytes are needed */
  LW_FRAME_INVALID
} LwFrameResult;

void lw_frame_write_header (uint8_t header[LW_FRAME_HEADER], size_t body_length);
LwFrameResult
lw_frame_read (const uint8_t *bytes, size_t length, size_t cap, LwFrame *frame, LbError *error);

#endif
