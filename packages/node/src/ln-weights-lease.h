#ifndef LN_WEIGHTS_LEASE_H
#define LN_WEIGHTS_LEASE_H

#include "ln-context.h"
#include "ln-messages.h"

/* Which instance orders the engines of a shared platform to load weights: one lease for all models,
 * a row of the store. A few instances are candidates, by what their machines can bear. */
typedef struct LnWeightsLease LnWeightsLease;

/* on_change: gained or lost; what was believed of the engines before holds no more. */
LnWeightsLease *
ln_weights_lease_new (LnContext *context, void (*on_change) (LbTime now, void *user), void *user);
void ln_weights_lease_free (LnWeightsLease *lease);

/* commands */
void ln_weights_lease_members (LnWeightsLease *lease, const LnMembersMessage *members);
/* all_check_fences: every engine refuses an order with an old fencing number. */
void ln_weights_lease_tick (LnWeightsLease *lease, bool all_check_fences, LbTime now);
/* An engine refused an order for its fencing number. */
void ln_weights_lease_doubt (LnWeightsLease *lease, LbTime now);
void ln_weights_lease_release (LnWeightsLease *lease, LbTime now);

/* queries */
bool ln_weights_lease_is_held (const LnWeightsLease *lease);
bool ln_weights_lease_is_candidate (const LnWeightsLease *lease);
bool ln_weights_lease_is_released (const LnWeightsLease *lease, LbTime now);
/* unfenced: to an engine that takes orders of any holder. */
bool ln_weights_lease_may_order (const LnWeightsLease *lease, bool unfenced, LbTime now);
int64_t ln_weights_lease_fence (const LnWeightsLease *lease);

#endif
