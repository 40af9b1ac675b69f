#ifndef LX_REGISTRY_H
#define LX_REGISTRY_H

#include "lx-instance.h"

struct json_object;
struct LxWorld;

#define LX_MAX_REVISIONS 4096

/* Configuration in the store, the operators that change the configuration, and the checks of the
 * instances. An accepted revision must become active on all instances within a time bound, and no
 * instance may replace a revision by an older one. */
typedef struct
{
  struct LxWorld *world;
  LcResourceSet *accepted;
  LbTime accepted_at[LX_MAX_REVISIONS];     /* commit time of each revision */
  LbTime first_active_at[LX_MAX_REVISIONS]; /* first activation of each revision; 0: not yet */
  int64_t n_accepted;
  int64_t n_conflicts; /* number of changes refused because another change came first */
} LxRegistry;

/* Takes ownership of the initial set. */
void lx_registry_init (LxRegistry *registry, struct LxWorld *world, LcResourceSet *set);
void lx_registry_clear (LxRegistry *registry);

/* --- functions that start checks and change the configuration --- */
void lx_registry_start (LxRegistry *registry);
/* Submits a change of the pool's live reserve at this instance. */
void lx_registry_submit_live_reserve_change (LxRegistry *registry,
                                             LxInstance *instance,
                                             double live_reserve);
/* Commits a change if `revision` is still the accepted revision. Returns a copy of the new
 * configuration, owned by the caller, or NULL on a conflict or an invalid change. */
LcResourceSet *
lx_registry_commit_change (LxRegistry *registry, int64_t revision, struct json_object *change);

/* --- functions that only read the registry --- */
/* Returns the newest revision that every instance with access to the store must have activated by
 * `now`. */
int64_t lx_registry_get_required_revision (const LxRegistry *registry, LbTime now);

#endif
