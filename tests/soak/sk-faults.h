#ifndef SK_FAULTS_H
#define SK_FAULTS_H

#include "sk-world.h"

/* A kind of fault. The kinds and times of faults are random and depend on the seed; faults overlap.
 */
typedef struct
{
  const char *name;
  void (*inject) (SkWorld *world);
} SkFault;

/* All kinds of faults. The last entry has the name NULL. */
extern const SkFault sk_faults[];

/* Returns the number of kinds in sk_faults. */
size_t sk_faults_count_kinds (void);
/* If *next_at has passed, injects a fault and advances *next_at. only_fault_kind: name of the kind
 * of fault; NULL: a random kind. */
void sk_faults_inject_next_if_due (SkWorld *world,
                                   const char *only_fault_kind,
                                   LbTime *next_at,
                                   LbTime now);
/* Makes all pending restarts, resumes and repairs due at once, so that all faults end. */
void sk_faults_end_all (SkWorld *world);

#endif
