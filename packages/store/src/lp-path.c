#include "lp-path.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <string.h>

/* A single call without an answer does not prove that the direct path is down; after two in a row,
 * calls go through a peer. */
#define DIRECT_FAILURES_UNTIL_PATH_DOWN 2
/* Minimum time between probes of a direct path that is down. A longer period delays the use of a
 * recovered path, and so the writes of a training step's results. Each probe costs the store one
 * read. */
#define MIN_DIRECT_PROBE_PERIOD (150 * LB_MSEC)
/* Minimum time between probes for each known peer (at most 64). If none of 350 instances reaches
 * the store, their probes then stay at about 1,400 reads per second. */
#define MIN_DIRECT_PROBE_PERIOD_PER_PEER (4 * LB_MSEC)

/* While attempts are limited, a call is sent after this many probes. */
#define MAX_PROBES_PER_CALL 2

static size_t
find_peer_index (const LpPath *path, const char *peer)
{
  for (size_t i = 0; i < path->n_peers; i++)
    if (strcmp (path->peers[i], peer) == 0)
      return i;
  return path->n_peers;
}

/* Keeps the peer in use if it is still listed. Otherwise the seed selects the peer, so that
 * instances use different ones: a single peer could not execute the calls of many disconnected
 * instances. */
void
lp_path_set_peers (LpPath *path, const LbName *peers, size_t n_peers)
{
  LbName in_use = "";

  if (path->n_peers > 0)
    LB_COPY (in_use, path->peers[path->current]);
  path->n_peers = n_peers < LP_MAX_PEERS ? n_peers : LP_MAX_PEERS;
  for (size_t i = 0; i < path->n_peers; i++)
    LB_COPY (path->peers[i], peers[i]);
  path->current = find_peer_index (path, in_use);
  if (path->current == path->n_peers && path->n_peers > 0)
    path->current = path->seed % path->n_peers;
}

const char *
lp_path_get_current_peer (const LpPath *path)
{
  if (!lb_switch_is_on (LB_SWITCH_WAY_THROUGH_PEERS))
    return NULL;
  return path->n_peers > 0 ? path->peers[path->current] : NULL;
}

bool
lp_path_is_direct_path_down (const LpPath *path)
{
  return path->direct_failures >= DIRECT_FAILURES_UNTIL_PATH_DOWN;
}

const char *
lp_path_choose_peer (const LpPath *path)
{
  return lp_path_is_direct_path_down (path) ? lp_path_get_current_peer (path) : NULL;
}

static LbTime
get_direct_path_probe_period (const LpPath *path)
{
  LbTime period = (LbTime)path->n_peers * MIN_DIRECT_PROBE_PERIOD_PER_PEER;

  return period > MIN_DIRECT_PROBE_PERIOD ? period : MIN_DIRECT_PROBE_PERIOD;
}

void
lp_path_record_direct_call_result (LpPath *path, bool answered, LbTime now)
{
  path->direct_failures = answered ? 0 : path->direct_failures + 1;
  if (answered)
    path->direct_success_at = now;
  if (path->direct_failures == DIRECT_FAILURES_UNTIL_PATH_DOWN)
    path->next_probe_at = now + get_direct_path_probe_period (path);
}

bool
lp_path_has_direct_answer_since (const LpPath *path, LbTime since)
{
  return path->direct_success_at > 0 && path->direct_success_at >= since;
}

/* Switches to the next peer when the one in use fails; a peer that answers stays in use. Using the
 * peers in turn cost a second at each disconnected peer, until the instance lost its lease. */
void
lp_path_record_peer_failure (LpPath *path, const char *peer)
{
  if (path->n_peers > 0 && strcmp (path->peers[path->current], peer) == 0)
    path->current = (path->current + 1) % path->n_peers;
}

/* While attempts are limited, most are probes, which find out first that the store is back. The
 * others are calls, which find out that the path through peers works. */
bool
lp_path_schedule_next_probe_if_due (LpPath *path, bool is_limited, LbTime now)
{
  if (!lp_path_choose_peer (path) || now < path->next_probe_at)
    return false;
  if (is_limited && path->n_probes_since_call >= MAX_PROBES_PER_CALL)
    return false;
  path->n_probes_since_call++;
  path->next_probe_at = now + get_direct_path_probe_period (path);
  return true;
}

void
lp_path_record_call (LpPath *path)
{
  path->n_probes_since_call = 0;
}
