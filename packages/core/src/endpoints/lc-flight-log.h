#ifndef LC_FLIGHT_LOG_H
#define LC_FLIGHT_LOG_H

#include "lb-types.h"

#define LC_FLIGHT_LOG_LENGTH 32

typedef struct
{
  LbTime at;
  int32_t in_flight; /* after the change */
  bool sent;         /* else ended */
  bool live;
} LcFlightChange;

/* The last changes of the number of our own requests at an endpoint, to know what a load report
 * that was measured some time ago already counted. */
typedef struct
{
  LcFlightChange changes[LC_FLIGHT_LOG_LENGTH];
  size_t n_changes; /* ever */
} LcFlightLog;

/* commands */
void lc_flight_log_add (LcFlightLog *log, int64_t in_flight, bool sent, bool live, LbTime now);

/* queries */
int64_t lc_flight_log_in_flight_at (const LcFlightLog *log, LbTime at);
int64_t lc_flight_log_sent_after (const LcFlightLog *log, LbTime at);
int64_t lc_flight_log_live_after (const LcFlightLog *log, LbTime at);

#endif
