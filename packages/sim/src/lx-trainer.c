#include "lx-trainer.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define PULL_WAIT (5 * LB_SEC)
#define PULL_PATIENCE (8 * LB_SEC) /* then the pull is repeated */
#define RETRY_TIME (500 * LB_MSEC)
#define STUCK_TIME (300 * LB_SEC)
/* No sample is longer: three times the shortest, ten times that. */
#define MAX_LENGTH 41
#define STRAGGLERS 0.05

static void ask (LxTrainer *trainer);

/* 0 <= value < 1, the same for the same numbers. */
static double
chance (uint64_t seed, const int64_t *numbers, size_t n)
{
  return (double)(XXH64 (numbers, n * sizeof (int64_t), seed) >> 11) / 9007199254740992.0;
}

/* Length of a sample in tokens: one to three times the shortest, and ten times that for one sample
 * in twenty. A share of these stragglers, given by the options, are in groups whose prompt is hard,
 * where every second sample is one. The length belongs to the slot: a hedge or a repeat of it gets
 * the same, so that no policy can gain by drawing again until a short one comes. */
int64_t
lx_sample_length (
    const LxOptions *options, size_t trainer, int64_t step, int64_t group, int64_t index)
{
  const int64_t of_group[] = { (int64_t)trainer, step, group };
  const int64_t of_slot[] = { (int64_t)trainer, step, group, index };
  double hard_groups = 2 * STRAGGLERS * options->hard_share;
  double elsewhere = STRAGGLERS * (1 - options->hard_share) / (1 - hard_groups);
  double spread = 2 * chance (options->seed, of_slot, 4);
  int64_t length = (int64_t)((1 + spread) * (double)options->shortest);
  bool hard = chance (options->seed, of_group, 3) < hard_groups;
  bool straggler = chance (options->seed + 1, of_slot, 4) < (hard ? 0.5 : elsewhere);

  return straggler ? 10 * length : length;
}

void
lx_trainer_init (LxTrainer *trainer, LxWorld *world, size_t index)
{
  memset (trainer, 0, sizeof *trainer);
  trainer->world = world;
  trainer->index = index;
  trainer->owner = index % world->n_instances;
  snprintf (trainer->name, sizeof trainer->name, "trainer-%zu", index + 1);
  trainer->got = LB_NEW_ARRAY (uint8_t, (size_t)(world->options.groups * world->options.samples));
  trainer->cursor = lb_strdup ("");
}

void
lx_trainer_clear (LxTrainer *trainer)
{
  free (trainer->got);
  free (trainer->cursor);
  free (trainer->finished);
}

/* Copies the reply of a pull, whose pointers live only until the next command. */
LxChunk *
lx_chunk_new (const LcRolloutAction *action)
{
  LxChunk *chunk = LB_NEW (LxChunk);

  chunk->trainer = (size_t)(action->pull_id >> 40);
  chunk->pull = action->pull_id;
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
fill_spec (const LxTrainer *trainer, LcStepSpec *spec)
{
  const LxOptions *options = &trainer->world->options;

  LB_COPY (spec->subscription, trainer->name);
  spec->step = trainer->step;
  spec->trainer_version = trainer->opened_version;
  spec->n_groups = (size_t)options->groups;
  spec->groups = LB_NEW_ARRAY (LcGroupSpec, spec->n_groups);
  for (size_t i = 0; i < spec->n_groups; i++)
    {
      snprintf (spec->groups[i].id, LB_NAME_MAX, "g%zu", i);
      spec->groups[i].prompt
          = lb_asprintf ("t%zu/s%" PRId64 "/g%zu", trainer->index, trainer->step, i);
      spec->groups[i].samples = options->samples;
      spec->groups[i].max_tokens = MAX_LENGTH * options->shortest;
    }
}

static void
on_ask (void *owner, void *argument)
{
  (void)argument;
  ask (owner);
}

static void
ask_later (LxTrainer *trainer, LbTime delay)
{
  lx_world_schedule (trainer->world, delay, on_ask, trainer, NULL, NULL);
}

static void
on_open (LxInstance *instance, void *argument)
{
  LxTrainer *trainer = argument;
  LcStepSpec spec = { 0 };

  if (trainer->opened || trainer->owner != instance->index)
    return;
  fill_spec (trainer, &spec);
  lx_instance_open_step (instance, &spec, trainer->index);
}

void
lx_trainer_step_opened (LxTrainer *trainer, size_t instance, int64_t step)
{
  if (trainer->owner != instance || trainer->step != step)
    return;
  trainer->opened = true;
}

static void
send_open (LxTrainer *trainer)
{
  LxWorld *world = trainer->world;
  const LxInstance *instance = lx_world_choose_instance (world, trainer->owner);

  if (!instance)
    return;
  trainer->owner = instance->index;
  lx_instance_post (&world->instances[trainer->owner], world->options.site->to_clients, on_open,
                    trainer, NULL);
}

typedef struct
{
  LcPull pull;
  char *cursor;
} Pulling;

static void
drop_pulling (void *argument)
{
  Pulling *pulling = argument;

  free (pulling->cursor);
  free (pulling);
}

static void
on_pull (LxInstance *instance, void *argument)
{
  Pulling *pulling = argument;

  pulling->pull.cursor = pulling->cursor;
  lx_instance_pull (instance, &pulling->pull);
}

static void
on_patience (void *owner, void *argument)
{
  LxTrainer *trainer = owner;

  if (trainer->pull != (uintptr_t)argument)
    return;
  trainer->pull = 0;
  trainer->opened = false;
  ask (trainer);
}

/* Pulls, with the version it trains now and the cursor of the last chunk it has. */
static void
send_pull (LxTrainer *trainer)
{
  LxWorld *world = trainer->world;
  Pulling *pulling = LB_NEW (Pulling);
  static const uint64_t pull_mask = ((uint64_t)1 << 40) - 1;

  trainer->pull = ((uint64_t)trainer->index << 40) | (++trainer->n_pulls & pull_mask);
  trainer->pull_version = world->swaps.newest;
  pulling->cursor = lb_strdup (trainer->cursor);
  pulling->pull = (LcPull){ .id = trainer->pull,
                            .step = trainer->step,
                            .trainer_version = trainer->pull_version,
                            .max_samples = world->options.groups * world->options.samples,
                            .wait_until = lx_world_now (world) + PULL_WAIT };
  LB_COPY (pulling->pull.subscription, trainer->name);
  lx_instance_post (&world->instances[trainer->owner], world->options.site->to_clients, on_pull,
                    pulling, drop_pulling);
  lx_world_schedule (world, PULL_PATIENCE, on_patience, trainer, (void *)(uintptr_t)trainer->pull,
                     NULL);
}

static void
check_stuck (LxTrainer *trainer)
{
  LxWorld *world = trainer->world;
  LbTime now = lx_world_now (world);
  LbTime since = trainer->last_sample_at > trainer->train_until ? trainer->last_sample_at
                                                                : trainer->train_until;

  if (now - since < STUCK_TIME)
    return;
  lx_audit_report_violation (&world->audit, LX_VIOLATION_STUCK, now, lx_world_event_number (world),
                             "%s got no sample of step %" PRId64 " for %lld s", trainer->name,
                             trainer->step, (long long)((now - since) / LB_SEC));
  trainer->last_sample_at = now;
}

/* Does what the trainer needs next: open the step, or pull once its training is over. */
static void
ask (LxTrainer *trainer)
{
  LbTime now = lx_world_now (trainer->world);

  check_stuck (trainer);
  if (trainer->pull != 0)
    return;
  if (!trainer->opened)
    {
      send_open (trainer);
      ask_later (trainer, RETRY_TIME);
    }
  else if (now < trainer->train_until)
    {
      ask_later (trainer, trainer->train_until - now);
    }
  else
    {
      send_pull (trainer);
    }
}

static void
begin_step (LxTrainer *trainer)
{
  const LxOptions *options = &trainer->world->options;

  memset (trainer->got, 0, (size_t)(options->groups * options->samples));
  trainer->n_got = 0;
  trainer->opened = false;
  trainer->opened_version = trainer->world->swaps.newest;
  trainer->opened_at = lx_world_now (trainer->world);
  free (trainer->cursor);
  trainer->cursor = lb_strdup ("");
  ask (trainer);
}

void
lx_trainer_start (LxTrainer *trainer, int64_t wanted)
{
  trainer->wanted = wanted;
  trainer->train_until = lx_world_now (trainer->world);
  begin_step (trainer);
}

LbTime
lx_trainer_step_finished_at (const LxTrainer *trainer, int64_t step)
{
  return step < trainer->step ? trainer->finished[step] : 0;
}

static uint64_t
step_number (const LxTrainer *trainer)
{
  return (uint64_t)trainer->step * trainer->world->options.n_trainers + trainer->index;
}

/* Idle time that no policy can take away: the step's longest sample, alone on an engine from the
 * moment when the step was opened. */
static LbTime
idle_floor (const LxTrainer *trainer)
{
  const LxOptions *options = &trainer->world->options;
  const LxEngineTimes *times = &trainer->world->engines[0]->times;
  int64_t longest = 0;

  for (int64_t i = 0; i < options->groups * options->samples; i++)
    {
      int64_t length = lx_sample_length (options, trainer->index, trainer->step,
                                         i / options->samples, i % options->samples);
      longest = length > longest ? length : longest;
    }

  LbTime needed = (LbTime)((double)longest * times->token * LB_SEC);
  return needed > options->train_time ? needed - options->train_time : 0;
}

/* What set the end of the step: the sample whose stream ended last. */
static void
explain_step (const LxTrainer *trainer)
{
  const LxWorld *world = trainer->world;
  const LxStreamRecord *truth = &world->audit.streams[trainer->last_stream - 1];
  const LxJob *job = &world->audit.jobs[truth->job - 1];
  double opened = (double)trainer->opened_at / LB_SEC;

  fprintf (stderr,
           "%s step %" PRId64
           ": opened %.1f s, trained until +%.1f, done +%.1f; last sample: %" PRId64
           " tokens, stream begun +%.1f, ended +%.1f\n",
           trainer->name, trainer->step, opened, (double)trainer->train_until / LB_SEC - opened,
           (double)lx_world_now (world) / LB_SEC - opened, job->length,
           (double)truth->begun / LB_SEC - opened, (double)trainer->last_ended / LB_SEC - opened);
}

static void
finish_step (LxTrainer *trainer)
{
  LxWorld *world = trainer->world;
  const LxOptions *options = &world->options;
  int64_t slots = options->groups * options->samples;

  if (trainer->n_got < slots)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_LOST, lx_world_now (world),
                               lx_world_event_number (world),
                               "%s step %" PRId64 " done with %" PRId64 " of %" PRId64 " samples",
                               trainer->name, trainer->step, trainer->n_got, slots);
  lx_audit_step (&world->audit, step_number (trainer))->done = true;
  if (options->explain)
    explain_step (trainer);
  if (trainer->step > 0)
    {
      trainer->steps++;
      trainer->idle += lx_world_now (world) - trainer->train_until;
      trainer->idle_floor += idle_floor (trainer);
    }
  trainer->finished = lb_realloc (trainer->finished, (size_t)(trainer->step + 1) * sizeof (LbTime));
  trainer->finished[trainer->step] = lx_world_now (world);
  trainer->step++;
  trainer->train_until = lx_world_now (world) + options->train_time;
  if (trainer->step == trainer->wanted)
    return;
  begin_step (trainer);
}

static bool
same_label (const LcLabel *a, const LcLabel *b)
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
check_label (LxTrainer *trainer, const LxChunkSample *sample, const LcLabel *truth, int64_t length)
{
  LxWorld *world = trainer->world;
  int64_t staleness = 0;

  for (size_t i = 0; i < truth->n_spans; i++)
    if (trainer->pull_version - truth->spans[i].version > staleness)
      staleness = trainer->pull_version - truth->spans[i].version;
  if (truth->tokens != length)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_NOT_WHOLE, lx_world_now (world),
                               lx_world_event_number (world),
                               "%s %s/%" PRId64 " has %" PRId64 " of %" PRId64 " tokens",
                               trainer->name, sample->group, sample->index, truth->tokens, length);
  if (!same_label (truth, &sample->label))
    lx_audit_report_violation (&world->audit, LX_VIOLATION_MISLABELLED, lx_world_now (world),
                               lx_world_event_number (world), "%s %s/%" PRId64 ": %s",
                               trainer->name, sample->group, sample->index, sample->text);
  if (staleness > world->options.site->max_lag)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_STALE, lx_world_now (world),
                               lx_world_event_number (world), "%s %s/%" PRId64 " lags %" PRId64,
                               trainer->name, sample->group, sample->index, staleness);
  trainer->mixed += truth->n_spans > 1;
  if (staleness > trainer->oldest)
    trainer->oldest = staleness;
  if (trainer->step == 0)
    return;
  trainer->samples++;
  trainer->staleness_sum += staleness;
  if (staleness > trainer->staleness_max)
    trainer->staleness_max = staleness;
}

static void
note_last_stream (LxTrainer *trainer, const LxText *text)
{
  if (text->n_segments == 0)
    return;
  uint64_t stream = text->segments[text->n_segments - 1].stream;
  LbTime ended = trainer->world->audit.streams[stream - 1].ended;
  if (ended <= trainer->last_ended)
    return;
  trainer->last_stream = stream;
  trainer->last_ended = ended;
}

static void
take_sample (LxTrainer *trainer, const LxChunkSample *sample)
{
  LxWorld *world = trainer->world;
  int64_t group = strtoll (sample->group + 1, NULL, 10);
  size_t slot = (size_t)(group * world->options.samples + sample->index);
  LxText text = { 0 };
  LcLabel truth;

  if (trainer->got[slot])
    {
      lx_audit_report_violation (&world->audit, LX_VIOLATION_DOUBLED, lx_world_now (world),
                                 lx_world_event_number (world), "%s step %" PRId64 " %s/%" PRId64,
                                 trainer->name, trainer->step, sample->group, sample->index);
      return;
    }
  trainer->got[slot] = 1;
  trainer->n_got++;
  trainer->last_sample_at = lx_world_now (world);
  if (!lx_text_parse (&text, sample->text) || !lx_text_is_contiguous (&text, 0))
    lx_audit_report_violation (&world->audit, LX_VIOLATION_NOT_WHOLE, lx_world_now (world),
                               lx_world_event_number (world), "%s %s/%" PRId64 ": %s",
                               trainer->name, sample->group, sample->index, sample->text);
  note_last_stream (trainer, &text);
  lx_audit_compute_label (&world->audit, &text, &truth);
  check_label (trainer, sample, &truth,
               lx_sample_length (&world->options, trainer->index, trainer->step, group,
                                 sample->index));
  lx_audit_step (&world->audit, step_number (trainer))->delivered += truth.tokens;
  lx_text_clear (&text);
}

/* A reply to its pull; any other, such as one that was given up on, is not looked at. */
void
lx_trainer_receive_chunk (LxTrainer *trainer, LxChunk *chunk)
{
  if (chunk->pull != trainer->pull)
    goto out;
  trainer->pull = 0;
  if (chunk->error.code != LB_OK)
    {
      lx_world_record_decision (trainer->world, "%s: pull refused: %s", trainer->name,
                                lb_error_name (chunk->error.code));
      if (chunk->error.code == LB_ERROR_UNKNOWN_STEP || chunk->error.code == LB_ERROR_STALE_SESSION
          || chunk->error.code == LB_ERROR_DRAINING)
        trainer->opened = false;
      ask_later (trainer, chunk->retry_after > RETRY_TIME ? chunk->retry_after : RETRY_TIME);
      goto out;
    }
  for (size_t i = 0; i < chunk->n_samples; i++)
    take_sample (trainer, &chunk->samples[i]);
  free (trainer->cursor);
  trainer->cursor = lb_strdup (chunk->cursor);
  if (chunk->remaining == 0)
    finish_step (trainer);
  else
    ask (trainer);
out:
  lx_chunk_free (chunk);
}

void
lx_trainer_abort_pull (LxTrainer *trainer)
{
  if (trainer->pull == 0)
    return;
  trainer->pull = 0;
  trainer->opened = false;
  ask_later (trainer, RETRY_TIME);
}

void
lx_trainer_change_owner (LxTrainer *trainer, size_t owner)
{
  trainer->owner = owner;
  trainer->opened = false;
  trainer->pull = 0;
  ask (trainer);
}
