#ifndef LN_FLEET_RENEWAL_H
#define LN_FLEET_RENEWAL_H

#include "lc-fleet.h"

struct LpPlatform;

/* Renews this instance's row in a shared store as a heartbeat for the other instances. An instance
 * on duty (one that runs batches or orders weights) has a second row, the duty row, which is
 * renewed and listed more often. */

typedef struct LnFleetRenewal LnFleetRenewal;

/* The caller keeps the state in `row` up to date. Changes are written by the next renewal or by
 * ln_fleet_renewal_write_row_now. */
LnFleetRenewal *ln_fleet_renewal_new (struct LpPlatform *platform, LcFleetRow *row);
void ln_fleet_renewal_free (LnFleetRenewal *renewal);

/* Results of the last lists of instances. */
typedef struct
{
  size_t n_instances; /* number of known instances */
  bool is_omitted;    /* the directory is full and does not contain this instance */
  bool has_duty_row;  /* the list of instances on duty contains a row of this instance */
} LnFleetListSummary;

/* --- functions that write this instance's rows --- */
void ln_fleet_renewal_tick (LnFleetRenewal *renewal, const LnFleetListSummary *summary, LbTime now);
/* Writes the row at once, after the caller changed the state in it. */
void ln_fleet_renewal_write_row_now (LnFleetRenewal *renewal, LbTime now);
/* Sets whether this instance runs batches or orders weights. */
void ln_fleet_renewal_set_duty (LnFleetRenewal *renewal, bool has_duty, LbTime now);

#endif
