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

static LbHistogram queue_time
    = LB_HISTOGRAM_INIT ("lentilspindle_queue_seconds",
                         "From a request's admission to its first attempt");
static LbHistogram request_time
    = LB_HISTOGRAM_INIT ("lentilspindle_request_seconds",
                         "From a caller's request to its answer, whatever it was");
static LbMetric sent = LB_COUNTER_INIT ("lentilspindle_attempts_total",
                                        NULL,
                                        "Attempts at endpoints, retries and hedges included");

LnCall *
ln_calls_find (LnCalls *calls, LcRequestId id)
{
  LnCall *call = NULL;

  HASH_FIND (hh, calls->by_id, &id, sizeof id, call);
  return call;
}

static void
keep_call (LnCalls *calls, LnCall *call)
{
  HASH_ADD (hh, calls->by_id, spec.id, sizeof call->spec.id, call);
  lb_list_append (&calls->all, &call->link);
}

static void
drop_call (LnCalls *calls, LnCall *call)
{
  HASH_DELETE (hh, calls->by_id, call);
  lb_list_remove (&calls->all, &call->link);
  ln_call_free (call);
}

void
ln_calls_on_tick (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnCalls *calls = user;
  LbList actions;

  lb_list_init (&actions);
  lc_dispatch_tick (calls->dispatch, lb_clock_monotonic (), &actions);
  ln_calls_run (calls, &actions);
}

static void
schedule_tick (LnCalls *calls)
{
  LbTime next = lc_dispatch_next_tick (calls->dispatch);
  LbTime wait = next - lb_clock_monotonic ();

  if (next == LB_TIME_NEVER)
    {
      evtimer_del (calls->tick);
      return;
    }
  if (wait < 0)
    wait = 0;
  const struct timeval tv = lb_time_to_timeval (wait);
  evtimer_add (calls->tick, &tv);
}

static void
log_decision (const LnCalls *calls, const LnCall *call, const LcAction *action)
{
  const LcRouteDecision *decision = &action->decision;
  LbTime now = lb_clock_monotonic ();
  LbTime list_age = calls->list_asked_at > 0 ? now - calls->list_asked_at : 0;
  struct json_object *shown;

  if (!lb_log_enabled (LB_LOG_INFO))
    return;
  shown = json_object_new_array ();
  for (size_t i = 0; i < decision->n_shown; i++)
    {
      struct json_object *candidate = json_object_new_object ();
      json_object_object_add (candidate, "endpoint",
                              json_object_new_string (decision->shown[i].endpoint->member.name));
      json_object_object_add (candidate, "score",
                              json_object_new_double (decision->shown[i].score));
      json_object_array_add (shown, candidate);
    }
  lb_log (LB_LOG_INFO, "route", LB_INT ("request", action->request),
          LB_TEXT ("id", call->outgoing.id), LB_TEXT ("caller", call->spec.caller),
          LB_TEXT ("organisation", call->organisation), LB_INT ("attempt", action->attempt),
          LB_INT ("resume_at", action->resume_at), LB_INT ("waited_us", now - call->submitted_at),
          LB_TEXT ("lister", calls->lister), LB_INT ("list_age_ms", list_age / LB_MSEC),
          LB_TEXT ("endpoint", action->endpoint), LB_TEXT ("reason", decision->reason),
          LB_INT ("of", decision->n_candidates),
          LB_JSON ("candidates", json_object_to_json_string_ext (shown, JSON_C_TO_STRING_PLAIN)));
  json_object_put (shown);
}

static void
clear_sample_done (LnMessage *message)
{
  free (((LnSampleDoneMessage *)message)->text);
}

/* Takes the text over. */
void
ln_calls_post_done (LnCalls *calls, LcRequestId request, LbErrorCode error, char *text)
{
  LnSampleDoneMessage message
      = { .base = LN_MESSAGE (LN_SAMPLE_DONE), .request = request, .error = error };

  message.text = text;
  message.base.clear = clear_sample_done;
  LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), message);
}

static void
send_attempt (LnCalls *calls, const LcAction *action, LbList *actions)
{
  LnCall *call = ln_calls_find (calls, action->request);
  LnAttempt *attempt = NULL;
  LbError error = { 0 };

  if (!call)
    return;
  log_decision (calls, call, action);
  call->was_sent = true;
  if (action->attempt == 1)
    lb_histogram_add (&queue_time, lb_clock_monotonic () - call->submitted_at);
  lb_metric_add (&sent, 1);
  attempt = ln_attempt_new (call);
  attempt->sent_at = lb_clock_monotonic ();
  attempt->upstream = ln_calls_start_attempt (calls, attempt, action, &error);
  if (attempt->upstream)
    return;
  ln_attempt_free (attempt);
  lb_log_error (LB_LOG_WARNING, "attempt_not_started", &error);
  lc_dispatch_record_attempt_end (calls->dispatch, action->request, action->attempt,
                                  LC_END_NOT_SENT, lb_clock_monotonic (), actions);
}

static void
cancel_attempt (LnCalls *calls, const LcAction *action)
{
  LnCall *call = ln_calls_find (calls, action->request);
  LnAttempt *attempt = call ? ln_call_find_attempt (call, action->attempt) : NULL;

  if (!attempt)
    return;
  ln_calls_count_began (calls, attempt);
  ln_upstream_cancel (attempt->upstream);
  ln_attempt_free (attempt);
}

static char *
copy_text (struct evbuffer *buffer)
{
  size_t length = evbuffer_get_length (buffer);
  char *text = lb_malloc (length + 1);

  evbuffer_copyout (buffer, text, length);
  text[length] = '\0';
  return text;
}

static void
finish_sample (LnCalls *calls, LnCall *call, LbErrorCode code)
{
  LnAttempt *winner = call->ended;
  struct evbuffer *text = call->text;
  size_t length;

  if (call->kind == LN_CALL_SCORE && calls->context->dialect)
    {
      const char *score = code == LB_OK ? ln_upstream_score (winner->upstream) : NULL;
      if (code == LB_OK && !score)
        code = LB_ERROR_ENDPOINT_FAILED;
      ln_calls_post_done (calls, call->spec.id, code, lb_strdup (score ? score : ""));
      return;
    }
  if (call->kind == LN_CALL_SCORE)
    {
      const char *body = code == LB_OK ? ln_upstream_body (winner->upstream, &length) : "";
      ln_calls_post_done (calls, call->spec.id, code,
                          lb_strndup (body, code == LB_OK ? length : 0));
      return;
    }
  if (call->spec.delivery == LC_DELIVER_BUFFERED && code == LB_OK)
    {
      text = winner->text;
      for (size_t i = 0; i < winner->n_pieces; i++)
        ln_calls_post_piece (calls, call, &winner->pieces[i],
                             ln_upstream_endpoint (winner->upstream), "");
    }
  ln_calls_post_done (calls, call->spec.id, code, copy_text (text));
}

static void
finish_ticket (LnCalls *calls, LnCall *call, LbErrorCode code, LbTime retry_after)
{
  LnAnswer answer = { 0 };

  if (code == LB_OK)
    ln_call_whole_answer (call, call->ended, &answer);
  ln_ticket_calls_finish (calls->tickets, call->spec.id, code, retry_after,
                          code == LB_OK ? &answer : NULL);
  ln_answer_clear (&answer);
}

/* The last word on a request that got no answer. */
static void
log_given_up (const LnCall *call, LbErrorCode code, LbTime retry_after)
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
  /* A whole answer is taken from the attempt whose end brought this action. */
  if (code == LB_OK && !call->ended)
    code = LB_ERROR_INTERNAL;
  if (call->exchange)
    lb_histogram_add (&request_time, lb_clock_monotonic () - call->submitted_at);
  if (code != LB_OK)
    log_given_up (call, code, action->retry_after);
  if (call->kind == LN_CALL_SAMPLE || call->kind == LN_CALL_SCORE)
    finish_sample (calls, call, code);
  else
    {
      if (call->ticketed)
        finish_ticket (calls, call, code, action->retry_after);
      if (code == LB_OK)
        ln_call_reply (call, call->ended);
      else
        ln_call_reply_error (call, code, action->retry_after);
    }
  drop_call (calls, call);
}

void
ln_calls_run (LnCalls *calls, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcAction *action = LB_CONTAINER (link, LcAction, link);
      switch (action->type)
        {
        case LC_ACTION_SEND:
          send_attempt (calls, action, actions);
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
  schedule_tick (calls);
}

void
ln_calls_submit (LnCalls *calls, LnCall *call)
{
  LbError error = { 0 };
  LbTime retry_after = 0;
  LbList actions;

  lb_list_init (&actions);
  call->owner = calls;
  call->submitted = true;
  call->submitted_at = lb_clock_monotonic ();
  call->spec.content = ln_call_content (call);
  keep_call (calls, call);
  if (lc_dispatch_submit (calls->dispatch, &call->spec, lb_clock_monotonic (), &actions,
                          &retry_after, &error))
    {
      ln_calls_run (calls, &actions);
      return;
    }
  log_given_up (call, error.code, retry_after);
  if (call->ticketed)
    ln_ticket_calls_finish (calls->tickets, call->spec.id, error.code, retry_after, NULL);
  if (call->exchange)
    {
      ln_calls_add_hints (calls, call->exchange, error.code);
      ln_exchange_reply_error (call->exchange, &error, retry_after);
    }
  else if (!call->ticketed)
    ln_calls_post_done (calls, call->spec.id, error.code, NULL);
  drop_call (calls, call);
  ln_calls_run (calls, &actions);
}

void
ln_calls_cancel (LnCalls *calls, LnCall *call)
{
  LbList actions;

  lb_list_init (&actions);
  lc_dispatch_cancel (calls->dispatch, call->spec.id, lb_clock_monotonic (), &actions);
  drop_call (calls, call);
  ln_calls_run (calls, &actions);
}

void
ln_calls_recall (LnCalls *calls, LnCall *call)
{
  ln_calls_post_done (calls, call->spec.id, LB_ERROR_CLOSED, copy_text (call->text));
  ln_calls_cancel (calls, call);
}
