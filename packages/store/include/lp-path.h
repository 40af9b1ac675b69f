#ifndef LP_PATH_H
#define LP_PATH_H

#include "lb-error.h"

/* HTTP path and headers of a store call that an instance asks a peer to execute. */
#define LP_PEER_PATH "/v1/store"
#define LP_PEER_METHOD_HEADER "x-store-method"
#define LP_PEER_PATH_HEADER "x-store-path"

/* Chooses how an instance reaches the store: directly, or through a peer while its direct path is
 * down or the store refuses this instance but serves others. No I/O. */

#define LP_MAX_PEERS 64

typedef struct
{
  LbName peers[LP_MAX_PEERS];
  size_t n_peers;
  size_t current;           /* index of the peer that calls go through */
  uint64_t seed;            /* selects the first peer */
  int direct_failures;      /* consecutive direct calls that did not reach the store */
  LbTime next_probe_at;     /* when to test the direct path again while it is down */
  LbTime direct_success_at; /* last answer over the direct path; 0: never */
} LpPath;

/* Sets the addresses of the other live instances. */
void lp_path_set_peers (LpPath *path, const LbName *peers, size_t n_peers);
/* The peer to send the next call to; NULL: call the store directly. */
const char *lp_path_choose_peer (const LpPath *path);
/* The peer to use when the direct path is down; NULL: none. */
const char *lp_path_current_peer (const LpPath *path);
void lp_path_record_direct_result (LpPath *path, bool answered, LbTime now);
/* Records that a call through the peer got no answer from the store. */
void lp_path_record_peer_failure (LpPath *path, const char *peer);
/* Whether a probe of the direct path is due; if so, schedules the next one. */
bool lp_path_start_probe_if_due (LpPath *path, LbTime now);
/* Whether the store has answered a direct call since then. */
bool lp_path_has_direct_answer_since (const LpPath *path, LbTime since);
bool lp_path_is_direct_down (const LpPath *path);

#endif
