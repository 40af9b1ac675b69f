#include "lw-message.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* What is decoded must encode, and decode to the same bytes once more. */
static void
encode_again (const LwMessage *message)
{
  size_t length = 0;
  size_t second_length = 0;
  uint8_t *frame = lw_message_encode (message, &length);
  LwMessage back = { 0 };
  LbError error = { 0 };

  if (length > LW_FRAME_HEADER + LW_FRAME_MAX_BODY)
    goto out;
  if (!lw_message_decode (frame + LW_FRAME_HEADER, length - LW_FRAME_HEADER, &back, &error))
    abort ();
  uint8_t *second = lw_message_encode (&back, &second_length);
  if (length != second_length || memcmp (frame, second, length) != 0)
    abort ();
  free (second);
  lw_message_clear (&back);
out:
  free (frame);
}

/* Bytes as they come from another instance: frames one after another. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  LwFrame frame;
  LbError error = { 0 };

  while (lw_frame_read (data, size, LW_FRAME_MAX_BODY, &frame, &error) == LW_FRAME_COMPLETE)
    {
      LwMessage message = { 0 };
      if (lw_message_decode (frame.body, frame.length, &message, &error))
        {
          encode_again (&message);
          lw_message_clear (&message);
        }
      data += frame.consumed;
      size -= frame.consumed;
    }
  return 0;
}
