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
  size_t next_peer;
  int failures;        /* of the direct way, in a row */
  LbTime direct_again; /* when the direct way is tried again; 0: it is well */
} LpPath;

/* Addresses of other instances that are alive. */
void lp_path_set_peers (LpPath *path, const LbName *peers, size_t n_peers);
/* NULL: the direct way; else the peer to ask. */
const char *lp_path_choose (LpPath *path, LbTime now);
/* Another peer, for a call that failed; NULL: there is none. */
const char *lp_path_next_peer (LpPath *path);
void lp_path_direct_ended (LpPath *path, bool reached, LbTime now);
/* Whether the direct way counts as cut. */
bool lp_path_is_cut (const LpPath *path);

#endif
