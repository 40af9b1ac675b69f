#ifndef LN_ENTRY_H
#define LN_ENTRY_H

#include "lc-membership.h"
#include "ln-exchange.h"

/* Replies to GET /v1/entry with addresses of instances for the caller to connect to, chosen from
 * the current membership view. time_to_live_ms: how long the caller may cache the addresses. */
void ln_entry_reply_addresses (LnExchange *exchange,
                               const LcMembership *membership,
                               int64_t time_to_live_ms);

#endif
