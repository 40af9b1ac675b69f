#include "lc-instance.h"

#include <string.h>
#include <xxhash.h>

/* Whether the update replaces the known state of the same instance name: it has a later
 * incarnation, a later version of the same incarnation, or a worse state of the same version. Only
 * the instance itself can revoke a worse state, by raising its version. */
bool
lc_instance_supersedes (const LcInstance *update, const LcInstance *known)
{
  if (update->epoch != known->epoch)
    return update->epoch > known->epoch;

  int order = strcmp (update->incarnation, known->incarnation);
  if (order != 0)
    return order > 0;
  if (update->version != known->version)
    return update->version > known->version;
  return update->state > known->state;
}

/* Hash of the instance's state. The exclusive or of the hashes of all members is the digest of a
 * view: equal views have equal digests. */
uint64_t
lc_instance_digest (const LcInstance *instance)
{
  uint64_t numbers[] = { instance->epoch, instance->version, (uint64_t)instance->state };

  return XXH64 (instance->name, strlen (instance->name), XXH64 (numbers, sizeof numbers, 0));
}
