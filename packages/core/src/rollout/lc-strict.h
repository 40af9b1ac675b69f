#ifndef LC_STRICT_H
#define LC_STRICT_H

#include "lc-rollouts-state.h"

/* This header declares the acknowledgement of chunks of strict subscriptions. Their trainers send
 * no cursor, but each chunk has an id, and a pull may name the last chunk that the trainer has.
 * Until a pull names a chunk, the ledger records it as unconfirmed, together with the cursor before
 * it, so that a new owner can tell from the next pull whether the chunk arrived. */

/* Acknowledges the last chunk if it has this id. If the trainer does not have it, the same chunk is
 * sent again, or, if another owner made it, its samples are generated again. Fails with BAD_CURSOR
 * if the id is neither that of the last chunk nor that of the one before. */
bool lc_strict_accept_chunk_id (LcRollouts *rollouts,
                                LcStep *step,
                                int64_t received_chunk_id,
                                LbTime now,
                                LbList *actions,
                                LbError *error);
/* Returns the value of the step's ledger row; the caller frees it. */
char *lc_strict_encode_ledger (const LcStep *step);
/* Restores the acknowledged slots from the value of the step's ledger row, written for a strict
 * subscription or not; "": the row does not exist. */
bool lc_strict_restore_ledger (LcStep *step, const char *text, LbError *error);

#endif
