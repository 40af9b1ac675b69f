#ifndef LC_ROSTER_H
#define LC_ROSTER_H

#include "lc-engine-plan.h"
#include "lc-resources.h"

/* This instance's view of the endpoints that are registered in the store, and the model that each
 * engine is used for. No I/O. */

#define LC_MAX_MODELS 8

typedef struct
{
  LbName name;
  LcVersion version;
} LcModelVersion;

/* An endpoint's registration in the store. Each start of an endpoint has a new name, even if its id
 * stays the same, so that no state of an earlier process is applied to a later one. */
typedef struct
{
  LbName name;
  LbName address;
  LbName data_centre;
  LbName service;
  int64_t slots; /* concurrent requests that it can process */
  bool leaving;
  bool is_spot;                         /* on preemptible capacity, at a lower price */
  LcModelVersion models[LC_MAX_MODELS]; /* n_models 0: a plain service */
  size_t n_models;
} LcRegistration;

typedef struct LcRoster LcRoster;

LcRoster *lc_roster_new (void);
void lc_roster_free (LcRoster *roster);

/* commands */
/* Applies a complete list, requested from the store at asked_at. True if the resource set
 * changed. */
bool lc_roster_apply_list (
    LcRoster *roster, const LcRegistration *list, size_t n_list, LbTime asked_at, LbTime now);
/* The store's list, requested at asked_at, is the same as last time. True if the resource set
 * changed, which it may when the grace period after an outage of the store has ended. */
bool lc_roster_confirm_list (LcRoster *roster, LbTime asked_at, LbTime now);
/* Sets the planning instance's assignment of engines to models. Engines that the plan does not name
 * are divided evenly. True if the resource set changed. */
bool lc_roster_set_engine_plan (LcRoster *roster, const LcEnginePlan *plan);

/* queries */
/* Time between two requests for the list of endpoints. */
LbTime lc_roster_list_period (const LcRoster *roster);
size_t lc_roster_count (const LcRoster *roster);
const LcRegistration *lc_roster_registration (const LcRoster *roster, size_t index);
/* The model that the engine is used for; "" for a plain service. */
const char *lc_roster_assigned_model (const LcRoster *roster, size_t index);
/* The engine's version of the model that it is used for: the later one of its registration and the
 * plan; 0: none. */
LcVersion lc_roster_latest_weight_version (const LcRoster *roster, size_t index);
/* The same, from the engine's registration alone. */
LcVersion lc_roster_registered_weight_version (const LcRoster *roster, size_t index);
/* Builds a set with a pool for each model and a member for each endpoint. checks_fence: whether
 * engines reject orders with an outdated fencing number, which registrations do not state. */
LcResourceSet *lc_roster_to_resources (const LcRoster *roster, int64_t revision, bool checks_fence);

#endif
