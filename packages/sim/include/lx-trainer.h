#ifndef LX_TRAINER_H
#define LX_TRAINER_H

#include "lx-options.h"

#include "lc-rollouts.h"

struct LxWorld;

/* A trainer that works one step ahead: while it trains on step k, the samples of step k + 1 are
 * made. It is idle from the end of its training until the last sample of the next step is there. */
typedef struct
{
  struct LxWorld *world;
  size_t index;
  LbName name;
  size_t owner; /* instance that owns the step */
  int64_t step;
  bool opened;
  LcVersion opened_version; /* that it stated when it first asked for the step */
  LbTime train_until;
  int64_t wanted;   /* steps to work; 0: no end */
  LbTime *finished; /* by step, grows */
  /* the pull in progress */
  uint64_t pull; /* 0: none */
  uint64_t n_pulls;
  LcVersion pull_version;
  LbTime pulled_at;
  char *cursor;
  /* what it has of the step */
  uint8_t *got;
  int64_t n_got;
  LbTime opened_at;
  LbTime last_sample_at;
  uint64_t last_stream; /* that ended last among those it has samples of */
  LbTime last_ended;
  /* measures, without the first step */
  int64_t steps;
  LbTime idle;
  LbTime idle_floor; /* idle time if the longest sample had run alone from the start */
  int64_t samples;
  int64_t staleness_sum;
  int64_t staleness_max;
  int64_t mixed;  /* samples of more than one version */
  int64_t oldest; /* largest staleness of all steps, the first too */
} LxTrainer;

/* A chunk on its way to the trainer; owned by its holder. */
typedef struct
{
  char *group;
  int64_t index;
  char *text;
  LcLabel label;
} LxChunkSample;

typedef struct
{
  size_t trainer;
  uint64_t pull;
  int64_t step;
  LbError error;
  LbTime retry_after;
  LxChunkSample *samples;
  size_t n_samples;
  char *cursor;
  int64_t remaining;
} LxChunk;

void lx_trainer_init (LxTrainer *trainer, struct LxWorld *world, size_t index);
void lx_trainer_clear (LxTrainer *trainer);

LxChunk *lx_chunk_new (const LcRolloutAction *action);
void lx_chunk_free (void *chunk);

/* commands */
void lx_trainer_start (LxTrainer *trainer, int64_t wanted);
void lx_trainer_receive_chunk (LxTrainer *trainer, LxChunk *chunk);
/* The instance has its step open. */
void lx_trainer_step_opened (LxTrainer *trainer, size_t instance, int64_t step);
/* The connection of its pull broke. */
void lx_trainer_abort_pull (LxTrainer *trainer);
/* It goes to another instance, which will take its step over. */
void lx_trainer_change_owner (LxTrainer *trainer, size_t owner);

/* queries */
/* When it had all samples of the step; 0: not yet. */
LbTime lx_trainer_step_finished_at (const LxTrainer *trainer, int64_t step);
int64_t lx_sample_length (
    const LxOptions *options, size_t trainer, int64_t step, int64_t group, int64_t index);

#endif
