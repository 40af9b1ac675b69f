#include "lw-frame.h"

void
lw_frame_write_header (uint8_t header[LW_FRAME_HEADER_BYTES], size_t body_length)
{
  for (int i = 0; i < 4; i++)
    header[i] = (uint8_t)(body_length >> (24 - 8 * i));
  header[4] = LW_FRAME_VERSION;
}

/* Parses the frame at the start of bytes, without allocating memory. Errors: FRAME_VERSION, and
 * FRAME_TOO_LARGE for a body above max_body. Both are detected from the header alone, so that a
 * wrong length never makes the reader wait for or buffer gigabytes. */
LwFrameResult
lw_frame_parse (
    const uint8_t *bytes, size_t length, size_t max_body, LwFrame *frame, LbError *error)
{
  size_t body = 0;

  *frame = (LwFrame){ .consumed = LW_FRAME_HEADER_BYTES };
  if (length < LW_FRAME_HEADER_BYTES)
    return LW_FRAME_PARTIAL;
  if (bytes[4] != LW_FRAME_VERSION)
    {
      lb_error_set (error, LB_ERROR_FRAME_VERSION, "frame", "frame has version %d, expected %d",
                    bytes[4], LW_FRAME_VERSION);
      return LW_FRAME_INVALID;
    }
  for (int i = 0; i < 4; i++)
    body = body << 8 | bytes[i];
  if (body > max_body)
    {
      lb_error_set (error, LB_ERROR_FRAME_TOO_LARGE, "frame",
                    "frame body has %zu bytes, expected at most %zu", body, max_body);
      return LW_FRAME_INVALID;
    }
  frame->consumed += body;
  if (length < frame->consumed)
    return LW_FRAME_PARTIAL;
  frame->body = bytes + LW_FRAME_HEADER_BYTES;
  frame->length = body;
  return LW_FRAME_COMPLETE;
}
