#ifndef SK_ONE_SHOT_H
#define SK_ONE_SHOT_H

#include "sk-world.h"

/* Trainers that submit a small batch once, without a retry, and delete every second one that is
 * accepted: a refused batch must not run, and a deleted one must stop. */
typedef struct SkOneShots SkOneShots;

SkOneShots *sk_one_shots_new (SkWorld *world);
void sk_one_shots_free (SkOneShots *one_shots);
/* Submits the next batch if it is due. */
void sk_one_shots_tick (SkOneShots *one_shots, LbTime now);
/* Submits no more batches from now on. */
void sk_one_shots_stop (SkOneShots *one_shots);
/* Called when an engine starts an item; items of other batches are ignored. */
void sk_one_shots_record_run (SkOneShots *one_shots, const char *item);

#endif
