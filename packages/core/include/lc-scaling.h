#ifndef LC_SCALING_H
#define LC_SCALING_H

#include "lc-desired.h"

/* Decides how many spot endpoints a service should have in each data centre, so that the
 * generations of a trainer's step start without queueing: the longest of them takes most of its
 * step's time, and any wait delays the step. The number of on-demand endpoints is not changed. Spot
 * endpoints may be preempted at any time; meeting a due time does not depend on them. No I/O. */

typedef struct LcScaling LcScaling;

LcScaling *lc_scaling_new (void);
void lc_scaling_free (LcScaling *scaling);

/* commands */
/* A trainer submitted a batch of n_generations for the model. */
void
lc_scaling_add_demand (LcScaling *scaling, const char *model, int64_t n_generations, LbTime now);
/* Called by a new lease holder, which does not know the orders of earlier holders: all are given
 * again. */
void lc_scaling_forget_orders (LcScaling *scaling);

typedef struct
{
  LbName service;
  LbName data_centre;
  int64_t endpoints; /* spot endpoints wanted in total */
} LcScalingOrder;

/* The next order to send, to be followed by lc_scaling_finish_order; false: none now. */
bool lc_scaling_next_order (LcScaling *scaling,
                            const LcDesired *desired,
                            const LcResourceSet *set,
                            LbTime now,
                            LcScalingOrder *order);

typedef enum
{
  LC_SCALING_ACCEPTED,
  /* No answer: the order may be executed late, even after a newer one, so an order with the number
   * wanted by then follows. */
  LC_SCALING_UNKNOWN,
  LC_SCALING_REFUSED /* no capacity there now */
} LcScalingOutcome;

void lc_scaling_finish_order (LcScaling *scaling,
                              const LcScalingOrder *order,
                              LcScalingOutcome outcome,
                              LbTime now);

#endif
