#ifndef LC_ROSTER_H
#define LC_ROSTER_H

#include "lc-engine-plan.h"
#include "lc-resources.h"

/* This header declares this instance's view of the endpoints that are registered in the store, and
 * of the model that each engine is used for. No I/O. */

/* Maximum number of models that one engine holds. */
#define LC_MAX_MODELS 8

typedef struct
{
  LbName name;
  LcVersion version;
} LcModelVersion;

/* An endpoint's registration in the store. Each start of an endpoint registers under a new name,
 * even if the endpoint's id stays the same, so that no state of an earlier process is applied to a
 * later one. */
typedef struct
{
  LbName name;
  LbName address;
  LbName data_centre;
  LbName service;
  int64_t slots; /* number of requests that the endpoint can process concurrently */
  bool leaving;
  bool is_spot; /* runs on preemptible capacity at a lower price */
  LcModelVersion
      models[LC_MAX_MODELS]; /* models that the engine holds; n_models 0: a plain service */
  size_t n_models;
} LcRegistration;

typedef struct LcRoster LcRoster;

LcRoster *lc_roster_new (void);
void lc_roster_free (LcRoster *roster);

/* Functions that change an LcRoster. */

/* Applies a complete list of registrations, which was requested from the store at asked_at. Returns
 * true if the resource set changed. */
bool lc_roster_apply_list (
    LcRoster *roster, const LcRegistration *list, size_t n_list, LbTime asked_at, LbTime now);
/* Records that the store's list, requested at asked_at, is unchanged. Returns true if the resource
 * set changed, which happens if the grace period after a store outage has ended. */
bool lc_roster_record_unchanged_list (LcRoster *roster, LbTime asked_at, LbTime now);
/* Sets the assignment of engines to models. Engines that the plan does not name are divided evenly
 * among the models. Returns true if the resource set changed. */
bool lc_roster_set_engine_plan (LcRoster *roster, const LcEnginePlan *plan);

/* Functions that only read an LcRoster. */

/* Time between two requests for the list of endpoints. */
LbTime lc_roster_list_period (const LcRoster *roster);
size_t lc_roster_count_endpoints (const LcRoster *roster);
const LcRegistration *lc_roster_registration (const LcRoster *roster, size_t index);
/* Name of the model that the engine is used for; "": a plain service. */
const char *lc_roster_assigned_model (const LcRoster *roster, size_t index);
/* Weight version of the engine's assigned model: the later one of the version in the engine's
 * registration and the version in the engine plan; 0: none. */
LcVersion lc_roster_latest_weight_version (const LcRoster *roster, size_t index);
/* Weight version of the engine's assigned model as stated in its registration; 0: none. */
LcVersion lc_roster_registered_weight_version (const LcRoster *roster, size_t index);
/* Builds a resource set with a pool for each model and a member for each endpoint. checks_fence:
 * whether engines reject orders with an outdated fencing token; registrations do not state it. */
LcResourceSet *lc_roster_to_resources (const LcRoster *roster, int64_t revision, bool checks_fence);

#endif
