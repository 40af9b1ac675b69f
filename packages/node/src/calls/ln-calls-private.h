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

/* The task "calls": has the LcDispatch that queues and routes calls, and performs its actions,
 * which send, cancel and finish requests to endpoints. */
typedef struct
{
  LnTask task; /* must be the first member */
  LnContext *context;
  LcDispatch *dispatch;
  LnPoller *poller;
  LnTicketCalls *tickets;
  LnClaims *claims;
  LnRelays *relays;
  LnLeaving *leaving;
  LnEndpointChecks *checks;
  LnCrashes *crashes;
  struct event *dispatch_timer;     /* fires when LcDispatch has its next action due */
  LnPeriodicCall periodic_call;     /* sends keep-alives, updates gauges, counts usage */
  LnAdmissionState admission_state; /* routes and organisations of a shared platform */
  LcUtilisation *utilisation;
  LbTime next_paces_at;      /* when the engines' paces are next posted to the task "rollouts" */
  LbName overloaded_service; /* overloaded service last posted to the peers task; "": none */
  LbTime list_requested_at;  /* when the endpoint list in use was requested; 0: no list yet */
  LbName list_requested_by;  /* instance that requested the endpoint list in use */
  LnCall *by_id;             /* hash table of the active calls, keyed by spec.id */
  LbList active_calls;
  bool is_ready; /* configuration is confirmed as current; if false, calls are refused */
  bool is_draining;
} LnCalls;

/* ln-calls-run.c: runs a call from its submission to its final answer */
void ln_calls_perform_actions (LnCalls *calls, LbList *actions);
void ln_calls_submit (LnCalls *calls, LnCall *call);
void ln_calls_cancel (LnCalls *calls, LnCall *call);
/* Cancels a sample and posts the text that it has already generated to the rollouts task. move:
 * decision because of which the sample moves to another endpoint; NULL: none. */
void ln_calls_cancel_returning_text (LnCalls *calls, LnCall *call, const LcMoveDecision *move);
/* Decides whether the sample moves to another endpoint. If so, cancels it and posts its text;
 * otherwise posts the refusal to the rollouts task. */
void ln_calls_move_or_refuse (LnCalls *calls, LnCall *call, const LcMoveProposal *proposal);
LnCall *ln_calls_find (LnCalls *calls, LcRequestId id);
void ln_calls_on_dispatch_timer (evutil_socket_t fd, short what, void *calls);
void ln_calls_post_sample_done (LnCalls *calls, LcRequestId request, LbErrorCode error, char *text);

/* ln-calls-attempts.c: runs one attempt of a call at an endpoint */
LnUpstream *
ln_calls_start_attempt (LnCalls *calls, LnAttempt *attempt, const LcAction *action, LbError *error);
/* Posts a piece of a sample to the rollouts task. */
void ln_calls_post_sample_piece (LnCalls *calls,
                                 const LnCall *call,
                                 const LcPiece *piece,
                                 const char *endpoint,
                                 const char *text);
/* Counts the attempt's call in the usage of its organisation. A call is counted only once. */
void ln_calls_count_call_in_usage (LnCalls *calls, const LnAttempt *attempt);
/* Counts a running call if one of its attempts has run long enough to be considered started. */
void ln_calls_count_running_call_in_usage (LnCalls *calls, LnCall *call, LbTime now);

/* ln-calls.c: notifies the other instances if the endpoint is leaving (about to stop) */
void ln_calls_broadcast_endpoint_leaving (LnCalls *calls, const char *endpoint);

/* ln-calls-requests.c: turns a caller's request into a call and submits it */
/* Cancels the call unless a ticket lets its caller fetch the answer later. */
void ln_calls_on_caller_disconnected (LnExchangeHandler *handler);
void ln_calls_handle_request (LnCalls *calls, LnExchange *exchange);
/* Names other instances in the reply headers if code says that this instance is draining or not
 * ready. */
void ln_calls_set_other_instance_headers (LnCalls *calls, LnExchange *exchange, LbErrorCode code);

/* ln-routed.c: handles a caller's request on a shared platform, by the platform's routes */
void ln_routed_handle_platform_request (LnCalls *calls, LnExchange *exchange);
/* Fails queued calls whose API key was revoked: the operators' newest configuration no longer
 * contains the key. */
void ln_routed_fail_calls_with_revoked_key (LnCalls *calls);

#endif
