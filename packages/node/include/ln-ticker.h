#ifndef LN_TICKER_H
#define LN_TICKER_H

#include "lb-list.h"
#include "lb-types.h"

struct event_base;

/* Runs the periodic work of all tasks from one timer, since in an idle process a wake-up costs as
 * much as the work done after it. */
typedef struct LnTicker LnTicker;

/* A periodic call of a task, embedded in the task's struct. The task sets period, callback and
 * user. */
typedef struct
{
  LbLink link;
  LbTime period; /* time between two calls while the process is not idle */
  void (*callback) (void *user);
  void *user;
  LbTime due_at; /* time of the next call, set by the ticker */
} LnPeriodicCall;

LnTicker *ln_ticker_new (struct event_base *base);
void ln_ticker_free (LnTicker *ticker);

/* Adds a periodic call; its first run is in the next iteration of the event loop. */
void ln_ticker_add (LnTicker *ticker, LnPeriodicCall *call);
void ln_ticker_remove (LnTicker *ticker, LnPeriodicCall *call);
/* Sets whether the process is idle. An idle process makes calls less often, unless work was
 * reported within the last 5 s. */
void ln_ticker_set_idle (LnTicker *ticker, bool is_idle);
/* Reports that the process has work: for 5 s, all calls are made at their own periods even if the
 * process is idle. */
void ln_ticker_report_work (LnTicker *ticker, LbTime now);

#endif
