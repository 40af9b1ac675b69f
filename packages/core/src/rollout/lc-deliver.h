#ifndef LC_DELIVER_H
#define LC_DELIVER_H

#include "lc-rollouts-state.h"

/* The giving of samples: pulls, acknowledgements, chunks and the ledger. Promises 1 to 3 are
 * checked here, at the one place where a sample gets into a chunk. */

/* False when this owner turned out to be replaced: the step is gone then. */
bool lc_deliver_pull (
    LcRollouts *rollouts, LcStep *step, const LcPull *pull, LbTime now, LbList *actions);
/* Answers the waiting pulls that can be answered now. */
void lc_deliver_serve (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions);
/* Starts a ledger write when one is due. */
void lc_deliver_write_ledger (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions);
/* Nothing is delivered before the session has been confirmed by a new ledger write. */
void lc_deliver_confirm_session (LcStep *step);
void lc_deliver_recover (LcStep *step, const LcCursor *ledger);
void lc_deliver_fail_pulls (LcStep *step, LbErrorCode error, LbTime retry_after, LbList *actions);

#endif
