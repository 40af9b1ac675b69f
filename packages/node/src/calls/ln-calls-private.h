#ifndef LN_CALLS_PRIVATE_H
#define LN_CALLS_PRIVATE_H

#include "lc-utilisation.h"
#include "ln-admission.h"
#include "ln-call.h"
#include "ln-claims.h"
#include "ln-context.h"
#include "ln-crashes.h"
#include "ln-endpoint-checks.h"
#include "ln-leaving.h"
#include "ln-messages.h"
#include "ln-poller.h"
#include "ln-relay.h"
#include "ln-ticker.h"
#include "ln-ticket-calls.h"

#include <event2/util.h>

/* Every request to an endpoint: owns the dispatch and carries its actions out. */
typedef struct
{
  LnTask task; /* first */
  LnContext *context;
  LcDispatch *dispatch;
  LnPoller *poller;
  LnTicketCalls *tickets;
  LnClaims *claims;
  LnRelays *relays;
  LnLeaving *leaving;
  LnEndpointChecks *checks;
  LnCrashes *crashes;
  struct event *tick;
  LnPeriodicCall keep_alive;
  LnAdmissionState belief; /* routes and organisations of a shared platform */
  LcUtilisation *crowding;
  LbName crowded;       /* as the peers task was told */
  LbTime list_asked_at; /* of the list of endpoints in use; 0: there is none */
  LbName lister;        /* the instance that asked for it */
  LnCall *by_id;
  LbList all;
  bool ready; /* the resources in force are confirmed */
  bool draining;
} LnCalls;

/* ln-calls-run.c: from submission to the final answer */
void ln_calls_run (LnCalls *calls, LbList *actions);
void ln_calls_submit (LnCalls *calls, LnCall *call);
void ln_calls_cancel (LnCalls *calls, LnCall *call);
/* The same, giving back to the rollouts what its pieces said. */
void ln_calls_recall (LnCalls *calls, LnCall *call);
LnCall *ln_calls_find (LnCalls *calls, LcRequestId id);
void ln_calls_on_tick (evutil_socket_t fd, short what, void *calls);
void ln_calls_post_done (LnCalls *calls, LcRequestId request, LbErrorCode error, char *text);

/* ln-calls-attempts.c: one attempt at an endpoint, from its request to its end */
LnUpstream *
ln_calls_start_attempt (LnCalls *calls, LnAttempt *attempt, const LcAction *action, LbError *error);
/* A sample's piece goes to the rollouts. */
void ln_calls_post_piece (LnCalls *calls,
                          const LnCall *call,
                          const LcPiece *piece,
                          const char *endpoint,
                          const char *text);
/* Counts it as begun, for the usage of its organisation; the second one when it has worked for a
 * while. */
void ln_calls_count_began (LnCalls *calls, const LnAttempt *attempt);
void ln_calls_count_running (LnCalls *calls, LnCall *call, LbTime now);

/* ln-calls.c: tells the other instances when the endpoint leaves */
void ln_calls_tell_leaving (LnCalls *calls, const char *endpoint);

/* ln-calls-take.c: a caller that leaves takes its call with it */
void ln_calls_caller_gone (LnHolder *holder);
/* The same file: from a caller's request to its submission */
void ln_calls_take (LnCalls *calls, LnExchange *exchange);
void ln_calls_add_hints (LnCalls *calls, LnExchange *exchange, LbErrorCode code);

/* ln-routed.c: the same on a shared platform, by the routes that its operators declare */
void ln_routed_take (LnCalls *calls, LnExchange *exchange);
/* Another desired state is in force: calls that wait under a key which is held no more end. */
void ln_routed_review (LnCalls *calls);

#endif
