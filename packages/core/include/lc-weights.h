#ifndef LC_WEIGHTS_H
#define LC_WEIGHTS_H

#include "lc-resources.h"

/* This header declares the rolling update of the model weights on the engines of one pool.
 * LcWeights chooses the engine that is next ordered to load the target version, and reports why
 * other engines wait. It keeps no state that a new holder of the pool's lease could not read from
 * the engines. No I/O: commands append actions; the caller sends the orders, polls the engines and
 * passes on their reports. */

/* Report of an engine about its weights. */
typedef struct
{
  char incarnation[40];
  LcVersion version; /* loaded version; 0: no complete version is loaded */
  bool loading;
  LcVersion failed_version; /* version of the latest load that failed; 0: none */
  bool leaving;
  int64_t running;     /* number of requests in progress */
  LbTime requested_at; /* time at which this process sent the request for the report */
} LcWeightReport;

typedef enum
{
  /* tell the router that a swap of weights on the endpoint begins or has ended (`pending`) */
  LC_WEIGHTS_UPDATE_ROUTING,
  /* order the endpoint to load `version`; follows an UPDATE_ROUTING for the endpoint */
  LC_WEIGHTS_ORDER_LOAD
} LcWeightsActionType;

typedef struct
{
  LbLink link;
  LcWeightsActionType type;
  LbName endpoint;
  LbName address;
  LcVersion version;  /* ORDER_LOAD: weight version to load */
  bool pending;       /* UPDATE_ROUTING: true if the swap begins, false if it has ended */
  LbTime expected_at; /* UPDATE_ROUTING: expected end of the swap */
} LcWeightsAction;

typedef struct
{
  LbName pool;
  double orders_per_second; /* maximum rate of load orders, as the weight store allows */
  int64_t burst;            /* maximum number of orders given at once after a pause */
  LbTime load_timeout;      /* a weight load that takes longer counts as failed */
  /* the state of an engine is unknown if its latest report is older than this */
  LbTime report_timeout;
  /* Time after the lease was gained during which an engine without a report counts as loading,
   * since an earlier holder may have ordered a load. */
  LbTime first_report_timeout;
  /* An engine that has not served for this long no longer blocks swaps that leave less capacity
   * than the live reserve. Such swaps then run one at a time. */
  LbTime lost_engine_timeout;
} LcWeightsSettings;

void lc_weights_settings_init (LcWeightsSettings *settings, const char *pool);

typedef struct LcWeights LcWeights;

LcWeights *lc_weights_new (const LcWeightsSettings *settings);
void lc_weights_free (LcWeights *weights);

/* Functions that change an LcWeights. */

void lc_weights_configure (LcWeights *weights, const LcResourceSet *set, LbTime now);
/* Records the newest version in the weight store. It is the target unless the pool's weight_version
 * names another. */
void lc_weights_set_newest_version (LcWeights *weights, LcVersion version, LbTime now);
/* Discards the known state of the engines, because the lease was gained or lost. */
void lc_weights_lease_changed (LcWeights *weights, LbTime now);
void lc_weights_report_received (LcWeights *weights,
                                 const char *endpoint,
                                 const LcWeightReport *report,
                                 LbTime now,
                                 LbList *actions);
/* Handles the answer to an ORDER_LOAD. After an error, the state of the engine is unknown until its
 * next report. */
void
lc_weights_order_answered (LcWeights *weights, const char *endpoint, LbErrorCode error, LbTime now);
/* can_order_fenced: engines that reject an outdated fencing token may be ordered now.
 * can_order_unfenced: engines that accept any token may be ordered now; this requires that no order
 * of an earlier lease holder can still be in flight. */
void lc_weights_tick (LcWeights *weights,
                      bool can_order_fenced,
                      bool can_order_unfenced,
                      LbTime now,
                      LbList *actions);

/* Sets the maximum number of engines that swap at once, in place of the pool's roll_out_percent;
 * -1: the percentage applies. */
void lc_weights_set_swap_limit (LcWeights *weights, int64_t limit);

/* Functions that only read an LcWeights. */

typedef enum
{
  LC_WEIGHTS_IDLE,         /* no engine needs a load */
  LC_WEIGHTS_IN_PROGRESS,  /* swaps are in progress */
  LC_WEIGHTS_NO_LEASE,     /* the lease for sending load orders does not allow orders now */
  LC_WEIGHTS_RATE_LIMITED, /* the rate limit of the weight store delays the next order */
  /* one more swap would reduce the capacity for live calls below the reserve */
  LC_WEIGHTS_CAPACITY,
  LC_WEIGHTS_STATE_UNKNOWN, /* some engines have not reported their state */
  LC_WEIGHTS_BACKOFF,       /* failed loads are retried only after a delay */
  LC_WEIGHTS_HALTED /* several engines failed to load the target version, and no engine serves it */
} LcWeightsWaitReason;

typedef struct
{
  LcVersion target;
  LbTime version_interval; /* mean time between new versions; 0: not known */
  size_t engines;          /* number of engines in the pool */
  size_t on_target;        /* number of engines that serve the target version */
  /* number of engines that serve the target version or the version before it; a trainer's next step
   * accepts both */
  size_t usable;
  /* number of engines that load weights, or may be loading them by an order of an earlier lease
   * holder */
  size_t swapping;
  size_t unknown; /* number of engines whose state is not known at present */
  size_t failed;  /* number of engines whose last load of the target failed */
  LcWeightsWaitReason wait_reason;
} LcWeightsStatus;

void lc_weights_get_status (const LcWeights *weights, LbTime now, LcWeightsStatus *status);
const char *lc_weights_wait_reason_name (LcWeightsWaitReason reason);
/* Returns true if the engine is loading weights, so that its state should be polled soon. */
bool lc_weights_is_engine_swapping (const LcWeights *weights, const char *endpoint);

#endif
