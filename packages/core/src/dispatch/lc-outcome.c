#include "lc-dispatch-private.h"

#include "lb-alloc.h"
#include "lb-counter.h"

#include <stdlib.h>

/* A request that makes engines fail must not go round all of them. */
#define MAX_LOST 3
#define MIN_HINT (100 * LB_MSEC)
#define HINT_WITHOUT_ENDPOINT LB_SEC
#define LONG_SILENCE LB_SEC
/* Of a text, whose first piece comes a few times sooner than this. */
#define LONG_SILENCE_OF_TEXT (500 * LB_MSEC)

static LbMetric retries = LB_COUNTER_INIT ("lentilspindle_retries_total",
                                           NULL,
                                           "Attempts made after an earlier one failed");
static LbMetric given_up = LB_COUNTER_INIT ("lentilspindle_requests_given_up_total",
                                            NULL,
                                            "Admitted requests that ended with a typed failure");
static LbMetric answered
    = LB_COUNTER_INIT ("lentilspindle_requests_answered_total", NULL, "Whole answers given");

/* Appends an action to the list; the list owns it. */
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

typedef enum
{
  CLOSED_WELL,
  CLOSED_BADLY, /* speaks against the endpoint */
  CLOSED_REFUSED,
  CLOSED_BY_US /* says nothing of the endpoint */
} Closing;

static void
tell_endpoint (
    LcEndpoint *endpoint, LcRequestKind kind, const LcAttempt *attempt, Closing how, LbTime now)
{
  if (how == CLOSED_BY_US)
    lc_endpoint_request_cancelled (endpoint, kind, now);
  else if (how == CLOSED_REFUSED)
    lc_endpoint_request_refused (endpoint, kind, now);
  else
    lc_endpoint_request_ended (endpoint, kind, how == CLOSED_WELL, attempt->tokens,
                               now - attempt->sent_at, now);
}

/* Takes the attempt out of all books. */
static void
close_attempt (
    LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, Closing how, LbTime now)
{
  LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);
  LbTime took = now - attempt->sent_at;

  if (endpoint)
    tell_endpoint (endpoint, request->kind, attempt, how, now);
  lc_pool_state_ended (request->pool, request->kind, attempt->whole ? took : 0);
  if (request->owner == attempt->number)
    request->owner = 0;
  lc_request_drop_attempt (request, attempt);
}

/* An endpoint that swallows requests never fails one: each ends by our own cancel, at its deadline
 * or when a hedge won, and the breaker would stay closed. So an attempt that was silent for long
 * counts against an endpoint from which nobody here has heard since it was sent. */
static bool
is_swallowed (LcDispatch *dispatch, const LcRequest *request, const LcAttempt *attempt, LbTime now)
{
  const LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);
  LbTime silence = request->kind == LC_KIND_SAMPLE ? LONG_SILENCE_OF_TEXT : LONG_SILENCE;

  return endpoint && !attempt->heard && now - attempt->sent_at >= silence
         && endpoint->last_reply_at <= attempt->sent_at;
}

/* A stream that we leave because it stopped says so of its engine: the next text is not to wait
 * there as well. */
static void
note_silence (LcDispatch *dispatch, const LcAttempt *attempt, LbTime now)
{
  LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);

  if (endpoint && attempt->piece_at > 0)
    lc_endpoint_tokens_received (endpoint, 0, now - attempt->piece_at, now);
}

void
lc_dispatch_cancel_attempt (
    LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now, LbList *actions)
{
  LcAction *action = lc_action_new (LC_ACTION_CANCEL, request->id, actions);
  Closing how = is_swallowed (dispatch, request, attempt, now) ? CLOSED_BADLY : CLOSED_BY_US;

  action->attempt = attempt->number;
  LB_COPY (action->endpoint, attempt->endpoint);
  request->maybe_run = true;
  note_silence (dispatch, attempt, now);
  close_attempt (dispatch, request, attempt, how, now);
}

static void
cancel_attempts (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  LB_LIST_FOREACH (&request->attempts, LcAttempt, link, attempt)
  {
    lc_dispatch_cancel_attempt (dispatch, request, attempt, now, actions);
  }
}

/* Out of every queue and table, running attempts cancelled. What the caller is told comes after. */
static void
take_out (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  cancel_attempts (dispatch, request, now, actions);
  lc_queue_remove (request->pool->queue, &request->waiting);
  lc_heap_remove (&dispatch->timers, &request->timer);
  HASH_DELETE (hh, dispatch->requests, request);
  request->pool->n_requests--;
}

void
lc_dispatch_forget (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  take_out (dispatch, request, now, actions);
  lc_request_free (request);
}

/* When a caller had better come back: after the time that a request like its own would wait now,
 * and not before the breakers of a pool that takes nothing let a trial through. Spread by half, so
 * that callers who are refused together do not return together. */
LbTime
lc_dispatch_retry_hint (LcDispatch *dispatch,
                        const LcPoolState *pool,
                        const LcQueueKey *key,
                        LbTime now)
{
  LbTime hint = lc_pool_state_wait (pool, key);
  LbTime opens_at = lc_dispatch_opens_at (dispatch, pool);

  if (opens_at == LB_TIME_NEVER)
    hint = HINT_WITHOUT_ENDPOINT;
  else if (opens_at - now > hint)
    hint = opens_at - now;
  if (hint < MIN_HINT)
    hint = MIN_HINT;
  return hint + (LbTime)(gsl_rng_uniform (dispatch->random) * (double)hint / 2);
}

/* The final answer of a request that failed, with a hint when to come back (worked out here when
 * retry_after is 0). It is taken out of every queue first: a copy that
 * still waits could run after its caller was told "not run". */
void
lc_dispatch_give_up (LcDispatch *dispatch,
                     LcRequest *request,
                     LbErrorCode error,
                     LbTime retry_after,
                     LbTime now,
                     LbList *actions)
{
  LcQueueKey key = lc_request_key (request);

  if (!lc_dispatch_check (dispatch,
                          !dispatch->keep_running || lb_list_is_empty (&request->attempts),
                          "shutdown-cuts-nothing", request->id))
    return;
  if (retry_after == 0)
    retry_after = lc_dispatch_retry_hint (dispatch, request->pool, &key, now);
  take_out (dispatch, request, now, actions);
  if (!lc_dispatch_check (dispatch, !lb_error_is_not_run (error) || !request->maybe_run,
                          "not-run-is-a-proof", request->id))
    error = LB_ERROR_OUTCOME_UNKNOWN;

  LcAction *action = lc_action_new (LC_ACTION_FINISH, request->id, actions);

  action->error = error;
  action->retry_after = retry_after;
  lb_metric_add (&given_up, 1);
  lc_request_free (request);
}

static void
finish_whole (
    LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now, LbList *actions)
{
  uint32_t number = attempt->number;
  bool all_passed_on = request->delivery == LC_DELIVER_BUFFERED
                       || (request->next_token == attempt->offset
                           && (request->owner == 0 || request->owner == number));
  LbName endpoint;

  if (!lc_dispatch_check (dispatch, all_passed_on, "whole-answers", request->id))
    {
      lc_dispatch_give_up (dispatch, request, LB_ERROR_STREAM_BROKEN, 0, now, actions);
      return;
    }
  LB_COPY (endpoint, attempt->endpoint);
  lc_retry_budgets_earn (dispatch->budgets, request->caller);
  lc_retry_budgets_earn (dispatch->budgets, endpoint);
  attempt->whole = true;
  close_attempt (dispatch, request, attempt, CLOSED_WELL, now);
  take_out (dispatch, request, now, actions);

  LcAction *action = lc_action_new (LC_ACTION_FINISH, request->id, actions);

  action->attempt = number;
  LB_COPY (action->endpoint, endpoint);
  lb_metric_add (&answered, 1);
  lc_request_free (request);
}

/* True for an end that proves that nothing ran at the endpoint. */
static bool
proves_not_run (LcAttemptEnd end)
{
  return end == LC_END_REFUSED || end == LC_END_REFUSED_LEAVING || end == LC_END_NOT_SENT;
}

/* What the submitter is told if nothing follows this failure. */
static LbErrorCode
error_of (const LcRequest *request, LcAttemptEnd end)
{
  if (!request->maybe_run)
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
may_try_again (const LcRequest *request)
{
  if (!lc_request_has_attempts_left (request) || request->n_lost >= MAX_LOST)
    return false;
  if (!request->maybe_run)
    return true;
  return request->repeatable && (request->resumable || !lc_request_has_output (request));
}

/* A stream that broke after some words and goes on behind them repeats no work, so it can't make a
 * storm; MAX_ATTEMPTS bounds it. Were it paid for, the crash of an engine with many streams would
 * use up the budget with the first few, and all other callers would be left with half an answer
 * although another engine is free. */
static bool
continues (const LcRequest *request, const LcAttempt *attempt, LcAttemptEnd end)
{
  return end == LC_END_BROKEN && attempt->tokens > 0 && lc_request_keeps_pieces (request);
}

/* The endpoint's answer settles the request. */
static bool
is_final (const LcRequest *request, LcAttemptEnd end)
{
  return end == LC_END_REJECTED || (end == LC_END_FAILED && request->failure_is_final);
}

/* Guards against a long text that waits for an engine which loads weights: it refuses at once,
 * looks idle, and was asked again and again while others had room. A refusal costs next to nothing,
 * so a sample goes to another engine at once; the attempts are bounded all the same. */
static bool
goes_on_at_once (const LcRequest *request, LcAttemptEnd end)
{
  return end == LC_END_REFUSED_LEAVING
         || (end == LC_END_REFUSED && request->kind == LC_KIND_SAMPLE);
}

/* Goes on after the last running attempt has failed: again at once when the endpoint only refused,
 * else after a delay and (unless it continues) within the budgets, else the final answer. */
static void
try_again (LcDispatch *dispatch,
           LcRequest *request,
           LcAttemptEnd end,
           bool continued,
           LbTime now,
           LbList *actions)
{
  LbTime delay = lc_retry_delay (dispatch->random, request->n_retries);
  bool at_once = goes_on_at_once (request, end);
  bool paid = !at_once && !continued;

  if (is_final (request, end) || !may_try_again (request)
      || (!at_once && now + delay >= request->deadline)
      || (paid && !lc_retry_budgets_allow (dispatch->budgets, request->caller)))
    {
      lc_dispatch_give_up (dispatch, request, request->last_error, 0, now, actions);
      return;
    }
  request->waiting.cost = 0;
  lb_metric_add (&retries, 1);
  if (at_once)
    {
      lc_dispatch_enqueue (dispatch, request);
      return;
    }
  if (paid)
    lc_retry_budgets_spend (dispatch->budgets, request->caller);
  request->charged = paid;
  request->n_retries++;
  request->state = LC_STATE_BACKOFF;
  request->retry_at = now + delay;
  lc_dispatch_set_timer (dispatch, request);
}

static Closing
closing_of (LcAttemptEnd end)
{
  if (end == LC_END_REFUSED_LEAVING)
    return CLOSED_BY_US;
  return end == LC_END_REFUSED ? CLOSED_REFUSED : CLOSED_BADLY;
}

/* The endpoint has answered it, be it with a failure, and still runs. */
static bool
was_survived (LcAttemptEnd end)
{
  return end == LC_END_COMPLETE || end == LC_END_REJECTED || end == LC_END_FAILED;
}

/* An attempt is over. The request goes on, or its final answer is appended. */
void
lc_dispatch_end_attempt (LcDispatch *dispatch,
                         LcRequest *request,
                         LcAttempt *attempt,
                         LcAttemptEnd end,
                         LbTime now,
                         LbList *actions)
{
  if (was_survived (end))
    lc_quarantine_record_answer (dispatch->quarantine, request->content, now);
  if (end == LC_END_COMPLETE || attempt->whole)
    {
      finish_whole (dispatch, request, attempt, now, actions);
      return;
    }
  request->n_not_handed += end == LC_END_NOT_SENT;
  if (!proves_not_run (end))
    {
      request->maybe_run = true;
      request->n_lost = attempt->tokens > 0 ? 0 : request->n_lost + 1;
    }
  bool continued = continues (request, attempt, end);

  lc_request_tried (request, attempt->endpoint);
  close_attempt (dispatch, request, attempt, closing_of (end), now);
  request->last_error = error_of (request, end);
  if (lb_list_is_empty (&request->attempts))
    {
      try_again (dispatch, request, end, continued, now, actions);
      return;
    }
  /* Guards against a hedge that asked nobody: the first attempt hung at an endpoint gone dark, the
   * second could not connect, and the caller waited out its deadline though others were idle. */
  if (proves_not_run (end))
    request->hedged = false;
  lc_dispatch_set_timer (dispatch, request);
}
