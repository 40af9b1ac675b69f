#ifndef LN_ENGINE_PLANS_H
#define LN_ENGINE_PLANS_H

#include "lc-roster.h"
#include "ln-context.h"
#include "ln-messages.h"

/* Plan of the engines: which model each engine serves, which version of the model it has and
 * whether it is loading. The instance that orders weights writes the plan to rows of the store. All
 * instances watch these rows, since the endpoint rows of the engines lag by a second or two. */
typedef struct LnEnginePlans LnEnginePlans;

/* on_plan: called when the plan has changed. */
LnEnginePlans *ln_engine_plans_new (LnContext *context,
                                    void (*on_plan) (const LcEnginePlan *plan, void *user),
                                    void *user);
/* Sets whether changes of the plan are received at once, or else read at intervals. An instance
 * that sends requests to engines, or may soon order their weights, needs changes at once. */
void ln_engine_plans_set_watched (LnEnginePlans *plans, bool is_watched, LbTime now);
void ln_engine_plans_free (LnEnginePlans *plans);
void
ln_engine_plans_add_demand (LnEnginePlans *plans, const char *model, int64_t tokens, LbTime now);
/* Records that a trainer submitted a step or that the step ended, and the engines' paces. */
void ln_engine_plans_record_trainer_step (LnEnginePlans *plans,
                                          const LnTrainerStepMessage *message,
                                          LbTime now);
/* Records the state of an engine; ignored unless this instance writes the plan. */
void ln_engine_plans_record_engine_state (LnEnginePlans *plans, const LcPlanEntry *entry);
void
ln_engine_plans_tick (LnEnginePlans *plans, const LcRoster *roster, bool may_write, LbTime now);

#endif
