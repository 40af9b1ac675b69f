#ifndef SK_CALLERS_H
#define SK_CALLERS_H

#include "sk-world.h"

/* Live callers: lookups, which may be repeated, and orders, which may not; and probes of the routes
 * that each desired state adds. They keep connections open until the process behind them is gone.
 */
typedef struct SkCallers SkCallers;

SkCallers *sk_callers_new (SkWorld *world);
void sk_callers_free (SkCallers *callers);
/* Starts what is due. */
void sk_callers_tick (SkCallers *callers, LbTime now);
/* No more calls from now on. */
void sk_callers_stop (SkCallers *callers);

#endif
