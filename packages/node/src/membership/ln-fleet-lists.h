#ifndef LN_FLEET_LISTS_H
#define LN_FLEET_LISTS_H

#include "lc-fleet.h"

struct LpPlatform;

/* Reads the rows of instances in a shared store: the directory now and then, those that run batches
 * or order weights often, since a dead one of these is to be missed soon. The directory is all
 * instances of a small fleet, and of a large one a sample in which strong machines come first. */

/* Instances that the directory holds at most; those on duty come beside them. */
#define LN_FLEET_DIRECTORY_MAX 192

/* Key of the row of an instance, with or without a duty. Rows are in the order of the directory. */
#define LN_FLEET_KEY_SIZE (LB_NAME_MAX + 32)
void ln_fleet_row_key (const LcFleetRow *row, bool on_duty, char *key);

typedef struct LnFleetLists LnFleetLists;

/* on_change: who is there or what they say has changed; see ln_fleet_lists_at. */
LnFleetLists *ln_fleet_lists_new (struct LpPlatform *platform,
                                  const char *self,
                                  void (*on_change) (void *user),
                                  void *user);
void ln_fleet_lists_free (LnFleetLists *lists);

/* commands */
void ln_fleet_lists_tick (LnFleetLists *lists, LbTime now);
/* Somebody else lists the instances, and tells what he knows; or nobody does any more. */
void ln_fleet_lists_set_catalog_followed (LnFleetLists *lists, bool followed);
void
ln_fleet_lists_set_members (LnFleetLists *lists, const LcFleetMember *members, size_t n_members);

/* queries */
/* The directory is full, and does not hold the instance. */
bool ln_fleet_lists_has_omitted (const LnFleetLists *lists, const char *instance);
/* The last list of those on duty shows the instance, this start of it or an earlier one. */
bool ln_fleet_lists_has_duty_row (const LnFleetLists *lists, const char *instance);
size_t ln_fleet_lists_count (const LnFleetLists *lists);
const LcFleetMember *ln_fleet_lists_at (const LnFleetLists *lists, size_t index);

#endif
