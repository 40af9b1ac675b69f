#ifndef LN_SCALER_H
#define LN_SCALER_H

#include "ln-context.h"
#include "ln-duty-lease.h"
#include "ln-messages.h"

/* Orders endpoints from the platform while this instance has the duty. LcScaling decides how many;
 * this sends the orders. */
typedef struct LnScaler LnScaler;

/* The caller keeps ownership of the lease. */
LnScaler *ln_scaler_new (LnContext *context, LnDutyLease *lease);
void ln_scaler_free (LnScaler *scaler);

/* commands */
void ln_scaler_set_duty_held (LnScaler *scaler, bool held);
void ln_scaler_add_demand (LnScaler *scaler, const LnDemandMessage *demand, LbTime now);
void ln_scaler_set_desired (LnScaler *scaler, LcDesired *desired);
void ln_scaler_set_endpoints (LnScaler *scaler, const LcResourceSet *set);
void ln_scaler_tick (LnScaler *scaler, LbTime now);

#endif
