#include "lc-dispatch-private.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-switch.h"

#include <stdlib.h>

/* Limits how many engines one request can crash. */
#define MAX_CONSECUTIVE_LOST_ATTEMPTS 3
#define MIN_RETRY_AFTER_WITHOUT_RATE (100 * LB_MSEC)
#define RETRY_AFTER_WITHOUT_ENDPOINT LB_SEC
/* An attempt without a piece for this long may count as a failure (see is_attempt_black_holed). */
#define BLACK_HOLE_TIMEOUT LB_SEC
/* BLACK_HOLE_TIMEOUT for samples, whose first piece normally arrives several times sooner. */
#define SAMPLE_BLACK_HOLE_TIMEOUT (500 * LB_MSEC)

static LbMetric retries = LB_COUNTER_INIT ("lentilspindle_retries_total",
                                           NULL,
                                           "Attempts made after an earlier one failed");
static LbMetric failed_requests = LB_COUNTER_INIT ("lentilspindle_requests_given_up_total",
                                                   NULL,
                                                   "Admitted requests that ended with a failure");
static LbMetric answered_requests = LB_COUNTER_INIT ("lentilspindle_requests_answered_total",
                                                     NULL,
                                                     "Requests that ended with a complete answer");

/* Creates an action and appends it to actions, which owns it. */
LcAction *
lc_action_new (LcActionType type, LcRequestId request, LbList *actions)
{
  LcAction *action = LB_NEW (LcAction);

  action->type = type;
  action->request = request;
  lb_list_append (actions, &action->link);
  return action;
}

void
lc_action_free (LcAction *action)
{
  free (action);
}

/* How the result of an attempt counts for its endpoint. */
typedef enum
{
  RESULT_SUCCEEDED,
  RESULT_FAILED, /* the endpoint failed */
  RESULT_REFUSED,
  /* counts neither as success nor as failure: cancelled, or refused by a leaving endpoint */
  RESULT_CANCELLED
} AttemptResult;

static void
record_attempt_result (LcEndpoint *endpoint,
                       LcRequestKind kind,
                       const LcAttempt *attempt,
                       AttemptResult result,
                       LbTime now)
{
  if (result == RESULT_CANCELLED)
    lc_endpoint_request_cancelled (endpoint, kind, attempt->sent_at, now);
  else if (result == RESULT_REFUSED)
    lc_endpoint_request_refused (endpoint, kind, attempt->sent_at, now);
  else
    lc_endpoint_request_ended (endpoint, kind, result == RESULT_SUCCEEDED, attempt->received_tokens,
                               now - attempt->sent_at, now);
}

/* Records the attempt's result in the statistics of its endpoint and pool, and frees the attempt.
 * has_run: whether the endpoint may have run it. */
static void
record_result_and_free_attempt (LcDispatch *dispatch,
                                LcRequest *request,
                                LcAttempt *attempt,
                                AttemptResult result,
                                bool has_run,
                                LbTime now)
{
  LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);
  const LcEndedAttempt ended = { .duration = now - attempt->sent_at,
                                 .has_run = has_run,
                                 .is_complete = attempt->is_complete,
                                 .expected_tokens = request->expected_tokens };

  if (endpoint)
    record_attempt_result (endpoint, request->kind, attempt, result, now);
  lc_pool_state_record_attempt_end (request->pool, request->kind, &ended, now);
  if (request->forwarded_attempt == attempt->number)
    request->forwarded_attempt = 0;
  lc_request_remove_attempt (request, attempt);
}

/* Whether an attempt that is being cancelled counts as a failure of its endpoint. An endpoint that
 * accepts requests and never answers causes no failure of its own: its attempts are cancelled at
 * the deadline or when a hedge wins, and its circuit breaker would stay closed. So an attempt
 * without a piece fails after a timeout if the endpoint has replied to nothing since the attempt
 * was sent. */
static bool
is_attempt_black_holed (LcDispatch *dispatch,
                        const LcRequest *request,
                        const LcAttempt *attempt,
                        LbTime now)
{
  const LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);
  LbTime limit = request->kind == LC_KIND_SAMPLE ? SAMPLE_BLACK_HOLE_TIMEOUT : BLACK_HOLE_TIMEOUT;

  return endpoint && !attempt->has_piece && now - attempt->sent_at >= limit
         && endpoint->last_reply_at <= attempt->sent_at;
}

/* Counts the time since the last piece of a cancelled stream as time without tokens. This lowers
 * the measured pace of a stalled engine, so that further samples avoid it. */
static void
record_stream_stall (LcDispatch *dispatch, const LcAttempt *attempt, LbTime now)
{
  LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);

  if (endpoint && attempt->last_piece_at > 0)
    lc_endpoint_tokens_received (endpoint, 0, now - attempt->last_piece_at, now);
}

void
lc_dispatch_cancel_attempt (
    LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now, LbList *actions)
{
  LcAction *action = lc_action_new (LC_ACTION_CANCEL, request->id, actions);
  AttemptResult result
      = is_attempt_black_holed (dispatch, request, attempt, now) ? RESULT_FAILED : RESULT_CANCELLED;

  action->attempt = attempt->number;
  LB_COPY (action->endpoint, attempt->endpoint);
  request->may_have_run = true;
  record_stream_stall (dispatch, attempt, now);
  record_result_and_free_attempt (dispatch, request, attempt, result, true, now);
}

static void
cancel_attempts (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  LB_LIST_FOREACH (&request->attempts, LcAttempt, link, attempt)
  {
    lc_dispatch_cancel_attempt (dispatch, request, attempt, now, actions);
  }
}

/* Cancels the attempts of the request and removes it from the queue, the timers and the request
 * table. The caller still has to append the final action and free the request. */
static void
cancel_and_unlink_request (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  cancel_attempts (dispatch, request, now, actions);
  lc_queue_remove (request->pool->queue, &request->queue_entry);
  lc_heap_remove (&dispatch->timers, &request->timer_node);
  HASH_DELETE (hh, dispatch->requests, request);
  request->pool->n_requests--;
}

void
lc_dispatch_drop_request (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  cancel_and_unlink_request (dispatch, request, now, actions);
  lc_request_free (request);
}

/* Adds up to 50 %, so that callers that were refused together do not retry together. random:
 * uniform in [0, 1). */
static LbTime
add_jitter (LbTime delay, double random)
{
  return delay + (LbTime)(random * (double)delay / 2);
}

static LbTime
compute_retry_after_without_rate (const LcWaitDecision *decision, double random)
{
  return add_jitter (decision->wait > MIN_RETRY_AFTER_WITHOUT_RATE ? decision->wait
                                                                   : MIN_RETRY_AFTER_WITHOUT_RATE,
                     random);
}

static LbTime
compute_retry_after_without_endpoint (const LcWaitDecision *decision, double random)
{
  LbTime delay = add_jitter (RETRY_AFTER_WITHOUT_ENDPOINT, random);
  LbTime limit = lc_wait_estimate_max_retry_after (decision->time_left);

  if (!lb_switch_is_on (LB_SWITCH_WAIT_ESTIMATE) || delay <= limit)
    return delay;
  return limit - (LbTime)(random * (double)limit / 2);
}

/* Returns the delay after which the caller of a failed request should retry: derived from the
 * expected wait, and at least the time until a circuit breaker of the pool admits a request. */
LbTime
lc_dispatch_compute_retry_after (LcDispatch *dispatch,
                                 LcPoolState *pool,
                                 const LcWaitDecision *decision,
                                 LbTime now)
{
  double random = gsl_rng_uniform (dispatch->random);
  LbTime available_at = lc_dispatch_earliest_pool_availability (dispatch, pool);
  LbTime retry_after = 0;

  if (available_at == LB_TIME_NEVER)
    return compute_retry_after_without_endpoint (decision, random);
  /* The circuit breakers of other instances may be closed. */
  if (lb_switch_is_on (LB_SWITCH_WAIT_ESTIMATE)
      && available_at - now > lc_wait_estimate_max_retry_after (decision->time_left))
    retry_after = lc_wait_estimate_send_elsewhere (&pool->wait_estimate, decision, random);
  if (retry_after > 0)
    return retry_after;
  if (lb_switch_is_on (LB_SWITCH_WAIT_ESTIMATE) && decision->rate > 0)
    retry_after = lc_wait_estimate_reserve_retry (&pool->wait_estimate, decision, random, now);
  else
    retry_after = compute_retry_after_without_rate (decision, random);
  return available_at - now > retry_after ? add_jitter (available_at - now, random) : retry_after;
}

/* Decides again whether the request could be served in the time that its caller has left. A caller
 * whose deadline has passed may send a new request. */
static LcWaitDecision
decide_wait_of_failed_request (const LcRequest *request, LbTime now)
{
  LcQueueKey key = lc_request_make_queue_key (request);
  const LcWaitQuery query
      = { .expected_tokens = request->expected_tokens,
          .time_to_start = LB_TIME_NEVER,
          .time_to_end = request->deadline > now && request->deadline != LB_TIME_NEVER
                             ? request->deadline - now
                             : LB_TIME_NEVER };

  return lc_pool_state_decide_wait (request->pool, &key, query, now);
}

/* Ends the request with a failure. retry_after: hint for the caller; 0: the estimated delay. The
 * request is removed from the queue first, since it must not run after its caller was told "not
 * run". */
void
lc_dispatch_fail_request (LcDispatch *dispatch,
                          LcRequest *request,
                          LbErrorCode error,
                          LbTime retry_after,
                          LbTime now,
                          LbList *actions)
{
  LcWaitDecision decision;

  if (!lc_dispatch_check_invariant (dispatch,
                                    !dispatch->forbid_cancel
                                        || lb_list_is_empty (&request->attempts),
                                    "shutdown-cuts-nothing", request->id))
    return;
  if (retry_after == 0)
    {
      decision = decide_wait_of_failed_request (request, now);
      retry_after = lc_dispatch_compute_retry_after (dispatch, request->pool, &decision, now);
    }
  cancel_and_unlink_request (dispatch, request, now, actions);
  if (!lc_dispatch_check_invariant (dispatch,
                                    !lb_error_proves_request_not_run (error)
                                        || !request->may_have_run,
                                    "not-run-is-a-proof", request->id))
    error = LB_ERROR_OUTCOME_UNKNOWN;

  LcAction *action = lc_action_new (LC_ACTION_FINISH, request->id, actions);

  action->error = error;
  action->retry_after = retry_after;
  lb_metric_add (&failed_requests, 1);
  lc_request_free (request);
}

static void
finish_request (
    LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now, LbList *actions)
{
  uint32_t number = attempt->number;
  bool all_forwarded
      = request->delivery == LC_DELIVER_BUFFERED
        || (request->next_token == attempt->next_offset
            && (request->forwarded_attempt == 0 || request->forwarded_attempt == number));
  LbName endpoint;

  if (!lc_dispatch_check_invariant (dispatch, all_forwarded, "whole-answers", request->id))
    {
      lc_dispatch_fail_request (dispatch, request, LB_ERROR_STREAM_BROKEN, 0, now, actions);
      return;
    }
  LB_COPY (endpoint, attempt->endpoint);
  lc_retry_budgets_credit_success (dispatch->budgets, request->caller);
  lc_retry_budgets_credit_success (dispatch->budgets, endpoint);
  attempt->is_complete = true;
  record_result_and_free_attempt (dispatch, request, attempt, RESULT_SUCCEEDED, true, now);
  cancel_and_unlink_request (dispatch, request, now, actions);

  LcAction *action = lc_action_new (LC_ACTION_FINISH, request->id, actions);

  action->attempt = number;
  LB_COPY (action->endpoint, endpoint);
  lb_metric_add (&answered_requests, 1);
  lc_request_free (request);
}

/* Whether this end of an attempt proves that the endpoint did not run the request. */
static bool
does_attempt_end_prove_request_not_run (LcAttemptEnd end)
{
  return end == LC_END_REFUSED || end == LC_END_REFUSED_LEAVING || end == LC_END_REFUSED_CONDITION
         || end == LC_END_NOT_SENT;
}

/* Returns the error to report if the request is not retried after an attempt with this end. */
static LbErrorCode
choose_error_without_retry (const LcRequest *request, LcAttemptEnd end)
{
  if (!request->may_have_run)
    return end == LC_END_NOT_SENT ? LB_ERROR_NO_ENDPOINT : LB_ERROR_ENDPOINT_REFUSED;
  if (end == LC_END_REJECTED)
    return LB_ERROR_REJECTED;
  if (end == LC_END_FAILED && request->failure_is_final)
    return LB_ERROR_ENDPOINT_FAILED;
  if (lc_request_has_output (request))
    return LB_ERROR_STREAM_BROKEN;
  return end == LC_END_FAILED ? LB_ERROR_ENDPOINT_FAILED : LB_ERROR_OUTCOME_UNKNOWN;
}

static bool
may_retry_request (const LcRequest *request)
{
  if (!lc_request_has_attempts_left (request)
      || request->n_consecutive_lost >= MAX_CONSECUTIVE_LOST_ATTEMPTS)
    return false;
  if (!request->may_have_run)
    return true;
  return request->repeatable && (request->resumable || !lc_request_has_output (request));
}

/* Whether a broken stream resumes behind its last piece. A resumed stream repeats no work and can't
 * cause a retry storm, so it is not charged to the retry budgets; MAX_ATTEMPTS bounds it. If it
 * were charged, the crash of an engine with many streams would exhaust the budget on the first few.
 * The other callers would be left with half an answer although another engine is free. */
static bool
does_stream_resume (const LcRequest *request, const LcAttempt *attempt, LcAttemptEnd end)
{
  return end == LC_END_BROKEN && attempt->received_tokens > 0
         && lc_request_is_resumable_stream (request);
}

/* Whether the endpoint's reply rules out a retry. */
static bool
does_attempt_end_rule_out_retry (const LcRequest *request, LcAttemptEnd end)
{
  return end == LC_END_REJECTED || (end == LC_END_FAILED && request->failure_is_final);
}

/* Whether the request is retried without backoff. An engine that loads weights refuses at once and
 * looks idle, so samples retried after a delay were sent to it again while other engines had
 * capacity. A refusal costs almost nothing, so a refused sample is retried at once; its number of
 * attempts stays bounded. */
static bool
is_request_retried_immediately (const LcRequest *request, LcAttemptEnd end)
{
  return end == LC_END_REFUSED_LEAVING || end == LC_END_REFUSED_CONDITION
         || (end == LC_END_REFUSED && request->kind == LC_KIND_SAMPLE);
}

/* Retries a request whose last running attempt has failed, or fails the request if no retry is
 * allowed. A refusal may be retried at once. Other retries wait for a backoff and are charged to
 * the retry budgets; a resumed stream is not charged. */
static void
retry_or_fail_request (LcDispatch *dispatch,
                       LcRequest *request,
                       LcAttemptEnd end,
                       bool resumed,
                       LbTime now,
                       LbList *actions)
{
  LbTime delay = lc_retry_delay (dispatch->random, request->n_retries);
  bool immediately = is_request_retried_immediately (request, end);
  bool charged_to_budget = !immediately && !resumed;

  if (does_attempt_end_rule_out_retry (request, end) || !may_retry_request (request)
      || (!immediately && now + delay >= request->deadline)
      || (charged_to_budget && !lc_retry_budgets_allow_retry (dispatch->budgets, request->caller)))
    {
      lc_dispatch_fail_request (dispatch, request, request->last_error, 0, now, actions);
      return;
    }
  request->queue_entry.cost = 0;
  lb_metric_add (&retries, 1);
  if (immediately)
    {
      lc_dispatch_enqueue (dispatch, request);
      return;
    }
  if (charged_to_budget)
    lc_retry_budgets_charge_retry (dispatch->budgets, request->caller);
  request->retry_charged = charged_to_budget;
  request->n_retries++;
  request->state = LC_STATE_BACKOFF;
  request->retry_at = now + delay;
  lc_dispatch_reschedule_request_timer (dispatch, request);
}

static AttemptResult
get_attempt_result (LcAttemptEnd end)
{
  if (end == LC_END_REFUSED_LEAVING || end == LC_END_REFUSED_CONDITION)
    return RESULT_CANCELLED;
  return end == LC_END_REFUSED ? RESULT_REFUSED : RESULT_FAILED;
}

/* Whether this end of an attempt shows that the endpoint replied, even with a failure, so that the
 * request did not crash the endpoint. */
static bool
does_attempt_end_prove_endpoint_alive (LcAttemptEnd end)
{
  return end == LC_END_COMPLETE || end == LC_END_REJECTED || end == LC_END_FAILED;
}

/* Ends an attempt: finishes, retries or fails its request, or leaves the request to its other
 * attempt. */
void
lc_dispatch_end_attempt (LcDispatch *dispatch,
                         LcRequest *request,
                         LcAttempt *attempt,
                         LcAttemptEnd end,
                         LbTime now,
                         LbList *actions)
{
  if (does_attempt_end_prove_endpoint_alive (end))
    lc_quarantine_record_answer (dispatch->quarantine, request->content, now);
  if (end == LC_END_COMPLETE || attempt->is_complete)
    {
      finish_request (dispatch, request, attempt, now, actions);
      return;
    }
  request->n_not_sent += end == LC_END_NOT_SENT;
  if (!does_attempt_end_prove_request_not_run (end))
    {
      request->may_have_run = true;
      request->n_consecutive_lost
          = attempt->received_tokens > 0 ? 0 : request->n_consecutive_lost + 1;
    }
  bool resumed = does_stream_resume (request, attempt, end);

  lc_request_add_tried_endpoint (request, attempt->endpoint);
  record_result_and_free_attempt (dispatch, request, attempt, get_attempt_result (end),
                                  !does_attempt_end_prove_request_not_run (end), now);
  request->last_error = choose_error_without_retry (request, end);
  if (lb_list_is_empty (&request->attempts))
    {
      retry_or_fail_request (dispatch, request, end, resumed, now, actions);
      return;
    }
  /* Allows another hedge if this attempt never ran. Without this, when a hedge could not connect
   * while the first attempt hung at an unresponsive endpoint, the caller waited until its deadline
   * although other endpoints were idle. */
  if (does_attempt_end_prove_request_not_run (end))
    request->hedged = false;
  lc_dispatch_reschedule_request_timer (dispatch, request);
}
