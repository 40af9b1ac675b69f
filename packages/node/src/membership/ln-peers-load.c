#include "ln-peers-private.h"

#include <sys/resource.h>

#define LOAD_EVERY (5 * LB_SEC)

static LbTime
processor_time (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * LB_SEC + usage.ru_utime.tv_usec
         + usage.ru_stime.tv_usec;
}

/* One event loop an instance: the share of one core that it uses is its load. */
void
ln_peers_measure_load (LnPeers *peers, LbTime now)
{
  if (now < peers->next_load)
    return;
  LbTime used = processor_time ();
  LbTime since = now - peers->next_load + LOAD_EVERY;
  int64_t load = (used - peers->used_processor) * 1000 / since;
  if (peers->next_load > 0)
    lc_membership_set_load (peers->membership, load, now, &peers->actions);
  peers->used_processor = used;
  peers->next_load = now + LOAD_EVERY;
}
