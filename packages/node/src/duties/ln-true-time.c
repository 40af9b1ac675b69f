#include "ln-true-time.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lc-true-time.h"
#include "lp-platform.h"

#include <stdlib.h>

struct LnTrueTime
{
  const LnContext *context;
  int64_t lead; /* of true time over the store's clock; 0: not known */
};

LnTrueTime *
ln_true_time_new (const LnContext *context)
{
  LnTrueTime *time = LB_NEW (LnTrueTime);

  time->context = context;
  return time;
}

void
ln_true_time_free (LnTrueTime *time)
{
  free (time);
}

void
ln_true_time_set_members (LnTrueTime *time, const LnMembersMessage *members)
{
  int64_t *leads = LB_NEW_ARRAY (int64_t, members->n_members + 1);
  size_t n = 0;

  for (size_t i = 0; i < members->n_members; i++)
    if (members->members[i].alive && members->members[i].clock_lead_ms != 0)
      leads[n++] = members->members[i].clock_lead_ms;
  if (n > 0)
    time->lead = lc_true_time_median_offset (leads, n);
  free (leads);
}

/* Before others are known, and without a store that has a clock, the own time of day has to do. */
int64_t
ln_true_time_ms (const LnTrueTime *time, LbTime at)
{
  int64_t store_ms = lp_platform_store_ms_at (time->context->platform, at);

  if (store_ms == 0 || time->lead == 0)
    return lb_clock_wall_ms () - (lb_clock_monotonic () - at) / LB_MSEC;
  return store_ms + time->lead;
}

int64_t
ln_true_time_local_offset_ms (const LnContext *context, LbTime now)
{
  int64_t store_ms = lp_platform_store_ms_at (context->platform, now);

  return store_ms == 0 ? 0 : lb_clock_wall_ms () - store_ms;
}
