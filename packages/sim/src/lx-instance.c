#include "lx-instance.h"

#include "lx-instance-config.h"
#include "lx-world.h"

#include "lb-alloc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A store write of the instance: table latency, both ways. */
#define STORE_TIME (5 * LB_MSEC)
#define STORE_DEADLINE LB_SEC
/* New work may still reach an endpoint for so long after it began to leave. */
#define LEAVING_BOUND (3 * LB_SEC)
#define DRAIN_CHECK (200 * LB_MSEC)
#define DRAIN_PATIENCE (150 * LB_SEC)

typedef struct
{
  LxInstance *instance;
  uint32_t life;
  LxInstanceHandler handler;
  void *argument;
  void (*drop) (void *argument);
} Post;

/* A request on its way to an endpoint. */
typedef struct
{
  LxInstance *instance;
  LxEngine *engine;
  LxStreamSpec stream;
} Sending;

typedef struct
{
  LxEngine *engine;
  uint64_t stream;
} Closing;

static void pump (LxInstance *instance);

static void
on_restart (void *owner, void *argument)
{
  LxInstance *instance = owner;

  (void)argument;
  if (!instance->alive)
    lx_instance_start (instance);
}

static LbTime
now_of (const LxInstance *instance)
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
drop_post (void *argument)
{
  Post *post = argument;

  if (post->drop)
    post->drop (post->argument);
  free (post);
}

static void
on_post (void *owner, void *argument)
{
  LxInstance *instance = owner;
  Post *post = argument;
  bool lost = !instance->alive || post->life != instance->life;

  if (!lost && instance->paused_until > lx_world_now (instance->world))
    {
      lx_queue_add (instance->world->queue, instance->paused_until, on_post, instance, post,
                    drop_post);
      return;
    }
  if (!lost)
    post->handler (instance, post->argument);
  drop_post (post);
}

void
lx_instance_post (LxInstance *instance,
                  LbTime delay,
                  LxInstanceHandler handler,
                  void *argument,
                  void (*drop) (void *argument))
{
  Post *post = LB_NEW (Post);

  *post = (Post){ .instance = instance,
                  .life = instance->life,
                  .handler = handler,
                  .argument = argument,
                  .drop = drop };
  lx_world_schedule (instance->world, delay, on_post, instance, post, drop_post);
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
  lb_list_init (&instance->actions);
  lb_list_init (&instance->rollout_actions);
  lb_list_init (&instance->config_actions);
}

static void
drop_actions (LxInstance *instance)
{
  while (!lb_list_is_empty (&instance->actions))
    lc_action_free (LB_CONTAINER (lb_list_pop (&instance->actions), LcAction, link));
  while (!lb_list_is_empty (&instance->rollout_actions))
    lc_rollout_action_free (
        LB_CONTAINER (lb_list_pop (&instance->rollout_actions), LcRolloutAction, link));
}

/* Core asserts its promises itself; the counts must stay at zero. */
static void
check_core (LxInstance *instance)
{
  LxWorld *world = instance->world;
  int64_t failures = lc_rollouts_invariant_failures (instance->rollouts)
                     + (int64_t)lc_dispatch_invariant_failures (instance->dispatch);

  if (failures > instance->core_failures)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_CORE_INVARIANT, lx_world_now (world),
                               lx_world_event_number (world), "%s counts %" PRId64, instance->name,
                               failures);
  instance->core_failures = failures;
}

static void
stop_process (LxInstance *instance)
{
  LxRequest *request, *next;

  check_core (instance);
  drop_actions (instance);
  lx_instance_config_stop (instance);
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
    stop_process (instance);
  free (instance->cache_cursors);
}

static LcRequestId
next_request (void *user)
{
  LxInstance *instance = user;

  return ++instance->last_request;
}

static void poll_endpoints (LxInstance *instance);
static void on_poll (LxInstance *instance, void *argument);

/* A new process of the instance, with the configuration in force. */
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

  instance->life++;
  instance->alive = true;
  instance->draining = false;
  instance->started_at = now_of (instance);
  instance->paused_until = 0;
  instance->core_failures = 0;
  instance->is_configured = false;
  instance->tick_at = LB_TIME_NEVER;
  LB_COPY (dispatch.data_centre, options->site->data_centres[instance->data_centre]);
  LB_COPY (dispatch.policy, options->policy);
  LB_COPY (rollouts.instance, instance->name);
  rollouts.seed = dispatch.seed;
  instance->dispatch = lc_dispatch_new (&dispatch);
  instance->rollouts = lc_rollouts_new (&rollouts);
  lc_rollouts_set_id_source (instance->rollouts, next_request, instance);
  memset (instance->cache_cursors, 0, instance->world->n_endpoints * sizeof (uint64_t));
  lx_instance_config_start (instance);
  lx_instance_post (instance, (LbTime)instance->index * 37 * LB_MSEC, on_poll, NULL, NULL);
}

static void
on_close (void *owner, void *argument)
{
  Closing *closing = argument;

  (void)owner;
  lx_engine_cancel (closing->engine, closing->stream);
  free (closing);
}

/* Closes the connection; the endpoint notices one way later. */
static void
close_attempt (LxInstance *instance, LxAttempt *attempt)
{
  Closing *closing = LB_NEW (Closing);

  attempt->open = false;
  *closing = (Closing){ .engine = attempt->engine, .stream = attempt->stream };
  lx_world_schedule (instance->world,
                     lx_world_latency (instance->world, instance->data_centre,
                                       attempt->engine->data_centre),
                     on_close, NULL, closing, free);
}

static void
close_request (LxInstance *instance, LxRequest *request)
{
  for (size_t i = 0; i < request->n_attempts; i++)
    if (request->attempts[i].open)
      close_attempt (instance, &request->attempts[i]);
}

void
lx_instance_kill (LxInstance *instance)
{
  LxRequest *request, *next;

  HASH_ITER (hh, instance->requests, request, next)
  {
    close_request (instance, request);
    if (request->call)
      lx_callers_send_result (&instance->world->callers, request->call, LB_ERROR_STREAM_BROKEN);
  }
  for (size_t i = 0; i < instance->world->options.n_trainers; i++)
    if (instance->world->trainers[i].owner == instance->index)
      lx_trainer_abort_pull (&instance->world->trainers[i]);
  stop_process (instance);
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

static void on_delivery (LxInstance *instance, void *argument);

/* Pieces that come twice, late or without their version. An end marker keeps its place: a node that
 * has not seen it does not say that an answer is whole. */
static void
garble (LxInstance *instance, LxDelivery *delivery, LbTime *delay)
{
  LxWorld *world = instance->world;
  LbTime now = lx_world_now (world);

  if (delivery->is_end)
    return;
  if (now < world->faults.versions_missing_until && gsl_rng_uniform (world->random) < 0.05)
    delivery->piece.version = 0;
  if (now >= world->faults.garbled_until)
    return;
  double lot = gsl_rng_uniform (world->random);
  if (lot < 0.03)
    lx_instance_post (instance, *delay + (LbTime)(lot * LB_SEC), on_delivery,
                      lb_memdup (delivery, sizeof *delivery), free);
  else if (lot < 0.06 && !delivery->piece.last)
    *delay += (LbTime)(lot * 5 * LB_SEC);
}

static void
send_delivery (LxInstance *instance,
               const LxEngine *engine,
               const LxStreamSpec *stream,
               const LxDelivery *delivery,
               LbTime delay)
{
  LxDelivery *copy;
  LbTime way = lx_world_latency (instance->world, instance->data_centre, engine->data_centre);

  if (stream->instance_life != instance->life || !instance->alive)
    return;
  copy = lb_memdup (delivery, sizeof *delivery);
  copy->request = stream->request;
  copy->attempt = stream->attempt;
  garble (instance, copy, &delay);
  lx_instance_post (instance, way + delay, on_delivery, copy, free);
}

void
lx_instance_send_piece (LxInstance *instance,
                        const LxEngine *engine,
                        const LxStreamSpec *stream,
                        const LcPiece *piece)
{
  send_delivery (instance, engine, stream, &(LxDelivery){ .piece = *piece }, 0);
}

void
lx_instance_send_end (LxInstance *instance,
                      const LxEngine *engine,
                      const LxStreamSpec *stream,
                      LcAttemptEnd end,
                      LbTime delay)
{
  send_delivery (instance, engine, stream, &(LxDelivery){ .is_end = true, .end = end }, delay);
}

static void
check_start (LxWorld *world, const LxStreamSpec *stream)
{
  LxJob *job = lx_audit_job (&world->audit, stream->job);

  job->runs++;
  if (job->not_run)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_RAN_AFTER_NOT_RUN, lx_world_now (world),
                               lx_world_event_number (world), "job %" PRIu64 " started late",
                               stream->job);
  if (!job->repeatable && job->runs > 1)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_RAN_TWICE, lx_world_now (world),
                               lx_world_event_number (world),
                               "job %" PRIu64 " started %" PRId64 " times", stream->job, job->runs);
}

static void
on_arrival (void *owner, void *argument)
{
  Sending *sending = argument;
  LxInstance *instance = sending->instance;
  LxEngine *engine = sending->engine;

  (void)owner;
  if (sending->stream.instance_life != instance->life || !instance->alive)
    goto out;
  if (!engine->alive)
    {
      lx_instance_send_end (instance, engine, &sending->stream, LC_END_NOT_SENT, 0);
      goto out;
    }
  if (!lx_engine_submit (engine, &sending->stream))
    {
      lx_instance_send_end (instance, engine, &sending->stream,
                            engine->leaving ? LC_END_REFUSED_LEAVING : LC_END_REFUSED, 0);
      goto out;
    }
  check_start (instance->world, &sending->stream);
out:
  free (sending);
}

/* A resumed attempt goes on from what an earlier one of the request has sent. */
static void
take_over_text (LxRequest *request, LxAttempt *attempt, int64_t tokens)
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
  LxAttempt attempt = { .number = action->attempt, .engine = engine, .open = true };

  attempt.stream = lx_audit_add_stream (&instance->world->audit, request->job, now_of (instance));
  take_over_text (request, &attempt, action->resume_at - request->spec.resume_at);
  request->attempts
      = lb_realloc (request->attempts, (request->n_attempts + 1) * sizeof (LxAttempt));
  request->attempts[request->n_attempts] = attempt;
  return &request->attempts[request->n_attempts++];
}

static void
fill_stream (LxInstance *instance,
             const LxRequest *request,
             const LxAttempt *attempt,
             int64_t offset,
             LxStreamSpec *stream)
{
  const LcRequestSpec *spec = &request->spec;

  *stream = (LxStreamSpec){ .id = attempt->stream,
                            .instance = instance->index,
                            .instance_life = instance->life,
                            .request = request->id,
                            .attempt = attempt->number,
                            .kind = spec->kind,
                            .priority = spec->priority,
                            .prompt_tokens = spec->prompt_tokens,
                            .n_prefix_hashes = spec->n_prefix_hashes,
                            .offset = offset,
                            .job = request->job };
  stream->length = lx_audit_job (&instance->world->audit, request->job)->length;
  memcpy (stream->prefix_hashes, spec->prefix_hashes, sizeof stream->prefix_hashes);
}

static void
send_attempt (LxInstance *instance, const LcAction *action)
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
    engine->sent_while_leaving = now_of (instance);
  if (engine->leaving && engine->alive && engine->leaving_since + LEAVING_BOUND < now_of (instance))
    lx_audit_report_violation (&world->audit, LX_VIOLATION_SENT_TO_LEAVING, now_of (instance),
                               lx_world_event_number (world), "%s by %s", engine->name,
                               instance->name);

  Sending *sending = LB_NEW (Sending);
  const LxAttempt *attempt = add_attempt (instance, request, action, engine);
  sending->instance = instance;
  sending->engine = engine;
  fill_stream (instance, request, attempt, action->resume_at, &sending->stream);
  lx_world_schedule (world, lx_world_latency (world, instance->data_centre, engine->data_centre),
                     on_arrival, NULL, sending, free);
}

/* "Not run" is a proof: nothing may have started, and nothing may start later. */
static void
check_not_run (LxInstance *instance, uint64_t number, LbErrorCode error)
{
  LxWorld *world = instance->world;
  LxJob *job = lx_audit_job (&world->audit, number);

  if (!lb_error_is_not_run (error))
    return;
  job->not_run = true;
  if (job->runs > 0)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_RAN_AFTER_NOT_RUN, now_of (instance),
                               lx_world_event_number (world),
                               "job %" PRIu64 " had run when %s answered %s", number,
                               instance->name, lb_error_name (error));
}

static void
finish_request (LxInstance *instance, const LcAction *action)
{
  LxRequest *request = find_request (instance, action->request);

  if (!request)
    return;
  lx_world_record_decision (instance->world, "%s finishes request %" PRIu64 ": %s", instance->name,
                            action->request, lb_error_name (action->error));
  close_request (instance, request);
  check_not_run (instance, request->job, action->error);
  if (request->call)
    {
      lx_callers_send_result (&instance->world->callers, request->call, action->error);
    }
  else
    {
      /* LcRollouts knows the pieces that were passed on; what is left of a failure must be their
       * text, not that of a later attempt that sent nothing. */
      LxAttempt *heard = find_attempt (request, request->heard);
      if (action->error != LB_OK && heard)
        lx_text_copy (&request->text, &heard->text);
      lc_rollouts_finish_generation (instance->rollouts, request->id, action->error,
                                     lx_text_render (&request->text), now_of (instance),
                                     &instance->rollout_actions);
    }
  free_request (instance, request);
}

static void
carry_out (LxInstance *instance, const LcAction *action)
{
  LxRequest *request = find_request (instance, action->request);
  LxAttempt *attempt = request ? find_attempt (request, action->attempt) : NULL;

  switch (action->type)
    {
    case LC_ACTION_SEND:
      send_attempt (instance, action);
      break;
    case LC_ACTION_CANCEL:
      if (attempt && attempt->open)
        close_attempt (instance, attempt);
      break;
    case LC_ACTION_FINISH:
      finish_request (instance, action);
      break;
    }
}

static bool
submit (LxInstance *instance,
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
  if (lc_dispatch_submit (instance->dispatch, spec, now_of (instance), &instance->actions,
                          retry_after, error))
    return true;
  check_not_run (instance, job, error->code);
  free_request (instance, request);
  return false;
}

/* Blocks of a sample's prompt: all samples of a group share them. */
static void
fill_prompt (LcRequestSpec *spec, const char *prompt)
{
  if (spec->prompt_tokens == 0)
    spec->prompt_tokens = 512;
  if (spec->n_prefix_hashes > 0)
    return;
  spec->n_prefix_hashes = 4;
  for (size_t i = 0; i < 4; i++)
    {
      uint64_t hash = 14695981039346656037u + i;
      for (const char *c = prompt; *c; c++)
        hash = (hash ^ (uint8_t)*c) * 1099511628211u;
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
  job.length = lx_sample_length (&world->options, trainer, step, group, action->index);
  return lx_audit_add_job (&world->audit, &job);
}

static void
generate (LxInstance *instance, LcRolloutAction *action)
{
  LbTime retry_after = 0;
  LbError error = { 0 };
  LcRequestId id = action->spec.id;

  fill_prompt (&action->spec, action->prompt);
  if (submit (instance, &action->spec, add_sample_job (instance, action), NULL, &retry_after,
              &error))
    return;
  lc_rollouts_finish_generation (instance->rollouts, id, error.code, NULL, now_of (instance),
                                 &instance->rollout_actions);
}

static void
abandon (LxInstance *instance, LcRequestId id)
{
  LxRequest *request = find_request (instance, id);

  lc_dispatch_cancel (instance->dispatch, id, now_of (instance), &instance->actions);
  if (!request)
    return;
  close_request (instance, request);
  free_request (instance, request);
}

/* Ends a request and gives back what its pieces said so far. */
static void
recall (LxInstance *instance, LcRequestId id)
{
  LxRequest *request = find_request (instance, id);

  if (!request)
    return;
  if (request->n_attempts > 0)
    lx_text_copy (&request->text, &request->attempts[request->n_attempts - 1].text);
  lc_rollouts_finish_generation (instance->rollouts, id, LB_ERROR_CLOSED,
                                 lx_text_render (&request->text), now_of (instance),
                                 &instance->rollout_actions);
  abandon (instance, id);
}

typedef struct
{
  uint64_t write;
  LbErrorCode error;
} StoreReply;

static void
on_store_reply (LxInstance *instance, void *argument)
{
  const StoreReply *reply = argument;

  lc_rollouts_finish_ledger_write (instance->rollouts, reply->write, reply->error,
                                   now_of (instance), &instance->rollout_actions);
  pump (instance);
}

static LxWriteOutcome
draw_fate (const LxWorld *world)
{
  LbTime now = lx_world_now (world);

  if (now < world->store.away_until)
    return LX_WRITE_UNAVAILABLE;
  if (now >= world->store.lose_until || !lx_faults_is_event_selected (&world->faults, 0.33))
    return LX_WRITE_APPLIED;
  return lx_world_event_number (world) % 3 == 0 ? LX_WRITE_REQUEST_LOST : LX_WRITE_REPLY_LOST;
}

static void
write_ledger (LxInstance *instance, const LcRolloutAction *action)
{
  StoreReply *reply = LB_NEW (StoreReply);
  LxWriteOutcome fate = draw_fate (instance->world);

  reply->write = action->write_id;
  reply->error = lx_store_write (&instance->world->store, action->row_key, action->row_value,
                                 action->session, fate);
  lx_instance_post (instance, fate == LX_WRITE_APPLIED ? STORE_TIME : STORE_DEADLINE,
                    on_store_reply, reply, free);
}

typedef struct
{
  LcStepSpec spec;
  size_t trainer;
  uint64_t session;
  char *ledger;
} Taking;

static void
drop_taking (void *argument)
{
  Taking *taking = argument;

  lc_step_spec_clear (&taking->spec);
  free (taking->ledger);
  free (taking);
}

static void
on_taken (LxInstance *instance, void *argument)
{
  Taking *taking = argument;
  LbError error = { 0 };
  int64_t step = taking->spec.step;
  bool opened = lc_rollouts_recover_step (instance->rollouts, &taking->spec, taking->session,
                                          taking->ledger, now_of (instance),
                                          &instance->rollout_actions, &error);

  lx_world_record_decision (instance->world,
                            "%s opens trainer %zu step %" PRId64 " session %" PRIu64 ": %s",
                            instance->name, taking->trainer + 1, step, taking->session,
                            lb_error_name (error.code));
  pump (instance);
  if (opened)
    lx_trainer_step_opened (&instance->world->trainers[taking->trainer], instance->index, step);
}

void
lx_instance_open_step (LxInstance *instance, LcStepSpec *spec, size_t trainer)
{
  LxWorld *world = instance->world;
  LcStepStatus status;
  char key[3 * LB_NAME_MAX];

  if (!lc_config_is_ready (instance->config))
    {
      lc_step_spec_clear (spec);
      return;
    }
  if (lc_rollouts_get_step_status (instance->rollouts, spec->subscription, spec->step, &status))
    {
      lx_trainer_step_opened (&world->trainers[trainer], instance->index, spec->step);
      lc_step_spec_clear (spec);
      return;
    }
  snprintf (key, sizeof key, "ledger/%s/%" PRId64, spec->subscription, spec->step);
  LxWriteOutcome fate = draw_fate (world);
  if (fate != LX_WRITE_APPLIED)
    {
      if (fate == LX_WRITE_REPLY_LOST)
        lx_store_begin_session (&world->store, key);
      lc_step_spec_clear (spec);
      return;
    }
  Taking *taking = LB_NEW (Taking);
  taking->spec = *spec;
  taking->trainer = trainer;
  taking->session = lx_store_begin_session (&world->store, key);
  taking->ledger = lb_strdup (lx_store_get (&world->store, key));
  memset (spec, 0, sizeof *spec);
  lx_instance_post (instance, STORE_TIME, on_taken, taking, drop_taking);
}

static void
on_chunk (void *owner, void *argument)
{
  LxWorld *world = owner;
  LxChunk *chunk = argument;

  lx_trainer_receive_chunk (&world->trainers[chunk->trainer], chunk);
}

static void
carry_out_rollout (LxInstance *instance, LcRolloutAction *action)
{
  switch (action->type)
    {
    case LC_ROLLOUT_GENERATE:
      generate (instance, action);
      break;
    case LC_ROLLOUT_CANCEL:
      abandon (instance, action->spec.id);
      break;
    case LC_ROLLOUT_PREEMPT:
      recall (instance, action->spec.id);
      break;
    case LC_ROLLOUT_WRITE_LEDGER:
      write_ledger (instance, action);
      break;
    case LC_ROLLOUT_REPLY:
      lx_world_schedule (instance->world, instance->world->options.site->to_clients, on_chunk,
                         instance->world, lx_chunk_new (action), lx_chunk_free);
      break;
    case LC_ROLLOUT_SCORE:
      break;
    }
}

static void
on_tick (LxInstance *instance, void *argument)
{
  LbTime now = now_of (instance);

  (void)argument;
  if (now < instance->tick_at)
    return;
  instance->tick_at = LB_TIME_NEVER;
  if (lc_dispatch_next_tick (instance->dispatch) <= now)
    lc_dispatch_tick (instance->dispatch, now, &instance->actions);
  if (lc_rollouts_next_tick (instance->rollouts) <= now)
    lc_rollouts_tick (instance->rollouts, now, &instance->rollout_actions);
  pump (instance);
}

static void
plan_tick (LxInstance *instance)
{
  LbTime due = lc_dispatch_next_tick (instance->dispatch);
  LbTime rollouts_due = lc_rollouts_next_tick (instance->rollouts);

  due = rollouts_due < due ? rollouts_due : due;
  if (due >= instance->tick_at)
    return;
  instance->tick_at = due;
  lx_instance_post (instance, due - now_of (instance), on_tick, NULL, NULL);
}

static bool
pump_one (LxInstance *instance)
{
  /* All actions of LcRollouts first: their prompts are valid only until its next command. */
  if (!lb_list_is_empty (&instance->rollout_actions))
    {
      LcRolloutAction *action
          = LB_CONTAINER (lb_list_pop (&instance->rollout_actions), LcRolloutAction, link);
      carry_out_rollout (instance, action);
      lc_rollout_action_free (action);
      return true;
    }
  if (!lb_list_is_empty (&instance->actions))
    {
      LcAction *action = LB_CONTAINER (lb_list_pop (&instance->actions), LcAction, link);
      carry_out (instance, action);
      lc_action_free (action);
      return true;
    }
  return false;
}

/* Carries out what the last command asked for, and what that leads to. */
static void
pump (LxInstance *instance)
{
  while (pump_one (instance))
    continue;
  plan_tick (instance);
}

/* The process of a graceful shutdown ends when nothing is in progress. */
static void
on_drained (LxInstance *instance, void *argument)
{
  LxWorld *world = instance->world;
  bool idle = lc_dispatch_count_in_progress (instance->dispatch) == 0
              && lc_dispatch_count_waiting (instance->dispatch, LC_KIND_LIVE) == 0
              && lc_rollouts_count_in_progress (instance->rollouts) == 0;

  (void)argument;
  if (!idle && now_of (instance) - instance->drained_at < DRAIN_PATIENCE)
    {
      lx_instance_post (instance, DRAIN_CHECK, on_drained, NULL, NULL);
      return;
    }
  if (!idle)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_STUCK, now_of (instance),
                               lx_world_event_number (world), "%s drains without end",
                               instance->name);
  for (LxRequest *request = instance->requests; request; request = request->hh.next)
    if (request->call)
      lx_audit_report_violation (&world->audit, LX_VIOLATION_CUT_BY_DRAIN, now_of (instance),
                                 lx_world_event_number (world), "%s ends with request %" PRIu64,
                                 instance->name, request->id);
  lx_instance_kill (instance);
  instance->drain_ended = now_of (instance);
  lx_world_schedule (world, 2 * LB_SEC, on_restart, instance, NULL, NULL);
}

void
lx_instance_drain (LxInstance *instance)
{
  instance->draining = true;
  lc_dispatch_drain (instance->dispatch, now_of (instance), &instance->actions);
  lc_rollouts_drain (instance->rollouts, now_of (instance), &instance->rollout_actions);
  pump (instance);
  instance->drained_at = now_of (instance);
  lx_instance_post (instance, DRAIN_CHECK, on_drained, NULL, NULL);
}

void
lx_instance_abort_step (LxInstance *instance, const char *subscription, int64_t step)
{
  lc_rollouts_abort_step (instance->rollouts, subscription, step, now_of (instance),
                          &instance->rollout_actions);
  pump (instance);
}

void
lx_instance_apply_config (LxInstance *instance, const LcResourceSet *set)
{
  lc_dispatch_configure (instance->dispatch, set, now_of (instance), &instance->actions);
  lc_rollouts_configure (instance->rollouts, set, now_of (instance), &instance->rollout_actions);
  pump (instance);
  /* New endpoints are asked at once, as the daemon's poller does. */
  if (!instance->is_configured)
    poll_endpoints (instance);
  instance->is_configured = true;
}

bool
lx_instance_submit_call (
    LxInstance *instance, LcRequestSpec *spec, uint64_t job, LxCall *call, LbError *error)
{
  LbTime retry_after = 0;

  if (!lc_config_is_ready (instance->config))
    return lb_error_set (error, LB_ERROR_NOT_READY, instance->name, "no confirmed configuration");
  spec->id = next_request (instance);
  bool taken = submit (instance, spec, job, call, &retry_after, error);
  pump (instance);
  return taken;
}

static void
take_piece (LxInstance *instance, LxRequest *request, LxAttempt *attempt, const LcPiece *piece)
{
  LcPieceVerdict verdict
      = lc_dispatch_receive_piece (instance->dispatch, request->id, attempt->number, piece,
                                   now_of (instance), &instance->actions);

  if (verdict != LC_PIECE_FORWARD)
    return;
  lx_text_append (&attempt->text, attempt->stream, piece->offset, piece->tokens);
  request->heard = attempt->number;
  if (request->call)
    {
      lx_callers_send_piece (&instance->world->callers, request->call, attempt->stream, piece);
      return;
    }
  if (piece->last)
    lx_text_copy (&request->text, &attempt->text);
  lc_rollouts_add_piece (instance->rollouts, request->id, piece, attempt->engine->name,
                         now_of (instance), &instance->rollout_actions);
}

static void
on_delivery (LxInstance *instance, void *argument)
{
  const LxDelivery *delivery = argument;
  LxRequest *request = find_request (instance, delivery->request);
  LxAttempt *attempt = request ? find_attempt (request, delivery->attempt) : NULL;

  if (!attempt)
    return;
  /* A closed connection brings nothing, unless pieces are garbled: core has to drop such ones. */
  if (!attempt->open
      && (delivery->is_end || now_of (instance) >= instance->world->faults.garbled_until))
    return;
  if (delivery->is_end)
    {
      attempt->open = false;
      lc_dispatch_record_attempt_end (instance->dispatch, request->id, delivery->attempt,
                                      delivery->end, now_of (instance), &instance->actions);
    }
  else
    {
      take_piece (instance, request, attempt, &delivery->piece);
    }
  pump (instance);
}

static void
pass_cache_events (LxInstance *instance, size_t index)
{
  const LxEngine *engine = instance->world->engines[index];
  uint64_t *cursor = &instance->cache_cursors[index];

  if (engine->cache_sequence > *cursor + LX_CACHE_LOG_LENGTH)
    *cursor = engine->cache_sequence - LX_CACHE_LOG_LENGTH;
  while (*cursor < engine->cache_sequence)
    {
      const LxCacheEvent *event = &engine->cache_log[++*cursor % LX_CACHE_LOG_LENGTH];
      if (event->sequence == *cursor)
        lc_endpoints_apply_cache_event (lc_dispatch_endpoints (instance->dispatch), engine->name,
                                        event->sequence, event->stored, event->hash,
                                        now_of (instance));
    }
}

void
lx_instance_record_load (LxInstance *instance, size_t engine, const LcLoadReport *report)
{
  pass_cache_events (instance, engine);
  lc_dispatch_record_load (instance->dispatch, instance->world->engines[engine]->name, report,
                           now_of (instance), &instance->actions);
  pump (instance);
}

typedef struct
{
  size_t engine;
  LcLoadReport report;
} Report;

static void
on_report (LxInstance *instance, void *argument)
{
  const Report *report = argument;

  lx_instance_record_load (instance, report->engine, &report->report);
}

/* Asks every endpoint for its load; the answer is as old as its way back. */
static void
poll_endpoints (LxInstance *instance)
{
  LxWorld *world = instance->world;

  for (size_t i = 0; i < world->n_endpoints; i++)
    {
      if (!world->engines[i]->alive)
        continue;
      Report *report = LB_NEW (Report);
      report->engine = i;
      lx_engine_get_load_report (world->engines[i], &report->report);
      lx_instance_post (instance,
                        lx_world_latency (world, instance->data_centre,
                                          world->engines[i]->data_centre),
                        on_report, report, free);
    }
}

static void
on_poll (LxInstance *instance, void *argument)
{
  (void)argument;
  poll_endpoints (instance);
  check_core (instance);
  lx_instance_post (instance, 500 * LB_MSEC, on_poll, NULL, NULL);
}

void
lx_instance_set_swap (LxInstance *instance, size_t engine, bool pending, LbTime until)
{
  lc_endpoints_set_swap (lc_dispatch_endpoints (instance->dispatch),
                         instance->world->engines[engine]->name, pending, until, now_of (instance));
}

void
lx_instance_set_versions (LxInstance *instance, LcVersion newest, LbTime cadence)
{
  lc_rollouts_set_versions (instance->rollouts, instance->world->options.site->pool, newest,
                            cadence, now_of (instance), &instance->rollout_actions);
  pump (instance);
}

void
lx_instance_pull (LxInstance *instance, const LcPull *pull)
{
  lc_rollouts_pull (instance->rollouts, pull, now_of (instance), &instance->rollout_actions);
  pump (instance);
}
