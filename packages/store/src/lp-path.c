#include "lp-path.h"

#include "lb-alloc.h"

/* One lost answer proves nothing; two in a row are worth a detour. */
#define FAILURES_TO_CUT 2
/* A call that tries the direct way while it is cut is lost for a deadline, so few do. */
#define TRY_AGAIN_AFTER (1500 * LB_MSEC)

void
lp_path_set_peers (LpPath *path, const LbName *peers, size_t n_peers)
{
  path->n_peers = n_peers < LP_MAX_PEERS ? n_peers : LP_MAX_PEERS;
  for (size_t i = 0; i < path->n_peers; i++)
    LB_COPY (path->peers[i], peers[i]);
}

const char *
lp_path_next_peer (LpPath *path)
{
  return path->n_peers > 0 ? path->peers[path->next_peer++ % path->n_peers] : NULL;
}

bool
lp_path_is_cut (const LpPath *path)
{
  return path->failures >= FAILURES_TO_CUT;
}

const char *
lp_path_choose (LpPath *path, LbTime now)
{
  if (!lp_path_is_cut (path) || path->n_peers == 0)
    return NULL;
  if (now >= path->direct_again)
    {
      path->direct_again = now + TRY_AGAIN_AFTER;
      return NULL;
    }
  return lp_path_next_peer (path);
}

void
lp_path_direct_ended (LpPath *path, bool reached, LbTime now)
{
  if (reached)
    {
      path->failures = 0;
      path->direct_again = 0;
      return;
    }
  path->failures++;
  if (path->failures == FAILURES_TO_CUT)
    path->direct_again = now + TRY_AGAIN_AFTER;
}
