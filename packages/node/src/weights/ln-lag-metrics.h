#ifndef LN_LAG_METRICS_H
#define LN_LAG_METRICS_H

#include "lc-trainer-lag.h"

/* Sets the metric lentilspindle_trainer_lag_ms of each model that has a trainer. At most
 * LC_MAX_TRAINERS models get one; later models have none. */
void ln_lag_metrics_update (const LcTrainerLags *lags);
/* Sets the metric of all models to 0, when this instance no longer divides the engines. */
void ln_lag_metrics_reset (void);

#endif
