#ifndef LP_PATH_H
#define LP_PATH_H

#include "lb-error.h"

/* HTTP path and headers of a request that asks a peer instance to execute a store call. */
#define LP_PEER_PATH "/v1/store"
#define LP_PEER_METHOD_HEADER "x-store-method"
#define LP_PEER_PATH_HEADER "x-store-path"
#define LP_PEER_TIMEOUT_HEADER "x-store-timeout-ms" /* how long the sender waits for the answer */

/* largest number of peers that an LpPath keeps */
#define LP_MAX_PEERS 64

/* Chooses how an instance reaches the store: directly, or through a peer instance. Calls go through
 * a peer while the direct path is down, or while the store refuses this instance only. No I/O. */
typedef struct
{
  LbName peers[LP_MAX_PEERS];
  size_t n_peers;
  size_t current;           /* index in peers of the peer that calls go through */
  uint64_t seed;            /* selects the first peer to use: seed modulo n_peers */
  int direct_failures;      /* number of consecutive direct calls that did not reach the store */
  int n_probes_since_call;  /* number of probes since a call was last sent */
  LbTime next_probe_at;     /* time of the next probe of a direct path that is down */
  LbTime direct_success_at; /* time of the last answer over the direct path; 0: none yet */
} LpPath;

/* Sets the peers: addresses of the other live instances, of which the first
 * LP_MAX_PEERS are kept. */
void lp_path_set_peers (LpPath *path, const LbName *peers, size_t n_peers);
/* Address of the peer to send the next call to; NULL: call the store directly. */
const char *lp_path_choose_peer (const LpPath *path);
/* Address of the peer to use when the direct path is down; NULL: no peer is available. */
const char *lp_path_get_current_peer (const LpPath *path);
/* Records whether a direct call reached the store. */
void lp_path_record_direct_call_result (LpPath *path, bool answered, LbTime now);
/* Records that a call through this peer got no answer from the store. */
void lp_path_record_peer_failure (LpPath *path, const char *peer);
/* Returns whether a probe of the direct path is due, and if so schedules the probe after it. The
 * caller sends the probe. is_limited: the budget of attempts is limited (LpBudget). */
bool lp_path_schedule_next_probe_if_due (LpPath *path, bool is_limited, LbTime now);
/* Records that a call is sent, directly or through a peer. */
void lp_path_record_call (LpPath *path);
/* Whether the store has answered a direct call at or after `since`. */
bool lp_path_has_direct_answer_since (const LpPath *path, LbTime since);
bool lp_path_is_direct_path_down (const LpPath *path);

#endif
