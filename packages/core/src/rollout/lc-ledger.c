#include "lc-ledger.h"

/* Gathers the acknowledgements of several chunks into one write. */
#define LEDGER_INTERVAL (2 * LB_SEC)
/* Written also without news, so that a replaced owner that nobody asks any more finds out. */
#define LEDGER_REFRESH (10 * LB_SEC)
#define RETRY_FIRST (100 * LB_MSEC)
#define RETRY_LONGEST (5 * LB_SEC)

uint64_t
lc_ledger_want (LcLedger *ledger, bool urgent)
{
  ledger->wanted++;
  ledger->urgent |= urgent;
  return ledger->wanted;
}

void
lc_ledger_start (LcLedger *ledger, uint64_t write, LbTime now)
{
  ledger->writing = ledger->wanted;
  ledger->write = write;
  ledger->last = now;
}

/* jitter is a random number in 0..1. */
void
lc_ledger_done (LcLedger *ledger, LbErrorCode error, double jitter, LbTime now)
{
  if (error == LB_OK)
    {
      ledger->confirmed = ledger->writing;
      ledger->urgent = ledger->urgent && ledger->confirmed < ledger->wanted;
      ledger->failures = 0;
      ledger->retry_at = 0;
    }
  else
    {
      LbTime longest = RETRY_FIRST << (ledger->failures < 6 ? ledger->failures : 6);
      ledger->failures++;
      if (longest > RETRY_LONGEST)
        longest = RETRY_LONGEST;
      ledger->retry_at = now + longest / 2 + (LbTime)(jitter * (double)longest / 2);
    }
  ledger->writing = 0;
  ledger->write = 0;
}

bool
lc_ledger_is_confirmed (const LcLedger *ledger, uint64_t change)
{
  return ledger->confirmed >= change;
}

LbTime
lc_ledger_due (const LcLedger *ledger)
{
  if (ledger->write)
    return LB_TIME_NEVER;
  if (ledger->failures > 0)
    return ledger->retry_at;
  if (ledger->confirmed == ledger->wanted)
    return ledger->last + LEDGER_REFRESH;
  return ledger->urgent ? ledger->last : ledger->last + LEDGER_INTERVAL;
}
