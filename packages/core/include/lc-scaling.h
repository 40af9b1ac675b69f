#ifndef LC_SCALING_H
#define LC_SCALING_H

#include "lc-desired.h"

/* How many endpoints of the cheaper kind a service shall have in each data centre, so that the
 * texts of a trainer's step find a place as soon as they are asked for: the longest of them takes
 * most of the time that its step has, and whatever it waits is lost. Endpoints of the full price
 * are left as they are; the cheaper ones may be taken away at any moment, and what is due does not
 * rely on them. No I/O. */

typedef struct LcScaling LcScaling;

LcScaling *lc_scaling_new (void);
void lc_scaling_free (LcScaling *scaling);

/* commands */
/* A trainer of the model brought a batch of so many texts. */
void lc_scaling_add_demand (LcScaling *scaling, const char *model, int64_t texts, LbTime now);
/* Earlier orders, those of other holders too, are not known here: all are given anew. */
void lc_scaling_forget_orders (LcScaling *scaling);

typedef struct
{
  LbName service;
  LbName data_centre;
  int64_t endpoints; /* of the cheaper kind */
} LcScalingOrder;

/* The next order to give, answered by lc_scaling_finish_order; false: there is none now. */
bool lc_scaling_next_order (LcScaling *scaling,
                            const LcDesired *desired,
                            const LcResourceSet *set,
                            LbTime now,
                            LcScalingOrder *order);

typedef enum
{
  LC_SCALING_ACCEPTED,
  LC_SCALING_UNKNOWN, /* it may be carried out late, over a newer one: it is given again */
  LC_SCALING_REFUSED  /* none can be had there now */
} LcScalingOutcome;

void lc_scaling_finish_order (LcScaling *scaling,
                              const LcScalingOrder *order,
                              LcScalingOutcome outcome,
                              LbTime now);

#endif
