#include "ln-ticket-calls.h"

#include "ln-exchange-handler.h"
#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdlib.h>

#define TICKET_LIFETIME (600 * LB_SEC)
#define MAX_TICKETS 100000
#define MAX_TOTAL_STORED_ANSWER_BYTES (32 << 20)

typedef struct
{
  LnExchangeHandler handler; /* must be the first member, since handlers are cast to Waiter */
  LbLink link;
  LnTicketCalls *calls;
  LnExchange *exchange;
  LcRequestId request;
} Waiter;

struct LnTicketCalls
{
  LcTickets *tickets;
  LbList waiters;
};

LnTicketCalls *
ln_ticket_calls_new (const char *instance, const char *incarnation, uint64_t seed)
{
  LnTicketCalls *calls = LB_NEW (LnTicketCalls);
  const LcTicketLimits limits = { .lifetime = TICKET_LIFETIME,
                                  .max_tickets = MAX_TICKETS,
                                  .max_answer_bytes = MAX_TOTAL_STORED_ANSWER_BYTES,
                                  .seed = seed };

  calls->tickets = lc_tickets_new (instance, incarnation, &limits);
  lb_list_init (&calls->waiters);
  return calls;
}

static void
waiter_free (Waiter *waiter)
{
  lb_list_remove (&waiter->calls->waiters, &waiter->link);
  free (waiter);
}

void
ln_ticket_calls_free (LnTicketCalls *calls)
{
  if (!calls)
    return;
  LB_LIST_FOREACH (&calls->waiters, Waiter, link, waiter)
  {
    waiter_free (waiter);
  }
  lc_tickets_free (calls->tickets);
  free (calls);
}

LcTickets *
ln_ticket_calls_get_tickets (LnTicketCalls *calls)
{
  return calls->tickets;
}

static void
on_caller_disconnected (LnExchangeHandler *handler)
{
  Waiter *waiter = (Waiter *)handler;

  ln_exchange_end (waiter->exchange);
  waiter_free (waiter);
}

void
ln_ticket_calls_add_waiter (LnTicketCalls *calls, LnExchange *exchange, LcRequestId request)
{
  static const LnExchangeHandlerClass waiter_class
      = { .on_caller_disconnected = on_caller_disconnected };
  Waiter *waiter = LB_NEW (Waiter);

  waiter->handler.klass = &waiter_class;
  waiter->calls = calls;
  waiter->exchange = exchange;
  waiter->request = request;
  lb_list_append (&calls->waiters, &waiter->link);
  ln_exchange_set_user_data (exchange, waiter);
}

static void
reply_to_waiter (const Waiter *waiter, LbErrorCode code, LbTime retry_after, const LnAnswer *answer)
{
  LbError error = { 0 };

  if (code == LB_OK)
    {
      ln_answer_send (answer, waiter->exchange);
      return;
    }
  lb_error_set (&error, code, "x-ticket", "the call started with this ticket has failed");
  ln_exchange_reply_error (waiter->exchange, &error, retry_after);
}

void
ln_ticket_calls_finish_request (LnTicketCalls *calls,
                                LcRequestId request,
                                LbErrorCode error,
                                LbTime retry_after,
                                const LnAnswer *answer)
{
  size_t length = 0;
  char *bytes = answer ? ln_answer_encode (answer, &length) : NULL;

  lc_tickets_finish_call (calls->tickets, request, error, answer ? answer->status : 0, bytes,
                          length, lb_clock_monotonic ());
  free (bytes);
  LB_LIST_FOREACH (&calls->waiters, Waiter, link, waiter)
  {
    if (waiter->request != request)
      continue;
    reply_to_waiter (waiter, error, retry_after, answer);
    waiter_free (waiter);
  }
}

bool
ln_ticket_calls_is_idle (const LnTicketCalls *calls)
{
  return lb_list_is_empty (&calls->waiters);
}
