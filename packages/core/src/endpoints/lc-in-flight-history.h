#ifndef LC_IN_FLIGHT_HISTORY_H
#define LC_IN_FLIGHT_HISTORY_H

#include "lb-types.h"

#define LC_IN_FLIGHT_HISTORY_LENGTH 32

typedef struct
{
  LbTime at;
  int32_t in_flight; /* after the change */
  bool sent;         /* else ended */
  bool live;
} LcInFlightChange;

/* The last changes of the number of our own requests at an endpoint, to know what a load report
 * that was measured some time ago already counted. */
typedef struct
{
  LcInFlightChange changes[LC_IN_FLIGHT_HISTORY_LENGTH];
  size_t n_changes; /* ever */
} LcInFlightHistory;

/* commands */
void lc_in_flight_history_add (
    LcInFlightHistory *log, int64_t in_flight, bool sent, bool live, LbTime now);

/* queries */
int64_t lc_in_flight_history_count_at (const LcInFlightHistory *log, LbTime at);
int64_t lc_in_flight_history_sent_after (const LcInFlightHistory *log, LbTime at);
int64_t lc_in_flight_history_live_sent_after (const LcInFlightHistory *log, LbTime at);

#endif
