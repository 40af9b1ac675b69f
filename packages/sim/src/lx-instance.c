#include "lx-instance.h"

#include "lx-instance-config.h"
#include "lx-world.h"

#include "lb-alloc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time from a store request to its reply. */
#define STORE_ROUND_TRIP_TIME (5 * LB_MSEC)
#define STORE_TIMEOUT LB_SEC
/* Instances may send new work to a leaving endpoint for at most this time after the leave began. */
#define MAX_LEAVE_DETECTION_TIME (3 * LB_SEC)
#define DRAIN_CHECK_INTERVAL (200 * LB_MSEC)
#define DRAIN_TIMEOUT (150 * LB_SEC)
#define ENDPOINT_POLL_INTERVAL (500 * LB_MSEC)
/* Instance i polls the endpoints for the first time i times this delay after its start, so that the
 * instances poll at different times. */
#define FIRST_POLL_OFFSET_MS 37
/* Of this many writes that get no reply, one is lost on the way to the store; the store applies the
 * others, and only the reply is lost. */
#define LOST_WRITES_PER_LOST_REQUEST 3
#define DEFAULT_PROMPT_TOKENS 512
#define N_PROMPT_BLOCKS 4
/* Parameters of the FNV-1a hash. */
#define FNV_OFFSET_BASIS 14695981039346656037u
#define FNV_PRIME 1099511628211u

/* A message to one process, that is one incarnation, of an instance. */
typedef struct
{
  LxInstance *instance;
  uint32_t incarnation;
  LxInstanceHandler handler;
  void *argument;
  void (*free_argument) (void *argument);
} PostedMessage;

/* An attempt in transit to an endpoint. */
typedef struct
{
  LxInstance *instance;
  LxEngine *engine;
  LxStreamSpec stream;
} AttemptInTransit;

/* The close of a stream's connection, in transit to an endpoint. */
typedef struct
{
  LxEngine *engine;
  uint64_t stream;
} CloseInTransit;

static void execute_pending_actions (LxInstance *instance);

static void
on_instance_restart_due (void *owner, void *argument)
{
  LxInstance *instance = owner;

  (void)argument;
  if (!instance->alive)
    lx_instance_start (instance);
}

static LbTime
get_simulation_time (const LxInstance *instance)
{
  return lx_world_now (instance->world);
}

static void
free_request (LxInstance *instance, LxRequest *request)
{
  HASH_DEL (instance->requests, request);
  for (size_t i = 0; i < request->n_attempts; i++)
    lx_text_clear (&request->attempts[i].text);
  free (request->attempts);
  lx_text_clear (&request->text);
  free (request);
}

static void
free_posted_message (void *argument)
{
  PostedMessage *posted = argument;

  if (posted->free_argument)
    posted->free_argument (posted->argument);
  free (posted);
}

static void
on_posted_message_due (void *owner, void *argument)
{
  LxInstance *instance = owner;
  PostedMessage *posted = argument;
  bool is_lost = !instance->alive || posted->incarnation != instance->incarnation;

  if (!is_lost && instance->paused_until > lx_world_now (instance->world))
    {
      lx_queue_add_event (instance->world->queue, instance->paused_until, on_posted_message_due,
                          instance, posted, free_posted_message);
      return;
    }
  if (!is_lost)
    posted->handler (instance, posted->argument);
  free_posted_message (posted);
}

void
lx_instance_post_message (LxInstance *instance,
                          LbTime delay,
                          LxInstanceHandler handler,
                          void *argument,
                          void (*free_argument) (void *argument))
{
  PostedMessage *posted = LB_NEW (PostedMessage);

  *posted = (PostedMessage){ .instance = instance,
                             .incarnation = instance->incarnation,
                             .handler = handler,
                             .argument = argument,
                             .free_argument = free_argument };
  lx_world_schedule (instance->world, delay, on_posted_message_due, instance, posted,
                     free_posted_message);
}

void
lx_instance_init (LxInstance *instance, LxWorld *world, size_t index)
{
  memset (instance, 0, sizeof *instance);
  instance->world = world;
  instance->index = index;
  instance->data_centre = index % world->options.site->n_data_centres;
  snprintf (instance->name, sizeof instance->name, "i%zu", index + 1);
  instance->cache_cursors = LB_NEW_ARRAY (uint64_t, world->n_endpoints);
  lb_list_init (&instance->dispatch_actions);
  lb_list_init (&instance->rollout_actions);
  lb_list_init (&instance->config_actions);
}

static void
free_pending_actions (LxInstance *instance)
{
  while (!lb_list_is_empty (&instance->dispatch_actions))
    lc_action_free (LB_CONTAINER (lb_list_pop (&instance->dispatch_actions), LcAction, link));
  while (!lb_list_is_empty (&instance->rollout_actions))
    lc_rollout_action_free (
        LB_CONTAINER (lb_list_pop (&instance->rollout_actions), LcRolloutAction, link));
}

/* Reports a violation if core has counted further failed invariants since the last check. */
static void
report_new_invariant_failures (LxInstance *instance)
{
  LxWorld *world = instance->world;
  int64_t failures = lc_rollouts_count_invariant_failures (instance->rollouts)
                     + (int64_t)lc_dispatch_count_invariant_failures (instance->dispatch);

  if (failures > instance->invariant_failures)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_CORE_INVARIANT, lx_world_now (world),
                               lx_world_get_event_number (world),
                               "%s: %" PRId64 " failed invariants", instance->name, failures);
  instance->invariant_failures = failures;
}

static void
stop_instance_process (LxInstance *instance)
{
  LxRequest *request, *next;

  report_new_invariant_failures (instance);
  free_pending_actions (instance);
  lx_instance_stop_config (instance);
  HASH_ITER (hh, instance->requests, request, next)
  {
    free_request (instance, request);
  }
  lc_rollouts_free (instance->rollouts);
  lc_dispatch_free (instance->dispatch);
  instance->rollouts = NULL;
  instance->dispatch = NULL;
  instance->alive = false;
}

void
lx_instance_clear (LxInstance *instance)
{
  if (instance->alive)
    stop_instance_process (instance);
  free (instance->cache_cursors);
}

static LcRequestId
next_request_id (void *user)
{
  LxInstance *instance = user;

  return ++instance->last_request;
}

static void poll_endpoints (LxInstance *instance);
static void on_endpoint_poll_due (LxInstance *instance, void *argument);

/* Starts a new process of the instance, with empty state. */
void
lx_instance_start (LxInstance *instance)
{
  const LxOptions *options = &instance->world->options;
  LcRolloutSettings rollouts = options->rollouts;
  LcDispatchSettings dispatch = { .queue_limit = 4096,
                                  .default_deadline = LB_TIME_NEVER,
                                  .retry_budget = 0.2,
                                  .hedge_after = options->hedge_after,
                                  .seed = options->seed * 1000 + instance->index };

  instance->incarnation++;
  instance->alive = true;
  instance->draining = false;
  instance->started_at = get_simulation_time (instance);
  instance->paused_until = 0;
  instance->invariant_failures = 0;
  instance->is_configured = false;
  instance->next_tick_at = LB_TIME_NEVER;
  LB_COPY (dispatch.data_centre, options->site->data_centres[instance->data_centre]);
  LB_COPY (dispatch.policy, options->policy);
  LB_COPY (rollouts.instance, instance->name);
  rollouts.seed = dispatch.seed;
  instance->dispatch = lc_dispatch_new (&dispatch);
  instance->rollouts = lc_rollouts_new (&rollouts);
  lc_rollouts_set_request_id_source (instance->rollouts, next_request_id, instance);
  memset (instance->cache_cursors, 0, instance->world->n_endpoints * sizeof (uint64_t));
  lx_instance_start_config (instance);
  lx_instance_post_message (instance, (LbTime)instance->index * FIRST_POLL_OFFSET_MS * LB_MSEC,
                            on_endpoint_poll_due, NULL, NULL);
}

static void
on_connection_closed (void *owner, void *argument)
{
  CloseInTransit *closing = argument;

  (void)owner;
  lx_engine_cancel_stream (closing->engine, closing->stream);
  free (closing);
}

/* Closes the connection of an attempt. The endpoint detects the close after the network latency. */
static void
close_attempt_connection (LxInstance *instance, LxAttempt *attempt)
{
  CloseInTransit *closing = LB_NEW (CloseInTransit);

  attempt->is_open = false;
  *closing = (CloseInTransit){ .engine = attempt->engine, .stream = attempt->stream };
  lx_world_schedule (instance->world,
                     lx_world_get_network_latency (instance->world, instance->data_centre,
                                                   attempt->engine->data_centre),
                     on_connection_closed, NULL, closing, free);
}

static void
close_open_attempts (LxInstance *instance, LxRequest *request)
{
  for (size_t i = 0; i < request->n_attempts; i++)
    if (request->attempts[i].is_open)
      close_attempt_connection (instance, &request->attempts[i]);
}

void
lx_instance_kill (LxInstance *instance)
{
  LxRequest *request, *next;

  HASH_ITER (hh, instance->requests, request, next)
  {
    close_open_attempts (instance, request);
    if (request->call)
      lx_callers_schedule_result_arrival (&instance->world->callers, request->call,
                                          LB_ERROR_STREAM_BROKEN);
  }
  for (size_t i = 0; i < instance->world->options.n_trainers; i++)
    if (instance->world->trainers[i].owner == instance->index)
      lx_trainer_abort_pull (&instance->world->trainers[i]);
  stop_instance_process (instance);
}

static LxRequest *
find_request (LxInstance *instance, LcRequestId id)
{
  LxRequest *request;

  HASH_FIND (hh, instance->requests, &id, sizeof id, request);
  return request;
}

static LxAttempt *
find_attempt (LxRequest *request, uint32_t number)
{
  for (size_t i = 0; i < request->n_attempts; i++)
    if (request->attempts[i].number == number)
      return &request->attempts[i];
  return NULL;
}

static void on_piece_or_end_arrived (LxInstance *instance, void *argument);

/* While injected faults are active, makes pieces arrive twice, late or without a version. The last
 * piece and the end are never late, because an answer without an end marker is not reported as
 * complete. */
static void
apply_active_faults_to_piece (LxInstance *instance, LxDelivery *delivery, LbTime *delay)
{
  LxWorld *world = instance->world;
  LbTime now = lx_world_now (world);

  if (delivery->is_end)
    return;
  if (now < world->faults.versions_missing_until && gsl_rng_uniform (world->random) < 0.05)
    delivery->piece.version = 0;
  if (now >= world->faults.garbled_until)
    return;
  double draw = gsl_rng_uniform (world->random);
  if (draw < 0.03)
    lx_instance_post_message (instance, *delay + (LbTime)(draw * LB_SEC), on_piece_or_end_arrived,
                              lb_memdup (delivery, sizeof *delivery), free);
  else if (draw < 0.06 && !delivery->piece.last)
    *delay += (LbTime)(draw * 5 * LB_SEC);
}

static void
schedule_delivery_from_engine (LxInstance *instance,
                               const LxEngine *engine,
                               const LxStreamSpec *stream,
                               const LxDelivery *delivery,
                               LbTime delay)
{
  LxDelivery *copy;
  LbTime latency
      = lx_world_get_network_latency (instance->world, instance->data_centre, engine->data_centre);

  if (stream->instance_incarnation != instance->incarnation || !instance->alive)
    return;
  copy = lb_memdup (delivery, sizeof *delivery);
  copy->request = stream->request;
  copy->attempt = stream->attempt;
  apply_active_faults_to_piece (instance, copy, &delay);
  lx_instance_post_message (instance, latency + delay, on_piece_or_end_arrived, copy, free);
}

void
lx_instance_schedule_piece_arrival (LxInstance *instance,
                                    const LxEngine *engine,
                                    const LxStreamSpec *stream,
                                    const LcPiece *piece)
{
  schedule_delivery_from_engine (instance, engine, stream, &(LxDelivery){ .piece = *piece }, 0);
}

void
lx_instance_schedule_stream_end_arrival (LxInstance *instance,
                                         const LxEngine *engine,
                                         const LxStreamSpec *stream,
                                         LcAttemptEnd end,
                                         LbTime delay)
{
  schedule_delivery_from_engine (instance, engine, stream,
                                 &(LxDelivery){ .is_end = true, .end = end }, delay);
}

static void
record_and_check_job_start (LxWorld *world, const LxStreamSpec *stream)
{
  LxJob *job = lx_audit_get_job (&world->audit, stream->job);

  job->n_starts++;
  if (job->reported_not_run)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_RAN_AFTER_NOT_RUN, lx_world_now (world),
                               lx_world_get_event_number (world),
                               "job %" PRIu64 " was started after it was reported as not run",
                               stream->job);
  if (!job->repeatable && job->n_starts > 1)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_RAN_TWICE, lx_world_now (world),
                               lx_world_get_event_number (world),
                               "job %" PRIu64 " was started %" PRId64 " times", stream->job,
                               job->n_starts);
}

static void
on_attempt_arrived_at_endpoint (void *owner, void *argument)
{
  AttemptInTransit *transit = argument;
  LxInstance *instance = transit->instance;
  LxEngine *engine = transit->engine;

  (void)owner;
  if (transit->stream.instance_incarnation != instance->incarnation || !instance->alive)
    goto out;
  if (!engine->alive)
    {
      lx_instance_schedule_stream_end_arrival (instance, engine, &transit->stream, LC_END_NOT_SENT,
                                               0);
      goto out;
    }
  if (!lx_engine_submit_stream (engine, &transit->stream))
    {
      lx_instance_schedule_stream_end_arrival (instance, engine, &transit->stream,
                                               engine->leaving ? LC_END_REFUSED_LEAVING
                                                               : LC_END_REFUSED,
                                               0);
      goto out;
    }
  record_and_check_job_start (instance->world, &transit->stream);
out:
  free (transit);
}

/* Gives a resumed attempt the first `tokens` tokens that an earlier attempt of the request
 * received. */
static void
copy_text_to_resumed_attempt (LxRequest *request, LxAttempt *attempt, int64_t tokens)
{
  for (size_t i = request->n_attempts; i > 0 && tokens > 0; i--)
    {
      const LxText *text = &request->attempts[i - 1].text;
      if (lx_text_count_tokens (text) < tokens)
        continue;
      lx_text_copy (&attempt->text, text);
      lx_text_truncate (&attempt->text, tokens);
      return;
    }
}

static LxAttempt *
add_attempt (LxInstance *instance, LxRequest *request, const LcAction *action, LxEngine *engine)
{
  LxAttempt attempt = { .number = action->attempt, .engine = engine, .is_open = true };

  attempt.stream
      = lx_audit_add_stream (&instance->world->audit, request->job, get_simulation_time (instance));
  copy_text_to_resumed_attempt (request, &attempt, action->resume_at - request->spec.resume_at);
  request->attempts
      = lb_realloc (request->attempts, (request->n_attempts + 1) * sizeof (LxAttempt));
  request->attempts[request->n_attempts] = attempt;
  return &request->attempts[request->n_attempts++];
}

static void
fill_stream_spec (LxInstance *instance,
                  const LxRequest *request,
                  const LxAttempt *attempt,
                  int64_t offset,
                  LxStreamSpec *stream)
{
  const LcRequestSpec *spec = &request->spec;

  *stream = (LxStreamSpec){ .id = attempt->stream,
                            .instance = instance->index,
                            .instance_incarnation = instance->incarnation,
                            .request = request->id,
                            .attempt = attempt->number,
                            .kind = spec->kind,
                            .priority = spec->priority,
                            .prompt_tokens = spec->prompt_tokens,
                            .n_prefix_hashes = spec->n_prefix_hashes,
                            .offset = offset,
                            .job = request->job };
  stream->total_tokens = lx_audit_get_job (&instance->world->audit, request->job)->total_tokens;
  memcpy (stream->prefix_hashes, spec->prefix_hashes, sizeof stream->prefix_hashes);
}

static void
send_attempt_to_endpoint (LxInstance *instance, const LcAction *action)
{
  LxWorld *world = instance->world;
  LxRequest *request = find_request (instance, action->request);
  LxEngine *engine = lx_world_find_engine (world, action->endpoint);

  world->decisions++;
  lx_world_record_decision (world,
                            "%s sends request %" PRIu64 " attempt %" PRIu32
                            " to %.20s from %" PRId64,
                            instance->name, action->request, action->attempt, action->endpoint,
                            action->resume_at);
  if (!request || !engine)
    return;
  if (engine->leaving && engine->alive)
    engine->sent_while_leaving_at = get_simulation_time (instance);
  if (engine->leaving && engine->alive
      && engine->leaving_since + MAX_LEAVE_DETECTION_TIME < get_simulation_time (instance))
    lx_audit_report_violation (&world->audit, LX_VIOLATION_SENT_TO_LEAVING,
                               get_simulation_time (instance), lx_world_get_event_number (world),
                               "%s was leaving, but received new work from %s", engine->name,
                               instance->name);

  AttemptInTransit *transit = LB_NEW (AttemptInTransit);
  const LxAttempt *attempt = add_attempt (instance, request, action, engine);
  transit->instance = instance;
  transit->engine = engine;
  fill_stream_spec (instance, request, attempt, action->resume_at, &transit->stream);
  lx_world_schedule (world,
                     lx_world_get_network_latency (world, instance->data_centre,
                                                   engine->data_centre),
                     on_attempt_arrived_at_endpoint, NULL, transit, free);
}

/* If the error states that the request was not run, records this in the job, because from now on no
 * endpoint may start the job. Reports a violation if an endpoint has already started the job. */
static void
record_not_run_error_of_job (LxInstance *instance, uint64_t job_number, LbErrorCode error)
{
  LxWorld *world = instance->world;
  LxJob *job = lx_audit_get_job (&world->audit, job_number);

  if (!lb_error_proves_request_not_run (error))
    return;
  job->reported_not_run = true;
  if (job->n_starts > 0)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_RAN_AFTER_NOT_RUN,
                               get_simulation_time (instance), lx_world_get_event_number (world),
                               "job %" PRIu64 " had been started when %s returned %s", job_number,
                               instance->name, lb_error_name (error));
}

static void
finish_and_free_request (LxInstance *instance, const LcAction *action)
{
  LxRequest *request = find_request (instance, action->request);

  if (!request)
    return;
  lx_world_record_decision (instance->world, "%s finishes request %" PRIu64 ": %s", instance->name,
                            action->request, lb_error_name (action->error));
  close_open_attempts (instance, request);
  record_not_run_error_of_job (instance, request->job, action->error);
  if (request->call)
    {
      lx_callers_schedule_result_arrival (&instance->world->callers, request->call, action->error);
    }
  else
    {
      /* On a failure, LcRollouts needs the forwarded text. The last attempt may have ended before
       * it forwarded a piece. */
      LxAttempt *last_forwarded = find_attempt (request, request->last_forwarded_attempt);
      if (action->error != LB_OK && last_forwarded)
        lx_text_copy (&request->text, &last_forwarded->text);
      lc_rollouts_finish_generation (instance->rollouts, request->id, action->error,
                                     lx_text_render (&request->text),
                                     get_simulation_time (instance), &instance->rollout_actions);
    }
  free_request (instance, request);
}

static void
execute_dispatch_action (LxInstance *instance, const LcAction *action)
{
  LxRequest *request = find_request (instance, action->request);
  LxAttempt *attempt = request ? find_attempt (request, action->attempt) : NULL;

  switch (action->type)
    {
    case LC_ACTION_SEND:
      send_attempt_to_endpoint (instance, action);
      break;
    case LC_ACTION_CANCEL:
      if (attempt && attempt->is_open)
        close_attempt_connection (instance, attempt);
      break;
    case LC_ACTION_FINISH:
      finish_and_free_request (instance, action);
      break;
    }
}

static bool
submit_request_to_dispatch (LxInstance *instance,
                            const LcRequestSpec *spec,
                            uint64_t job,
                            LxCall *call,
                            LbTime *retry_after,
                            LbError *error)
{
  LxRequest *request = LB_NEW (LxRequest);

  request->id = spec->id;
  request->spec = *spec;
  request->job = job;
  request->call = call;
  HASH_ADD (hh, instance->requests, id, sizeof request->id, request);
  if (lc_dispatch_submit (instance->dispatch, spec, get_simulation_time (instance),
                          &instance->dispatch_actions, retry_after, error))
    return true;
  record_not_run_error_of_job (instance, job, error->code);
  free_request (instance, request);
  return false;
}

/* Sets the length and the block hashes of the prompt where the request has none. The hashes depend
 * only on the prompt, so all samples of a group share the prompt blocks. */
static void
fill_prompt_length_and_hashes (LcRequestSpec *spec, const char *prompt)
{
  if (spec->prompt_tokens == 0)
    spec->prompt_tokens = DEFAULT_PROMPT_TOKENS;
  if (spec->n_prefix_hashes > 0)
    return;
  spec->n_prefix_hashes = N_PROMPT_BLOCKS;
  for (size_t i = 0; i < N_PROMPT_BLOCKS; i++)
    {
      uint64_t hash = FNV_OFFSET_BASIS + i;
      for (const char *c = prompt; *c; c++)
        hash = (hash ^ (uint8_t)*c) * FNV_PRIME;
      spec->prefix_hashes[i] = hash;
    }
}

static uint64_t
add_sample_job (LxInstance *instance, const LcRolloutAction *action)
{
  LxWorld *world = instance->world;
  size_t trainer = 0;
  int64_t step = 0;
  int64_t group = 0;

  if (sscanf (action->prompt, "t%zu/s%" SCNd64 "/g%" SCNd64, &trainer, &step, &group) != 3)
    abort ();

  LxJob job = { .kind = LC_KIND_SAMPLE, .repeatable = true };
  job.step = (uint64_t)step * world->options.n_trainers + trainer;
  job.total_tokens
      = lx_compute_sample_length (&world->options, trainer, step, group, action->index);
  return lx_audit_add_job (&world->audit, &job);
}

static void
start_sample_generation (LxInstance *instance, LcRolloutAction *action)
{
  LbTime retry_after = 0;
  LbError error = { 0 };
  LcRequestId id = action->spec.id;

  fill_prompt_length_and_hashes (&action->spec, action->prompt);
  if (submit_request_to_dispatch (instance, &action->spec, add_sample_job (instance, action), NULL,
                                  &retry_after, &error))
    return;
  lc_rollouts_finish_generation (instance->rollouts, id, error.code, NULL,
                                 get_simulation_time (instance), &instance->rollout_actions);
}

static void
cancel_dispatch_request (LxInstance *instance, LcRequestId id)
{
  LxRequest *request = find_request (instance, id);

  lc_dispatch_cancel (instance->dispatch, id, get_simulation_time (instance),
                      &instance->dispatch_actions);
  if (!request)
    return;
  close_open_attempts (instance, request);
  free_request (instance, request);
}

/* Preempts the request of a sample: ends the request and passes the text received so far to
 * LcRollouts. */
static void
preempt_sample_request (LxInstance *instance, LcRequestId id)
{
  LxRequest *request = find_request (instance, id);

  if (!request)
    return;
  if (request->n_attempts > 0)
    lx_text_copy (&request->text, &request->attempts[request->n_attempts - 1].text);
  lc_rollouts_finish_generation (instance->rollouts, id, LB_ERROR_CLOSED,
                                 lx_text_render (&request->text), get_simulation_time (instance),
                                 &instance->rollout_actions);
  cancel_dispatch_request (instance, id);
}

/* The result of a write to the ledger row of a step, in transit from the store to the instance. */
typedef struct
{
  uint64_t write;
  LbErrorCode error;
} LedgerReply;

static void
on_ledger_write_reply_arrived (LxInstance *instance, void *argument)
{
  const LedgerReply *reply = argument;

  lc_rollouts_finish_ledger_write (instance->rollouts, reply->write, reply->error,
                                   get_simulation_time (instance), &instance->rollout_actions);
  execute_pending_actions (instance);
}

static LxWriteOutcome
draw_write_outcome (const LxWorld *world)
{
  LbTime now = lx_world_now (world);

  if (now < world->store.unavailable_until)
    return LX_WRITE_UNAVAILABLE;
  if (now >= world->store.replies_lost_until
      || !lx_faults_is_current_event_affected (&world->faults, LX_LOST_REPLY_SHARE))
    return LX_WRITE_APPLIED;
  return lx_world_get_event_number (world) % LOST_WRITES_PER_LOST_REQUEST == 0
             ? LX_WRITE_REQUEST_LOST
             : LX_WRITE_REPLY_LOST;
}

static void
write_ledger_row_of_step (LxInstance *instance, const LcRolloutAction *action)
{
  LedgerReply *reply = LB_NEW (LedgerReply);
  LxWriteOutcome outcome = draw_write_outcome (instance->world);

  reply->write = action->write_id;
  reply->error = lx_store_write_row (&instance->world->store, action->row_key, action->row_value,
                                     action->session, outcome);
  lx_instance_post_message (instance,
                            outcome == LX_WRITE_APPLIED ? STORE_ROUND_TRIP_TIME : STORE_TIMEOUT,
                            on_ledger_write_reply_arrived, reply, free);
}

/* A request to open a step, after the store has started a new session. Only the newest session may
 * write the row of the step. */
typedef struct
{
  LcStepSpec spec;
  size_t trainer;
  uint64_t session;
  char *ledger_row;
} StepOpening;

static void
free_step_opening (void *argument)
{
  StepOpening *opening = argument;

  lc_step_spec_clear (&opening->spec);
  free (opening->ledger_row);
  free (opening);
}

static void
on_step_session_started (LxInstance *instance, void *argument)
{
  StepOpening *opening = argument;
  LbError error = { 0 };
  int64_t step = opening->spec.step;
  bool opened
      = lc_rollouts_recover_step_from_ledger (instance->rollouts, &opening->spec, opening->session,
                                              opening->ledger_row, get_simulation_time (instance),
                                              &instance->rollout_actions, &error);

  lx_world_record_decision (instance->world,
                            "%s opens trainer %zu step %" PRId64 " session %" PRIu64 ": %s",
                            instance->name, opening->trainer + 1, step, opening->session,
                            lb_error_name (error.code));
  execute_pending_actions (instance);
  if (opened)
    lx_trainer_record_step_opened (&instance->world->trainers[opening->trainer], instance->index,
                                   step);
}

void
lx_instance_open_step (LxInstance *instance, LcStepSpec *spec, size_t trainer)
{
  LxWorld *world = instance->world;
  LcStepStatus status;
  char key[3 * LB_NAME_MAX];

  if (!lc_config_is_ready_for_new_work (instance->config))
    {
      lc_step_spec_clear (spec);
      return;
    }
  if (lc_rollouts_get_step_status (instance->rollouts, spec->subscription, spec->step, &status))
    {
      lx_trainer_record_step_opened (&world->trainers[trainer], instance->index, spec->step);
      lc_step_spec_clear (spec);
      return;
    }
  snprintf (key, sizeof key, "ledger/%s/%" PRId64, spec->subscription, spec->step);
  LxWriteOutcome outcome = draw_write_outcome (world);
  if (outcome != LX_WRITE_APPLIED)
    {
      /* With LX_WRITE_REPLY_LOST the store starts a session, but the instance never receives the
       * session number. The trainer requests the step again. */
      if (outcome == LX_WRITE_REPLY_LOST)
        lx_store_begin_row_session (&world->store, key);
      lc_step_spec_clear (spec);
      return;
    }
  StepOpening *opening = LB_NEW (StepOpening);
  opening->spec = *spec;
  opening->trainer = trainer;
  opening->session = lx_store_begin_row_session (&world->store, key);
  opening->ledger_row = lb_strdup (lx_store_get_row_value (&world->store, key));
  memset (spec, 0, sizeof *spec);
  lx_instance_post_message (instance, STORE_ROUND_TRIP_TIME, on_step_session_started, opening,
                            free_step_opening);
}

static void
on_chunk_arrived_at_trainer (void *owner, void *argument)
{
  LxWorld *world = owner;
  LxChunk *chunk = argument;

  lx_trainer_receive_chunk (&world->trainers[chunk->trainer], chunk);
}

static void
execute_rollout_action (LxInstance *instance, LcRolloutAction *action)
{
  switch (action->type)
    {
    case LC_ROLLOUT_GENERATE:
      start_sample_generation (instance, action);
      break;
    case LC_ROLLOUT_CANCEL:
      cancel_dispatch_request (instance, action->spec.id);
      break;
    case LC_ROLLOUT_PREEMPT:
      preempt_sample_request (instance, action->spec.id);
      break;
    case LC_ROLLOUT_WRITE_LEDGER:
      write_ledger_row_of_step (instance, action);
      break;
    case LC_ROLLOUT_REPLY:
      lx_world_schedule (instance->world, instance->world->options.site->client_latency,
                         on_chunk_arrived_at_trainer, instance->world, lx_chunk_new (action),
                         lx_chunk_free);
      break;
    case LC_ROLLOUT_SCORE:
      break;
    }
}

static void
on_core_tick_due (LxInstance *instance, void *argument)
{
  LbTime now = get_simulation_time (instance);

  (void)argument;
  if (now < instance->next_tick_at)
    return;
  instance->next_tick_at = LB_TIME_NEVER;
  if (lc_dispatch_next_tick (instance->dispatch) <= now)
    lc_dispatch_tick (instance->dispatch, now, &instance->dispatch_actions);
  if (lc_rollouts_next_tick_at (instance->rollouts) <= now)
    lc_rollouts_tick (instance->rollouts, now, &instance->rollout_actions);
  execute_pending_actions (instance);
}

static void
schedule_core_tick (LxInstance *instance)
{
  LbTime due = lc_dispatch_next_tick (instance->dispatch);
  LbTime rollouts_due = lc_rollouts_next_tick_at (instance->rollouts);

  due = rollouts_due < due ? rollouts_due : due;
  if (due >= instance->next_tick_at)
    return;
  instance->next_tick_at = due;
  lx_instance_post_message (instance, due - get_simulation_time (instance), on_core_tick_due, NULL,
                            NULL);
}

static bool
execute_next_pending_action (LxInstance *instance)
{
  /* Executes rollout actions first, because their prompts are valid only until the next command of
   * LcRollouts. */
  if (!lb_list_is_empty (&instance->rollout_actions))
    {
      LcRolloutAction *action
          = LB_CONTAINER (lb_list_pop (&instance->rollout_actions), LcRolloutAction, link);
      execute_rollout_action (instance, action);
      lc_rollout_action_free (action);
      return true;
    }
  if (!lb_list_is_empty (&instance->dispatch_actions))
    {
      LcAction *action = LB_CONTAINER (lb_list_pop (&instance->dispatch_actions), LcAction, link);
      execute_dispatch_action (instance, action);
      lc_action_free (action);
      return true;
    }
  return false;
}

/* Executes all pending actions, including actions that are added during the execution. */
static void
execute_pending_actions (LxInstance *instance)
{
  while (execute_next_pending_action (instance))
    continue;
  schedule_core_tick (instance);
}

/* Ends a draining process once no request is in progress or DRAIN_TIMEOUT has passed. */
static void
end_drain_if_idle_or_timed_out (LxInstance *instance, void *argument)
{
  LxWorld *world = instance->world;
  bool is_idle = lc_dispatch_count_requests_in_progress (instance->dispatch) == 0
                 && lc_dispatch_count_waiting_requests (instance->dispatch, LC_KIND_LIVE) == 0
                 && lc_rollouts_count_requests_and_waiting_pulls (instance->rollouts) == 0;

  (void)argument;
  if (!is_idle && get_simulation_time (instance) - instance->drain_started_at < DRAIN_TIMEOUT)
    {
      lx_instance_post_message (instance, DRAIN_CHECK_INTERVAL, end_drain_if_idle_or_timed_out,
                                NULL, NULL);
      return;
    }
  if (!is_idle)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_STUCK, get_simulation_time (instance),
                               lx_world_get_event_number (world),
                               "%s: the drain should have ended within its timeout, but did not",
                               instance->name);
  for (LxRequest *request = instance->requests; request; request = request->hh.next)
    if (request->call)
      lx_audit_report_violation (&world->audit, LX_VIOLATION_CUT_BY_DRAIN,
                                 get_simulation_time (instance), lx_world_get_event_number (world),
                                 "%s: expected no request at the end of the drain, found %" PRIu64,
                                 instance->name, request->id);
  lx_instance_kill (instance);
  instance->drain_ended_at = get_simulation_time (instance);
  lx_world_schedule (world, 2 * LB_SEC, on_instance_restart_due, instance, NULL, NULL);
}

void
lx_instance_drain (LxInstance *instance)
{
  instance->draining = true;
  lc_dispatch_drain (instance->dispatch, get_simulation_time (instance),
                     &instance->dispatch_actions);
  lc_rollouts_drain (instance->rollouts, get_simulation_time (instance),
                     &instance->rollout_actions);
  execute_pending_actions (instance);
  instance->drain_started_at = get_simulation_time (instance);
  lx_instance_post_message (instance, DRAIN_CHECK_INTERVAL, end_drain_if_idle_or_timed_out, NULL,
                            NULL);
}

void
lx_instance_abort_step (LxInstance *instance, const char *subscription, int64_t step)
{
  lc_rollouts_abort_step (instance->rollouts, subscription, step, get_simulation_time (instance),
                          &instance->rollout_actions);
  execute_pending_actions (instance);
}

void
lx_instance_apply_configuration (LxInstance *instance, const LcResourceSet *set)
{
  lc_dispatch_configure (instance->dispatch, set, get_simulation_time (instance),
                         &instance->dispatch_actions);
  lc_rollouts_configure (instance->rollouts, set, get_simulation_time (instance),
                         &instance->rollout_actions);
  execute_pending_actions (instance);
  /* Polls the endpoints of the first configuration without delay, as the daemon does. */
  if (!instance->is_configured)
    poll_endpoints (instance);
  instance->is_configured = true;
}

bool
lx_instance_submit_call (
    LxInstance *instance, LcRequestSpec *spec, uint64_t job, LxCall *call, LbError *error)
{
  LbTime retry_after = 0;

  if (!lc_config_is_ready_for_new_work (instance->config))
    return lb_error_set (error, LB_ERROR_NOT_READY, instance->name, "no confirmed configuration");
  spec->id = next_request_id (instance);
  bool is_accepted = submit_request_to_dispatch (instance, spec, job, call, &retry_after, error);
  execute_pending_actions (instance);
  return is_accepted;
}

static void
receive_and_forward_piece (LxInstance *instance,
                           LxRequest *request,
                           LxAttempt *attempt,
                           const LcPiece *piece)
{
  LcPieceVerdict verdict
      = lc_dispatch_receive_piece (instance->dispatch, request->id, attempt->number, piece,
                                   get_simulation_time (instance), &instance->dispatch_actions);

  if (verdict != LC_PIECE_FORWARD)
    return;
  lx_text_append (&attempt->text, attempt->stream, piece->offset, piece->tokens);
  request->last_forwarded_attempt = attempt->number;
  if (request->call)
    {
      lx_callers_schedule_piece_arrival (&instance->world->callers, request->call, attempt->stream,
                                         piece);
      return;
    }
  if (piece->last)
    lx_text_copy (&request->text, &attempt->text);
  lc_rollouts_add_generated_piece (instance->rollouts, request->id, piece, attempt->engine->name,
                                   get_simulation_time (instance), &instance->rollout_actions);
}

static void
on_piece_or_end_arrived (LxInstance *instance, void *argument)
{
  const LxDelivery *delivery = argument;
  LxRequest *request = find_request (instance, delivery->request);
  LxAttempt *attempt = request ? find_attempt (request, delivery->attempt) : NULL;

  if (!attempt)
    return;
  /* Nothing arrives on a closed connection, except late pieces while LX_FAULT_PIECES_GARBLED is
   * active. Core must discard late pieces. */
  if (!attempt->is_open
      && (delivery->is_end
          || get_simulation_time (instance) >= instance->world->faults.garbled_until))
    return;
  if (delivery->is_end)
    {
      attempt->is_open = false;
      lc_dispatch_record_attempt_end (instance->dispatch, request->id, delivery->attempt,
                                      delivery->end, get_simulation_time (instance),
                                      &instance->dispatch_actions);
    }
  else
    {
      receive_and_forward_piece (instance, request, attempt, &delivery->piece);
    }
  execute_pending_actions (instance);
}

static void
pass_new_cache_events_to_dispatch (LxInstance *instance, size_t index)
{
  const LxEngine *engine = instance->world->engines[index];
  uint64_t *cursor = &instance->cache_cursors[index];

  if (engine->cache_sequence > *cursor + LX_CACHE_LOG_LENGTH)
    *cursor = engine->cache_sequence - LX_CACHE_LOG_LENGTH;
  while (*cursor < engine->cache_sequence)
    {
      const LxCacheEvent *event = &engine->cache_log[++*cursor % LX_CACHE_LOG_LENGTH];
      if (event->sequence == *cursor)
        lc_endpoints_apply_cache_event (lc_dispatch_get_endpoints (instance->dispatch),
                                        engine->name, event->sequence, event->stored, event->hash,
                                        get_simulation_time (instance));
    }
}

void
lx_instance_record_load_report (LxInstance *instance, size_t engine, const LcLoadReport *report)
{
  pass_new_cache_events_to_dispatch (instance, engine);
  lc_dispatch_record_load_report (instance->dispatch, instance->world->engines[engine]->name,
                                  report, get_simulation_time (instance),
                                  &instance->dispatch_actions);
  execute_pending_actions (instance);
}

/* A load report in transit to the instance. */
typedef struct
{
  size_t engine;
  LcLoadReport report;
} LoadReportInTransit;

static void
on_load_report_arrived (LxInstance *instance, void *argument)
{
  const LoadReportInTransit *transit = argument;

  lx_instance_record_load_report (instance, transit->engine, &transit->report);
}

/* Polls the load of all endpoints. A load report arrives one network latency after its
 * measurement. */
static void
poll_endpoints (LxInstance *instance)
{
  LxWorld *world = instance->world;

  for (size_t i = 0; i < world->n_endpoints; i++)
    {
      if (!world->engines[i]->alive)
        continue;
      LoadReportInTransit *transit = LB_NEW (LoadReportInTransit);
      transit->engine = i;
      lx_engine_get_load_report (world->engines[i], &transit->report);
      lx_instance_post_message (instance,
                                lx_world_get_network_latency (world, instance->data_centre,
                                                              world->engines[i]->data_centre),
                                on_load_report_arrived, transit, free);
    }
}

static void
on_endpoint_poll_due (LxInstance *instance, void *argument)
{
  (void)argument;
  poll_endpoints (instance);
  report_new_invariant_failures (instance);
  lx_instance_post_message (instance, ENDPOINT_POLL_INTERVAL, on_endpoint_poll_due, NULL, NULL);
}

void
lx_instance_set_engine_swap_state (LxInstance *instance, size_t engine, bool pending, LbTime until)
{
  lc_endpoints_set_weight_swap_state (lc_dispatch_get_endpoints (instance->dispatch),
                                      instance->world->engines[engine]->name, pending, until,
                                      get_simulation_time (instance));
}

void
lx_instance_set_newest_weight_version (LxInstance *instance,
                                       LcVersion newest,
                                       LbTime version_interval)
{
  lc_rollouts_set_newest_pool_version (instance->rollouts, instance->world->options.site->pool,
                                       newest, version_interval, get_simulation_time (instance),
                                       &instance->rollout_actions);
  execute_pending_actions (instance);
}

void
lx_instance_receive_pull (LxInstance *instance, const LcPull *pull)
{
  lc_rollouts_accept_pull (instance->rollouts, pull, get_simulation_time (instance),
                           &instance->rollout_actions);
  execute_pending_actions (instance);
}
