#ifndef SK_CALLERS_H
#define SK_CALLERS_H

#include "sk-world.h"

/* Simulates callers. They send lookups (idempotent) and orders (not idempotent), and probe the
 * route that the newest configuration added. Three of four calls reuse an open connection to the
 * process, if there is one. */
typedef struct SkCallers SkCallers;

SkCallers *sk_callers_new (SkWorld *world);
void sk_callers_free (SkCallers *callers);
void sk_callers_start_due_calls (SkCallers *callers, LbTime now);
/* Stops starting new calls; calls in progress continue. */
void sk_callers_stop_new_calls (SkCallers *callers);

#endif
