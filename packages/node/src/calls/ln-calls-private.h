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

/* The "calls" task: owns the dispatch and performs its actions, that is, all requests to
 * endpoints. */
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
  struct event *dispatch_timer;     /* fires when the dispatch next has to act */
  LnPeriodicCall periodic_call;     /* keep-alives of streams, gauges and counts of usage */
  LnAdmissionState admission_state; /* routes and organisations of a shared platform */
  LcUtilisation *utilisation;
  LbName overloaded_service; /* as last posted to the peers task */
  LbTime list_requested_at;  /* request time of the endpoint list in use; 0: none */
  LbName list_requested_by;  /* instance that requested it */
  LnCall *by_id;             /* hash table */
  LbList active_calls;
  bool is_ready; /* the configuration in force is confirmed */
  bool is_draining;
} LnCalls;

/* ln-calls-run.c: a call from submission to its final answer */
void ln_calls_perform_actions (LnCalls *calls, LbList *actions);
void ln_calls_submit (LnCalls *calls, LnCall *call);
void ln_calls_cancel (LnCalls *calls, LnCall *call);
/* The same, but returns the text generated so far to the rollouts. */
void ln_calls_cancel_returning_text (LnCalls *calls, LnCall *call);
LnCall *ln_calls_find (LnCalls *calls, LcRequestId id);
void ln_calls_on_dispatch_timer (evutil_socket_t fd, short what, void *calls);
void ln_calls_post_sample_done (LnCalls *calls, LcRequestId request, LbErrorCode error, char *text);

/* ln-calls-attempts.c: one attempt at an endpoint */
LnUpstream *
ln_calls_start_attempt (LnCalls *calls, LnAttempt *attempt, const LcAction *action, LbError *error);
/* Posts a piece of a sample to the rollouts. */
void ln_calls_post_sample_piece (LnCalls *calls,
                                 const LnCall *call,
                                 const LcPiece *piece,
                                 const char *endpoint,
                                 const char *text);
/* Counts the call in its organisation's usage, once; the second one only if an attempt has been
 * running long enough to be considered started. */
void ln_calls_count_usage (LnCalls *calls, const LnAttempt *attempt);
void ln_calls_count_running_usage (LnCalls *calls, LnCall *call, LbTime now);

/* ln-calls.c: notifies the other instances if the endpoint is leaving */
void ln_calls_broadcast_leaving (LnCalls *calls, const char *endpoint);

/* ln-calls-requests.c: a call from the caller's request to its submission */
/* Cancels the call unless a ticket lets its caller fetch the answer later. */
void ln_calls_on_caller_disconnected (LnExchangeHandler *handler);
void ln_calls_handle_request (LnCalls *calls, LnExchange *exchange);
/* Names other instances in the reply headers if this one refuses because of its own state. */
void ln_calls_set_entry_headers (LnCalls *calls, LnExchange *exchange, LbErrorCode code);

/* ln-routed.c: the same on a shared platform, by the routes in its desired state */
void ln_routed_handle_request (LnCalls *calls, LnExchange *exchange);
/* After a change of the desired state: fails queued calls whose API key was revoked. */
void ln_routed_fail_revoked_calls (LnCalls *calls);

#endif
