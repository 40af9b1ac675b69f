#ifndef LN_FLEET_LISTS_H
#define LN_FLEET_LISTS_H

#include "lc-fleet.h"

struct LpPlatform;

/* This header lists the rows of instances in a shared store: all rows of the directory, and
 * those of the instances on duty (that run batches or order weights). The latter are listed more
 * often, since a failure of these instances has to be detected soon. The directory contains all
 * instances of a small fleet; of a large fleet it contains a sample that prefers machines of
 * high capacity. */

/* Maximum number of instances in the directory; instances on duty are listed in addition. */
#define LN_FLEET_DIRECTORY_MAX 192

/* Size of a row's key in bytes, including the terminating null byte. */
#define LN_FLEET_KEY_SIZE (LB_NAME_MAX + 32)
/* Writes the key of an instance's row in the directory, or of its duty row. Within a partition, the
 * keys of the directory sort in the order of preference for the directory. */
void ln_fleet_row_format_key (const LcFleetRow *row, bool on_duty, char *key);

typedef struct LnFleetLists LnFleetLists;

/* on_change: called when the members (ln_fleet_lists_get_member) or their states have changed. */
LnFleetLists *ln_fleet_lists_new (struct LpPlatform *platform,
                                  const char *self,
                                  void (*on_change) (void *user),
                                  void *user);
void ln_fleet_lists_free (LnFleetLists *lists);

/* --- functions that change the lists of instances --- */
void ln_fleet_lists_tick (LnFleetLists *lists, LbTime now);
/* While the catalog is followed (watched), this instance lists no rows itself: it gets the members
 * through ln_fleet_lists_set_members. */
void ln_fleet_lists_set_catalog_followed (LnFleetLists *lists, bool is_followed);
void
ln_fleet_lists_set_members (LnFleetLists *lists, const LcFleetMember *members, size_t n_members);

/* --- functions that only read the lists of instances --- */
/* Returns true if the directory is full and does not contain the instance. */
bool ln_fleet_lists_omits_instance (const LnFleetLists *lists, const char *instance);
/* Returns true if the last list of the instances on duty contains a row of the instance, from its
 * current or an earlier incarnation. */
bool ln_fleet_lists_has_duty_row (const LnFleetLists *lists, const char *instance);
size_t ln_fleet_lists_count_members (const LnFleetLists *lists);
const LcFleetMember *ln_fleet_lists_get_member (const LnFleetLists *lists, size_t index);

#endif
