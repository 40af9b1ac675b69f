#ifndef LN_CALL_READER_H
#define LN_CALL_READER_H

#include "ln-call.h"

/* Reads and checks a live call: path, headers and body. NULL and a typed error for bad input. The
 * id is left to the submitter. */
LnCall *ln_call_read (const LnExchange *exchange, LbTime now, LbTime deadline, LbError *error);
/* Fills the hashes of the prompt's leading blocks, shortest first. */
void ln_call_hash_prompt (LcRequestSpec *spec, const char *prompt, size_t length);

#endif
