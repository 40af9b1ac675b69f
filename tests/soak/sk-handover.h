#ifndef SK_HANDOVER_H
#define SK_HANDOVER_H

#include "sk-world.h"

/* Checks that a batch that its owner releases on a graceful shutdown soon runs again elsewhere. */
typedef struct SkHandovers SkHandovers;

SkHandovers *sk_handovers_new (SkWorld *world);
void sk_handovers_free (SkHandovers *handovers);

/* Reads the logs of all instances for batches that were released and for those that run again.
 * Reports a batch that did not run again in time, if nothing was disturbed meanwhile. */
void sk_handovers_check (SkHandovers *handovers, LbTime now);
/* Returns the running instance that owns the trainer's batch; NULL if there is none. */
SkInstance *sk_handovers_find_owner (SkWorld *world);

#endif
