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
use (LcTickets *tickets, const char *text, LcRequestId request, LbTime now)
{
  return lc_tickets_redeem (tickets, text, "shop", 7, request, now);
}

/* A shopper's order times out at the shop, which sends it again with the same ticket while the
 * first is still on its way. Without the ticket's state the second copy would be dispatched too,
 * and the shopper gets two order messages. */
Test (ticket, same_ticket_joins_then_gets_kept_answer)
{
  LcTickets *tickets = new_tickets ("a");
  char text[LC_TICKET_SIZE];

  cr_assert (lc_tickets_issue (tickets, "shop", 0, text, NULL));
  cr_assert_eq (use (tickets, text, 1, 10).action, LC_TICKET_RUN);

  LcTicketDecision second = use (tickets, text, 2, 20);

  cr_assert_eq (second.action, LC_TICKET_JOIN);
  cr_assert_eq (second.request, 1);
  lc_tickets_finish (tickets, 1, LB_OK, 200, "do\0e", 4, 30);

  LcTicketDecision third = use (tickets, text, 3, 40);

  cr_assert_eq (third.action, LC_TICKET_REPLAY);
  cr_assert_eq (third.status, 200);
  cr_assert_eq (third.answer_length, 4);
  cr_assert_eq (memcmp (third.answer, "do\0e", 4), 0, "bytes, not text");
  lc_tickets_free (tickets);
}

/* The instance that holds a ticket is killed after it sent the call on and starts again under the
 * same name. The caller comes back with its ticket. The new process has never heard of it: running
 * it, or saying "not run", would make a second order possible. */
Test (ticket, earlier_incarnation_is_outcome_unknown)
{
  LcTickets *before = new_tickets ("a");
  LcTickets *after = new_tickets ("b");
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (before, "shop", 0, text, NULL);
  cr_assert_eq (use (before, text, 1, 10).action, LC_TICKET_RUN);

  LcTicketDecision verdict = use (after, text, 1, 20);

  cr_assert_eq (verdict.action, LC_TICKET_REJECT);
  cr_assert_eq (verdict.error, LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_not (lb_error_is_not_run (verdict.error));
  lc_tickets_free (before);
  lc_tickets_free (after);
}

/* A caller brings its ticket to another instance than the one that gave it. If that one ran the
 * call, both could: it must only name the one to relay to. */
Test (ticket, other_instance_only_relays)
{
  LcTickets *owner = new_tickets ("a");
  LcTickets *other = lc_tickets_new ("i2", "a", &limits);
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (owner, "shop", 0, text, NULL);

  LcTicketDecision verdict = use (other, text, 1, 10);

  cr_assert_eq (verdict.action, LC_TICKET_RELAY);
  cr_assert_str_eq (verdict.instance, "i1.hall-a");
  cr_assert_str_eq (verdict.incarnation, "a");
  lc_tickets_free (owner);
  lc_tickets_free (other);
}

/* A call is refused before it started, so the caller is told "not run" and may come again: the
 * ticket must start it then. After a broken connection it must not. */
Test (ticket, only_a_proof_makes_it_good_again)
{
  LcTickets *tickets = new_tickets ("a");
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (tickets, "shop", 0, text, NULL);
  cr_assert_eq (use (tickets, text, 1, 10).action, LC_TICKET_RUN);
  lc_tickets_finish (tickets, 1, LB_ERROR_OVERLOADED, 0, NULL, 0, 20);
  cr_assert_eq (use (tickets, text, 2, 30).action, LC_TICKET_RUN);
  lc_tickets_finish (tickets, 2, LB_ERROR_OUTCOME_UNKNOWN, 0, NULL, 0, 40);

  LcTicketDecision verdict = use (tickets, text, 3, 50);

  cr_assert_eq (verdict.action, LC_TICKET_REJECT);
  cr_assert_eq (verdict.error, LB_ERROR_OUTCOME_UNKNOWN);
  lc_tickets_free (tickets);
}

/* A ticket outlives its time at a slow caller. Its call ran and its record is gone. To say
 * "unknown ticket" is a "not run", after which the caller would order again with a new one. */
Test (ticket, expired_is_not_called_not_run)
{
  LcTickets *tickets = new_tickets ("a");
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (tickets, "shop", 0, text, NULL);
  use (tickets, text, 1, 10);
  lc_tickets_tick (tickets, 2 * limits.lifetime);
  cr_assert_eq (lc_tickets_count (tickets), 1, "a call in progress must not expire");
  lc_tickets_finish (tickets, 1, LB_OK, 200, "done", 4, 2 * limits.lifetime);
  cr_assert_eq (lc_tickets_next_tick (tickets), 3 * limits.lifetime);
  cr_assert_eq (use (tickets, text, 2, 3 * limits.lifetime).error, LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_eq (lc_tickets_count (tickets), 0);
  lc_tickets_free (tickets);
}

/* One shop counts up the numbers of tickets and asks for the answers of another's orders, or sends
 * another order under a ticket that is in use. Neither may be answered with that call's answer. */
Test (ticket, foreign_and_changed_calls_are_refused)
{
  LcTickets *tickets = new_tickets ("a");
  char text[LC_TICKET_SIZE];

  lc_tickets_issue (tickets, "shop", 0, text, NULL);
  use (tickets, text, 1, 10);
  cr_assert_eq (lc_tickets_redeem (tickets, text, "thief", 7, 2, 20).error,
                LB_ERROR_UNKNOWN_TICKET);
  cr_assert_eq (lc_tickets_redeem (tickets, text, "shop", 8, 2, 20).error, LB_ERROR_CONFLICT);
  text[strlen (text) - 1] ^= 1;
  cr_assert_eq (use (tickets, text, 2, 20).action, LC_TICKET_REJECT);
  cr_assert_eq (use (tickets, "i1.hall-a.a.ffffffff00000000", 2, 20).error,
                LB_ERROR_UNKNOWN_TICKET);
  cr_assert_eq (use (tickets, "nonsense", 2, 20).error, LB_ERROR_UNKNOWN_TICKET);
  cr_assert_eq (use (tickets, "", 2, 20).error, LB_ERROR_UNKNOWN_TICKET);
  lc_tickets_free (tickets);
}

/* Callers leave answers uncollected and the instance's memory fills up. The oldest answers go, but
 * their tickets must stay spent: started again they would run twice. */
Test (ticket, kept_answers_are_bounded)
{
  LcTickets *tickets = new_tickets ("a");
  char first[LC_TICKET_SIZE];
  char text[LC_TICKET_SIZE];
  char answer[60] = { 0 };

  lc_tickets_issue (tickets, "shop", 0, first, NULL);
  use (tickets, first, 1, 0);
  lc_tickets_finish (tickets, 1, LB_OK, 200, answer, sizeof answer, 1);
  for (LcRequestId id = 2; id < 101; id++)
    {
      cr_assert (lc_tickets_issue (tickets, "shop", 0, text, NULL));
      use (tickets, text, id, 0);
      lc_tickets_finish (tickets, id, LB_OK, 200, answer, sizeof answer, 1);
      cr_assert_leq (lc_tickets_answer_bytes (tickets), limits.max_answer_bytes);
    }
  cr_assert_eq (use (tickets, first, 101, 2).error, LB_ERROR_OUTCOME_UNKNOWN);
  cr_assert_eq (use (tickets, text, 101, 2).action, LC_TICKET_REPLAY);

  LbError error = { .code = LB_OK };

  cr_assert_not (lc_tickets_issue (tickets, "shop", 2, text, &error));
  cr_assert_eq (error.code, LB_ERROR_OVERLOADED);
  lc_tickets_free (tickets);
}
