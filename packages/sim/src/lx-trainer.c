#include "lx-trainer.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define PULL_WAIT_TIME (5 * LB_SEC)
/* Time without a reply to a pull (a request for finished samples) after which the trainer reopens
 * the step and pulls again. */
#define PULL_TIMEOUT (8 * LB_SEC)
#define REQUEST_RETRY_DELAY (500 * LB_MSEC)
#define NO_SAMPLE_TIMEOUT (300 * LB_SEC)
/* Number of low bits of a pull's id that hold the number of the pull; the high bits hold the
 * trainer's index. */
#define PULL_NUMBER_BITS 40
/* max_tokens of a sample in units of min_sample_tokens; a straggler has up to 30 units. */
#define MAX_TOKENS_FACTOR 41
/* Share of the samples that are stragglers. */
#define STRAGGLER_SHARE 0.05

static void send_open_step_or_pull_request (LxTrainer *trainer);

/* Hashes the numbers to a value from 0 inclusive to 1 exclusive. */
static double
hash_numbers_to_unit_interval (uint64_t seed, const int64_t *numbers, size_t n)
{
  return (double)(XXH64 (numbers, n * sizeof (int64_t), seed) >> 11) / 9007199254740992.0;
}

/* Returns one to three times min_sample_tokens or, for stragglers (one sample in twenty), ten times
 * as much. A share hard_share of the stragglers is in groups with a hard prompt, where every second
 * sample is a straggler. The length depends only on the slot: a hedged or repeated sample has the
 * same length, so that no policy gains by repeating a sample until a short length is drawn. */
int64_t
lx_compute_sample_length (
    const LxOptions *options, size_t trainer, int64_t step, int64_t group, int64_t index)
{
  const int64_t group_key[] = { (int64_t)trainer, step, group };
  const int64_t slot_key[] = { (int64_t)trainer, step, group, index };
  double hard_group_share = 2 * STRAGGLER_SHARE * options->hard_share;
  double straggler_share_of_other_groups
      = STRAGGLER_SHARE * (1 - options->hard_share) / (1 - hard_group_share);
  double spread = 2 * hash_numbers_to_unit_interval (options->seed, slot_key, 4);
  int64_t length = (int64_t)((1 + spread) * (double)options->min_sample_tokens);
  bool is_hard = hash_numbers_to_unit_interval (options->seed, group_key, 3) < hard_group_share;
  bool is_straggler = hash_numbers_to_unit_interval (options->seed + 1, slot_key, 4)
                      < (is_hard ? 0.5 : straggler_share_of_other_groups);

  return is_straggler ? 10 * length : length;
}

void
lx_trainer_init (LxTrainer *trainer, LxWorld *world, size_t index)
{
  memset (trainer, 0, sizeof *trainer);
  trainer->world = world;
  trainer->index = index;
  trainer->owner = index % world->n_instances;
  snprintf (trainer->name, sizeof trainer->name, "trainer-%zu", index + 1);
  trainer->received = LB_NEW_ARRAY (uint8_t, (size_t)(world->options.groups_per_step
                                                      * world->options.samples_per_group));
  trainer->cursor = lb_strdup ("");
}

void
lx_trainer_clear (LxTrainer *trainer)
{
  free (trainer->received);
  free (trainer->cursor);
  free (trainer->step_finished_at);
}

LxChunk *
lx_chunk_new (const LcRolloutAction *action)
{
  LxChunk *chunk = LB_NEW (LxChunk);

  chunk->trainer = (size_t)(action->pull_id >> PULL_NUMBER_BITS);
  chunk->pull_id = action->pull_id;
  chunk->error = action->error;
  chunk->retry_after = action->retry_after;
  chunk->cursor = lb_strdup (action->cursor ? action->cursor : "");
  chunk->remaining = action->remaining;
  chunk->samples = LB_NEW_ARRAY (LxChunkSample, action->n_samples);
  chunk->n_samples = action->n_samples;
  for (size_t i = 0; i < action->n_samples; i++)
    chunk->samples[i]
        = (LxChunkSample){ .group = lb_strdup (action->samples[i].group),
                           .index = action->samples[i].index,
                           .text
                           = lb_strdup (action->samples[i].text ? action->samples[i].text : ""),
                           .label = *action->samples[i].label };
  return chunk;
}

void
lx_chunk_free (void *argument)
{
  LxChunk *chunk = argument;

  for (size_t i = 0; i < chunk->n_samples; i++)
    {
      free (chunk->samples[i].group);
      free (chunk->samples[i].text);
    }
  free (chunk->samples);
  free (chunk->cursor);
  free (chunk);
}

static void
fill_step_spec (const LxTrainer *trainer, LcStepSpec *spec)
{
  const LxOptions *options = &trainer->world->options;

  LB_COPY (spec->subscription, trainer->name);
  spec->step = trainer->step;
  spec->trainer_version = trainer->step_version;
  spec->n_groups = (size_t)options->groups_per_step;
  spec->groups = LB_NEW_ARRAY (LcGroupSpec, spec->n_groups);
  for (size_t i = 0; i < spec->n_groups; i++)
    {
      snprintf (spec->groups[i].id, LB_NAME_MAX, "g%zu", i);
      spec->groups[i].prompt
          = lb_asprintf ("t%zu/s%" PRId64 "/g%zu", trainer->index, trainer->step, i);
      spec->groups[i].samples = options->samples_per_group;
      spec->groups[i].max_tokens = MAX_TOKENS_FACTOR * options->min_sample_tokens;
    }
}

static void
on_trainer_request_due (void *owner, void *argument)
{
  (void)argument;
  send_open_step_or_pull_request (owner);
}

static void
schedule_trainer_request (LxTrainer *trainer, LbTime delay)
{
  lx_world_schedule (trainer->world, delay, on_trainer_request_due, trainer, NULL, NULL);
}

static void
on_open_step_request_arrived (LxInstance *instance, void *argument)
{
  LxTrainer *trainer = argument;
  LcStepSpec spec = { 0 };

  if (trainer->is_step_open || trainer->owner != instance->index)
    return;
  fill_step_spec (trainer, &spec);
  lx_instance_open_step (instance, &spec, trainer->index);
}

void
lx_trainer_record_step_opened (LxTrainer *trainer, size_t instance, int64_t step)
{
  if (trainer->owner != instance || trainer->step != step)
    return;
  trainer->is_step_open = true;
}

static void
send_open_step_request (LxTrainer *trainer)
{
  LxWorld *world = trainer->world;
  const LxInstance *instance = lx_world_choose_serving_instance (world, trainer->owner);

  if (!instance)
    return;
  trainer->owner = instance->index;
  lx_instance_post_message (&world->instances[trainer->owner], world->options.site->client_latency,
                            on_open_step_request_arrived, trainer, NULL);
}

/* A pull in transit to an instance, with a copy of the trainer's cursor. */
typedef struct
{
  LcPull pull;
  char *cursor;
} PullInTransit;

static void
free_pull_in_transit (void *argument)
{
  PullInTransit *transit = argument;

  free (transit->cursor);
  free (transit);
}

static void
on_pull_arrived_at_instance (LxInstance *instance, void *argument)
{
  PullInTransit *transit = argument;

  transit->pull.cursor = transit->cursor;
  lx_instance_receive_pull (instance, &transit->pull);
}

static void
on_pull_timeout (void *owner, void *argument)
{
  LxTrainer *trainer = owner;

  if (trainer->pull_id != (uintptr_t)argument)
    return;
  trainer->pull_id = 0;
  trainer->is_step_open = false;
  send_open_step_or_pull_request (trainer);
}

/* Sends a pull with the newest weight version and the cursor of the last received chunk. */
static void
send_pull (LxTrainer *trainer)
{
  LxWorld *world = trainer->world;
  PullInTransit *transit = LB_NEW (PullInTransit);
  static const uint64_t number_mask = ((uint64_t)1 << PULL_NUMBER_BITS) - 1;

  trainer->pull_id
      = ((uint64_t)trainer->index << PULL_NUMBER_BITS) | (++trainer->n_pulls & number_mask);
  trainer->pull_version = world->swaps.newest_version;
  transit->cursor = lb_strdup (trainer->cursor);
  transit->pull
      = (LcPull){ .id = trainer->pull_id,
                  .step = trainer->step,
                  .trainer_version = trainer->pull_version,
                  .max_samples = world->options.groups_per_step * world->options.samples_per_group,
                  .wait_until = lx_world_now (world) + PULL_WAIT_TIME };
  LB_COPY (transit->pull.subscription, trainer->name);
  lx_instance_post_message (&world->instances[trainer->owner], world->options.site->client_latency,
                            on_pull_arrived_at_instance, transit, free_pull_in_transit);
  lx_world_schedule (world, PULL_TIMEOUT, on_pull_timeout, trainer,
                     (void *)(uintptr_t)trainer->pull_id, NULL);
}

static void
report_stuck_step_after_timeout (LxTrainer *trainer)
{
  LxWorld *world = trainer->world;
  LbTime now = lx_world_now (world);
  LbTime waiting_since = trainer->last_sample_at > trainer->train_until ? trainer->last_sample_at
                                                                        : trainer->train_until;

  if (now - waiting_since < NO_SAMPLE_TIMEOUT)
    return;
  lx_audit_report_violation (&world->audit, LX_VIOLATION_STUCK, now,
                             lx_world_get_event_number (world),
                             "%s has received no sample of step %" PRId64 " for %lld s",
                             trainer->name, trainer->step,
                             (long long)((now - waiting_since) / LB_SEC));
  trainer->last_sample_at = now;
}

/* Requests to open the step or, if the step is open, sends a pull once the training on the previous
 * step has ended. */
static void
send_open_step_or_pull_request (LxTrainer *trainer)
{
  LbTime now = lx_world_now (trainer->world);

  report_stuck_step_after_timeout (trainer);
  if (trainer->pull_id != 0)
    return;
  if (!trainer->is_step_open)
    {
      send_open_step_request (trainer);
      schedule_trainer_request (trainer, REQUEST_RETRY_DELAY);
    }
  else if (now < trainer->train_until)
    {
      schedule_trainer_request (trainer, trainer->train_until - now);
    }
  else
    {
      send_pull (trainer);
    }
}

static void
reset_trainer_and_request_step (LxTrainer *trainer)
{
  const LxOptions *options = &trainer->world->options;

  memset (trainer->received, 0, (size_t)(options->groups_per_step * options->samples_per_group));
  trainer->n_received = 0;
  trainer->is_step_open = false;
  trainer->step_version = trainer->world->swaps.newest_version;
  trainer->step_requested_at = lx_world_now (trainer->world);
  free (trainer->cursor);
  trainer->cursor = lb_strdup ("");
  send_open_step_or_pull_request (trainer);
}

void
lx_trainer_start (LxTrainer *trainer, int64_t max_steps)
{
  trainer->max_steps = max_steps;
  trainer->train_until = lx_world_now (trainer->world);
  reset_trainer_and_request_step (trainer);
}

LbTime
lx_trainer_get_step_finish_time (const LxTrainer *trainer, int64_t step)
{
  return step < trainer->step ? trainer->step_finished_at[step] : 0;
}

static uint64_t
compute_audit_step_index (const LxTrainer *trainer)
{
  return (uint64_t)trainer->step * trainer->world->options.n_trainers + trainer->index;
}

/* Returns a lower bound of the idle time for any policy: the step's longest sample runs alone on an
 * engine from the time when the step was requested. */
static LbTime
compute_minimum_idle_time (const LxTrainer *trainer)
{
  const LxOptions *options = &trainer->world->options;
  const LxEngineTimes *times = &trainer->world->engines[0]->times;
  int64_t longest = 0;

  for (int64_t i = 0; i < options->groups_per_step * options->samples_per_group; i++)
    {
      int64_t length = lx_compute_sample_length (options, trainer->index, trainer->step,
                                                 i / options->samples_per_group,
                                                 i % options->samples_per_group);
      longest = length > longest ? length : longest;
    }

  LbTime generation_time = (LbTime)((double)longest * times->token_seconds * LB_SEC);
  return generation_time > options->train_time ? generation_time - options->train_time : 0;
}

/* Prints the times of the step and of its last sample, the one whose stream ended last. */
static void
print_step_times (const LxTrainer *trainer)
{
  const LxWorld *world = trainer->world;
  const LxStreamRecord *record = &world->audit.streams[trainer->last_stream - 1];
  const LxJob *job = &world->audit.jobs[record->job - 1];
  double requested_s = (double)trainer->step_requested_at / LB_SEC;

  fprintf (stderr,
           "%s step %" PRId64
           ": requested at %.1f s, training until +%.1f, done +%.1f; last sample: %" PRId64
           " tokens, stream started +%.1f, ended +%.1f\n",
           trainer->name, trainer->step, requested_s,
           (double)trainer->train_until / LB_SEC - requested_s,
           (double)lx_world_now (world) / LB_SEC - requested_s, job->total_tokens,
           (double)record->started_at / LB_SEC - requested_s,
           (double)trainer->last_stream_ended_at / LB_SEC - requested_s);
}

static void
finish_step_and_request_next_step (LxTrainer *trainer)
{
  LxWorld *world = trainer->world;
  const LxOptions *options = &world->options;
  int64_t slots = options->groups_per_step * options->samples_per_group;

  if (trainer->n_received < slots)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_LOST, lx_world_now (world),
                               lx_world_get_event_number (world),
                               "%s step %" PRId64 " done with %" PRId64 " of %" PRId64 " samples",
                               trainer->name, trainer->step, trainer->n_received, slots);
  lx_audit_get_or_add_step_tokens (&world->audit, compute_audit_step_index (trainer))->is_done
      = true;
  if (options->explain)
    print_step_times (trainer);
  if (trainer->step > 0)
    {
      trainer->steps++;
      trainer->idle_time += lx_world_now (world) - trainer->train_until;
      trainer->idle_floor += compute_minimum_idle_time (trainer);
    }
  trainer->step_finished_at
      = lb_realloc (trainer->step_finished_at, (size_t)(trainer->step + 1) * sizeof (LbTime));
  trainer->step_finished_at[trainer->step] = lx_world_now (world);
  trainer->step++;
  trainer->train_until = lx_world_now (world) + options->train_time;
  if (trainer->step == trainer->max_steps)
    return;
  reset_trainer_and_request_step (trainer);
}

static bool
are_labels_complete_and_equal (const LcLabel *a, const LcLabel *b)
{
  if (a->unlabelled || b->unlabelled || a->n_spans != b->n_spans || a->tokens != b->tokens)
    return false;
  for (size_t i = 0; i < a->n_spans; i++)
    if (a->spans[i].version != b->spans[i].version || a->spans[i].first != b->spans[i].first
        || a->spans[i].count != b->spans[i].count)
      return false;
  return true;
}

static void
check_and_count_received_sample (LxTrainer *trainer,
                                 const LxChunkSample *sample,
                                 const LcLabel *expected_label,
                                 int64_t length)
{
  LxWorld *world = trainer->world;
  int64_t staleness = 0;

  for (size_t i = 0; i < expected_label->n_spans; i++)
    if (trainer->pull_version - expected_label->spans[i].version > staleness)
      staleness = trainer->pull_version - expected_label->spans[i].version;
  if (expected_label->tokens != length)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_NOT_WHOLE, lx_world_now (world),
                               lx_world_get_event_number (world),
                               "%s %s/%" PRId64 " has %" PRId64 " of %" PRId64 " tokens",
                               trainer->name, sample->group, sample->index, expected_label->tokens,
                               length);
  if (!are_labels_complete_and_equal (expected_label, &sample->label))
    lx_audit_report_violation (&world->audit, LX_VIOLATION_MISLABELLED, lx_world_now (world),
                               lx_world_get_event_number (world),
                               "%s %s/%" PRId64 ": expected the label of the text %s, got another",
                               trainer->name, sample->group, sample->index, sample->text);
  if (staleness > world->options.site->max_lag)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_STALE, lx_world_now (world),
                               lx_world_get_event_number (world),
                               "%s %s/%" PRId64 " is %" PRId64 " versions old", trainer->name,
                               sample->group, sample->index, staleness);
  trainer->mixed_samples += expected_label->n_spans > 1;
  if (staleness > trainer->staleness_max_all_steps)
    trainer->staleness_max_all_steps = staleness;
  if (trainer->step == 0)
    return;
  trainer->samples++;
  trainer->staleness_sum += staleness;
  if (staleness > trainer->staleness_max)
    trainer->staleness_max = staleness;
}

static void
record_last_ended_stream_of_step (LxTrainer *trainer, const LxText *text)
{
  if (text->n_segments == 0)
    return;
  uint64_t stream = text->segments[text->n_segments - 1].stream;
  LbTime ended_at = trainer->world->audit.streams[stream - 1].last_token_at;
  if (ended_at <= trainer->last_stream_ended_at)
    return;
  trainer->last_stream = stream;
  trainer->last_stream_ended_at = ended_at;
}

static void
receive_sample (LxTrainer *trainer, const LxChunkSample *sample)
{
  LxWorld *world = trainer->world;
  int64_t group = strtoll (sample->group + 1, NULL, 10);
  size_t slot = (size_t)(group * world->options.samples_per_group + sample->index);
  LxText text = { 0 };
  LcLabel expected_label;

  if (trainer->received[slot])
    {
      lx_audit_report_violation (&world->audit, LX_VIOLATION_DOUBLED, lx_world_now (world),
                                 lx_world_get_event_number (world),
                                 "%s step %" PRId64 ": expected %s/%" PRId64
                                 " once, received it again",
                                 trainer->name, trainer->step, sample->group, sample->index);
      return;
    }
  trainer->received[slot] = 1;
  trainer->n_received++;
  trainer->last_sample_at = lx_world_now (world);
  if (!lx_text_parse (&text, sample->text) || !lx_text_is_contiguous_from (&text, 0))
    lx_audit_report_violation (&world->audit, LX_VIOLATION_NOT_WHOLE, lx_world_now (world),
                               lx_world_get_event_number (world),
                               "%s %s/%" PRId64 ": expected tokens without gap or overlap, got %s",
                               trainer->name, sample->group, sample->index, sample->text);
  record_last_ended_stream_of_step (trainer, &text);
  lx_audit_compute_version_label (&world->audit, &text, &expected_label);
  check_and_count_received_sample (trainer, sample, &expected_label,
                                   lx_compute_sample_length (&world->options, trainer->index,
                                                             trainer->step, group, sample->index));
  lx_audit_get_or_add_step_tokens (&world->audit, compute_audit_step_index (trainer))->delivered
      += expected_label.tokens;
  lx_text_clear (&text);
}

/* Ignores replies to all pulls but the one in progress, for example to a pull that has timed
 * out. */
void
lx_trainer_receive_chunk (LxTrainer *trainer, LxChunk *chunk)
{
  if (chunk->pull_id != trainer->pull_id)
    goto out;
  trainer->pull_id = 0;
  if (chunk->error.code != LB_OK)
    {
      lx_world_record_decision (trainer->world, "%s: pull refused: %s", trainer->name,
                                lb_error_name (chunk->error.code));
      if (chunk->error.code == LB_ERROR_UNKNOWN_STEP || chunk->error.code == LB_ERROR_STALE_SESSION
          || chunk->error.code == LB_ERROR_DRAINING)
        trainer->is_step_open = false;
      schedule_trainer_request (trainer, chunk->retry_after > REQUEST_RETRY_DELAY
                                             ? chunk->retry_after
                                             : REQUEST_RETRY_DELAY);
      goto out;
    }
  for (size_t i = 0; i < chunk->n_samples; i++)
    receive_sample (trainer, &chunk->samples[i]);
  free (trainer->cursor);
  trainer->cursor = lb_strdup (chunk->cursor);
  if (chunk->remaining == 0)
    finish_step_and_request_next_step (trainer);
  else
    send_open_step_or_pull_request (trainer);
out:
  lx_chunk_free (chunk);
}

void
lx_trainer_abort_pull (LxTrainer *trainer)
{
  if (trainer->pull_id == 0)
    return;
  trainer->pull_id = 0;
  trainer->is_step_open = false;
  schedule_trainer_request (trainer, REQUEST_RETRY_DELAY);
}

void
lx_trainer_move_step_to_instance (LxTrainer *trainer, size_t owner)
{
  trainer->owner = owner;
  trainer->is_step_open = false;
  trainer->pull_id = 0;
  send_open_step_or_pull_request (trainer);
}
