#ifndef LC_MEMBERSHIP_H
#define LC_MEMBERSHIP_H

#include "lc-instance.h"

/* Gossip membership: which instances are alive, as seen by one instance. Each instance watches its
 * successors on a few rings (the members ordered by a hash, with another hash for each ring), so
 * that the cost does not grow with the number of members; changes are broadcast over all open
 * connections. The caller owns the connections: LcMembership requests them through actions and is
 * notified of what happens to them. */
typedef struct LcMembership LcMembership;

/* Identifies a connection while it is open or being opened; 0 is none. */
typedef uint64_t LcLinkId;

typedef struct
{
  LcInstance self;         /* state ALIVE; epoch: wall clock at the start */
  LbTime heartbeat_period; /* between heartbeats on a connection */
  size_t n_rings;          /* number of peers that each instance watches */
  LbTime dial_timeout;
  LbTime suspicion_timeout; /* time from suspicion until the member is declared dead */
  uint64_t random_seed;
} LcMembershipSettings;

typedef enum
{
  LC_MEMBERSHIP_DIAL,      /* open a connection: link, address */
  LC_MEMBERSHIP_CLOSE,     /* close a connection: link, reason */
  LC_MEMBERSHIP_PING,      /* send a heartbeat: link, digest */
  LC_MEMBERSHIP_BROADCAST, /* send instances on all open connections but link */
  LC_MEMBERSHIP_SEND,      /* send instances on link alone */
  LC_MEMBERSHIP_COMPARE,   /* send names, epochs, versions and states of all on link */
  LC_MEMBERSHIP_CHANGED    /* the view changed */
} LcMembershipActionType;

/* A heartbeat carries a digest of the view, so its size does not depend on the number of
 * members. */
typedef struct
{
  LbLink link_in_list;
  LcMembershipActionType type;
  LcLinkId link;
  LbName address;        /* DIAL */
  LbErrorCode reason;    /* CLOSE */
  uint64_t digest;       /* PING: of this instance's view */
  LcInstance *instances; /* owned by the action */
  size_t n_instances;
  bool is_reply; /* of COMPARE: a reply, which the peer must not answer with a COMPARE */
} LcMembershipAction;

/* One instance as this instance sees it. */
typedef struct
{
  LcInstance instance;
  bool is_self;
  bool alive;    /* not suspected by any instance and not silent here */
  bool draining; /* according to the instance itself or to the platform's list */
  LbTime changed_at;
} LcMemberView;

/* Totals since the start, for metrics. */
typedef struct
{
  int64_t connection_timeouts;
  int64_t suspected;
  int64_t declared_dead;
  int64_t refuted;    /* suspicions of other instances that these refuted */
  int64_t own_pauses; /* times that this process was found to have been paused */
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

/* commands; each appends LcMembershipAction to actions */
void lc_membership_add_seed (LcMembership *membership, const char *address, LbTime now);
void lc_membership_apply_platform_list (LcMembership *membership,
                                        const LcListedInstance *listed,
                                        size_t n_listed,
                                        LbTime now,
                                        LbList *actions);
/* A peer opened a connection and proved the cluster key; returns the id of the connection, or 0
 * when the peer has this instance's own name: the caller then closes it. */
LcLinkId lc_membership_link_accepted (LcMembership *membership,
                                      const LcInstance *peer,
                                      LbTime now,
                                      LbList *actions);
/* A connection requested by DIAL is open and the peer proved the cluster key. */
void lc_membership_link_dialled (
    LcMembership *membership, LcLinkId link, const LcInstance *peer, LbTime now, LbList *actions);
/* The connection failed, was refused, or was closed by the peer. */
void
lc_membership_link_closed (LcMembership *membership, LcLinkId link, LbTime now, LbList *actions);
/* A frame other than a heartbeat was sent, so an answer or heartbeat of the peer is due. */
void lc_membership_frame_sent (LcMembership *membership, LcLinkId link, LbTime now);
/* A frame of any kind was received. */
void lc_membership_frame_received (LcMembership *membership, LcLinkId link, LbTime now);
/* The peer's digest, from its heartbeat or its reply to one. */
void lc_membership_digest_received (LcMembership *membership,
                                    LcLinkId link,
                                    uint64_t digest,
                                    LbTime now);
/* Instances sent by a peer. An entry without peer_address is in short form: it also lacks
 * incarnation, data centre and caller address, and updates an epoch that is known already. */
void lc_membership_updates_received (LcMembership *membership,
                                     LcLinkId link,
                                     const LcInstance *instances,
                                     size_t n_instances,
                                     LbTime now,
                                     LbList *actions);
/* The peer's summary of its whole view; answered by SEND with whatever is newer here. */
void lc_membership_summary_received (LcMembership *membership,
                                     LcLinkId link,
                                     const LcInstance *instances,
                                     size_t n_instances,
                                     bool is_reply,
                                     LbTime now,
                                     LbList *actions);
/* Keeps a connection to the named instance open until that time; false when the instance is not
 * known. */
bool lc_membership_keep_connected (
    LcMembership *membership, const char *name, LbTime until, LbTime now, LbList *actions);
void lc_membership_set_draining (LcMembership *membership, LbTime now, LbList *actions);
/* load: processor use per mille; published in steps and at a limited rate. */
void lc_membership_set_load (LcMembership *membership, int64_t load, LbTime now, LbList *actions);
void lc_membership_tick (LcMembership *membership, LbTime now, LbList *actions);
void lc_membership_action_free (LcMembershipAction *action);

/* queries */
LbTime lc_membership_next_tick (const LcMembership *membership);
uint64_t lc_membership_digest (const LcMembership *membership);
const LcInstance *lc_membership_self (const LcMembership *membership);
size_t lc_membership_count_instances (const LcMembership *membership);
/* Fills an array of lc_membership_count_instances elements, ordered by name. */
void lc_membership_copy_views (const LcMembership *membership, LcMemberView *views);
bool
lc_membership_find_instance (const LcMembership *membership, const char *name, LcMemberView *view);
/* The open connection to the instance on which a frame arrived last; 0 when there is none. */
LcLinkId lc_membership_find_link (const LcMembership *membership, const char *name);
const char *lc_membership_link_peer_name (const LcMembership *membership, LcLinkId link);
LcMembershipTotals lc_membership_totals (const LcMembership *membership);

#endif
