#ifndef LN_ANSWER_H
#define LN_ANSWER_H

#include "lb-error.h"

typedef struct LnExchange LnExchange;

/* A complete HTTP reply to a call with a ticket (an idempotency key), stored for a caller that
 * retries the call with the same ticket. */
typedef struct
{
  int status;
  char content_type[128];
  char *body; /* owned by this struct */
  size_t length;
} LnAnswer;

void ln_answer_clear (LnAnswer *answer);
/* Serializes the content type and body, but not the status; the caller frees the result. */
char *ln_answer_encode (const LnAnswer *answer, size_t *length);
void ln_answer_decode (LnAnswer *answer, int status, const char *bytes, size_t length);
void ln_answer_send (const LnAnswer *answer, LnExchange *exchange);

#endif
