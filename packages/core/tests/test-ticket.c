#include "lc-ticket.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static const LcTicketLimits limits
    = { .lifetime = 600 * LB_SEC, .max_tickets = 100, .max_answer_bytes = 100, .seed = 1 };

static LcTickets *
new_tickets (const char *incarnation)
{
  return lc_tickets_new ("i1.hall-a", incarnation, &limits);
}

static LcTicketDecision
redeem_ticket_of_caller_shop (LcTickets *tickets, const char *text, LcRequestId request, LbTime now)
{
  return lc_tickets_redeem (tickets, text, "shop", 7, request, now);
}

/* A caller's call times out, and it repeats the call with the same ticket while the first one still
 * runs. Without the ticket's state the call would be dispatched twice. */
Test (ticket, repeated_call_joins_then_gets_the_stored_answer)
{
  LcTickets *tickets = new_tickets ("a");
  char text[LC_TICKET_SIZE];

  cr_assert (lc_tickets_issue (tickets, "shop", 0, text, NULL));
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, text, 1, 10).action, LC_TICKET_RUN);

  LcTicketDecision second = redeem_ticket_of_caller_shop (tickets, text, 2, 20);

  cr_assert_eq (second.action, LC_TICKET_JOIN);
  cr_assert_eq (second.request, 1);
  lc_tickets_finish_call (tickets, 1, LB_OK, 200, "do\0e", 4, 30);

  LcTicketDecision third = redeem_ticket_of_caller_shop (tickets, text, 3, 40);

  cr_assert_eq (third.action, LC_TICKET_REPLAY);
  cr_assert_eq (third.status, 200);
  cr_assert_eq (third.answer_length, 4);
  cr_assert_eq (memcmp (third.answer, "do\0e", 4), 0,
                "expected the answer's 4 bytes, including the zero byte");
  lc_tickets_free (tickets);
}

/* The instance of a ticket is killed after it dispatched the call, and restarts under the same
 * name. The new process has no record of the ticket. Running the call, or reporting "not run",
 * could run it a second time. */
Test (ticket, ticket_of_earlier_incarnation_is_outcome_unknown)
{
  LcTickets *before = new_tickets ("a");
  LcTickets *after = new_tickets ("b");
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (before, "shop", 0, text, NULL);
  cr_assert_eq (redeem_ticket_of_caller_shop (before, text, 1, 10).action, LC_TICKET_RUN);

  LcTicketDecision decision = redeem_ticket_of_caller_shop (after, text, 1, 20);

  cr_assert_eq (decision.action, LC_TICKET_REJECT);
  cr_assert_eq (decision.error, LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_not (lb_error_proves_request_not_run (decision.error));
  lc_tickets_free (before);
  lc_tickets_free (after);
}

/* A caller sends a call with its ticket to another instance than the one that issued the ticket. If
 * that other instance ran the call, both instances could run it. The other instance must only
 * return the name of the issuing instance, to which the call is relayed. */
Test (ticket, ticket_of_other_instance_is_relayed)
{
  LcTickets *owner = new_tickets ("a");
  LcTickets *other = lc_tickets_new ("i2", "a", &limits);
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (owner, "shop", 0, text, NULL);

  LcTicketDecision decision = redeem_ticket_of_caller_shop (other, text, 1, 10);

  cr_assert_eq (decision.action, LC_TICKET_RELAY);
  cr_assert_str_eq (decision.instance, "i1.hall-a");
  cr_assert_str_eq (decision.incarnation, "a");
  lc_tickets_free (owner);
  lc_tickets_free (other);
}

/* A call rejected before it started is reported as "not run", so the ticket must run the repeated
 * call. After a broken connection the outcome is unknown, and the ticket must not run it. */
Test (ticket, only_proof_of_not_run_makes_ticket_unused_again)
{
  LcTickets *tickets = new_tickets ("a");
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (tickets, "shop", 0, text, NULL);
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, text, 1, 10).action, LC_TICKET_RUN);
  lc_tickets_finish_call (tickets, 1, LB_ERROR_OVERLOADED, 0, NULL, 0, 20);
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, text, 2, 30).action, LC_TICKET_RUN);
  lc_tickets_finish_call (tickets, 2, LB_ERROR_OUTCOME_UNKNOWN, 0, NULL, 0, 40);

  LcTicketDecision decision = redeem_ticket_of_caller_shop (tickets, text, 3, 50);

  cr_assert_eq (decision.action, LC_TICKET_REJECT);
  cr_assert_eq (decision.error, LB_ERROR_OUTCOME_UNKNOWN);
  lc_tickets_free (tickets);
}

/* A slow caller repeats its call after the ticket has expired and was removed.
 * LB_ERROR_UNKNOWN_TICKET would count as "not run", and the caller would run the call again with a
 * new ticket. */
Test (ticket, expired_ticket_is_outcome_unknown)
{
  LcTickets *tickets = new_tickets ("a");
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (tickets, "shop", 0, text, NULL);
  redeem_ticket_of_caller_shop (tickets, text, 1, 10);
  lc_tickets_remove_expired (tickets, 2 * limits.lifetime);
  cr_assert_eq (lc_tickets_count (tickets), 1, "the ticket of a running call must not expire");
  lc_tickets_finish_call (tickets, 1, LB_OK, 200, "done", 4, 2 * limits.lifetime);
  cr_assert_eq (lc_tickets_next_expiry (tickets), 3 * limits.lifetime);
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, text, 2, 3 * limits.lifetime).error,
                LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_eq (lc_tickets_count (tickets), 0);
  lc_tickets_free (tickets);
}

/* A caller guesses the ticket numbers of another caller, or sends a different call with a ticket
 * that is in use. Neither may get the answer of the original call. */
Test (ticket, other_callers_and_changed_calls_are_rejected)
{
  LcTickets *tickets = new_tickets ("a");
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (tickets, "shop", 0, text, NULL);
  redeem_ticket_of_caller_shop (tickets, text, 1, 10);
  cr_assert_eq (lc_tickets_redeem (tickets, text, "thief", 7, 2, 20).error,
                LB_ERROR_UNKNOWN_TICKET);
  cr_assert_eq (lc_tickets_redeem (tickets, text, "shop", 8, 2, 20).error, LB_ERROR_CONFLICT);
  text[strlen (text) - 1] ^= 1;
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, text, 2, 20).action, LC_TICKET_REJECT);
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, "i1.hall-a.a.ffffffff00000000", 2, 20).error,
                LB_ERROR_UNKNOWN_TICKET);
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, "nonsense", 2, 20).error,
                LB_ERROR_UNKNOWN_TICKET);
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, "", 2, 20).error, LB_ERROR_UNKNOWN_TICKET);
  lc_tickets_free (tickets);
}

/* Answers that callers don't fetch must not fill the memory. The oldest are evicted, but their
 * tickets stay spent, or the calls would run twice. */
Test (ticket, stored_answers_are_bounded)
{
  LcTickets *tickets = new_tickets ("a");
  char first[LC_TICKET_SIZE];
  char text[LC_TICKET_SIZE];
  char answer[60] = { 0 };

  lc_tickets_issue (tickets, "shop", 0, first, NULL);
  redeem_ticket_of_caller_shop (tickets, first, 1, 0);
  lc_tickets_finish_call (tickets, 1, LB_OK, 200, answer, sizeof answer, 1);
  for (LcRequestId id = 2; id < 101; id++)
    {
      cr_assert (lc_tickets_issue (tickets, "shop", 0, text, NULL));
      redeem_ticket_of_caller_shop (tickets, text, id, 0);
      lc_tickets_finish_call (tickets, id, LB_OK, 200, answer, sizeof answer, 1);
      cr_assert_leq (lc_tickets_count_answer_bytes (tickets), limits.max_answer_bytes);
    }
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, first, 101, 2).error,
                LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_eq (redeem_ticket_of_caller_shop (tickets, text, 101, 2).action, LC_TICKET_REPLAY);

  LbError error = { .code = LB_OK };

  cr_assert_not (lc_tickets_issue (tickets, "shop", 2, text, &error));
  cr_assert_eq (error.code, LB_ERROR_OVERLOADED);
  lc_tickets_free (tickets);
}
