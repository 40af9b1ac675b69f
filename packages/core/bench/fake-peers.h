#ifndef FAKE_PEERS_H
#define FAKE_PEERS_H

#include "lc-membership.h"
#include "lw-message.h"

/* Simulated instances that run the real LcMembership in virtual time over connections with a delay.
 * For tests and benchmarks. */
typedef struct FakePeers FakePeers;

typedef enum
{
  FAKE_RUNNING,
  FAKE_PAUSED,     /* SIGSTOP: the kernel still accepts connections and bytes */
  FAKE_KILLED,     /* SIGKILL: connections are reset, new ones are refused */
  FAKE_UNREACHABLE /* machine or network failure: no answer of any kind */
} FakeState;

FakePeers *fake_peers_new (size_t count, const LcMembershipSettings *settings, uint64_t seed);
void fake_peers_free (FakePeers *peers);

/* commands */
/* Starts or restarts an instance; its only seed is instance 0. */
void fake_peers_start_instance (FakePeers *peers, size_t index);
void fake_peers_set_instance_state (FakePeers *peers, size_t index, FakeState state);
/* Messages between instances of different groups are lost. */
void fake_peers_set_partition_group (FakePeers *peers, size_t index, int group);
/* Drops everything sent on the connections that are now open between the two. */
void fake_peers_drop_on_open_links (FakePeers *peers, size_t a, size_t b);
/* Drops everything between the two, on open and new connections. */
void fake_peers_partition_pair (FakePeers *peers, size_t a, size_t b);
/* Carries out and frees the actions of an instance. */
void fake_peers_execute_actions (FakePeers *peers, size_t index, LbList *actions);
void fake_peers_run_until (FakePeers *peers, LbTime until);
void fake_peers_reset_traffic_bytes (FakePeers *peers);

/* queries */
LbTime fake_peers_now (const FakePeers *peers);
LcMembership *fake_peers_membership (const FakePeers *peers, size_t index);
/* Returns true if observer lists subject as available to callers. */
bool fake_peers_is_listed (const FakePeers *peers, size_t observer, size_t subject);
LcInstanceState fake_peers_observed_state (const FakePeers *peers, size_t observer, size_t subject);
/* Counts the running instances that list subject as available to callers. */
size_t fake_peers_count_observers_listing (const FakePeers *peers, size_t subject);
/* Counts the running instances that list exactly the running ones. */
size_t fake_peers_count_converged (const FakePeers *peers);
/* Returns the bytes of the encoded frame with TCP and IP headers, and of a segment that
 * acknowledges it unless an answer does. */
int64_t fake_peers_message_bytes (const LwMessage *message);
/* Bytes that an instance sent and received, with TCP and IP headers. */
int64_t fake_peers_traffic_bytes (const FakePeers *peers, size_t index);

#endif
