#ifndef LC_REVIEW_H
#define LC_REVIEW_H

#include "lc-job.h"

/* Detects stragglers among the step's running samples: migrates those on slow endpoints, and hedges
 * those that are left once no slot of the step waits. */
void lc_review_stragglers (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions);

#endif
