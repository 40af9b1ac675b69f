#ifndef SK_ONE_SHOT_H
#define SK_ONE_SHOT_H

#include "sk-world.h"

/* Simulates trainers that submit each small batch once, without a retry, and delete every second
 * accepted batch. A refused batch must not run, and a deleted batch must stop. */
typedef struct SkOneShotTrainers SkOneShotTrainers;

SkOneShotTrainers *sk_one_shot_trainers_new (SkWorld *world);
void sk_one_shot_trainers_free (SkOneShotTrainers *one_shot_trainers);
/* Submits the next batch if it is due. */
void sk_one_shot_trainers_submit_batch_if_due (SkOneShotTrainers *one_shot_trainers, LbTime now);
/* Stops submitting batches. */
void sk_one_shot_trainers_stop_new_batches (SkOneShotTrainers *one_shot_trainers);
/* Records that an engine starts an item. Items of batches of other trainers are ignored. */
void sk_one_shot_trainers_record_item_start (SkOneShotTrainers *one_shot_trainers,
                                             const char *item);

#endif
