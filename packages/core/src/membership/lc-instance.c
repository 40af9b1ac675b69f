#include "lc-instance.h"

#include <string.h>
#include <xxhash.h>

/* True when news is later than what is known of the same name: a later incarnation, a later version
 * of the same one, or a worse state of the same version (which only the instance itself can lift,
 * by raising its version). */
bool
lc_instance_supersedes (const LcInstance *news, const LcInstance *known)
{
  if (news->epoch != known->epoch)
    return news->epoch > known->epoch;

  int order = strcmp (news->incarnation, known->incarnation);
  if (order != 0)
    return order > 0;
  if (news->version != known->version)
    return news->version > known->version;
  return news->state > known->state;
}

/* Two views with the same members in the same states have the same exclusive or of digests. */
uint64_t
lc_instance_digest (const LcInstance *instance)
{
  uint64_t numbers[] = { instance->epoch, instance->version, (uint64_t)instance->state };

  return XXH64 (instance->name, strlen (instance->name), XXH64 (numbers, sizeof numbers, 0));
}
