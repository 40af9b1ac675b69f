#ifndef LN_ENTRY_H
#define LN_ENTRY_H

#include "lc-membership.h"
#include "ln-exchange.h"

/* Answers GET /v1/entry from the present view. */
void ln_entry_reply (LnExchange *exchange, const LcMembership *membership, int64_t time_to_live_ms);

#endif
