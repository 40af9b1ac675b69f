#include "lp-path.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <string.h>

/* One lost answer proves nothing; two in a row are worth a detour. */
#define FAILURES_TO_CUT 2
/* A probe costs the store one read; instances come back to their own way within this time, during
 * which a step's results wait for their write. */
#define PROBE_PERIOD (150 * LB_MSEC)
/* So that the probes of all instances, when the store is away for all, stay within some 1,400 reads
 * a second at 350 of them; up to 64 are known. */
#define PROBE_PERIOD_PER_PEER (4 * LB_MSEC)

static size_t
find_peer (const LpPath *path, const char *peer)
{
  for (size_t i = 0; i < path->n_peers; i++)
    if (strcmp (path->peers[i], peer) == 0)
      return i;
  return path->n_peers;
}

/* The peer in use stays in use. Instances begin with different ones: when many are cut off at once,
 * one peer would have to carry out the calls of all. */
void
lp_path_set_peers (LpPath *path, const LbName *peers, size_t n_peers)
{
  LbName in_use = "";

  if (path->n_peers > 0)
    LB_COPY (in_use, path->peers[path->current]);
  path->n_peers = n_peers < LP_MAX_PEERS ? n_peers : LP_MAX_PEERS;
  for (size_t i = 0; i < path->n_peers; i++)
    LB_COPY (path->peers[i], peers[i]);
  path->current = find_peer (path, in_use);
  if (path->current == path->n_peers && path->n_peers > 0)
    path->current = path->seed % path->n_peers;
}

const char *
lp_path_current_peer (const LpPath *path)
{
  if (!lb_switch_is_on (LB_SWITCH_WAY_THROUGH_PEERS))
    return NULL;
  return path->n_peers > 0 ? path->peers[path->current] : NULL;
}

bool
lp_path_is_direct_down (const LpPath *path)
{
  return path->failures >= FAILURES_TO_CUT;
}

const char *
lp_path_choose_peer (const LpPath *path)
{
  return lp_path_is_direct_down (path) ? lp_path_current_peer (path) : NULL;
}

static LbTime
probe_period (const LpPath *path)
{
  LbTime period = (LbTime)path->n_peers * PROBE_PERIOD_PER_PEER;

  return period > PROBE_PERIOD ? period : PROBE_PERIOD;
}

void
lp_path_record_direct_result (LpPath *path, bool reached, LbTime now)
{
  path->failures = reached ? 0 : path->failures + 1;
  if (reached)
    path->reached_at = now;
  if (path->failures == FAILURES_TO_CUT)
    path->next_probe = now + probe_period (path);
}

bool
lp_path_has_answered_since (const LpPath *path, LbTime since)
{
  return path->reached_at > 0 && path->reached_at >= since;
}

/* Guards against peers that are cut off as well: an instance that went through all peers in turn
 * lost a second at each of these, again and again, and with that the lease it held. A peer that
 * answers is kept, and one that does not is left by all calls at once. */
void
lp_path_peer_failed (LpPath *path, const char *peer)
{
  if (path->n_peers > 0 && strcmp (path->peers[path->current], peer) == 0)
    path->current = (path->current + 1) % path->n_peers;
}

bool
lp_path_start_probe_if_due (LpPath *path, LbTime now)
{
  if (!lp_path_is_direct_down (path) || path->n_peers == 0 || now < path->next_probe)
    return false;
  path->next_probe = now + probe_period (path);
  return true;
}
