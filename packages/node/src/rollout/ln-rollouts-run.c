#include "ln-rollouts-private.h"

#include "ln-call-reader.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"
#include "lb-time.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define DRAIN_TICK_INTERVAL (50 * LB_MSEC)

typedef struct
{
  LnRollouts *rollouts;
  uint64_t write_id;
} LedgerWrite;

static void
clear_sample_message (LnMessage *message)
{
  LnSampleMessage *sample = (LnSampleMessage *)message;

  free (sample->body);
  free (sample->resume_text);
}

static const char *
find_model_name_of_pool (const LnRollouts *rollouts, const char *pool)
{
  const LcPool *resource
      = rollouts->resources ? lc_resource_set_find_pool (rollouts->resources, pool) : NULL;

  return resource && resource->model[0] ? resource->model : pool;
}

static char *
build_generation_body (const LnRollouts *rollouts, const LcRolloutAction *action)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "model",
                          json_object_new_string (
                              find_model_name_of_pool (rollouts, action->spec.pool)));
  json_object_object_add (object, "prompt", json_object_new_string (action->prompt));
  json_object_object_add (object, "max_tokens", json_object_new_int64 (action->max_tokens));
  json_object_object_add (object, "stream", json_object_new_boolean (true));
  return lb_json_serialize_and_release (object, JSON_C_TO_STRING_PLAIN);
}

static char *
build_scoring_body (const LcRolloutAction *action)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "prompt", json_object_new_string (action->prompt));
  json_object_object_add (object, "text", json_object_new_string (action->text));
  return lb_json_serialize_and_release (object, JSON_C_TO_STRING_PLAIN);
}

static void
post_sample_request (LnRollouts *rollouts, LcRolloutAction *action)
{
  LnSampleMessage message = { .base = LN_MESSAGE (LN_SAMPLE), .spec = action->spec };

  message.base.clear = clear_sample_message;
  /* Lets the router prefer an endpoint that has the prompt cached: the samples of a group share
   * their prompt. */
  if (action->type == LC_ROLLOUT_GENERATE)
    ln_call_hash_prompt (&message.spec, action->prompt, strlen (action->prompt));
  message.body = action->type == LC_ROLLOUT_SCORE ? build_scoring_body (action)
                                                  : build_generation_body (rollouts, action);
  message.resume_text = action->resume_text;
  action->resume_text = NULL;
  LN_POST (rollouts->task.hub, ln_hub_find_task (rollouts->task.hub, "calls"), message);
}

static void
post_sample_cancel (LnRollouts *rollouts, const LcRolloutAction *action)
{
  LnSampleCancelMessage message = { .base = LN_MESSAGE (LN_SAMPLE_CANCEL),
                                    .request = action->spec.id,
                                    .return_partial = action->type == LC_ROLLOUT_PREEMPT };

  LN_POST (rollouts->task.hub, ln_hub_find_task (rollouts->task.hub, "calls"), message);
}

static void
on_ledger_written (LbErrorCode error, void *user)
{
  LedgerWrite *write = user;
  LnRollouts *rollouts = write->rollouts;
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_finish_ledger_write (rollouts->core, write->write_id, error, lb_clock_monotonic (),
                                   &actions);
  free (write);
  ln_rollouts_execute_actions (rollouts, &actions);
  ln_rollouts_remove_closed_steps (rollouts);
}

static LnTrackedStep *
find_step_of_ledger_row (LnRollouts *rollouts, const LcRolloutAction *action)
{
  LB_LIST_FOREACH (&rollouts->steps, LnTrackedStep, link, step)
  {
    char *key = lb_asprintf ("ledger/%s/%lld", step->key.subscription, (long long)step->key.step);
    bool is_match = strcmp (key, action->row_key) == 0;
    free (key);
    if (is_match && step->is_open && step->is_durable)
      return step;
  }
  return NULL;
}

static void
write_step_ledger (LnRollouts *rollouts, const LcRolloutAction *action, LbList *actions)
{
  LnTrackedStep *step = find_step_of_ledger_row (rollouts, action);

  if (!step)
    {
      lc_rollouts_finish_ledger_write (rollouts->core, action->write_id, LB_ERROR_STORE_AWAY,
                                       lb_clock_monotonic (), actions);
      return;
    }
  LedgerWrite *write = LB_NEW (LedgerWrite);
  *write = (LedgerWrite){ .rollouts = rollouts, .write_id = action->write_id };
  ln_step_store_write_ledger (rollouts->store, &step->key, &step->owner, action->row_value,
                              on_ledger_written, write);
}

/* Routes a trainer's call again after another instance has claimed the step. */
static void
reroute_step_call (LnRollouts *rollouts, LnStepCall *call)
{
  lb_list_remove (&rollouts->calls, &call->link);
  ln_rollouts_remove_closed_steps (rollouts);
  ln_rollouts_route_call (rollouts, call);
}

static void
reply_to_pull (LnRollouts *rollouts, const LcRolloutAction *action)
{
  LnStepCall *call = ln_rollouts_find_call_by_id (&rollouts->calls, action->pull_id);

  if (!call)
    return;
  if (action->error.code == LB_ERROR_STALE_SESSION && call->exchange)
    {
      reroute_step_call (rollouts, call);
      return;
    }
  if (action->error.code == LB_OK)
    ln_step_call_reply_samples (call, action);
  else
    ln_step_call_reply_error (call, &action->error, action->retry_after);
  ln_rollouts_end_call (rollouts, call);
}

static void
execute_rollout_action (LnRollouts *rollouts, LcRolloutAction *action, LbList *actions)
{
  switch (action->type)
    {
    case LC_ROLLOUT_GENERATE:
    case LC_ROLLOUT_SCORE:
      post_sample_request (rollouts, action);
      break;
    case LC_ROLLOUT_CANCEL:
    case LC_ROLLOUT_PREEMPT:
      post_sample_cancel (rollouts, action);
      break;
    case LC_ROLLOUT_WRITE_LEDGER:
      write_step_ledger (rollouts, action, actions);
      break;
    case LC_ROLLOUT_REPLY:
      reply_to_pull (rollouts, action);
      break;
    }
}

static void
schedule_next_rollouts_tick (LnRollouts *rollouts)
{
  LbTime next = lc_rollouts_next_tick_at (rollouts->core);

  if (rollouts->is_draining && !lb_list_is_empty (&rollouts->steps))
    next = lb_clock_monotonic () + DRAIN_TICK_INTERVAL;
  if (next == LB_TIME_NEVER)
    {
      evtimer_del (rollouts->timer);
      return;
    }
  LbTime wait = next - lb_clock_monotonic ();
  if (wait < LB_MSEC)
    wait = LB_MSEC;
  const struct timeval tv = lb_time_to_timeval (wait);
  evtimer_add (rollouts->timer, &tv);
}

void
ln_rollouts_execute_actions (LnRollouts *rollouts, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcRolloutAction *action = LB_CONTAINER (link, LcRolloutAction, link);
      execute_rollout_action (rollouts, action, actions);
      lc_rollout_action_free (action);
    }
  schedule_next_rollouts_tick (rollouts);
}
