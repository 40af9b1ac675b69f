#ifndef LN_TICKER_H
#define LN_TICKER_H

#include "lb-list.h"
#include "lb-types.h"

struct event_base;

/* One timer for all tasks that look at the time again and again: each wake-up of an idle process
 * costs as much as what it does then. */
typedef struct LnTicker LnTicker;

/* Embedded in the task that is called; the task fills period, call and user. */
typedef struct
{
  LbLink link;
  LbTime period;
  void (*callback) (void *user);
  void *user;
  LbTime due;
} LnPeriodicCall;

LnTicker *ln_ticker_new (struct event_base *base);
void ln_ticker_free (LnTicker *ticker);

/* commands */
/* Called for the first time in the loop's next turn. */
void ln_ticker_add (LnTicker *ticker, LnPeriodicCall *tick);
void ln_ticker_remove (LnTicker *ticker, LnPeriodicCall *tick);
/* Nothing here is urgent: all are called less often, unless work has come lately. */
void ln_ticker_set_idle (LnTicker *ticker, bool is_idle);
/* Work has come: for some seconds all are called at their own periods. */
void ln_ticker_report_work (LnTicker *ticker, LbTime now);

#endif
