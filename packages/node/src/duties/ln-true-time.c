#include "ln-true-time.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lc-true-time.h"
#include "lp-platform.h"

#include <stdlib.h>

struct LnTrueTime
{
  const LnContext *context;
  int64_t offset_ms; /* true time minus the store's clock; 0: not known */
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
  int64_t *offsets = LB_NEW_ARRAY (int64_t, members->n_members + 1);
  size_t n = 0;

  for (size_t i = 0; i < members->n_members; i++)
    if (members->members[i].alive && members->members[i].clock_lead_ms != 0)
      offsets[n++] = members->members[i].clock_lead_ms;
  if (n > 0)
    time->offset_ms = lc_true_time_median_offset (offsets, n);
  free (offsets);
}

/* Uses this machine's wall clock if the offset is not known or the store has no clock. */
int64_t
ln_true_time_to_unix_ms (const LnTrueTime *time, LbTime at)
{
  int64_t store_ms = lp_platform_get_store_clock_ms_at (time->context->platform, at);

  if (store_ms == 0 || time->offset_ms == 0)
    return lb_clock_wall_ms () - (lb_clock_monotonic () - at) / LB_MSEC;
  return store_ms + time->offset_ms;
}

int64_t
ln_true_time_get_local_clock_offset_ms (const LnContext *context, LbTime now)
{
  int64_t store_ms = lp_platform_get_store_clock_ms_at (context->platform, now);

  return store_ms == 0 ? 0 : lb_clock_wall_ms () - store_ms;
}
