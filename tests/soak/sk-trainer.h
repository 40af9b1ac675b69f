#ifndef SK_TRAINER_H
#define SK_TRAINER_H

#include "sk-world.h"

/* A trainer. It submits a step until an instance accepts it, reads the results from random
 * instances, deletes the step's batch and announces new weights for the next step. */
typedef struct SkTrainer SkTrainer;

SkTrainer *sk_trainer_new (SkWorld *world);
void sk_trainer_free (SkTrainer *trainer);
void sk_trainer_tick (SkTrainer *trainer, LbTime now);
/* Starts no further step; the current one is completed. */
void sk_trainer_stop (SkTrainer *trainer);
/* Whether the trainer was stopped and has the results of all its steps. */
bool sk_trainer_is_done (const SkTrainer *trainer);
/* Reads the last step again from this instance, from the first result. */
void sk_trainer_reread (SkTrainer *trainer, SkInstance *instance);
bool sk_trainer_has_open_call (const SkTrainer *trainer);

#endif
