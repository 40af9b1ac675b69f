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
oldest_change_index (const LcInFlightHistory *history)
{
  return history->n_changes > LC_IN_FLIGHT_HISTORY_LENGTH
             ? history->n_changes - LC_IN_FLIGHT_HISTORY_LENGTH
             : 0;
}

static const LcInFlightChange *
change_at (const LcInFlightHistory *history, size_t i)
{
  return &history->changes[i % LC_IN_FLIGHT_HISTORY_LENGTH];
}

/* For a time before the oldest change that is kept, returns the count before that change. */
int64_t
lc_in_flight_history_count_at (const LcInFlightHistory *history, LbTime at)
{
  size_t oldest = oldest_change_index (history);

  if (history->n_changes == 0)
    return 0;
  for (size_t i = history->n_changes; i-- > oldest;)
    if (change_at (history, i)->at <= at)
      return change_at (history, i)->in_flight;
  return change_at (history, oldest)->in_flight + (change_at (history, oldest)->is_sent ? -1 : 1);
}

int64_t
lc_in_flight_history_count_sent_after (const LcInFlightHistory *history, LbTime at)
{
  int64_t n_sent = 0;

  for (size_t i = history->n_changes;
       i-- > oldest_change_index (history) && change_at (history, i)->at > at;)
    n_sent += change_at (history, i)->is_sent;
  return n_sent;
}

int64_t
lc_in_flight_history_count_live_sent_after (const LcInFlightHistory *history, LbTime at)
{
  int64_t n_sent = 0;

  for (size_t i = history->n_changes;
       i-- > oldest_change_index (history) && change_at (history, i)->at > at;)
    n_sent += change_at (history, i)->is_sent && change_at (history, i)->is_live;
  return n_sent;
}
