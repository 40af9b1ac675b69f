#ifndef LN_TICKER_H
#define LN_TICKER_H

#include "lb-list.h"
#include "lb-types.h"

struct event_base;

/* One timer for the periodic work of all tasks: in an idle process a wake-up costs as much as the
 * work that it does. */
typedef struct LnTicker LnTicker;

/* Embedded in the task that is called; the task sets period, callback and user. */
typedef struct
{
  LbLink link;
  LbTime period; /* between two calls while the process is not idle */
  void (*callback) (void *user);
  void *user;
  LbTime due_at; /* set by the ticker */
} LnPeriodicCall;

LnTicker *ln_ticker_new (struct event_base *base);
void ln_ticker_free (LnTicker *ticker);

/* The first call comes in the next iteration of the event loop. */
void ln_ticker_add (LnTicker *ticker, LnPeriodicCall *call);
void ln_ticker_remove (LnTicker *ticker, LnPeriodicCall *call);
/* While idle, calls are less frequent, unless work was reported within the last seconds. */
void ln_ticker_set_idle (LnTicker *ticker, bool is_idle);
/* For some seconds all calls are made at their own periods, even while idle. */
void ln_ticker_report_work (LnTicker *ticker, LbTime now);

#endif
