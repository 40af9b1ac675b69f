#ifndef LC_MEMBERSHIP_H
#define LC_MEMBERSHIP_H

#include "lc-instance.h"

/* This header declares the gossip membership: which instances are alive, as seen by one instance.
 * Each instance watches its successors on a few rings (the members ordered by a hash, with another
 * hash for each ring), so that the cost does not grow with the number of members; changes are
 * broadcast over all open connections. The caller owns the connections: LcMembership requests them
 * through actions and is notified of what happens to them. */
typedef struct LcMembership LcMembership;

/* Identifies a connection while it is open or being opened; 0: no connection. */
typedef uint64_t LcLinkId;

typedef struct
{
  /* this instance: state ALIVE, epoch from the wall clock at the start of the process */
  LcInstance self;
  LbTime heartbeat_period; /* time between two heartbeats on a connection */
  size_t n_rings;          /* number of peers that each instance watches */
  LbTime dial_timeout;
  LbTime suspicion_timeout; /* time from suspicion until the member is declared dead */
  uint64_t random_seed;
} LcMembershipSettings;

typedef enum
{
  LC_MEMBERSHIP_DIAL,      /* open a connection to `address`, identified by `link` from then on */
  LC_MEMBERSHIP_CLOSE,     /* close the connection `link`, for the reason `reason` */
  LC_MEMBERSHIP_PING,      /* send a heartbeat with `digest` on the connection `link` */
  LC_MEMBERSHIP_BROADCAST, /* send `instances` on all open connections except `link` */
  LC_MEMBERSHIP_SEND,      /* send `instances` on the connection `link` only */
  /* send name, epoch, version and state of each of `instances` on the connection `link`, for
   * comparison with the peer's view */
  LC_MEMBERSHIP_COMPARE,
  LC_MEMBERSHIP_CHANGED /* this instance's view of the members changed */
} LcMembershipActionType;

/* An action that the caller must carry out. A heartbeat (PING) carries only a digest of the view,
 * so its size does not depend on the number of members. */
typedef struct
{
  LbLink link_in_list;
  LcMembershipActionType type;
  LcLinkId link;
  LbName address;        /* DIAL: address to connect to */
  LbErrorCode reason;    /* CLOSE: why the connection is closed */
  uint64_t digest;       /* PING: digest of this instance's view */
  LcInstance *instances; /* BROADCAST, SEND, COMPARE: instances to send; owned by the action */
  size_t n_instances;
  bool is_reply; /* COMPARE: this is a reply, which the peer must not answer with another COMPARE */
} LcMembershipAction;

/* State of one instance, as known to this instance. */
typedef struct
{
  LcInstance instance;
  bool is_self;
  /* no instance suspects the member, and the member's connection to this instance is not silent */
  bool alive;
  bool draining; /* reported by the instance itself or by the platform's list */
  LbTime changed_at;
} LcMemberView;

/* Counters since the start of this process, for metrics. */
typedef struct
{
  int64_t connection_timeouts;
  int64_t suspected;
  int64_t declared_dead;
  int64_t refuted;    /* suspicions that the suspected instance refuted */
  int64_t own_pauses; /* pauses of this process itself that it detected */
  int64_t name_conflicts;
} LcMembershipTotals;

/* One entry of the platform's list of instances, which lags behind their real state. */
typedef struct
{
  LbName name;
  LbName peer_address;
  bool leaving;
} LcListedInstance;

LcMembershipSettings lc_membership_settings_default (void);
LcMembership *lc_membership_new (const LcMembershipSettings *settings, LbTime now);
void lc_membership_free (LcMembership *membership);

/* Functions that change an LcMembership. Each appends the actions that the caller must carry out
 * (LcMembershipAction) to actions. */

void lc_membership_add_seed (LcMembership *membership, const char *address, LbTime now);
void lc_membership_apply_platform_list (LcMembership *membership,
                                        const LcListedInstance *listed,
                                        size_t n_listed,
                                        LbTime now,
                                        LbList *actions);
/* Call when a peer opened a connection and proved the cluster key. Returns the id of the
 * connection, or 0 when the peer has this instance's own name; the caller then closes the
 * connection. */
LcLinkId lc_membership_link_accepted (LcMembership *membership,
                                      const LcInstance *peer,
                                      LbTime now,
                                      LbList *actions);
/* Call when a connection requested by DIAL is open and the peer proved the cluster key. */
void lc_membership_link_dialled (
    LcMembership *membership, LcLinkId link, const LcInstance *peer, LbTime now, LbList *actions);
/* Call when the connection failed, was refused, or was closed by the peer. */
void
lc_membership_link_closed (LcMembership *membership, LcLinkId link, LbTime now, LbList *actions);
/* Call when a frame other than a heartbeat was sent; the peer must then send an answer or a
 * heartbeat. */
void lc_membership_frame_sent (LcMembership *membership, LcLinkId link, LbTime now);
/* Call when a frame of any kind was received. */
void lc_membership_frame_received (LcMembership *membership, LcLinkId link, LbTime now);
/* Call when a heartbeat or a heartbeat reply with the digest of the peer's view has arrived. */
void lc_membership_digest_received (LcMembership *membership,
                                    LcLinkId link,
                                    uint64_t digest,
                                    LbTime now);
/* Applies instance states sent by a peer. An entry without peer_address is in short form: it also
 * lacks the incarnation, the data centre and the address for callers, and only updates an instance
 * whose epoch is already known. */
void lc_membership_updates_received (LcMembership *membership,
                                     LcLinkId link,
                                     const LcInstance *instances,
                                     size_t n_instances,
                                     LbTime now,
                                     LbList *actions);
/* Merges a peer's summary of its whole view. Sends the instances whose state is newer in this
 * instance's view (action SEND), and asks for newer ones that the peer has (action COMPARE). */
void lc_membership_summary_received (LcMembership *membership,
                                     LcLinkId link,
                                     const LcInstance *instances,
                                     size_t n_instances,
                                     bool is_reply,
                                     LbTime now,
                                     LbList *actions);
/* Keeps a connection to the named instance open until the time `until`; returns false when the
 * instance is not known. */
bool lc_membership_keep_connected (
    LcMembership *membership, const char *name, LbTime until, LbTime now, LbList *actions);
void lc_membership_mark_self_draining (LcMembership *membership, LbTime now, LbList *actions);
/* load: processor use of this instance per mille; published in steps and at a limited rate. */
void
lc_membership_set_self_load (LcMembership *membership, int64_t load, LbTime now, LbList *actions);
void lc_membership_tick (LcMembership *membership, LbTime now, LbList *actions);
void lc_membership_action_free (LcMembershipAction *action);

/* Functions that only read an LcMembership. */

LbTime lc_membership_next_tick (const LcMembership *membership);
uint64_t lc_membership_digest (const LcMembership *membership);
const LcInstance *lc_membership_self (const LcMembership *membership);
size_t lc_membership_count_instances (const LcMembership *membership);
/* Fills an array of lc_membership_count_instances elements, ordered by name. */
void lc_membership_copy_views (const LcMembership *membership, LcMemberView *views);
bool
lc_membership_find_instance (const LcMembership *membership, const char *name, LcMemberView *view);
/* Returns the open connection to the instance that received a frame last; 0 when none is open. */
LcLinkId lc_membership_find_link (const LcMembership *membership, const char *name);
const char *lc_membership_link_peer_name (const LcMembership *membership, LcLinkId link);
LcMembershipTotals lc_membership_totals (const LcMembership *membership);

#endif
