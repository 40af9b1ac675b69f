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
  size_t type = strlen (answer->type) + 1;
  char *bytes = lb_malloc (type + answer->length);

  memcpy (bytes, answer->type, type);
  if (answer->length > 0)
    memcpy (bytes + type, answer->body, answer->length);
  *length = type + answer->length;
  return bytes;
}

void
ln_answer_decode (LnAnswer *answer, int status, const char *bytes, size_t length)
{
  size_t type = strnlen (bytes, length);

  memset (answer, 0, sizeof *answer);
  answer->status = status;
  if (type == length)
    return;
  LB_COPY (answer->type, bytes);
  answer->length = length - type - 1;
  answer->body = lb_memdup (bytes + type + 1, answer->length);
}

void
ln_answer_reply (const LnAnswer *answer, LnExchange *exchange)
{
  ln_exchange_reply_text (exchange, answer->status, answer->type[0] ? answer->type : NULL,
                          answer->body, answer->length);
}
