#ifndef LX_REGISTRY_H
#define LX_REGISTRY_H

#include "lx-instance.h"

struct json_object;
struct LxWorld;

#define LX_MAX_REVISIONS 4096

/* The accepted configuration in the store, the operators that change it, and the check that an
 * accepted revision is active on all instances in time and is never replaced by an older one. */
typedef struct
{
  struct LxWorld *world;
  LcResourceSet *accepted;
  LbTime accepted_at[LX_MAX_REVISIONS];     /* by revision */
  LbTime first_active_at[LX_MAX_REVISIONS]; /* on any instance; 0: on none */
  int64_t n_accepted;
  int64_t n_conflicts; /* changes refused because another one was accepted first */
} LxRegistry;

/* Takes ownership of the initial set. */
void lx_registry_init (LxRegistry *registry, struct LxWorld *world, LcResourceSet *set);
void lx_registry_clear (LxRegistry *registry);

/* commands */
void lx_registry_start (LxRegistry *registry);
/* Submits a new live reserve of the pool at this instance. */
void
lx_registry_request_live_reserve (LxRegistry *registry, LxInstance *instance, double live_reserve);
/* Commits a change if `revision` is still the accepted one. Returns the new set, owned by the
 * caller; NULL on a conflict or an invalid change. */
LcResourceSet *
lx_registry_commit_change (LxRegistry *registry, int64_t revision, struct json_object *change);

/* queries */
/* Returns the newest revision that an instance with access to the store must have activated by now.
 */
int64_t lx_registry_due_revision (const LxRegistry *registry, LbTime now);

#endif
