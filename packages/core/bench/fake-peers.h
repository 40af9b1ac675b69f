#ifndef FAKE_PEERS_H
#define FAKE_PEERS_H

#include "lc-membership.h"
#include "lw-message.h"

/* A simulated cluster for tests and benchmarks. Each instance runs the real LcMembership in virtual
 * time; messages between instances arrive after a random delay. */
typedef struct FakePeers FakePeers;

typedef enum
{
  FAKE_RUNNING,
  FAKE_PAUSED,     /* stopped by SIGSTOP; the kernel still accepts connections and data */
  FAKE_KILLED,     /* killed by SIGKILL; connections are reset and new ones are refused */
  FAKE_UNREACHABLE /* lost by a machine or network failure; nothing answers */
} FakeState;

FakePeers *fake_peers_new (size_t count, const LcMembershipSettings *settings, uint64_t seed);
void fake_peers_free (FakePeers *peers);

/* --- functions that change the simulated cluster --- */
/* Starts or restarts an instance. The only seed address of the instance is that of instance 0. */
void fake_peers_start_instance (FakePeers *peers, size_t index);
void fake_peers_set_instance_state (FakePeers *peers, size_t index, FakeState state);
/* Assigns the instance to a group. Messages between instances of different groups are lost. */
void fake_peers_set_partition_group (FakePeers *peers, size_t index, int partition_group);
/* Drops all messages between two instances on the connections that are open now; later connections
 * between the two work. */
void fake_peers_drop_messages_on_open_links (FakePeers *peers, size_t a, size_t b);
/* Drops all messages between two instances, on open and on new connections. */
void fake_peers_partition_pair (FakePeers *peers, size_t a, size_t b);
/* Executes and frees the actions that the LcMembership of an instance has appended to the list. */
void fake_peers_execute_membership_actions (FakePeers *peers, size_t index, LbList *actions);
void fake_peers_run_until (FakePeers *peers, LbTime until);
void fake_peers_reset_traffic_bytes (FakePeers *peers);

/* --- functions that only read the simulated cluster --- */
LbTime fake_peers_now (const FakePeers *peers);
LcMembership *fake_peers_membership (const FakePeers *peers, size_t index);
/* Returns true if the observer lists the subject as available to callers. */
bool fake_peers_is_listed (const FakePeers *peers, size_t observer, size_t subject);
/* Returns the subject's state as known to the observer; LC_INSTANCE_DEAD if it is unknown. */
LcInstanceState fake_peers_observed_state (const FakePeers *peers, size_t observer, size_t subject);
/* Counts the other running instances that list the subject as available to callers. */
size_t fake_peers_count_observers_listing (const FakePeers *peers, size_t subject);
/* Counts the running instances that list all running instances and no others. */
size_t fake_peers_count_converged_instances (const FakePeers *peers);
/* Returns the bytes that a message takes on the network: the encoded frame with TCP and IP headers,
 * and a TCP acknowledgement unless a reply acknowledges the frame. */
int64_t fake_peers_message_bytes (const LwMessage *message);
/* Returns the bytes that an instance has sent and received since the last reset, with TCP and IP
 * headers. */
int64_t fake_peers_traffic_bytes (const FakePeers *peers, size_t index);

#endif
