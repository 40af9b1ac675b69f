#ifndef LN_ANSWER_H
#define LN_ANSWER_H

#include "lb-error.h"

typedef struct LnExchange LnExchange;

/* A whole answer as bytes, for callers who come again with the same ticket. */
typedef struct
{
  int status;
  char type[128]; /* of its content */
  char *body;     /* owned */
  size_t length;
} LnAnswer;

void ln_answer_clear (LnAnswer *answer);
/* One string of bytes that holds type and body; the caller frees it. */
char *ln_answer_encode (const LnAnswer *answer, size_t *length);
void ln_answer_decode (LnAnswer *answer, int status, const char *bytes, size_t length);
void ln_answer_reply (const LnAnswer *answer, LnExchange *exchange);

#endif
