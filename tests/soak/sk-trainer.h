#ifndef SK_TRAINER_H
#define SK_TRAINER_H

#include "sk-world.h"

/* Simulates a trainer. For each step, the trainer submits a batch until an instance accepts it,
 * reads the results from random instances, deletes the batch and announces a new weight version. */
typedef struct SkTrainer SkTrainer;

SkTrainer *sk_trainer_new (SkWorld *world);
void sk_trainer_free (SkTrainer *trainer);
void sk_trainer_start_due_call (SkTrainer *trainer, LbTime now);
/* Lets the trainer complete its current step and start no further step. */
void sk_trainer_stop_after_step (SkTrainer *trainer);
/* Returns true if the trainer was stopped and has completed the step that it then ran. */
bool sk_trainer_has_completed_last_step (const SkTrainer *trainer);
/* Requests all results of the last step again, from this instance. */
void sk_trainer_reread_results (SkTrainer *trainer, SkInstance *instance);
bool sk_trainer_has_call_in_progress (const SkTrainer *trainer);

#endif
