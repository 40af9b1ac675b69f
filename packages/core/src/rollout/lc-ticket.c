#include "lc-ticket.h"

#include "lb-alloc.h"

#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* The number of a ticket is a sequence and a random part in one, so that a caller can't arrive at
 * another's answer by counting. */
#define RANDOM_BITS 32

typedef enum
{
  TICKET_UNUSED,
  TICKET_RUNNING,
  TICKET_ANSWERED, /* the answer is kept */
  TICKET_SPENT     /* it may have run, and there is no answer to give */
} TicketState;

typedef struct
{
  UT_hash_handle hh;         /* by number */
  UT_hash_handle by_request; /* while running */
  LbLink link;               /* in order of expiry, unless running */
  LbLink kept_link;          /* while its answer is kept, oldest first */
  uint64_t number;
  uint64_t caller;  /* hash */
  uint64_t content; /* hash, once used */
  LcRequestId request;
  LbTime expires;
  TicketState state;
  int status;
  char *answer;
  size_t length;
} Ticket;

struct LcTickets
{
  LbName instance;
  LbName incarnation;
  LcTicketLimits limits;
  gsl_rng *random;
  uint64_t issued;
  Ticket *tickets;
  Ticket *running;
  LbList expiring;
  LbList kept;
  size_t kept_size;
};

LcTickets *
lc_tickets_new (const char *instance, const char *incarnation, const LcTicketLimits *limits)
{
  LcTickets *tickets = LB_NEW (LcTickets);

  LB_COPY (tickets->instance, instance);
  LB_COPY (tickets->incarnation, incarnation);
  tickets->limits = *limits;
  tickets->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (tickets->random, limits->seed);
  lb_list_init (&tickets->expiring);
  lb_list_init (&tickets->kept);
  return tickets;
}

static void
drop_answer (LcTickets *tickets, Ticket *ticket)
{
  if (lb_link_is_linked (&ticket->kept_link))
    lb_list_remove (&tickets->kept, &ticket->kept_link);
  tickets->kept_size -= ticket->length;
  free (ticket->answer);
  ticket->answer = NULL;
  ticket->length = 0;
}

static void
drop_ticket (LcTickets *tickets, Ticket *ticket)
{
  drop_answer (tickets, ticket);
  if (lb_link_is_linked (&ticket->link))
    lb_list_remove (&tickets->expiring, &ticket->link);
  /* The analyzer takes a table for empty although it holds the ticket.
   * NOLINTBEGIN(clang-analyzer-core.NullDereference) */
  if (ticket->state == TICKET_RUNNING)
    HASH_DELETE (by_request, tickets->running, ticket);
  HASH_DELETE (hh, tickets->tickets, ticket);
  /* NOLINTEND(clang-analyzer-core.NullDereference) */
  free (ticket);
}

void
lc_tickets_free (LcTickets *tickets)
{
  Ticket *ticket = NULL;
  Ticket *next = NULL;

  if (!tickets)
    return;
  HASH_ITER (hh, tickets->tickets, ticket, next)
  {
    drop_ticket (tickets, ticket);
  }
  gsl_rng_free (tickets->random);
  free (tickets);
}

static uint64_t
hash_of (const char *caller)
{
  return XXH3_64bits (caller, strlen (caller));
}

static void
let_expire (LcTickets *tickets, Ticket *ticket, LbTime now)
{
  ticket->expires = now + tickets->limits.lifetime;
  lb_list_append (&tickets->expiring, &ticket->link);
}

/* Writes a new ticket of this caller into text. False with LB_ERROR_OVERLOADED when too many live.
 */
bool
lc_tickets_issue (
    LcTickets *tickets, const char *caller, LbTime now, char text[LC_TICKET_SIZE], LbError *error)
{
  lc_tickets_tick (tickets, now);
  if (HASH_COUNT (tickets->tickets) >= tickets->limits.max_tickets)
    return lb_error_set (error, LB_ERROR_OVERLOADED, "tickets", "%zu live",
                         tickets->limits.max_tickets);

  Ticket *ticket = LB_NEW (Ticket);
  uint64_t random = gsl_rng_get (tickets->random);

  ticket->number = ++tickets->issued << RANDOM_BITS | random;
  ticket->caller = hash_of (caller);
  HASH_ADD (hh, tickets->tickets, number, sizeof ticket->number, ticket);
  let_expire (tickets, ticket, now);
  snprintf (text, LC_TICKET_SIZE, "%s.%s.%016" PRIx64, tickets->instance, tickets->incarnation,
            ticket->number);
  return true;
}

static LcTicketDecision
refuse (LbErrorCode error)
{
  return (LcTicketDecision){ .action = LC_TICKET_REJECT, .error = error };
}

static bool
parse_number (const char *text, uint64_t *number)
{
  char *end = NULL;

  if (strlen (text) != 16 || strspn (text, "0123456789abcdef") != 16)
    return false;
  *number = strtoull (text, &end, 16);
  return *end == '\0';
}

/* Instances may have dots in their names; the two last parts have none. */
static bool
parse (const char *text, LcTicketDecision *verdict, uint64_t *number)
{
  char copy[LC_TICKET_SIZE];

  if (lb_strlcpy (copy, text, sizeof copy) >= sizeof copy)
    return false;

  char *last = strrchr (copy, '.');

  if (!last || !parse_number (last + 1, number))
    return false;
  *last = '\0';

  char *middle = strrchr (copy, '.');

  if (!middle || middle == copy || middle[1] == '\0')
    return false;
  *middle = '\0';
  LB_COPY (verdict->instance, copy);
  LB_COPY (verdict->incarnation, middle + 1);
  return true;
}

/* A number that was never issued can't have run. One that was issued and is gone has expired, and
 * whether it ran is no longer known: to call that "not run" could make a caller run it twice. */
static LbErrorCode
error_without_record (const LcTickets *tickets, uint64_t number)
{
  uint64_t sequence = number >> RANDOM_BITS;

  return sequence == 0 || sequence > tickets->issued ? LB_ERROR_UNKNOWN_TICKET
                                                     : LB_ERROR_OUTCOME_UNKNOWN;
}

static LcTicketDecision
start (LcTickets *tickets, Ticket *ticket, uint64_t content, LcRequestId request)
{
  lb_list_remove (&tickets->expiring, &ticket->link);
  ticket->state = TICKET_RUNNING;
  ticket->content = content;
  ticket->request = request;
  HASH_ADD (by_request, tickets->running, request, sizeof ticket->request, ticket);
  return (LcTicketDecision){ .action = LC_TICKET_RUN, .request = request };
}

static LcTicketDecision
use_ticket (LcTickets *tickets, Ticket *ticket, uint64_t content, LcRequestId request)
{
  if (ticket->state != TICKET_UNUSED && ticket->content != content)
    return refuse (LB_ERROR_CONFLICT);
  switch (ticket->state)
    {
    case TICKET_UNUSED:
      return start (tickets, ticket, content, request);
    case TICKET_RUNNING:
      return (LcTicketDecision){ .action = LC_TICKET_JOIN, .request = ticket->request };
    case TICKET_ANSWERED:
      return (LcTicketDecision){ .action = LC_TICKET_REPLAY,
                                 .request = ticket->request,
                                 .status = ticket->status,
                                 .answer = ticket->answer,
                                 .answer_length = ticket->length };
    default:
      return refuse (LB_ERROR_OUTCOME_UNKNOWN);
    }
}

/* Says what is to be done with a call that carries this ticket. After LC_TICKET_RUN the call must
 * be submitted as `request` and its end reported by lc_tickets_finish, whatever that is. content is
 * a hash of the call: the same ticket with another call is LB_ERROR_CONFLICT. */
LcTicketDecision
lc_tickets_redeem (LcTickets *tickets,
                   const char *text,
                   const char *caller,
                   uint64_t content,
                   LcRequestId request,
                   LbTime now)
{
  LcTicketDecision verdict = { .action = LC_TICKET_RELAY };
  uint64_t number = 0;
  Ticket *ticket = NULL;

  lc_tickets_tick (tickets, now);
  if (!parse (text, &verdict, &number))
    return refuse (LB_ERROR_UNKNOWN_TICKET);
  if (strcmp (verdict.instance, tickets->instance) != 0)
    return verdict;
  /* An earlier incarnation of this instance took its memory with it: the call may have run. */
  if (strcmp (verdict.incarnation, tickets->incarnation) != 0)
    return refuse (LB_ERROR_OUTCOME_UNKNOWN);
  HASH_FIND (hh, tickets->tickets, &number, sizeof number, ticket);
  if (!ticket)
    return refuse (error_without_record (tickets, number));
  if (ticket->caller != hash_of (caller))
    return refuse (LB_ERROR_UNKNOWN_TICKET);
  return use_ticket (tickets, ticket, content, request);
}

/* The oldest answers give way to a new one; their tickets stay spent. */
static void
make_room (LcTickets *tickets, size_t length)
{
  Ticket *ticket = NULL;

  while (tickets->kept_size + length > tickets->limits.max_answer_bytes
         && (ticket = LB_LIST_FIRST (&tickets->kept, Ticket, kept_link)))
    {
      drop_answer (tickets, ticket);
      ticket->state = TICKET_SPENT;
    }
}

static void
keep_answer (LcTickets *tickets, Ticket *ticket, int status, const char *answer, size_t length)
{
  make_room (tickets, length);
  ticket->state = TICKET_SPENT;
  if (tickets->kept_size + length > tickets->limits.max_answer_bytes)
    return;
  ticket->state = TICKET_ANSWERED;
  ticket->status = status;
  ticket->answer = length ? lb_memdup (answer, length) : NULL;
  ticket->length = length;
  tickets->kept_size += length;
  lb_list_append (&tickets->kept, &ticket->kept_link);
}

/* The call of this request has ended. A proof that it did not run makes the ticket valid again; an
 * answer is kept for the next call with the same ticket; anything else spends it. Requests that
 * carry no ticket are ignored. */
void
lc_tickets_finish (LcTickets *tickets,
                   LcRequestId request,
                   LbErrorCode error,
                   int status,
                   const char *answer,
                   size_t length,
                   LbTime now)
{
  Ticket *ticket = NULL;

  HASH_FIND (by_request, tickets->running, &request, sizeof request, ticket);
  if (!ticket)
    return;
  HASH_DELETE (by_request, tickets->running, ticket);
  if (error == LB_OK)
    keep_answer (tickets, ticket, status, answer, length);
  else
    ticket->state = lb_error_is_not_run (error) ? TICKET_UNUSED : TICKET_SPENT;
  let_expire (tickets, ticket, now);
}

/* Forgets what has expired. Calls in progress never do. */
void
lc_tickets_tick (LcTickets *tickets, LbTime now)
{
  Ticket *ticket = NULL;

  while ((ticket = LB_LIST_FIRST (&tickets->expiring, Ticket, link)) && ticket->expires <= now)
    drop_ticket (tickets, ticket);
}

/* When the next ticket expires; LB_TIME_NEVER when none can. */
LbTime
lc_tickets_next_tick (const LcTickets *tickets)
{
  const Ticket *ticket = LB_LIST_FIRST (&tickets->expiring, Ticket, link);

  return ticket ? ticket->expires : LB_TIME_NEVER;
}

size_t
lc_tickets_count (const LcTickets *tickets)
{
  return HASH_COUNT (tickets->tickets);
}

size_t
lc_tickets_answer_bytes (const LcTickets *tickets)
{
  return tickets->kept_size;
}
