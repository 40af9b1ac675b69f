#ifndef SK_ONE_SHOT_H
#define SK_ONE_SHOT_H

#include "sk-world.h"

/* Trainers that submit a small batch once and never again: what was refused must not run, what was
 * accepted must be there, and what was ended must stop. */
typedef struct SkOneShots SkOneShots;

SkOneShots *sk_one_shots_new (SkWorld *world);
void sk_one_shots_free (SkOneShots *shots);
void sk_one_shots_tick (SkOneShots *shots, LbTime now);
/* No more batches from now on. */
void sk_one_shots_stop (SkOneShots *shots);
/* An item of one of them, or of any other batch, begins at an engine. */
void sk_one_shots_note_run (SkOneShots *shots, const char *item);

#endif
