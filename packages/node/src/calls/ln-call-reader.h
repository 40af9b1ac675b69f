#ifndef LN_CALL_READER_H
#define LN_CALL_READER_H

#include "ln-call.h"

/* Parses and validates the path, headers and body of a caller's request. Returns NULL and sets the
 * error if the request is invalid. spec.id is left for the submitter to set. */
LnCall *ln_call_parse (const LnExchange *exchange, LbTime now, LbTime deadline, LbError *error);
/* Sets the hashes of the prompt's prefixes, shortest first, and the estimated prompt_tokens. */
void ln_call_hash_prompt (LcRequestSpec *spec, const char *prompt, size_t length);

#endif
