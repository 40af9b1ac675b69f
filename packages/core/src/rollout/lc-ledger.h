#ifndef LC_LEDGER_H
#define LC_LEDGER_H

#include "lb-error.h"

/* This header declares the scheduling of writes of a step's ledger, the row in the store that
 * records which samples of the step were delivered. Each write replaces the row, and at most one
 * write is in progress. */
typedef struct
{
  uint64_t latest_change;  /* number of the latest change to be written to the row */
  uint64_t writing_change; /* latest change included in the write in progress; 0: no write */
  uint64_t stored_change;  /* latest change that this owner has successfully written */
  uint64_t write_id;       /* id of the write in progress; 0: no write */
  /* the next write starts without a batching delay, because a delivery waits for that write */
  bool urgent;
  int consecutive_failures;
  LbTime last_write_at; /* when the last write started */
  LbTime retry_at;
} LcLedger;

/* Functions that change an LcLedger. */

/* Records that the row must be written, without a batching delay if urgent. Returns a change number
 * for lc_ledger_has_stored_change. */
uint64_t lc_ledger_add_change (LcLedger *ledger, bool urgent);
void lc_ledger_begin_write (LcLedger *ledger, uint64_t write_id, LbTime now);
/* Records the result of the write in progress. jitter: random number from 0 to 1 for the retry
 * delay after a failure. */
void lc_ledger_end_write (LcLedger *ledger, LbErrorCode error, double jitter, LbTime now);

/* Functions that only read an LcLedger. */

bool lc_ledger_has_stored_change (const LcLedger *ledger, uint64_t change);
/* Returns when the next write should start; LB_TIME_NEVER while a write is in progress. */
LbTime lc_ledger_next_write_at (const LcLedger *ledger);

#endif
