#ifndef LC_REVIEW_H
#define LC_REVIEW_H

#include "lc-job.h"

/* Looks at what runs for the step: samples of slow endpoints go on elsewhere, stuck ones of its
 * tail are hedged. */
void lc_review_step (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions);

#endif
