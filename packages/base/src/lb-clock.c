#include "lb-clock.h"

#include <time.h>

LbTime
lb_clock_monotonic (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (LbTime)ts.tv_sec * LB_SEC + ts.tv_nsec / 1000;
}

int64_t
lb_clock_wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

LbTime
lb_clock_boottime (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (LbTime)ts.tv_sec * LB_SEC + ts.tv_nsec / 1000;
}
