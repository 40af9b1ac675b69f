#ifndef LC_REVIEW_H
#define LC_REVIEW_H

#include "lc-job.h"

/* This header declares the check for stragglers among a step's running samples: migrates those on
 * slow endpoints, and hedges the remaining stragglers once no slot of the step waits for a
 * generation. */
void lc_review_migrate_or_hedge_stragglers (LcRollouts *rollouts,
                                            LcStep *step,
                                            LbTime now,
                                            LbList *actions);

#endif
