#include "ln-peers-private.h"

#include <sys/resource.h>

#define LOAD_MEASUREMENT_PERIOD (5 * LB_SEC)

static LbTime
read_process_cpu_time (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * LB_SEC + usage.ru_utime.tv_usec
         + usage.ru_stime.tv_usec;
}

/* The load is the share of one core that the process used, in thousandths, since an instance has a
 * single event loop. */
void
ln_peers_measure_load (LnPeers *peers, LbTime now)
{
  if (now < peers->next_load_at)
    return;
  LbTime cpu_time = read_process_cpu_time ();
  LbTime elapsed = now - peers->next_load_at + LOAD_MEASUREMENT_PERIOD;
  int64_t load = (cpu_time - peers->cpu_time_used) * 1000 / elapsed;
  if (peers->next_load_at > 0)
    lc_membership_set_self_load (peers->membership, load, now, &peers->actions);
  peers->cpu_time_used = cpu_time;
  peers->next_load_at = now + LOAD_MEASUREMENT_PERIOD;
}
