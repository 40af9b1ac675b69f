#ifndef LH_REWRITE_H
#define LH_REWRITE_H

#include "lh-message-scanner.h"

struct evbuffer;

/* Replaces the bytes in the input of a connection of which n_received bytes have arrived in all.
 * Returns false if some of them are not in the input any more. */
bool lh_rewrite_apply (const LhRewrite *rewrite, struct evbuffer *input, uint64_t n_received);

#endif
