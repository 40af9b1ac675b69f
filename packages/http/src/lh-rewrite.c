#include "lh-rewrite.h"

#include "lb-alloc.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

static void
overwrite_input (struct evbuffer *input, size_t offset, const char *bytes, size_t length)
{
  struct evbuffer_ptr position;
  struct evbuffer_iovec segment;

  while (length > 0 && evbuffer_ptr_set (input, &position, offset, EVBUFFER_PTR_SET) == 0
         && evbuffer_peek (input, (ev_ssize_t)length, &position, &segment, 1) > 0)
    {
      size_t n_bytes = segment.iov_len < length ? segment.iov_len : length;
      memcpy (segment.iov_base, bytes, n_bytes);
      bytes += n_bytes;
      offset += n_bytes;
      length -= n_bytes;
    }
}

bool
lh_rewrite_apply (const LhRewrite *rewrite, struct evbuffer *input, uint64_t n_received)
{
  uint64_t input_start = n_received - evbuffer_get_length (input);
  size_t text_length = strlen (rewrite->text);
  char *bytes = NULL;

  if (rewrite->start < input_start || rewrite->length < text_length)
    return false;
  bytes = lb_malloc (rewrite->length);
  memset (bytes, '0', rewrite->length - text_length);
  memcpy (bytes + rewrite->length - text_length, rewrite->text, text_length);
  overwrite_input (input, (size_t)(rewrite->start - input_start), bytes, rewrite->length);
  free (bytes);
  return true;
}
