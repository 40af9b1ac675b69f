#ifndef LX_TRAINER_H
#define LX_TRAINER_H

#include "lx-options.h"

#include "lc-rollouts.h"

struct LxWorld;

/* A trainer that requests samples one step ahead: while the trainer trains on step k, the samples
 * of step k + 1 are generated. The trainer is idle from the end of the training until the last
 * sample of the next step arrives. */
typedef struct
{
  struct LxWorld *world;
  size_t index;
  LbName name;
  size_t owner; /* index of the instance that owns the trainer's step */
  int64_t step;
  bool is_step_open;
  LcVersion step_version;   /* newest weight version when the step was first requested */
  LbTime train_until;       /* end of the training on the previous step */
  int64_t max_steps;        /* number of steps after which the trainer stops; 0: no limit */
  LbTime *step_finished_at; /* time when each step was finished, indexed by step */
  /* state of the pull in progress */
  uint64_t pull_id; /* id of the pull in progress; 0: none */
  uint64_t n_pulls;
  LcVersion pull_version; /* newest weight version when the pull was sent */
  LbTime pulled_at;
  char *cursor;
  /* samples received for the current step */
  uint8_t *received; /* indexed by slot; 1: the sample was received */
  int64_t n_received;
  LbTime step_requested_at;
  LbTime last_sample_at;
  uint64_t last_stream; /* stream that ended last among those of the received samples */
  LbTime last_stream_ended_at;
  /* measurements that exclude the first step */
  int64_t steps;
  LbTime idle_time;
  LbTime idle_floor; /* lower bound of idle_time for any policy */
  int64_t samples;
  int64_t staleness_sum;
  int64_t staleness_max;
  /* measurements that include the first step */
  int64_t mixed_samples; /* number of samples with tokens of several versions */
  int64_t staleness_max_all_steps;
} LxTrainer;

/* A sample in an LxChunk; owns copies of its strings. */
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
  int64_t remaining; /* number of samples that follow in later replies */
} LxChunk;

void lx_trainer_init (LxTrainer *trainer, struct LxWorld *world, size_t index);
void lx_trainer_clear (LxTrainer *trainer);

/* Copies the action, because its pointers are valid only until the next command of LcRollouts. */
LxChunk *lx_chunk_new (const LcRolloutAction *action);
void lx_chunk_free (void *chunk);

/* --- functions that change the trainer --- */
/* Starts the first step; the trainer stops after max_steps steps; 0: no limit. */
void lx_trainer_start (LxTrainer *trainer, int64_t max_steps);
/* Takes ownership of the chunk. */
void lx_trainer_receive_chunk (LxTrainer *trainer, LxChunk *chunk);
/* Records that the instance has opened the step. */
void lx_trainer_record_step_opened (LxTrainer *trainer, size_t instance, int64_t step);
/* Ends the pull in progress after its connection broke; the trainer retries. */
void lx_trainer_abort_pull (LxTrainer *trainer);
/* Makes the trainer continue its step at another instance, which takes over the step. */
void lx_trainer_move_step_to_instance (LxTrainer *trainer, size_t owner);

/* --- functions that only read the state --- */
/* Returns the time when the trainer received the last sample of the step; 0: not yet. */
LbTime lx_trainer_get_step_finish_time (const LxTrainer *trainer, int64_t step);
/* Returns the length of a sample in tokens. */
int64_t lx_compute_sample_length (
    const LxOptions *options, size_t trainer, int64_t step, int64_t group, int64_t index);

#endif
