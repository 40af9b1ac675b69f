#include "lc-ticket.h"

#include "lb-alloc.h"

#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* The upper bits of a ticket's number are a sequence number, the lower ones are random, so that a
 * caller can't guess another caller's ticket and get its answer. */
#define TICKET_RANDOM_BITS 32

typedef enum
{
  TICKET_UNUSED,
  TICKET_RUNNING,
  TICKET_ANSWERED, /* the ticket's call has ended, and the answer of the call is stored */
  /* the ticket's call may have run, and no answer is stored, so the ticket can't be used again */
  TICKET_SPENT
} TicketState;

typedef struct
{
  UT_hash_handle hh; /* handle in the hash table LcTickets.tickets, keyed by number */
  /* handle in the hash table LcTickets.running, keyed by request, while the call runs */
  UT_hash_handle hh_request;
  LbLink expiry_link; /* link in the list LcTickets.by_expiry, unless the call runs */
  /* link in the list LcTickets.answered, oldest first, while the answer is stored */
  LbLink answered_link;
  uint64_t number;
  uint64_t caller_hash;
  uint64_t content_hash; /* hash of the call's content, set when a call first uses the ticket */
  LcRequestId request;
  LbTime expires_at;
  TicketState state;
  int status;
  char *answer;
  size_t answer_length;
} Ticket;

struct LcTickets
{
  LbName instance;
  LbName incarnation;
  LcTicketLimits limits;
  gsl_rng *rng;
  uint64_t n_issued;
  Ticket *tickets; /* hash table of all tickets by number */
  Ticket *running; /* hash table of tickets with a running call by request */
  LbList by_expiry;
  LbList answered;
  size_t answer_bytes;
};

LcTickets *
lc_tickets_new (const char *instance, const char *incarnation, const LcTicketLimits *limits)
{
  LcTickets *tickets = LB_NEW (LcTickets);

  LB_COPY (tickets->instance, instance);
  LB_COPY (tickets->incarnation, incarnation);
  tickets->limits = *limits;
  tickets->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (tickets->rng, limits->seed);
  lb_list_init (&tickets->by_expiry);
  lb_list_init (&tickets->answered);
  return tickets;
}

static void
free_ticket_answer (LcTickets *tickets, Ticket *ticket)
{
  if (lb_link_is_in_list (&ticket->answered_link))
    lb_list_remove (&tickets->answered, &ticket->answered_link);
  tickets->answer_bytes -= ticket->answer_length;
  free (ticket->answer);
  ticket->answer = NULL;
  ticket->answer_length = 0;
}

static void
remove_ticket (LcTickets *tickets, Ticket *ticket)
{
  free_ticket_answer (tickets, ticket);
  if (lb_link_is_in_list (&ticket->expiry_link))
    lb_list_remove (&tickets->by_expiry, &ticket->expiry_link);
  /* The analyzer assumes that the tables may be empty although they hold the ticket.
   * NOLINTBEGIN(clang-analyzer-core.NullDereference) */
  if (ticket->state == TICKET_RUNNING)
    HASH_DELETE (hh_request, tickets->running, ticket);
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
    remove_ticket (tickets, ticket);
  }
  gsl_rng_free (tickets->rng);
  free (tickets);
}

static uint64_t
hash_caller (const char *caller)
{
  return XXH3_64bits (caller, strlen (caller));
}

static void
schedule_ticket_expiry (LcTickets *tickets, Ticket *ticket, LbTime now)
{
  ticket->expires_at = now + tickets->limits.lifetime;
  lb_list_append (&tickets->by_expiry, &ticket->expiry_link);
}

/* Writes a new ticket for the caller to text. Fails with LB_ERROR_OVERLOADED at max_tickets. */
bool
lc_tickets_issue (
    LcTickets *tickets, const char *caller, LbTime now, char text[LC_TICKET_SIZE], LbError *error)
{
  lc_tickets_remove_expired (tickets, now);
  if (HASH_COUNT (tickets->tickets) >= tickets->limits.max_tickets)
    return lb_error_set (error, LB_ERROR_OVERLOADED, "tickets",
                         "the limit of %zu live tickets is reached", tickets->limits.max_tickets);

  Ticket *ticket = LB_NEW (Ticket);
  uint64_t random_part = gsl_rng_get (tickets->rng);

  ticket->number = ++tickets->n_issued << TICKET_RANDOM_BITS | random_part;
  ticket->caller_hash = hash_caller (caller);
  HASH_ADD (hh, tickets->tickets, number, sizeof ticket->number, ticket);
  schedule_ticket_expiry (tickets, ticket, now);
  snprintf (text, LC_TICKET_SIZE, "%s.%s.%016" PRIx64, tickets->instance, tickets->incarnation,
            ticket->number);
  return true;
}

static LcTicketDecision
reject_call (LbErrorCode error)
{
  return (LcTicketDecision){ .action = LC_TICKET_REJECT, .error = error };
}

static bool
parse_ticket_number (const char *text, uint64_t *number)
{
  char *end = NULL;

  if (strlen (text) != 16 || strspn (text, "0123456789abcdef") != 16)
    return false;
  *number = strtoull (text, &end, 16);
  return *end == '\0';
}

/* Splits "INSTANCE.INCARNATION.NUMBER" at the last two dots, since instance names may have dots. */
static bool
parse_ticket_text (const char *text, LcTicketDecision *decision, uint64_t *number)
{
  char copy[LC_TICKET_SIZE];

  if (lb_strlcpy (copy, text, sizeof copy) >= sizeof copy)
    return false;

  char *number_dot = strrchr (copy, '.');

  if (!number_dot || !parse_ticket_number (number_dot + 1, number))
    return false;
  *number_dot = '\0';

  char *incarnation_dot = strrchr (copy, '.');

  if (!incarnation_dot || incarnation_dot == copy || incarnation_dot[1] == '\0')
    return false;
  *incarnation_dot = '\0';
  LB_COPY (decision->instance, copy);
  LB_COPY (decision->incarnation, incarnation_dot + 1);
  return true;
}

/* A ticket that was never issued can't have run its call. A ticket that was issued but is not found
 * has expired; reporting its call as "not run" could make the caller run the call twice. */
static LbErrorCode
choose_error_of_missing_ticket (const LcTickets *tickets, uint64_t number)
{
  uint64_t sequence = number >> TICKET_RANDOM_BITS;

  return sequence == 0 || sequence > tickets->n_issued ? LB_ERROR_UNKNOWN_TICKET
                                                       : LB_ERROR_OUTCOME_UNKNOWN;
}

static LcTicketDecision
start_call_of_ticket (LcTickets *tickets,
                      Ticket *ticket,
                      uint64_t content_hash,
                      LcRequestId request)
{
  lb_list_remove (&tickets->by_expiry, &ticket->expiry_link);
  ticket->state = TICKET_RUNNING;
  ticket->content_hash = content_hash;
  ticket->request = request;
  HASH_ADD (hh_request, tickets->running, request, sizeof ticket->request, ticket);
  return (LcTicketDecision){ .action = LC_TICKET_RUN, .request = request };
}

static LcTicketDecision
redeem_known_ticket (LcTickets *tickets, Ticket *ticket, uint64_t content_hash, LcRequestId request)
{
  if (ticket->state != TICKET_UNUSED && ticket->content_hash != content_hash)
    return reject_call (LB_ERROR_CONFLICT);
  switch (ticket->state)
    {
    case TICKET_UNUSED:
      return start_call_of_ticket (tickets, ticket, content_hash, request);
    case TICKET_RUNNING:
      return (LcTicketDecision){ .action = LC_TICKET_JOIN, .request = ticket->request };
    case TICKET_ANSWERED:
      return (LcTicketDecision){ .action = LC_TICKET_REPLAY,
                                 .request = ticket->request,
                                 .status = ticket->status,
                                 .answer = ticket->answer,
                                 .answer_length = ticket->answer_length };
    default:
      return reject_call (LB_ERROR_OUTCOME_UNKNOWN);
    }
}

/* Decides how to handle a call that carries this ticket. After LC_TICKET_RUN the call must be
 * submitted as `request`, and its outcome passed to lc_tickets_finish_call. The same ticket with
 * another content_hash is rejected with LB_ERROR_CONFLICT. */
LcTicketDecision
lc_tickets_redeem (LcTickets *tickets,
                   const char *text,
                   const char *caller,
                   uint64_t content_hash,
                   LcRequestId request,
                   LbTime now)
{
  LcTicketDecision decision = { .action = LC_TICKET_RELAY };
  uint64_t number = 0;
  Ticket *ticket = NULL;

  lc_tickets_remove_expired (tickets, now);
  if (!parse_ticket_text (text, &decision, &number))
    return reject_call (LB_ERROR_UNKNOWN_TICKET);
  if (strcmp (decision.instance, tickets->instance) != 0)
    return decision;
  /* The memory of an earlier incarnation is lost, so it is unknown whether the call has run. */
  if (strcmp (decision.incarnation, tickets->incarnation) != 0)
    return reject_call (LB_ERROR_OUTCOME_UNKNOWN);
  HASH_FIND (hh, tickets->tickets, &number, sizeof number, ticket);
  if (!ticket)
    return reject_call (choose_error_of_missing_ticket (tickets, number));
  if (ticket->caller_hash != hash_caller (caller))
    return reject_call (LB_ERROR_UNKNOWN_TICKET);
  return redeem_known_ticket (tickets, ticket, content_hash, request);
}

/* Frees the oldest stored answers until a new answer of answer_length bytes fits. Tickets whose
 * answer is freed become TICKET_SPENT, so that their calls don't run again. */
static void
evict_oldest_answers (LcTickets *tickets, size_t answer_length)
{
  Ticket *ticket = NULL;

  while (tickets->answer_bytes + answer_length > tickets->limits.max_answer_bytes
         && (ticket = LB_LIST_FIRST (&tickets->answered, Ticket, answered_link)))
    {
      free_ticket_answer (tickets, ticket);
      ticket->state = TICKET_SPENT;
    }
}

static void
store_ticket_answer (
    LcTickets *tickets, Ticket *ticket, int status, const char *answer, size_t answer_length)
{
  evict_oldest_answers (tickets, answer_length);
  ticket->state = TICKET_SPENT;
  if (tickets->answer_bytes + answer_length > tickets->limits.max_answer_bytes)
    return;
  ticket->state = TICKET_ANSWERED;
  ticket->status = status;
  ticket->answer = answer_length ? lb_memdup (answer, answer_length) : NULL;
  ticket->answer_length = answer_length;
  tickets->answer_bytes += answer_length;
  lb_list_append (&tickets->answered, &ticket->answered_link);
}

/* Records the outcome of a request. An answer is stored for repeats of the call. An error that
 * proves that the call did not run makes the ticket unused again; any other error makes it
 * TICKET_SPENT. Requests without a ticket are ignored. */
void
lc_tickets_finish_call (LcTickets *tickets,
                        LcRequestId request,
                        LbErrorCode error,
                        int status,
                        const char *answer,
                        size_t answer_length,
                        LbTime now)
{
  Ticket *ticket = NULL;

  HASH_FIND (hh_request, tickets->running, &request, sizeof request, ticket);
  if (!ticket)
    return;
  HASH_DELETE (hh_request, tickets->running, ticket);
  if (error == LB_OK)
    store_ticket_answer (tickets, ticket, status, answer, answer_length);
  else
    ticket->state = lb_error_proves_request_not_run (error) ? TICKET_UNUSED : TICKET_SPENT;
  schedule_ticket_expiry (tickets, ticket, now);
}

/* Removes expired tickets. Tickets of running calls don't expire. */
void
lc_tickets_remove_expired (LcTickets *tickets, LbTime now)
{
  Ticket *ticket = NULL;

  while ((ticket = LB_LIST_FIRST (&tickets->by_expiry, Ticket, expiry_link))
         && ticket->expires_at <= now)
    remove_ticket (tickets, ticket);
}

/* Returns when the next ticket expires; LB_TIME_NEVER if no ticket has an expiry time. */
LbTime
lc_tickets_next_expiry (const LcTickets *tickets)
{
  const Ticket *ticket = LB_LIST_FIRST (&tickets->by_expiry, Ticket, expiry_link);

  return ticket ? ticket->expires_at : LB_TIME_NEVER;
}

size_t
lc_tickets_count (const LcTickets *tickets)
{
  return HASH_COUNT (tickets->tickets);
}

size_t
lc_tickets_count_answer_bytes (const LcTickets *tickets)
{
  return tickets->answer_bytes;
}
