#include "lc-concurrency.h"

#include <math.h>

#define MIN_CONCURRENCY_LIMIT 1.0
#define SLOW_DECREASE_FACTOR 0.9
#define FAILED_DECREASE_FACTOR 0.7
/* Requests queue at the endpoint when the time to first byte exceeds SLOW_FIRST_BYTE_FACTOR times
 * the minimum by more than SLOW_FIRST_BYTE_EXTRA_SECONDS; smaller differences are noise. */
#define SLOW_FIRST_BYTE_FACTOR 3.0
#define SLOW_FIRST_BYTE_EXTRA_SECONDS 0.25
/* Weight with which each longer time to first byte raises the minimum, so that the minimum follows
 * hardware that gets slower. */
#define MIN_FIRST_BYTE_RISE_WEIGHT 0.002
/* Minimum time between two decreases of the limit: requests in flight together are delayed by the
 * same cause, which must decrease the limit only once. */
#define MIN_DECREASE_INTERVAL LB_SEC

void
lc_concurrency_init (LcConcurrency *concurrency, int64_t max)
{
  *concurrency = (LcConcurrency){ .max = (double)(max > 1 ? max : 1) };
  concurrency->limit = concurrency->max;
}

void
lc_concurrency_set_max (LcConcurrency *concurrency, int64_t max)
{
  if ((double)max == concurrency->max)
    return;
  concurrency->max = (double)(max > 1 ? max : 1);
  concurrency->limit = concurrency->max;
}

static void
decrease_concurrency_limit (LcConcurrency *concurrency, double factor, LbTime now)
{
  if (concurrency->decreased_at != 0 && now - concurrency->decreased_at < MIN_DECREASE_INTERVAL)
    return;
  concurrency->decreased_at = now;
  concurrency->limit = fmax (MIN_CONCURRENCY_LIMIT, concurrency->limit * factor);
}

static void
update_min_first_byte_seconds (LcConcurrency *concurrency, double first_byte_seconds)
{
  double min_seconds = concurrency->min_first_byte_seconds;

  concurrency->min_first_byte_seconds
      = min_seconds == 0 || first_byte_seconds < min_seconds
            ? first_byte_seconds
            : min_seconds + MIN_FIRST_BYTE_RISE_WEIGHT * (first_byte_seconds - min_seconds);
}

void
lc_concurrency_first_byte_received (LcConcurrency *concurrency,
                                    double first_byte_seconds,
                                    int64_t in_flight,
                                    LbTime now)
{
  update_min_first_byte_seconds (concurrency, first_byte_seconds);
  if (first_byte_seconds > SLOW_FIRST_BYTE_FACTOR * concurrency->min_first_byte_seconds
                               + SLOW_FIRST_BYTE_EXTRA_SECONDS)
    decrease_concurrency_limit (concurrency, SLOW_DECREASE_FACTOR, now);
  else if ((double)in_flight * 2 >= concurrency->limit)
    concurrency->limit = fmin (concurrency->max, concurrency->limit + 1 / concurrency->limit);
}

void
lc_concurrency_request_failed (LcConcurrency *concurrency, LbTime now)
{
  decrease_concurrency_limit (concurrency, FAILED_DECREASE_FACTOR, now);
}
