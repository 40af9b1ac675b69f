#ifndef LC_TICKET_H
#define LC_TICKET_H

#include "lc-types.h"

/* This header declares tickets (idempotency keys) for calls that must run at most once. A ticket
 * "INSTANCE.INCARNATION.NUMBER" names the only process that may run the ticket's call: one
 * incarnation of an instance. Only the memory of this process records whether the call has run, so
 * no store is needed and no two instances can disagree. */

#define LC_TICKET_SIZE (2 * LB_NAME_MAX + 24)

typedef struct
{
  /* time until a ticket expires, counted from the issue of the ticket, and anew from the end of the
   * ticket's call */
  LbTime lifetime;
  size_t max_tickets; /* limit for the number of tickets in all states together */
  /* limit for the total size of stored answers; above it, the oldest answers are evicted */
  size_t max_answer_bytes;
  uint64_t seed;
} LcTicketLimits;

typedef enum
{
  /* run the call now; a ticket gets this decision again only if its call is known not to have
   * run */
  LC_TICKET_RUN,
  /* the call is already running as the request with id `request`: wait for the answer to that
   * request */
  LC_TICKET_JOIN,
  /* the call has ended: send the stored `answer` without running the call again */
  LC_TICKET_REPLAY,
  /* relay the call to `instance`, which issued the ticket and is the only one that may run the
   * call */
  LC_TICKET_RELAY,
  LC_TICKET_REJECT /* fail the call with `error` */
} LcTicketAction;

typedef struct
{
  LcTicketAction action;
  LcRequestId request;
  int status;         /* HTTP status of the stored answer */
  const char *answer; /* stored answer; valid until the LcTickets is next changed */
  size_t answer_length;
  LbName instance;
  LbName incarnation;
  LbErrorCode error;
} LcTicketDecision;

typedef struct LcTickets LcTickets;

LcTickets *
lc_tickets_new (const char *instance, const char *incarnation, const LcTicketLimits *limits);
void lc_tickets_free (LcTickets *tickets);

/* Functions that change an LcTickets table. */

bool lc_tickets_issue (
    LcTickets *tickets, const char *caller, LbTime now, char text[LC_TICKET_SIZE], LbError *error);
LcTicketDecision lc_tickets_redeem (LcTickets *tickets,
                                    const char *text,
                                    const char *caller,
                                    uint64_t content_hash,
                                    LcRequestId request,
                                    LbTime now);
void lc_tickets_finish_call (LcTickets *tickets,
                             LcRequestId request,
                             LbErrorCode error,
                             int status,
                             const char *answer,
                             size_t answer_length,
                             LbTime now);
void lc_tickets_remove_expired (LcTickets *tickets, LbTime now);

/* Functions that only read an LcTickets table. */

LbTime lc_tickets_next_expiry (const LcTickets *tickets);
size_t lc_tickets_count (const LcTickets *tickets);
size_t lc_tickets_count_answer_bytes (const LcTickets *tickets);

#endif
