#ifndef LX_TRAINER_H
#define LX_TRAINER_H

#include "lx-options.h"

#include "lc-rollouts.h"

struct LxWorld;

/* A trainer that requests samples one step ahead: while it trains on step k, the samples of step
 * k + 1 are generated. It is idle from the end of its training until it has received the last
 * sample of the next step. */
typedef struct
{
  struct LxWorld *world;
  size_t index;
  LbName name;
  size_t owner; /* index of the instance that owns the step */
  int64_t step;
  bool is_step_open;
  LcVersion step_version;   /* its version when it first requested the step */
  LbTime train_until;       /* end of the training on the previous step */
  int64_t max_steps;        /* 0: no limit */
  LbTime *step_finished_at; /* by step */
  /* the pull in progress */
  uint64_t pull_id; /* 0: none */
  uint64_t n_pulls;
  LcVersion pull_version; /* newest version when it was sent */
  LbTime pulled_at;
  char *cursor;
  /* samples of the step */
  uint8_t *received; /* by slot */
  int64_t n_received;
  LbTime step_requested_at;
  LbTime last_sample_at;
  uint64_t last_stream; /* of the streams of received samples, the one that ended last */
  LbTime last_stream_ended_at;
  /* measurements without the first step */
  int64_t steps;
  LbTime idle_time;
  LbTime idle_floor; /* idle time if the longest sample had run alone from the start */
  int64_t samples;
  int64_t staleness_sum;
  int64_t staleness_max;
  /* measurements with the first step */
  int64_t mixed_samples; /* of more than one version */
  int64_t staleness_max_all_steps;
} LxTrainer;

/* A sample of a chunk, with its own copies of the texts. */
typedef struct
{
  char *group;
  int64_t index;
  char *text;
  LcLabel label;
} LxChunkSample;

/* The reply to a pull, in transit to the trainer. */
typedef struct
{
  size_t trainer;
  uint64_t pull_id;
  int64_t step;
  LbError error;
  LbTime retry_after;
  LxChunkSample *samples;
  size_t n_samples;
  char *cursor;
  int64_t remaining; /* samples of the step that follow in later replies */
} LxChunk;

void lx_trainer_init (LxTrainer *trainer, struct LxWorld *world, size_t index);
void lx_trainer_clear (LxTrainer *trainer);

/* Copies the action: its pointers are valid only until the next command of LcRollouts. */
LxChunk *lx_chunk_new (const LcRolloutAction *action);
void lx_chunk_free (void *chunk);

/* commands */
/* Runs this many steps; 0: no limit. */
void lx_trainer_start (LxTrainer *trainer, int64_t max_steps);
/* Takes ownership of the chunk. */
void lx_trainer_receive_chunk (LxTrainer *trainer, LxChunk *chunk);
/* The instance has opened the step. */
void lx_trainer_handle_step_opened (LxTrainer *trainer, size_t instance, int64_t step);
/* The connection of the pull broke. */
void lx_trainer_abort_pull (LxTrainer *trainer);
/* Makes the trainer continue at another instance, which takes over the step. */
void lx_trainer_change_owner (LxTrainer *trainer, size_t owner);

/* queries */
/* Returns when the trainer had all samples of the step; 0: not yet. */
LbTime lx_trainer_step_finished_at (const LxTrainer *trainer, int64_t step);
/* Returns the length of a sample in tokens. */
int64_t lx_sample_length (
    const LxOptions *options, size_t trainer, int64_t step, int64_t group, int64_t index);

#endif
