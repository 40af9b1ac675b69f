#ifndef LC_TICKET_H
#define LC_TICKET_H

#include "lc-types.h"

/* Tickets for calls that may run at most once. A ticket names the one incarnation of one instance
 * that may run its call, "INSTANCE.INCARNATION.NUMBER"; whether it has run is known by the memory
 * of that incarnation and by nothing else, so no store is asked and no two instances can disagree.
 */

#define LC_TICKET_SIZE (2 * LB_NAME_MAX + 24)

typedef struct
{
  LbTime lifetime;         /* of an unused ticket, and of an answer after it came */
  size_t max_tickets;      /* unused, in progress and answered together */
  size_t max_answer_bytes; /* bytes of all kept answers; the oldest give way */
  uint64_t seed;
} LcTicketLimits;

typedef enum
{
  LC_TICKET_RUN,    /* run the call now; this was said to nobody else */
  LC_TICKET_JOIN,   /* the call is in progress as `request`: wait for its answer */
  LC_TICKET_REPLAY, /* the answer is in `answer` */
  LC_TICKET_RELAY,  /* relay to `instance`, which alone may run it */
  LC_TICKET_REJECT  /* `error` says why */
} LcTicketAction;

typedef struct
{
  LcTicketAction action;
  LcRequestId request;
  int status;         /* HTTP status of the kept answer */
  const char *answer; /* valid until the next command */
  size_t answer_length;
  LbName instance;
  LbName incarnation;
  LbErrorCode error;
} LcTicketDecision;

typedef struct LcTickets LcTickets;

LcTickets *
lc_tickets_new (const char *instance, const char *incarnation, const LcTicketLimits *limits);
void lc_tickets_free (LcTickets *tickets);

/* commands */
bool lc_tickets_issue (
    LcTickets *tickets, const char *caller, LbTime now, char text[LC_TICKET_SIZE], LbError *error);
LcTicketDecision lc_tickets_redeem (LcTickets *tickets,
                                    const char *text,
                                    const char *caller,
                                    uint64_t content,
                                    LcRequestId request,
                                    LbTime now);
void lc_tickets_finish (LcTickets *tickets,
                        LcRequestId request,
                        LbErrorCode error,
                        int status,
                        const char *answer,
                        size_t length,
                        LbTime now);
void lc_tickets_tick (LcTickets *tickets, LbTime now);

/* queries */
LbTime lc_tickets_next_tick (const LcTickets *tickets);
size_t lc_tickets_count (const LcTickets *tickets);
size_t lc_tickets_answer_bytes (const LcTickets *tickets);

#endif
