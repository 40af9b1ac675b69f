#include "lc-ledger.h"

/* Time between writes of a step's ledger row, so that one write combines the acknowledgements of
 * several chunks. */
#define LEDGER_BATCH_INTERVAL (2 * LB_SEC)
/* Time between writes of an unchanged ledger row. A write that the store rejects tells an owner
 * without pulls that another instance has taken over the step. */
#define LEDGER_REFRESH_INTERVAL (10 * LB_SEC)
#define RETRY_DELAY_MIN (100 * LB_MSEC)
#define RETRY_DELAY_MAX (5 * LB_SEC)

uint64_t
lc_ledger_add_change (LcLedger *ledger, bool urgent)
{
  ledger->latest_change++;
  ledger->urgent |= urgent;
  return ledger->latest_change;
}

void
lc_ledger_begin_write (LcLedger *ledger, uint64_t write_id, LbTime now)
{
  ledger->writing_change = ledger->latest_change;
  ledger->write_id = write_id;
  ledger->last_write_at = now;
}

void
lc_ledger_end_write (LcLedger *ledger, LbErrorCode error, double jitter, LbTime now)
{
  if (error == LB_OK)
    {
      ledger->stored_change = ledger->writing_change;
      ledger->urgent = ledger->urgent && ledger->stored_change < ledger->latest_change;
      ledger->consecutive_failures = 0;
      ledger->retry_at = 0;
    }
  else
    {
      LbTime delay = RETRY_DELAY_MIN
                     << (ledger->consecutive_failures < 6 ? ledger->consecutive_failures : 6);
      ledger->consecutive_failures++;
      if (delay > RETRY_DELAY_MAX)
        delay = RETRY_DELAY_MAX;
      ledger->retry_at = now + delay / 2 + (LbTime)(jitter * (double)delay / 2);
    }
  ledger->writing_change = 0;
  ledger->write_id = 0;
}

bool
lc_ledger_has_stored_change (const LcLedger *ledger, uint64_t change)
{
  return ledger->stored_change >= change;
}

LbTime
lc_ledger_next_write_at (const LcLedger *ledger)
{
  if (ledger->write_id)
    return LB_TIME_NEVER;
  if (ledger->consecutive_failures > 0)
    return ledger->retry_at;
  if (ledger->stored_change == ledger->latest_change)
    return ledger->last_write_at + LEDGER_REFRESH_INTERVAL;
  return ledger->urgent ? ledger->last_write_at : ledger->last_write_at + LEDGER_BATCH_INTERVAL;
}
