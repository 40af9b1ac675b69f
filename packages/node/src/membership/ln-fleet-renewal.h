#ifndef LN_FLEET_RENEWAL_H
#define LN_FLEET_RENEWAL_H

#include "lc-fleet.h"

struct LpPlatform;

/* Renews this instance's row in a shared store, from which the other instances see that it is
 * alive. An instance on duty (one that runs batches or orders weights) has a second row, which is
 * renewed and listed more often. */

typedef struct LnFleetRenewal LnFleetRenewal;

/* The caller keeps the state in `row` up to date; changes go out with the next renewal or with
 * ln_fleet_renewal_write_now. */
LnFleetRenewal *ln_fleet_renewal_new (struct LpPlatform *platform, LcFleetRow *row);
void ln_fleet_renewal_free (LnFleetRenewal *renewal);

/* commands */
/* Results of the lists of instances. */
typedef struct
{
  size_t n_instances;
  bool is_omitted;   /* the directory is full without this instance */
  bool has_duty_row; /* a row on duty of this instance was listed */
} LnFleetListSummary;

void ln_fleet_renewal_tick (LnFleetRenewal *renewal, const LnFleetListSummary *summary, LbTime now);
/* Writes the row at once, because the state in it has changed. */
void ln_fleet_renewal_write_now (LnFleetRenewal *renewal, LbTime now);
/* Sets whether this instance has any duty. */
void ln_fleet_renewal_set_duty (LnFleetRenewal *renewal, bool has_duty, LbTime now);

#endif
