#ifndef SK_FAULTS_H
#define SK_FAULTS_H

#include "sk-world.h"

/* A kind of fault. Kinds and times are drawn from the seed; faults overlap. */
typedef struct
{
  const char *name;
  void (*inject) (SkWorld *world);
} SkFault;

/* The last entry has no name. */
extern const SkFault sk_faults[];

/* Injects a fault if it is due, of the kind only_fault or, if that is NULL, of any kind. */
void sk_faults_tick (SkWorld *world, const char *only_fault, LbTime *next_at, LbTime now);
/* Makes all pending recoveries and restarts due now. */
void sk_faults_end_all (SkWorld *world);

#endif
