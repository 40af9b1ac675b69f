#include "lc-in-flight-history.h"

void
lc_in_flight_history_add (
    LcInFlightHistory *log, int64_t in_flight, bool sent, bool live, LbTime now)
{
  log->changes[log->n_changes++ % LC_IN_FLIGHT_HISTORY_LENGTH] = (LcInFlightChange){
    .at = now, .in_flight = (int32_t)in_flight, .sent = sent, .live = live
  };
}

static size_t
oldest_kept (const LcInFlightHistory *log)
{
  return log->n_changes > LC_IN_FLIGHT_HISTORY_LENGTH ? log->n_changes - LC_IN_FLIGHT_HISTORY_LENGTH
                                                      : 0;
}

static const LcInFlightChange *
change (const LcInFlightHistory *log, size_t i)
{
  return &log->changes[i % LC_IN_FLIGHT_HISTORY_LENGTH];
}

/* Before the oldest change that is kept the count is taken to be what that change began from. */
int64_t
lc_in_flight_history_count_at (const LcInFlightHistory *log, LbTime at)
{
  size_t oldest = oldest_kept (log);

  if (log->n_changes == 0)
    return 0;
  for (size_t i = log->n_changes; i-- > oldest;)
    if (change (log, i)->at <= at)
      return change (log, i)->in_flight;
  return change (log, oldest)->in_flight + (change (log, oldest)->sent ? -1 : 1);
}

int64_t
lc_in_flight_history_sent_after (const LcInFlightHistory *log, LbTime at)
{
  int64_t sent = 0;

  for (size_t i = log->n_changes; i-- > oldest_kept (log) && change (log, i)->at > at;)
    sent += change (log, i)->sent;
  return sent;
}

int64_t
lc_in_flight_history_live_sent_after (const LcInFlightHistory *log, LbTime at)
{
  int64_t sent = 0;

  for (size_t i = log->n_changes; i-- > oldest_kept (log) && change (log, i)->at > at;)
    sent += change (log, i)->sent && change (log, i)->live;
  return sent;
}
