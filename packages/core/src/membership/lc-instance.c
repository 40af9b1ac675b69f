#include "lc-instance.h"

#include <string.h>
#include <xxhash.h>

/* True when the update is later than what is known of the same name: a later incarnation, a later
 * version of the same one, or a worse state of the same version, which only the instance itself can
 * revoke by raising its version. */
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

/* Hash of the instance's state; the exclusive or of these hashes is equal for two views with the
 * same members in the same states. */
uint64_t
lc_instance_digest (const LcInstance *instance)
{
  uint64_t numbers[] = { instance->epoch, instance->version, (uint64_t)instance->state };

  return XXH64 (instance->name, strlen (instance->name), XXH64 (numbers, sizeof numbers, 0));
}
