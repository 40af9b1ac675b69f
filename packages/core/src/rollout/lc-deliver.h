#ifndef LC_DELIVER_H
#define LC_DELIVER_H

#include "lc-rollouts-state.h"

/* Delivery of samples to trainers: pulls, chunks, acknowledgements and the ledger. Every sample
 * that enters a chunk is checked here to have a complete label, to be within the staleness bound
 * and not to be acknowledged already. */

/* Acknowledges what the pull's cursor names and queues the pull. Returns false if the cursor shows
 * that a later owner has the step; the step has been removed then. */
bool lc_deliver_accept_pull (
    LcRollouts *rollouts, LcStep *step, const LcPull *pull, LbTime now, LbList *actions);
/* Answers the waiting pulls that can be answered now or whose wait has timed out. */
void lc_deliver_answer_pulls (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions);
/* Starts a ledger write if one is due. */
void lc_deliver_write_ledger (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions);
/* Stops deliveries of the step until a new ledger write has confirmed its session. */
void lc_deliver_require_session_check (LcStep *step);
/* Marks the slots of the ledger's cursor as acknowledged. */
void lc_deliver_restore_acknowledged (LcStep *step, const LcCursor *ledger_cursor);
void lc_deliver_fail_pulls (LcStep *step, LbErrorCode error, LbTime retry_after, LbList *actions);

#endif
