#ifndef FAKE_PEERS_H
#define FAKE_PEERS_H

#include "lc-membership.h"
#include "lw-message.h"

/* Instances that run the real LcMembership in virtual time over pretended connections with a delay.
 * For tests and measurements. */
typedef struct FakePeers FakePeers;

typedef enum
{
  FAKE_RUNNING,
  FAKE_PAUSED,  /* SIGSTOP: the kernel still takes connections and bytes */
  FAKE_KILLED,  /* SIGKILL: connections are reset, new ones refused */
  FAKE_VANISHED /* the machine is gone: no answer of any kind */
} FakeState;

FakePeers *fake_peers_new (size_t count, const LcMembershipSettings *settings, uint64_t seed);
void fake_peers_free (FakePeers *peers);

/* commands */
/* Starts instance index; its only seed is instance 0. */
void fake_peers_start (FakePeers *peers, size_t index);
void fake_peers_set_state (FakePeers *peers, size_t index, FakeState state);
/* Bytes between instances of unlike groups are lost. */
void fake_peers_set_group (FakePeers *peers, size_t index, int group);
/* All connections now open between the two swallow what is written to them. */
void fake_peers_silence (FakePeers *peers, size_t a, size_t b);
/* Nothing passes between the two, on old or new connections. */
void fake_peers_cut_pair (FakePeers *peers, size_t a, size_t b);
/* Does and frees what a command of an instance ordered. */
void fake_peers_carry_out (FakePeers *peers, size_t index, LbList *actions);
void fake_peers_run (FakePeers *peers, LbTime until);
void fake_peers_reset_bytes (FakePeers *peers);

/* queries */
LbTime fake_peers_now (const FakePeers *peers);
LcMembership *fake_peers_membership (const FakePeers *peers, size_t index);
/* True when observer would name subject to callers. */
bool fake_peers_names (const FakePeers *peers, size_t observer, size_t subject);
LcInstanceState fake_peers_state_of (const FakePeers *peers, size_t observer, size_t subject);
/* Running instances that would name subject to callers. */
size_t fake_peers_naming (const FakePeers *peers, size_t subject);
/* Running instances that see every running one alive and no other. */
size_t fake_peers_agreeing (const FakePeers *peers);
/* The bytes of the real frame with TCP and IP headers; the segment is acknowledged by another one,
 * unless an answer does that. */
int64_t fake_peers_message_bytes (const LwMessage *message);
/* Bytes that an instance sent and got, TCP and IP headers included. */
int64_t fake_peers_bytes (const FakePeers *peers, size_t index);

#endif
