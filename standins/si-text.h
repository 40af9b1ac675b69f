#ifndef SI_TEXT_H
#define SI_TEXT_H

#include "lb-types.h"

struct json_object;

#define SI_TOKEN_SIZE 12

/* The answer to a prompt: token i is a function of prompt, seed and i alone, so that an answer
 * spliced from two engines equals the unbroken one if and only if it was spliced right. */
typedef struct
{
  uint64_t key;
  int64_t tokens; /* how many the whole answer has */
} SiText;

void si_text_init (SiText *text, const char *prompt, int64_t seed, int64_t max_tokens, bool vary);
/* Takes prompt or messages, seed, max_tokens of a completion's body. */
void si_text_init_from_body (SiText *text, struct json_object *body, bool vary);
void si_text_token (const SiText *text, int64_t index, char token[SI_TOKEN_SIZE]);
char *si_text_slice (const SiText *text, int64_t first, int64_t count);
/* prompt, or the messages joined; the caller frees it. */
char *si_text_prompt (struct json_object *body);

#endif
