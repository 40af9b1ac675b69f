#ifndef LN_ENGINE_PLANS_H
#define LN_ENGINE_PLANS_H

#include "lc-roster.h"
#include "ln-context.h"

/* What the instance that orders weights decides and knows of the engines: which model each one is
 * used for, which version it has, whether it is loading. Written by that instance into a row of the
 * store, and watched by all: the engines' own entries lag by a second or two. */
typedef struct LnEnginePlans LnEnginePlans;

/* on_plan: the row has changed. */
LnEnginePlans *ln_engine_plans_new (LnContext *context,
                                    void (*on_plan) (const LcEnginePlan *plan, void *user),
                                    void *user);
/* Whether this instance sends to engines, or may soon order their weights: then it hears of changes
 * at once, else now and then. */
void ln_engine_plans_set_needed (LnEnginePlans *plans, bool needed, LbTime now);
void ln_engine_plans_free (LnEnginePlans *plans);
void
ln_engine_plans_add_demand (LnEnginePlans *plans, const char *model, int64_t tokens, LbTime now);
/* What this instance learnt of an engine that it ordered. */
void ln_engine_plans_update_engine (LnEnginePlans *plans, const LcPlanEntry *entry);
void
ln_engine_plans_tick (LnEnginePlans *plans, const LcRoster *roster, bool may_write, LbTime now);

#endif
