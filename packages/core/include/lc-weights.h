#ifndef LC_WEIGHTS_H
#define LC_WEIGHTS_H

#include "lc-resources.h"

/* Rolling update of the weights on the engines of one pool: chooses the engine that is ordered next
 * to load the target version, and states why the others wait. Has no state that a new holder of the
 * pool's lease could not read from the engines. No I/O: commands append actions; the caller sends
 * the orders, polls the engines and passes on their reports. */

/* Weight state that an engine reports. */
typedef struct
{
  char incarnation[40];
  LcVersion version; /* 0: no complete version is loaded */
  bool loading;
  LcVersion failed_version; /* version whose load failed last; 0: none */
  bool leaving;
  int64_t running;     /* requests being processed */
  LbTime requested_at; /* time at which this process sent the request for the report */
} LcWeightReport;

typedef enum
{
  LC_WEIGHTS_UPDATE_ROUTING, /* a swap of weights on the endpoint begins (pending) or has ended */
  LC_WEIGHTS_ORDER_LOAD      /* order the endpoint to load version; follows its UPDATE_ROUTING */
} LcWeightsActionType;

typedef struct
{
  LbLink link;
  LcWeightsActionType type;
  LbName endpoint;
  LbName address;
  LcVersion version;  /* ORDER_LOAD: to load */
  bool pending;       /* UPDATE_ROUTING: the swap begins; false: it has ended */
  LbTime expected_at; /* UPDATE_ROUTING: expected end of the swap */
} LcWeightsAction;

typedef struct
{
  LbName pool;
  double orders_per_second; /* rate limit of the weight store */
  int64_t burst;            /* orders that may be given at once after a pause */
  LbTime load_timeout;      /* a load that takes longer has failed */
  LbTime report_timeout;    /* the state of an engine without a report for this long is unknown */
  /* An engine without a report for this long after the lease was gained no longer counts as
   * loading by an order of an earlier holder. */
  LbTime first_report_timeout;
  /* An engine that has not served for longer than this no longer blocks swaps that leave less
   * capacity than the live reserve; the others then swap one at a time. */
  LbTime lost_engine_timeout;
} LcWeightsSettings;

void lc_weights_settings_init (LcWeightsSettings *settings, const char *pool);

typedef struct LcWeights LcWeights;

LcWeights *lc_weights_new (const LcWeightsSettings *settings);
void lc_weights_free (LcWeights *weights);

/* commands */
void lc_weights_configure (LcWeights *weights, const LcResourceSet *set, LbTime now);
/* version: newest one in the weight store; the target unless the pool's resource names another. */
void lc_weights_set_newest_version (LcWeights *weights, LcVersion version, LbTime now);
/* The lease was gained or lost: the known state of the engines is discarded. */
void lc_weights_lease_changed (LcWeights *weights, LbTime now);
void lc_weights_report_received (LcWeights *weights,
                                 const char *endpoint,
                                 const LcWeightReport *report,
                                 LbTime now,
                                 LbList *actions);
/* error: LB_OK, or the failure of an ORDER_LOAD; the engine must then report its state. */
void
lc_weights_order_answered (LcWeights *weights, const char *endpoint, LbErrorCode error, LbTime now);
/* can_order_fenced, can_order_unfenced: orders may be given now to engines that refuse an old
 * fencing number, or to those that accept any: to these only once no order of an earlier lease
 * holder can still be in transit. */
void lc_weights_tick (LcWeights *weights,
                      bool can_order_fenced,
                      bool can_order_unfenced,
                      LbTime now,
                      LbList *actions);

/* Sets how many engines may swap at once, in place of the pool's roll_out_percent; -1: the
 * percentage applies. */
void lc_weights_set_swap_limit (LcWeights *weights, int64_t limit);

/* queries */
typedef enum
{
  LC_WEIGHTS_IDLE,          /* nothing to do */
  LC_WEIGHTS_IN_PROGRESS,   /* swaps are in progress */
  LC_WEIGHTS_NO_LEASE,      /* orders may not be given now */
  LC_WEIGHTS_RATE_LIMITED,  /* waits for the rate limit of the weight store */
  LC_WEIGHTS_CAPACITY,      /* another swap would reduce live capacity below the reserve */
  LC_WEIGHTS_STATE_UNKNOWN, /* engines have not reported their state */
  LC_WEIGHTS_BACKOFF,       /* loads failed and are retried later */
  LC_WEIGHTS_HALTED         /* loads of this version fail on all engines */
} LcWeightsWaitReason;

typedef struct
{
  LcVersion target;
  LbTime version_interval; /* mean time between new versions; 0: not known */
  size_t engines;
  size_t on_target; /* serve the target version */
  size_t usable;    /* serve weights at most one version older than the target */
  size_t swapping;  /* load weights, or may load by an order of an earlier lease holder */
  size_t unknown;   /* state is not known at present */
  size_t failed;    /* last load of the target failed */
  LcWeightsWaitReason wait_reason;
} LcWeightsStatus;

void lc_weights_status (const LcWeights *weights, LbTime now, LcWeightsStatus *status);
const char *lc_weights_wait_reason_name (LcWeightsWaitReason reason);
/* The engine is in a swap, so its state should be polled soon. */
bool lc_weights_is_swapping (const LcWeights *weights, const char *endpoint);

#endif
