#ifndef LN_EXCHANGE_PRIVATE_H
#define LN_EXCHANGE_PRIVATE_H

#include "ln-caller.h"
#include "ln-exchange.h"

/* The side of an exchange that the front task and the connections see. */
LnExchange *ln_exchange_new (LnCaller *caller, evhtp_request_t *request, uint64_t id, LnHub *hub);
void ln_exchange_caller_gone (LnExchange *exchange);
/* The connection and its request are freed by evhtp. */
void ln_exchange_connection_lost (LnExchange *exchange);
/* At the end of the process: what its owners have not answered. */
void ln_exchange_free_all (LbList *exchanges);
/* What the owner wants to find again when the caller goes away. */
void ln_exchange_set_user_data (LnExchange *exchange, void *user);
void *ln_exchange_user_data (const LnExchange *exchange);
/* The query as it came, NULL when there is none. */
const char *ln_exchange_raw_query (const LnExchange *exchange);
/* Calls visit for each header of the request. */
void ln_exchange_foreach_header (const LnExchange *exchange,
                                 void (*visit) (const char *name, const char *value, void *user),
                                 void *user);

#endif
