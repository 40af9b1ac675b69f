#include "lb-time.h"

LbTime
lb_time_earlier (LbTime a, LbTime b)
{
  return a < b ? a : b;
}

LbTime
lb_time_later (LbTime a, LbTime b)
{
  return a > b ? a : b;
}

struct timeval
lb_time_to_timeval (LbTime time)
{
  return (struct timeval){ .tv_sec = time / LB_SEC, .tv_usec = (suseconds_t)(time % LB_SEC) };
}
