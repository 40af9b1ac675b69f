#ifndef LP_PATH_H
#define LP_PATH_H

#include "lb-error.h"

/* How an instance carries out store calls of others: the path at its peers' address, and the
 * headers that name the call. */
#define LP_PEER_PATH "/v1/store"
#define LP_PEER_METHOD_HEADER "x-store-method"
#define LP_PEER_PATH_HEADER "x-store-path"

/* How an instance reaches the store: by itself, or through another instance while its own way is
 * cut or the store turns it away and serves the others. No I/O. */

#define LP_MAX_PEERS 64

typedef struct
{
  LbName peers[LP_MAX_PEERS];
  size_t n_peers;
  size_t current;    /* of the peers: the one that calls go through */
  uint64_t seed;     /* which peer comes first */
  int failures;      /* of the direct way, in a row */
  LbTime next_probe; /* of the direct way while it is cut */
  LbTime reached_at; /* by the direct way; 0: never */
} LpPath;

/* Addresses of other instances that are alive. */
void lp_path_set_peers (LpPath *path, const LbName *peers, size_t n_peers);
/* NULL: the direct way; else the peer to ask. */
const char *lp_path_choose_peer (const LpPath *path);
/* The peer that calls go through; NULL: there is none. */
const char *lp_path_current_peer (const LpPath *path);
void lp_path_record_direct_result (LpPath *path, bool reached, LbTime now);
/* A call through the peer got no answer of the store. */
void lp_path_peer_failed (LpPath *path, const char *peer);
/* True when it is time to ask the store itself whether the direct way is well again. */
bool lp_path_start_probe_if_due (LpPath *path, LbTime now);
/* Whether the store answered by the direct way since then. */
bool lp_path_has_answered_since (const LpPath *path, LbTime since);
/* Whether the direct way counts as cut. */
bool lp_path_is_direct_down (const LpPath *path);

#endif
