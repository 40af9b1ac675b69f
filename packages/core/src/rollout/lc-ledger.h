#ifndef LC_LEDGER_H
#define LC_LEDGER_H

#include "lb-error.h"

/* Schedules the writes of a step's ledger: a row in the store that records which of its samples
 * were delivered, overwritten each time, with at most one write in progress. */
typedef struct
{
  uint64_t latest_change;  /* number of the latest change that the row should hold */
  uint64_t writing_change; /* latest change in the write in progress; 0: no write in progress */
  uint64_t stored_change;  /* latest change known to be in the row, written by this owner */
  uint64_t write_id;       /* id of the write in progress; 0: none */
  bool urgent;             /* a delivery waits for the latest change */
  int consecutive_failures;
  LbTime last_write_at; /* start of the last write */
  LbTime retry_at;
} LcLedger;

/* Commands. */
/* Records that the row has to change; returns the change's number for lc_ledger_has_stored. */
uint64_t lc_ledger_add_change (LcLedger *ledger, bool urgent);
void lc_ledger_begin_write (LcLedger *ledger, uint64_t write_id, LbTime now);
/* jitter is a random number in 0..1 that spreads the retry of a failed write. */
void lc_ledger_end_write (LcLedger *ledger, LbErrorCode error, double jitter, LbTime now);

/* Queries. */
bool lc_ledger_has_stored (const LcLedger *ledger, uint64_t change);
/* When the next write should start; LB_TIME_NEVER while one is in progress. */
LbTime lc_ledger_next_write_at (const LcLedger *ledger);

#endif
