#include "ln-calls-private.h"

#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-histogram.h"
#include "lb-log.h"
#include "lb-time.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Smaller present slowdowns of endpoints are left out of the log. */
#define MIN_LOGGED_SLOWDOWN 1.1

static LbHistogram queue_time
    = LB_HISTOGRAM_INIT ("lentilspindle_queue_seconds",
                         "Time from a request's admission to its first attempt");
static LbHistogram request_time
    = LB_HISTOGRAM_INIT ("lentilspindle_request_seconds",
                         "Time from a caller's request to its answer or error");
static LbMetric attempts_sent
    = LB_COUNTER_INIT ("lentilspindle_attempts_total",
                       NULL,
                       "Attempts at endpoints, including retries and hedges");

LnCall *
ln_calls_find (LnCalls *calls, LcRequestId id)
{
  LnCall *call = NULL;

  HASH_FIND (hh, calls->by_id, &id, sizeof id, call);
  return call;
}

static void
add_active_call (LnCalls *calls, LnCall *call)
{
  HASH_ADD (hh, calls->by_id, spec.id, sizeof call->spec.id, call);
  lb_list_append (&calls->active_calls, &call->link);
}

static void
remove_and_free_active_call (LnCalls *calls, LnCall *call)
{
  HASH_DELETE (hh, calls->by_id, call);
  lb_list_remove (&calls->active_calls, &call->link);
  ln_call_free (call);
}

void
ln_calls_on_dispatch_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnCalls *calls = user;
  LbList actions;

  lb_list_init (&actions);
  lc_dispatch_tick (calls->dispatch, lb_clock_monotonic (), &actions);
  ln_calls_perform_actions (calls, &actions);
}

static void
schedule_dispatch_timer (LnCalls *calls)
{
  LbTime next = lc_dispatch_next_tick (calls->dispatch);
  LbTime wait = next - lb_clock_monotonic ();

  if (next == LB_TIME_NEVER)
    {
      evtimer_del (calls->dispatch_timer);
      return;
    }
  if (wait < 0)
    wait = 0;
  const struct timeval tv = lb_time_to_timeval (wait);
  evtimer_add (calls->dispatch_timer, &tv);
}

/* Adds the endpoint's lasting time per token or request and its present slowdown, if known. */
static void
add_candidate_condition (struct json_object *candidate, const LcEndpoint *endpoint, LbTime now)
{
  double lasting = lc_endpoint_lasting_token_seconds (endpoint);
  double slowdown = lc_endpoint_present_slowdown (endpoint, now);

  if (lasting > 0)
    json_object_object_add (candidate, "lasting_us",
                            json_object_new_int64 ((int64_t)(lasting * LB_SEC)));
  if (slowdown > MIN_LOGGED_SLOWDOWN)
    json_object_object_add (candidate, "slowdown", json_object_new_double (slowdown));
}

static void
log_route_decision (const LnCalls *calls, const LnCall *call, const LcAction *action)
{
  const LcRouteDecision *decision = &action->decision;
  LbTime now = lb_clock_monotonic ();
  LbTime list_age = calls->list_requested_at > 0 ? now - calls->list_requested_at : 0;
  struct json_object *candidates;

  if (!lb_log_is_enabled (LB_LOG_INFO))
    return;
  candidates = json_object_new_array ();
  for (size_t i = 0; i < decision->n_shown; i++)
    {
      struct json_object *candidate = json_object_new_object ();
      json_object_object_add (candidate, "endpoint",
                              json_object_new_string (decision->shown[i].endpoint->member.name));
      json_object_object_add (candidate, "score",
                              json_object_new_double (decision->shown[i].score));
      add_candidate_condition (candidate, decision->shown[i].endpoint, now);
      json_object_array_add (candidates, candidate);
    }
  lb_log (LB_LOG_INFO, "route", LB_INT ("request", action->request),
          LB_TEXT ("id", call->outgoing.id), LB_TEXT ("caller", call->spec.caller),
          LB_TEXT ("organisation", call->organisation), LB_INT ("attempt", action->attempt),
          LB_INT ("resume_at", action->resume_at), LB_INT ("waited_us", now - call->submitted_at),
          LB_TEXT ("lister", calls->list_requested_by), LB_INT ("list_age_ms", list_age / LB_MSEC),
          LB_TEXT ("endpoint", action->endpoint), LB_TEXT ("reason", decision->reason),
          LB_INT ("expected_tokens", call->spec.expected_tokens),
          LB_INT ("awaited_faster_us", decision->waited_for_faster),
          LB_INT ("of", decision->n_candidates),
          LB_JSON ("candidates",
                   json_object_to_json_string_ext (candidates, JSON_C_TO_STRING_PLAIN)));
  json_object_put (candidates);
}

static void
clear_sample_done_message (LnMessage *message)
{
  free (((LnSampleDoneMessage *)message)->text);
}

static void
post_sample_done_message (LnCalls *calls, LnSampleDoneMessage *message)
{
  message->base.clear = clear_sample_done_message;
  LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), *message);
}

/* Posts the end of a sample or score to the rollouts task. Takes ownership of text. */
void
ln_calls_post_sample_done (LnCalls *calls, LcRequestId request, LbErrorCode error, char *text)
{
  LnSampleDoneMessage message
      = { .base = LN_MESSAGE (LN_SAMPLE_DONE), .request = request, .error = error };

  message.text = text;
  post_sample_done_message (calls, &message);
}

static void
start_attempt_or_record_failure (LnCalls *calls, const LcAction *action, LbList *actions)
{
  LnCall *call = ln_calls_find (calls, action->request);
  LnAttempt *attempt = NULL;
  LbError error = { 0 };

  if (!call)
    return;
  log_route_decision (calls, call, action);
  call->was_sent = true;
  if (action->attempt == 1)
    lb_histogram_add (&queue_time, lb_clock_monotonic () - call->submitted_at);
  lb_metric_add (&attempts_sent, 1);
  attempt = ln_attempt_new (call);
  attempt->sent_at = lb_clock_monotonic ();
  attempt->upstream = ln_calls_start_attempt (calls, attempt, action, &error);
  if (attempt->upstream)
    return;
  ln_attempt_free (attempt);
  lb_log_error (LB_LOG_WARNING, "attempt_not_started", &error);
  /* No endpoint can be sent a request that is refused as malformed. */
  lc_dispatch_record_attempt_end (calls->dispatch, action->request, action->attempt,
                                  error.code == LB_ERROR_BAD_VALUE ? LC_END_REJECTED
                                                                   : LC_END_NOT_SENT,
                                  lb_clock_monotonic (), actions);
}

static void
cancel_attempt (LnCalls *calls, const LcAction *action)
{
  LnCall *call = ln_calls_find (calls, action->request);
  LnAttempt *attempt = call ? ln_call_find_attempt (call, action->attempt) : NULL;

  if (!attempt)
    return;
  ln_calls_count_call_in_usage (calls, attempt);
  ln_upstream_cancel (attempt->upstream);
  ln_attempt_free (attempt);
}

static char *
copy_buffer_text (struct evbuffer *buffer)
{
  size_t length = evbuffer_get_length (buffer);
  char *text = lb_malloc (length + 1);

  evbuffer_copyout (buffer, text, length);
  text[length] = '\0';
  return text;
}

static void
finish_sample_or_score (LnCalls *calls, LnCall *call, LbErrorCode code)
{
  LnAttempt *winner = call->ended_attempt;
  struct evbuffer *text = call->sent_text;
  size_t length;

  if (call->kind == LN_CALL_SCORE && calls->context->dialect)
    {
      const char *score = code == LB_OK ? ln_upstream_read_score (winner->upstream) : NULL;
      if (code == LB_OK && !score)
        code = LB_ERROR_ENDPOINT_FAILED;
      ln_calls_post_sample_done (calls, call->spec.id, code, lb_strdup (score ? score : ""));
      return;
    }
  if (call->kind == LN_CALL_SCORE)
    {
      const char *body
          = code == LB_OK ? ln_upstream_get_reply_body (winner->upstream, &length) : "";
      ln_calls_post_sample_done (calls, call->spec.id, code,
                                 lb_strndup (body, code == LB_OK ? length : 0));
      return;
    }
  if (call->spec.delivery == LC_DELIVER_BUFFERED && code == LB_OK)
    {
      text = winner->text;
      for (size_t i = 0; i < winner->n_pieces; i++)
        ln_calls_post_sample_piece (calls, call, &winner->pieces[i],
                                    ln_upstream_get_endpoint_name (winner->upstream), "");
    }
  ln_calls_post_sample_done (calls, call->spec.id, code, copy_buffer_text (text));
}

static void
store_result_for_ticket (LnCalls *calls, LnCall *call, LbErrorCode code, LbTime retry_after)
{
  LnAnswer answer = { 0 };

  if (code == LB_OK)
    ln_call_copy_answer (call, call->ended_attempt, &answer);
  ln_ticket_calls_finish_request (calls->tickets, call->spec.id, code, retry_after,
                                  code == LB_OK ? &answer : NULL);
  ln_answer_clear (&answer);
}

static void
log_failed_call (const LnCall *call, LbErrorCode code, LbTime retry_after)
{
  char content[LC_FINGERPRINT_TEXT_SIZE];

  lc_fingerprint_to_text (call->spec.content, content);
  lb_log (LB_LOG_INFO, "request_given_up", LB_INT ("request", call->spec.id),
          LB_TEXT ("id", call->outgoing.id), LB_TEXT ("pool", call->spec.pool),
          LB_TEXT ("content", content), LB_TEXT ("caller", call->spec.caller),
          LB_TEXT ("error", lb_error_name (code)), LB_INT ("retry_after_us", retry_after),
          LB_INT ("after_us", lb_clock_monotonic () - call->submitted_at));
}

static void
finish_call (LnCalls *calls, const LcAction *action)
{
  LnCall *call = ln_calls_find (calls, action->request);
  LbErrorCode code = action->error;

  if (!call)
    return;
  /* A successful call takes its answer from the attempt whose end caused the FINISH action. */
  if (code == LB_OK && !call->ended_attempt)
    code = LB_ERROR_INTERNAL;
  if (call->exchange)
    lb_histogram_add (&request_time, lb_clock_monotonic () - call->submitted_at);
  if (code != LB_OK)
    log_failed_call (call, code, action->retry_after);
  if (call->kind == LN_CALL_SAMPLE || call->kind == LN_CALL_SCORE)
    finish_sample_or_score (calls, call, code);
  else
    {
      if (call->has_ticket)
        store_result_for_ticket (calls, call, code, action->retry_after);
      if (code == LB_OK)
        ln_call_reply (call, call->ended_attempt);
      else
        ln_call_reply_error (call, code, action->retry_after);
    }
  remove_and_free_active_call (calls, call);
}

void
ln_calls_perform_actions (LnCalls *calls, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcAction *action = LB_CONTAINER (link, LcAction, link);
      switch (action->type)
        {
        case LC_ACTION_SEND:
          start_attempt_or_record_failure (calls, action, actions);
          break;
        case LC_ACTION_CANCEL:
          cancel_attempt (calls, action);
          break;
        case LC_ACTION_FINISH:
          finish_call (calls, action);
          break;
        }
      lc_action_free (action);
    }
  schedule_dispatch_timer (calls);
}

void
ln_calls_submit (LnCalls *calls, LnCall *call)
{
  LbError error = { 0 };
  LbTime retry_after = 0;
  LbList actions;

  lb_list_init (&actions);
  call->owner = calls;
  call->is_submitted = true;
  call->submitted_at = lb_clock_monotonic ();
  call->spec.content = ln_call_compute_fingerprint (call);
  call->spec.external_id = call->outgoing.id;
  add_active_call (calls, call);
  if (ln_call_check_request (call, &error)
      && lc_dispatch_submit (calls->dispatch, &call->spec, lb_clock_monotonic (), &actions,
                             &retry_after, &error))
    {
      ln_calls_perform_actions (calls, &actions);
      return;
    }
  log_failed_call (call, error.code, retry_after);
  if (call->has_ticket)
    ln_ticket_calls_finish_request (calls->tickets, call->spec.id, error.code, retry_after, NULL);
  if (call->exchange)
    {
      ln_calls_set_other_instance_headers (calls, call->exchange, error.code);
      ln_exchange_reply_error (call->exchange, &error, retry_after);
    }
  else if (!call->has_ticket)
    ln_calls_post_sample_done (calls, call->spec.id, error.code, NULL);
  remove_and_free_active_call (calls, call);
  ln_calls_perform_actions (calls, &actions);
}

void
ln_calls_cancel (LnCalls *calls, LnCall *call)
{
  LbList actions;

  lb_list_init (&actions);
  lc_dispatch_cancel (calls->dispatch, call->spec.id, lb_clock_monotonic (), &actions);
  remove_and_free_active_call (calls, call);
  ln_calls_perform_actions (calls, &actions);
}

void
ln_calls_cancel_returning_text (LnCalls *calls, LnCall *call, const LcMoveDecision *move)
{
  LnSampleDoneMessage message = { .base = LN_MESSAGE (LN_SAMPLE_DONE),
                                  .request = call->spec.id,
                                  .error = LB_ERROR_CLOSED,
                                  .text = copy_buffer_text (call->sent_text),
                                  .has_move = move != NULL };

  if (move)
    message.move = *move;
  post_sample_done_message (calls, &message);
  ln_calls_cancel (calls, call);
}

void
ln_calls_move_or_refuse (LnCalls *calls, LnCall *call, const LcMoveProposal *proposal)
{
  LcMoveDecision move
      = lc_dispatch_decide_move (calls->dispatch, call->spec.id, proposal, lb_clock_monotonic ());
  LnSampleMoveRefusedMessage refusal = { .base = LN_MESSAGE (LN_SAMPLE_MOVE_REFUSED),
                                         .request = call->spec.id,
                                         .reason = move.reason };

  if (lc_move_is_reason_to_move (move.reason))
    ln_calls_cancel_returning_text (calls, call, &move);
  else
    LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), refusal);
}
