#include "lw-message.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Encodes the message, decodes the result and encodes it again. Aborts if the two encodings differ.
 * Skips messages that are too long for one frame. */
static void
check_encode_decode_round_trip (const LwMessage *message)
{
  size_t length = 0;
  size_t second_length = 0;
  uint8_t *frame = lw_message_encode (message, &length);
  LwMessage decoded = { 0 };
  LbError error = { 0 };

  if (length > LW_FRAME_HEADER_BYTES + LW_FRAME_MAX_BODY_BYTES)
    goto out;
  if (!lw_message_decode (frame + LW_FRAME_HEADER_BYTES, length - LW_FRAME_HEADER_BYTES, &decoded,
                          &error))
    abort ();
  uint8_t *second_frame = lw_message_encode (&decoded, &second_length);
  if (length != second_length || memcmp (frame, second_frame, length) != 0)
    abort ();
  free (second_frame);
  lw_message_clear (&decoded);
out:
  free (frame);
}

/* Parses the input as a sequence of frames received from another instance. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  LwFrame frame;
  LbError error = { 0 };

  while (lw_frame_parse (data, size, LW_FRAME_MAX_BODY_BYTES, &frame, &error) == LW_FRAME_COMPLETE)
    {
      LwMessage message = { 0 };
      if (lw_message_decode (frame.body, frame.length, &message, &error))
        {
          check_encode_decode_round_trip (&message);
          lw_message_clear (&message);
        }
      data += frame.consumed;
      size -= frame.consumed;
    }
  return 0;
}
