#ifndef LN_TICKET_CALLS_H
#define LN_TICKET_CALLS_H

#include "lc-ticket.h"
#include "ln-answer.h"

typedef struct LnExchange LnExchange;

/* Tickets issued by this incarnation of the instance, and waiters: callers who wait for the answer
 * of a call that was started with their ticket on another connection. */
typedef struct LnTicketCalls LnTicketCalls;

LnTicketCalls *ln_ticket_calls_new (const char *instance, const char *incarnation, uint64_t seed);
void ln_ticket_calls_free (LnTicketCalls *calls);
LcTickets *ln_ticket_calls_get_tickets (LnTicketCalls *calls);
/* Takes ownership of the exchange and replies with the request's answer when the request ends. */
void ln_ticket_calls_add_waiter (LnTicketCalls *calls, LnExchange *exchange, LcRequestId request);
/* Stores the answer of an ended request and replies to the request's waiters. answer is NULL unless
 * error is LB_OK. Requests without a ticket are ignored. */
void ln_ticket_calls_finish_request (LnTicketCalls *calls,
                                     LcRequestId request,
                                     LbErrorCode error,
                                     LbTime retry_after,
                                     const LnAnswer *answer);
bool ln_ticket_calls_is_idle (const LnTicketCalls *calls);

#endif
