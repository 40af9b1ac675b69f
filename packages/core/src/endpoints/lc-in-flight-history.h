#ifndef LC_IN_FLIGHT_HISTORY_H
#define LC_IN_FLIGHT_HISTORY_H

#include "lb-types.h"

#define LC_IN_FLIGHT_HISTORY_LENGTH 32

typedef struct
{
  LbTime at;
  int32_t in_flight; /* after the change */
  bool is_sent;      /* false: a request ended */
  bool is_live;      /* a live request was sent */
} LcInFlightChange;

/* The latest changes of the number of this instance's requests at an endpoint, to find out which of
 * them a load report that was measured in the past already includes. */
typedef struct
{
  LcInFlightChange changes[LC_IN_FLIGHT_HISTORY_LENGTH];
  size_t n_changes; /* including those overwritten */
} LcInFlightHistory;

/* commands */
void lc_in_flight_history_add_change (
    LcInFlightHistory *history, int64_t in_flight, bool is_sent, bool is_live, LbTime now);

/* queries */
int64_t lc_in_flight_history_count_at (const LcInFlightHistory *history, LbTime at);
int64_t lc_in_flight_history_count_sent_after (const LcInFlightHistory *history, LbTime at);
int64_t lc_in_flight_history_count_live_sent_after (const LcInFlightHistory *history, LbTime at);

#endif
