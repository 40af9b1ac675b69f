#ifndef LN_EXCHANGE_PRIVATE_H
#define LN_EXCHANGE_PRIVATE_H

#include "ln-caller.h"
#include "ln-exchange.h"

/* Functions of LnExchange for use only by the front task and its connections. */
LnExchange *ln_exchange_new (LnCaller *caller, evhtp_request_t *request, uint64_t id, LnHub *hub);
/* Notifies the task that owns the exchange, only once, that the caller has disconnected. */
void ln_exchange_report_disconnect (LnExchange *exchange);
/* Detaches the exchange from its connection. Call before evhtp frees the connection and request. */
void ln_exchange_detach_connection (LnExchange *exchange);
/* Frees all exchanges that got no reply. Call only at the end of the process. */
void ln_exchange_free_all (LbList *exchanges);

/* Data of the task that owns the exchange, for use when the caller disconnects. */
void ln_exchange_set_user_data (LnExchange *exchange, void *user);
void *ln_exchange_user_data (const LnExchange *exchange);
/* Returns the query string before decoding, or NULL if the request has no query. */
const char *ln_exchange_get_raw_query (const LnExchange *exchange);
/* Calls visit for each header of the request; for none once the connection is closed. */
void
ln_exchange_foreach_request_header (const LnExchange *exchange,
                                    void (*visit) (const char *name, const char *value, void *user),
                                    void *user);

#endif
