#include "lc-concurrency.h"

#include <math.h>

#define LEAST 1.0
#define DECREASE_SLOW 0.9
#define DECREASE_FAILED 0.7
#define QUEUED_FACTOR 3.0
#define QUEUED_SECONDS 0.25 /* beyond the factor: short waits are noise, not a queue */
#define FLOOR_RISE 0.002    /* per first byte, so that the floor follows slower hardware */
#define BETWEEN_DECREASES                                                                          \
  LB_SEC /* one decrease for one bad moment, not one per request in flight */

void
lc_concurrency_init (LcConcurrency *concurrency, int64_t most)
{
  *concurrency = (LcConcurrency){ .most = (double)(most > 1 ? most : 1) };
  concurrency->limit = concurrency->most;
}

void
lc_concurrency_set_max (LcConcurrency *concurrency, int64_t most)
{
  if ((double)most == concurrency->most)
    return;
  concurrency->most = (double)(most > 1 ? most : 1);
  concurrency->limit = concurrency->most;
}

static void
decrease (LcConcurrency *concurrency, double factor, LbTime now)
{
  if (concurrency->lowered != 0 && now - concurrency->lowered < BETWEEN_DECREASES)
    return;
  concurrency->lowered = now;
  concurrency->limit = fmax (LEAST, concurrency->limit * factor);
}

static void
follow_floor (LcConcurrency *concurrency, double waited_seconds)
{
  double floor = concurrency->floor_seconds;

  concurrency->floor_seconds = floor == 0 || waited_seconds < floor
                                   ? waited_seconds
                                   : floor + FLOOR_RISE * (waited_seconds - floor);
}

void
lc_concurrency_first_byte_received (LcConcurrency *concurrency,
                                    double waited_seconds,
                                    int64_t in_flight,
                                    LbTime now)
{
  follow_floor (concurrency, waited_seconds);
  if (waited_seconds > QUEUED_FACTOR * concurrency->floor_seconds + QUEUED_SECONDS)
    decrease (concurrency, DECREASE_SLOW, now);
  else if ((double)in_flight * 2 >= concurrency->limit)
    concurrency->limit = fmin (concurrency->most, concurrency->limit + 1 / concurrency->limit);
}

void
lc_concurrency_request_failed (LcConcurrency *concurrency, LbTime now)
{
  decrease (concurrency, DECREASE_FAILED, now);
}
