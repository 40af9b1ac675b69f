#include "ln-answer.h"

#include "ln-exchange.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

void
ln_answer_clear (LnAnswer *answer)
{
  free (answer->body);
  memset (answer, 0, sizeof *answer);
}

char *
ln_answer_encode (const LnAnswer *answer, size_t *length)
{
  size_t type_size = strlen (answer->content_type) + 1;
  char *bytes = lb_malloc (type_size + answer->length);

  memcpy (bytes, answer->content_type, type_size);
  if (answer->length > 0)
    memcpy (bytes + type_size, answer->body, answer->length);
  *length = type_size + answer->length;
  return bytes;
}

void
ln_answer_decode (LnAnswer *answer, int status, const char *bytes, size_t length)
{
  size_t type_length = strnlen (bytes, length);

  memset (answer, 0, sizeof *answer);
  answer->status = status;
  if (type_length == length)
    return;
  LB_COPY (answer->content_type, bytes);
  answer->length = length - type_length - 1;
  answer->body = lb_memdup (bytes + type_length + 1, answer->length);
}

void
ln_answer_send (const LnAnswer *answer, LnExchange *exchange)
{
  ln_exchange_reply_text (exchange, answer->status,
                          answer->content_type[0] ? answer->content_type : NULL, answer->body,
                          answer->length);
}
