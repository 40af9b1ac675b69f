#ifndef LC_LEDGER_H
#define LC_LEDGER_H

#include "lb-error.h"

/* What of a step's deliveries is written to the table, and when. One row a step, overwritten; at
 * most one write at a time. */
typedef struct
{
  uint64_t wanted;    /* counts changes of what should be in the row */
  uint64_t writing;   /* the change that the write in progress carries; 0: none is in progress */
  uint64_t confirmed; /* the latest change known to be in the row, under our session */
  uint64_t write;     /* name of the write in progress */
  bool urgent;        /* a delivery waits for it */
  int failures;       /* in a row */
  LbTime last;        /* start of the last write */
  LbTime retry_at;
} LcLedger;

/* Commands. */
/* Notes that the row should change and returns the number to ask lc_ledger_is_confirmed with. */
uint64_t lc_ledger_want (LcLedger *ledger, bool urgent);
void lc_ledger_start (LcLedger *ledger, uint64_t write, LbTime now);
void lc_ledger_done (LcLedger *ledger, LbErrorCode error, double jitter, LbTime now);

/* Queries. */
bool lc_ledger_is_confirmed (const LcLedger *ledger, uint64_t change);
/* When the next write should start, LB_TIME_NEVER while one is in progress. */
LbTime lc_ledger_due (const LcLedger *ledger);

#endif
