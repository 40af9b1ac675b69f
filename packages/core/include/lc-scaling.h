#ifndef LC_SCALING_H
#define LC_SCALING_H

#include "lc-desired.h"

/* Decides how many spot endpoints a service should have in each data centre, so that the
 * generations of a trainer's step start without queueing: the longest generation takes most of the
 * step's time, so any wait delays the step. The number of on-demand endpoints is not changed. Spot
 * endpoints may be preempted at any time; meeting a deadline does not depend on them. No I/O. */

typedef struct LcScaling LcScaling;

LcScaling *lc_scaling_new (void);
void lc_scaling_free (LcScaling *scaling);

/* Functions that change an LcScaling. */

/* Records that a trainer submitted a batch of n_generations for the model, to run at the engines of
 * the service. service "": not known; the service of the model's first engine counts. */
void lc_scaling_add_demand (
    LcScaling *scaling, const char *service, const char *model, int64_t n_generations, LbTime now);
/* Discards the record of the orders sent to the platform, so that all orders are sent again. Called
 * when this instance becomes the lease holder, since it does not know the orders of earlier
 * holders. */
void lc_scaling_forget_orders (LcScaling *scaling);

typedef struct
{
  LbName service;
  LbName data_centre;
  int64_t endpoints; /* total number of spot endpoints wanted in the data centre */
} LcScalingOrder;

/* Fills in the next order of spot endpoints; returns false if no order is due. Call
 * lc_scaling_record_order_outcome with the outcome of the order. */
bool lc_scaling_next_order (LcScaling *scaling,
                            const LcDesired *desired,
                            const LcResourceSet *set,
                            LbTime now,
                            LcScalingOrder *order);

typedef enum
{
  LC_SCALING_ACCEPTED,
  /* The platform gave no answer, so the order may be executed late, even after a newer one. The
   * next order corrects the number of endpoints. */
  LC_SCALING_UNKNOWN,
  LC_SCALING_REFUSED /* the data centre has no capacity now */
} LcScalingOutcome;

void lc_scaling_record_order_outcome (LcScaling *scaling,
                                      const LcScalingOrder *order,
                                      LcScalingOutcome outcome,
                                      LbTime now);

#endif
