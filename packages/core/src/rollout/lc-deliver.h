#ifndef LC_DELIVER_H
#define LC_DELIVER_H

#include "lc-rollouts-state.h"

/* This header declares the delivery of samples to trainers: pulls, chunks, acknowledgements and the
 * ledger. Before a sample enters a chunk, a check requires that its label is complete, that it is
 * within the staleness bound and that it is not yet acknowledged. */

/* Acknowledges the samples in the pull's cursor and queues the pull. If the cursor is of a later
 * owner's session, that owner has the step: removes the step from this instance and returns
 * false. */
bool lc_deliver_accept_pull (
    LcRollouts *rollouts, LcStep *step, const LcPull *pull, LbTime now, LbList *actions);
/* Answers each waiting pull if a chunk is ready, all samples are delivered or the pull has timed
 * out. */
void
lc_deliver_answer_waiting_pulls (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions);
/* Adds an action that writes the step's ledger row, if it is time for the next write. */
void lc_deliver_add_ledger_write_if_needed (LcRollouts *rollouts,
                                            LcStep *step,
                                            LbTime now,
                                            LbList *actions);
/* Stops deliveries of the step until a new ledger write has confirmed that this instance still owns
 * the step. */
void lc_deliver_require_session_check (LcStep *step);
/* Acknowledges the samples of the current chunk. */
void lc_deliver_acknowledge_chunk (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions);
/* Marks the slots in the cursor of the step's ledger row as acknowledged. */
void lc_deliver_restore_acknowledged_slots (LcStep *step, const LcCursor *ledger_cursor);
void lc_deliver_fail_waiting_pulls (LcStep *step,
                                    LbErrorCode error,
                                    LbTime retry_after,
                                    LbList *actions);

#endif
