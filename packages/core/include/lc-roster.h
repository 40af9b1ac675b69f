#ifndef LC_ROSTER_H
#define LC_ROSTER_H

#include "lc-engine-plan.h"
#include "lc-resources.h"

/* The endpoints that register themselves in the store, as this instance believes them to be, and
 * which model each engine is used for. No I/O. */

#define LC_MAX_MODELS 8

typedef struct
{
  LbName name;
  LcVersion version;
} LcModelVersion;

/* One start of an endpoint as its own entry in the store tells: a new start has a new name, also
 * where it kept its id, so that no belief outlives the start that it is about. */
typedef struct
{
  LbName name;
  LbName address;
  LbName data_centre;
  LbName service;
  int64_t slots; /* requests that it works on at once */
  bool leaving;
  bool is_spot;                         /* of the kind that costs less and may be taken away */
  LcModelVersion models[LC_MAX_MODELS]; /* none: a plain service */
  size_t n_models;
} LcRegistration;

typedef struct LcRoster LcRoster;

LcRoster *lc_roster_new (void);
void lc_roster_free (LcRoster *roster);

/* commands */
/* A whole list that the store gave at asked_at; true when the resource set has changed. */
bool lc_roster_update (
    LcRoster *roster, const LcRegistration *list, size_t n_list, LbTime asked_at, LbTime now);
/* The list that was taken last was true at asked_at as well. */
bool lc_roster_confirm_list (LcRoster *roster, LbTime asked_at, LbTime now);
/* Which engine is used for which model, as the planning instance says; engines that it does not
 * name are divided evenly. True when the resource set has changed. */
bool lc_roster_set_plan (LcRoster *roster, const LcEnginePlan *plan);

/* queries */
/* From asking for a list of the endpoints to asking for the next one. */
LbTime lc_roster_list_period (const LcRoster *roster);
size_t lc_roster_count (const LcRoster *roster);
const LcRegistration *lc_roster_registration (const LcRoster *roster, size_t index);
/* The model that the engine is used for; "" for a plain service. */
const char *lc_roster_model (const LcRoster *roster, size_t index);
/* The version that the engine has of the model it is used for, by the list or by the plan,
 * whichever knows of the later one; 0: none. */
LcVersion lc_roster_latest_version (const LcRoster *roster, size_t index);
/* The same by the engine's own entry alone. */
LcVersion lc_roster_registered_version (const LcRoster *roster, size_t index);
/* A pool for each model and each endpoint in its pool. checks_fence: whether engines refuse orders
 * with an old fencing number, which the list does not say. */
LcResourceSet *lc_roster_to_resources (const LcRoster *roster, int64_t revision, bool checks_fence);

#endif
