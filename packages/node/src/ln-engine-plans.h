#ifndef LN_ENGINE_PLANS_H
#define LN_ENGINE_PLANS_H

#include "lc-roster.h"
#include "ln-context.h"

/* The division of the engines among models: read by every instance from a row of the store, written
 * by the one that orders weights. */
typedef struct LnEnginePlans LnEnginePlans;

/* on_plan: the row has changed. */
LnEnginePlans *ln_engine_plans_new (LnContext *context,
                                    void (*on_plan) (const LcEnginePlan *plan, void *user),
                                    void *user);
void ln_engine_plans_free (LnEnginePlans *plans);
void ln_engine_plans_demand (LnEnginePlans *plans, const char *model, int64_t tokens, LbTime now);
void
ln_engine_plans_tick (LnEnginePlans *plans, const LcRoster *roster, bool may_write, LbTime now);

#endif
