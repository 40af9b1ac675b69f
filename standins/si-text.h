#ifndef SI_TEXT_H
#define SI_TEXT_H

#include "lb-types.h"

struct json_object;

#define SI_TOKEN_SIZE 12

/* The deterministic answer to a prompt: token i depends only on prompt, seed and i. An answer that
 * two engines generated in parts is thus correct exactly when it equals that of one engine. */
typedef struct
{
  uint64_t hash;    /* of prompt and seed */
  int64_t n_tokens; /* of the whole answer */
} SiText;

/* With vary_length the answer has 1 to max_tokens tokens, so that some requests are stragglers. */
void
si_text_init (SiText *text, const char *prompt, int64_t seed, int64_t max_tokens, bool vary_length);
/* Initializes the answer from prompt or messages, seed and max_tokens of a completion request. */
void si_text_init_from_body (SiText *text, struct json_object *body, bool vary_length);
void si_text_token (const SiText *text, int64_t index, char token[SI_TOKEN_SIZE]);
/* Returns tokens first to first + count - 1, joined; the caller frees it. */
char *si_text_slice (const SiText *text, int64_t first, int64_t count);
/* Returns the prompt, or the messages joined; the caller frees it. */
char *si_text_prompt (struct json_object *body);

#endif
