#include "lc-in-flight-history.h"

void
lc_in_flight_history_add_change (
    LcInFlightHistory *history, int64_t in_flight, bool is_sent, bool is_live, LbTime now)
{
  history->changes[history->n_changes++ % LC_IN_FLIGHT_HISTORY_LENGTH] = (LcInFlightChange){
    .at = now, .in_flight = (int32_t)in_flight, .is_sent = is_sent, .is_live = is_live
  };
}

static size_t
find_oldest_change_index (const LcInFlightHistory *history)
{
  return history->n_changes > LC_IN_FLIGHT_HISTORY_LENGTH
             ? history->n_changes - LC_IN_FLIGHT_HISTORY_LENGTH
             : 0;
}

static const LcInFlightChange *
get_in_flight_change (const LcInFlightHistory *history, size_t i)
{
  return &history->changes[i % LC_IN_FLIGHT_HISTORY_LENGTH];
}

/* Returns the number of requests in flight at the given time. For a time before the oldest recorded
 * change, returns the number before that change. */
int64_t
lc_in_flight_history_count_requests_at (const LcInFlightHistory *history, LbTime at)
{
  size_t oldest = find_oldest_change_index (history);

  if (history->n_changes == 0)
    return 0;
  for (size_t i = history->n_changes; i-- > oldest;)
    if (get_in_flight_change (history, i)->at <= at)
      return get_in_flight_change (history, i)->in_flight;
  return get_in_flight_change (history, oldest)->in_flight
         + (get_in_flight_change (history, oldest)->is_sent ? -1 : 1);
}

int64_t
lc_in_flight_history_count_requests_sent_after (const LcInFlightHistory *history, LbTime at)
{
  int64_t n_sent = 0;

  for (size_t i = history->n_changes;
       i-- > find_oldest_change_index (history) && get_in_flight_change (history, i)->at > at;)
    n_sent += get_in_flight_change (history, i)->is_sent;
  return n_sent;
}

int64_t
lc_in_flight_history_count_live_requests_sent_after (const LcInFlightHistory *history, LbTime at)
{
  int64_t n_sent = 0;

  for (size_t i = history->n_changes;
       i-- > find_oldest_change_index (history) && get_in_flight_change (history, i)->at > at;)
    n_sent
        += get_in_flight_change (history, i)->is_sent && get_in_flight_change (history, i)->is_live;
  return n_sent;
}

LbTime
lc_in_flight_history_last_change_at (const LcInFlightHistory *history)
{
  return history->n_changes > 0 ? get_in_flight_change (history, history->n_changes - 1)->at : 0;
}
