#ifndef LC_WEIGHTS_H
#define LC_WEIGHTS_H

#include "lc-resources.h"

/* Roll-out of a weight version over the engines of one pool: which engine is ordered next, and why
 * the rest waits. Keeps nothing that a new holder of the pool's lease could not read from the
 * engines. No I/O: commands append actions; the caller orders, reads engines back, and reports. */

/* What an engine said of its weights. */
typedef struct
{
  char incarnation[40];
  LcVersion version; /* 0: no whole version is loaded */
  bool loading;
  LcVersion failed_version; /* 0: none */
  bool leaving;
  int64_t running;
  LbTime requested_at; /* when the question was sent, our clock */
} LcWeightReport;

typedef enum
{
  LC_WEIGHTS_UPDATE_ROUTING, /* tell routing: weights are about to change (pending) or are whole
                                again */
  LC_WEIGHTS_ORDER_LOAD      /* order version at the endpoint; always comes after its SWAP */
} LcWeightsActionType;

typedef struct
{
  LbLink link;
  LcWeightsActionType type;
  LbName endpoint;
  LbName address;
  LcVersion version;
  bool pending;
  LbTime expected_at; /* SWAP: when the new weights are expected to serve */
} LcWeightsAction;

typedef struct
{
  LbName pool;
  double orders_per_second; /* the weight store's rate */
  int64_t burst;
  LbTime load_timeout;         /* a load that takes longer has failed */
  LbTime report_timeout;       /* an engine with no report for this long is not known */
  LbTime first_report_timeout; /* one that has not told its state for this long since the lease
                                * became ours is not taken to load by an earlier holder's order */
  LbTime lost_engine_timeout;  /* see lc-weights.c: how long a lost engine holds up the others */
} LcWeightsSettings;

void lc_weights_settings_init (LcWeightsSettings *settings, const char *pool);

typedef struct LcWeights LcWeights;

LcWeights *lc_weights_new (const LcWeightsSettings *settings);
void lc_weights_free (LcWeights *weights);

/* commands */
void lc_weights_configure (LcWeights *weights, const LcResourceSet *set, LbTime now);
/* The newest version in the weight store; counts while the pool's resource names none. */
void lc_weights_set_newest (LcWeights *weights, LcVersion version, LbTime now);
/* The lease is ours from now, or was lost: what engines said before is not relied on. */
void lc_weights_lease_changed (LcWeights *weights, LbTime now);
void lc_weights_report_received (LcWeights *weights,
                                 const char *endpoint,
                                 const LcWeightReport *report,
                                 LbTime now,
                                 LbList *actions);
/* How an ORDER was answered: LB_OK, or a failure after which the engine's state is read back. */
void
lc_weights_order_answered (LcWeights *weights, const char *endpoint, LbErrorCode error, LbTime now);
/* fenced, unfenced: whether engines that check, or do not check, the fencing number may be ordered
 * now. */
void lc_weights_tick (LcWeights *weights, bool fenced, bool unfenced, LbTime now, LbList *actions);

/* Most engines in a swap at once, in place of the pool's roll_out_percent; -1: that one counts. */
void lc_weights_set_swap_limit (LcWeights *weights, int64_t limit);

/* queries */
typedef enum
{
  LC_WEIGHTS_IDLE,          /* nothing to do */
  LC_WEIGHTS_IN_PROGRESS,   /* swaps are in progress */
  LC_WEIGHTS_NO_LEASE,      /* orders may not be given now */
  LC_WEIGHTS_RATE_LIMITED,  /* the weight store's rate is used up */
  LC_WEIGHTS_CAPACITY,      /* another swap would take live capacity below the reserve */
  LC_WEIGHTS_STATE_UNKNOWN, /* engines have not told their state */
  LC_WEIGHTS_BACKOFF,       /* loads failed; tried again later */
  LC_WEIGHTS_HALTED         /* loads of this version fail everywhere */
} LcWeightsWaitReason;

typedef struct
{
  LcVersion target;
  LbTime version_interval; /* mean time between newest versions; 0: not known */
  size_t engines;
  size_t on_target;
  size_t usable; /* serve with weights at most one version older than the target */
  size_t swapping;
  size_t unknown;
  size_t failed; /* whose last load of the target failed */
  LcWeightsWaitReason wait_reason;
} LcWeightsStatus;

void lc_weights_status (const LcWeights *weights, LbTime now, LcWeightsStatus *status);
const char *lc_weights_wait_reason_name (LcWeightsWaitReason wait);
/* Whether the engine is to be asked soon: it is in a swap. */
bool lc_weights_is_swapping (const LcWeights *weights, const char *endpoint);

#endif
