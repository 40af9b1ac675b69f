#ifndef SK_TRAINER_H
#define SK_TRAINER_H

#include "sk-world.h"

/* A trainer: submits a step, again and again until it is accepted, reads its results at any
 * instance, ends it and names new weights for the next one. */
typedef struct SkTrainer SkTrainer;

SkTrainer *sk_trainer_new (SkWorld *world);
void sk_trainer_free (SkTrainer *trainer);
void sk_trainer_tick (SkTrainer *trainer, LbTime now);
/* No further step; the present one is read to its end. */
void sk_trainer_stop (SkTrainer *trainer);
/* Every step that was accepted is whole. */
bool sk_trainer_is_done (const SkTrainer *trainer);
/* Reads the last step once more at this instance, from the start. */
void sk_trainer_read_again (SkTrainer *trainer, SkInstance *instance);
bool sk_trainer_is_reading (const SkTrainer *trainer);

#endif
