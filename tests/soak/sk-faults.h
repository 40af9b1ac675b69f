#ifndef SK_FAULTS_H
#define SK_FAULTS_H

#include "sk-world.h"

/* What goes wrong, and when: drawn from the world's seed, in series and overlapping. */
typedef struct
{
  const char *name;
  void (*strike) (SkWorld *world);
} SkFault;

/* Ended by one without a name. */
extern const SkFault sk_faults[];

/* Strikes when it is time; only: name of the one kind to strike with, NULL: any. */
void sk_faults_tick (SkWorld *world, const char *only, LbTime *next, LbTime now);
/* All faults end, and what was killed is started. */
void sk_faults_end (SkWorld *world);

#endif
