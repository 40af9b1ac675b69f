#ifndef LN_SCALER_H
#define LN_SCALER_H

#include "ln-context.h"
#include "ln-duty-lease.h"
#include "ln-messages.h"

/* Orders spot endpoints from the platform while this instance holds the lease for platform calls.
 * LcScaling decides how many endpoints to order, and LnScaler sends the orders. */
typedef struct LnScaler LnScaler;

/* The caller keeps ownership of the lease. */
LnScaler *ln_scaler_new (LnContext *context, LnDutyLease *lease);
void ln_scaler_free (LnScaler *scaler);

/* --- functions that change the scaler's state --- */
void ln_scaler_set_lease_held (LnScaler *scaler, bool held);
void ln_scaler_add_demand (LnScaler *scaler, const LnDemandMessage *demand, LbTime now);
void ln_scaler_set_desired_state (LnScaler *scaler, LcDesired *desired);
void ln_scaler_set_endpoints (LnScaler *scaler, const LcResourceSet *set);
void ln_scaler_tick (LnScaler *scaler, LbTime now);

#endif
