#include "si-text.h"

#include "lb-alloc.h"
#include "si-json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_MAX_TOKENS 16

void
si_text_init (SiText *text, const char *prompt, int64_t seed, int64_t max_tokens, bool vary_length)
{
  text->hash = XXH64 (prompt, strlen (prompt), (uint64_t)seed);
  text->n_tokens = max_tokens;
  if (vary_length && max_tokens > 0)
    text->n_tokens = 1 + (int64_t)((text->hash >> 8) % (uint64_t)max_tokens);
}

char *
si_text_copy_prompt (struct json_object *body)
{
  struct json_object *messages;
  char *prompt;

  if (!json_object_object_get_ex (body, "messages", &messages)
      || !json_object_is_type (messages, json_type_array))
    return lb_strdup (si_json_get_text (body, "prompt", ""));
  prompt = lb_strdup ("");
  for (size_t i = 0; i < json_object_array_length (messages); i++)
    {
      struct json_object *message = json_object_array_get_idx (messages, i);
      char *longer = lb_asprintf ("%s%s: %s\n", prompt, si_json_get_text (message, "role", ""),
                                  si_json_get_text (message, "content", ""));
      free (prompt);
      prompt = longer;
    }
  return prompt;
}

void
si_text_init_from_body (SiText *text, struct json_object *body, bool vary_length)
{
  char *prompt = si_text_copy_prompt (body);

  si_text_init (text, prompt, si_json_get_int (body, "seed", 0),
                si_json_get_int (body, "max_tokens", DEFAULT_MAX_TOKENS), vary_length);
  free (prompt);
}

void
si_text_write_token (const SiText *text, int64_t index, char token[SI_TOKEN_SIZE])
{
  uint64_t hash = XXH64 (&index, sizeof index, text->hash);

  snprintf (token, SI_TOKEN_SIZE, " w%06x", (unsigned)(hash & 0xffffff));
}

char *
si_text_join_tokens (const SiText *text, int64_t first, int64_t count)
{
  char *slice = lb_malloc ((size_t)(count > 0 ? count : 0) * SI_TOKEN_SIZE + 1);
  size_t length = 0;

  slice[0] = '\0';
  for (int64_t i = first; i < first + count; i++)
    {
      si_text_write_token (text, i, slice + length);
      length += strlen (slice + length);
    }
  return slice;
}
