#ifndef LN_ENTRY_H
#define LN_ENTRY_H

#include "lc-membership.h"
#include "ln-exchange.h"

/* Replies to GET /v1/entry with the addresses of the instances that the caller should use, chosen
 * from the current membership view. */
void ln_entry_reply_addresses (LnExchange *exchange,
                               const LcMembership *membership,
                               int64_t time_to_live_ms);

#endif
