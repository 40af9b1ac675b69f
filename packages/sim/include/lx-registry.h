#ifndef LX_REGISTRY_H
#define LX_REGISTRY_H

#include "lx-instance.h"

struct json_object;
struct LxWorld;

#define LX_MAX_REVISIONS 4096

/* The accepted configuration as the store has it, operators who change it, and the check that what
 * was accepted is in force everywhere in time and never goes back. */
typedef struct
{
  struct LxWorld *world;
  LcResourceSet *set;
  LbTime accepted_at[LX_MAX_REVISIONS]; /* by revision */
  LbTime known_at[LX_MAX_REVISIONS];    /* first in force on some instance; 0: nowhere yet */
  int64_t n_accepted;
  int64_t n_conflicts;
} LxRegistry;

/* Takes over the first set. */
void lx_registry_init (LxRegistry *registry, struct LxWorld *world, LcResourceSet *set);
void lx_registry_clear (LxRegistry *registry);

/* commands */
void lx_registry_start (LxRegistry *registry);
/* An operator asks this instance for another reserve of the pool. */
void lx_registry_request_change (LxRegistry *registry, LxInstance *instance, double live_reserve);
/* A transaction under the condition that revision is the head. NULL: another one was first; else
 * the next set, owned by the caller. */
LcResourceSet *
lx_registry_commit (LxRegistry *registry, int64_t revision, struct json_object *change);

/* queries */
/* The newest revision that must be in force by now on an instance that reaches the store. */
int64_t lx_registry_due_revision (const LxRegistry *registry, LbTime now);

#endif
