#ifndef SI_TEXT_H
#define SI_TEXT_H

#include "lb-types.h"

struct json_object;

#define SI_TOKEN_SIZE 12

/* The deterministic answer to a prompt: token i depends only on the prompt, the seed and i. Thus an
 * answer that two engines generated in parts must equal the answer of a single engine. */
typedef struct
{
  uint64_t hash;    /* hash of the prompt and the seed */
  int64_t n_tokens; /* number of tokens in the whole answer */
} SiText;

/* The answer has max_tokens tokens or, with vary_length, from 1 to max_tokens tokens, so that
 * requests end at different times. */
void
si_text_init (SiText *text, const char *prompt, int64_t seed, int64_t max_tokens, bool vary_length);
/* Initializes the answer from the prompt or messages, the seed and max_tokens in the body of a
 * completion request. */
void si_text_init_from_body (SiText *text, struct json_object *body, bool vary_length);
void si_text_write_token (const SiText *text, int64_t index, char token[SI_TOKEN_SIZE]);
/* Returns the text of the tokens first to first + count - 1; the caller frees the string. */
char *si_text_join_tokens (const SiText *text, int64_t first, int64_t count);
/* Returns the prompt or, for a chat request, its messages joined; the caller frees the string. */
char *si_text_copy_prompt (struct json_object *body);

#endif
