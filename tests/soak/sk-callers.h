#ifndef SK_CALLERS_H
#define SK_CALLERS_H

#include "sk-world.h"

/* Live callers. They send lookups (idempotent) and orders (not idempotent), and probe the route
 * that the newest configuration added. Open connections are reused until the process behind them
 * ends. */
typedef struct SkCallers SkCallers;

SkCallers *sk_callers_new (SkWorld *world);
void sk_callers_free (SkCallers *callers);
/* Starts the calls that are due. */
void sk_callers_tick (SkCallers *callers, LbTime now);
/* Starts no more calls from now on. */
void sk_callers_stop (SkCallers *callers);

#endif
