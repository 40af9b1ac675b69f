#ifndef LN_FLEET_RENEWAL_H
#define LN_FLEET_RENEWAL_H

#include "lc-fleet.h"

struct LpPlatform;

/* Renews the row of this instance in a shared store, by which the others see that it lives. One
 * that runs batches or orders weights has a second row, which is renewed and listed more often. */

typedef struct LnFleetRenewal LnFleetRenewal;

/* What the row says of this instance is the caller's to change, in `row`, before it tells so. */
LnFleetRenewal *ln_fleet_renewal_new (struct LpPlatform *platform, LcFleetRow *row);
void ln_fleet_renewal_free (LnFleetRenewal *renewal);

/* commands */
/* What the lists of the instances show. */
typedef struct
{
  size_t n_instances;
  bool is_left_out; /* the directory has no place for this instance */
  bool has_duty_row;
} LnFleetListSummary;

void ln_fleet_renewal_tick (LnFleetRenewal *renewal, const LnFleetListSummary *listing, LbTime now);
/* The row says something new: it is written at once. */
void ln_fleet_renewal_write_now (LnFleetRenewal *renewal, LbTime now);
/* This instance has got a duty, or ended one. */
void ln_fleet_renewal_set_duty (LnFleetRenewal *renewal, bool has_duty, LbTime now);

#endif
