#ifndef LC_IN_FLIGHT_HISTORY_H
#define LC_IN_FLIGHT_HISTORY_H

#include "lb-types.h"

#define LC_IN_FLIGHT_HISTORY_LENGTH 32

typedef struct
{
  LbTime at;
  int32_t in_flight; /* number of requests after the change */
  bool is_sent;      /* true: a request was sent; false: a request ended */
  bool is_live;      /* the request that was sent is not a trainer's sample */
} LcInFlightChange;

/* Ring buffer of the latest changes of the number of this instance's requests at an endpoint. Tells
 * which of these requests a load report includes, given the past time when it was measured. */
typedef struct
{
  LcInFlightChange changes[LC_IN_FLIGHT_HISTORY_LENGTH];
  size_t n_changes; /* number of changes added, including overwritten ones */
} LcInFlightHistory;

/* Functions that change an LcInFlightHistory. */
void lc_in_flight_history_add_change (
    LcInFlightHistory *history, int64_t in_flight, bool is_sent, bool is_live, LbTime now);

/* Functions that only read an LcInFlightHistory. */
/* Time of the last change; 0: there was none. */
LbTime lc_in_flight_history_last_change_at (const LcInFlightHistory *history);
int64_t lc_in_flight_history_count_requests_at (const LcInFlightHistory *history, LbTime at);
int64_t lc_in_flight_history_count_requests_sent_after (const LcInFlightHistory *history,
                                                        LbTime at);
int64_t lc_in_flight_history_count_live_requests_sent_after (const LcInFlightHistory *history,
                                                             LbTime at);

#endif
