#include "ln-ticket-calls.h"

#include "ln-exchange-private.h"
#include "ln-holder.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdlib.h>

#define TICKET_LIFE (600 * LB_SEC)
#define MAX_TICKETS 100000
#define MAX_KEPT_BYTES (32 << 20)

typedef struct
{
  LnHolder holder; /* first */
  LbLink link;
  LnTicketCalls *calls;
  LnExchange *exchange;
  LcRequestId request;
} Join;

struct LnTicketCalls
{
  LcTickets *table;
  LbList joins;
};

LnTicketCalls *
ln_ticket_calls_new (const char *instance, const char *incarnation, uint64_t seed)
{
  LnTicketCalls *calls = LB_NEW (LnTicketCalls);
  const LcTicketLimits limits = { .lifetime = TICKET_LIFE,
                                  .max_tickets = MAX_TICKETS,
                                  .max_answer_bytes = MAX_KEPT_BYTES,
                                  .seed = seed };

  calls->table = lc_tickets_new (instance, incarnation, &limits);
  lb_list_init (&calls->joins);
  return calls;
}

static void
join_free (Join *join)
{
  lb_list_remove (&join->calls->joins, &join->link);
  free (join);
}

void
ln_ticket_calls_free (LnTicketCalls *calls)
{
  if (!calls)
    return;
  LB_LIST_FOREACH (&calls->joins, Join, link, join)
  {
    join_free (join);
  }
  lc_tickets_free (calls->table);
  free (calls);
}

LcTickets *
ln_ticket_calls_table (LnTicketCalls *calls)
{
  return calls->table;
}

static void
caller_gone (LnHolder *holder)
{
  Join *join = (Join *)holder;

  ln_exchange_end (join->exchange);
  join_free (join);
}

void
ln_ticket_calls_join (LnTicketCalls *calls, LnExchange *exchange, LcRequestId request)
{
  static const LnHolderClass join_class = { .caller_gone = caller_gone };
  Join *join = LB_NEW (Join);

  join->holder.klass = &join_class;
  join->calls = calls;
  join->exchange = exchange;
  join->request = request;
  lb_list_append (&calls->joins, &join->link);
  ln_exchange_set_user_data (exchange, join);
}

static void
answer_join (const Join *join, LbErrorCode code, LbTime retry_after, const LnAnswer *answer)
{
  LbError error = { 0 };

  if (code == LB_OK)
    {
      ln_answer_reply (answer, join->exchange);
      return;
    }
  lb_error_set (&error, code, "x-ticket", "the call that this ticket began has failed");
  ln_exchange_reply_error (join->exchange, &error, retry_after);
}

void
ln_ticket_calls_finish (LnTicketCalls *calls,
                        LcRequestId request,
                        LbErrorCode error,
                        LbTime retry_after,
                        const LnAnswer *answer)
{
  size_t length = 0;
  char *bytes = answer ? ln_answer_encode (answer, &length) : NULL;

  lc_tickets_finish (calls->table, request, error, answer ? answer->status : 0, bytes, length,
                     lb_clock_monotonic ());
  free (bytes);
  LB_LIST_FOREACH (&calls->joins, Join, link, join)
  {
    if (join->request != request)
      continue;
    answer_join (join, error, retry_after, answer);
    join_free (join);
  }
}

bool
ln_ticket_calls_is_idle (const LnTicketCalls *calls)
{
  return lb_list_is_empty (&calls->joins);
}
