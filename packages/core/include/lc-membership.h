#ifndef LC_MEMBERSHIP_H
#define LC_MEMBERSHIP_H

#include "lc-instance.h"

/* Who lives, as one instance sees it. Each instance watches the successors of itself on a few rings
 * (the members in the order of a hash, another hash for each ring), so that the cost does not grow
 * with the number of members; changes are passed on over all open connections. The connections
 * themselves are the node's: LcMembership orders them by actions and is told what becomes of them.
 */
typedef struct LcMembership LcMembership;

/* Names a connection for as long as it is open or being opened; 0 is none. */
typedef uint64_t LcLinkId;

typedef struct
{
  LcInstance self;         /* state ALIVE; epoch: from the wall clock at the start */
  LbTime heartbeat_period; /* between heartbeats on a connection */
  size_t n_rings;          /* peers that each instance watches */
  LbTime dial_timeout;
  LbTime suspicion_timeout; /* from suspicion to condemnation */
  uint64_t random_seed;
} LcMembershipSettings;

typedef enum
{
  LC_MEMBERSHIP_DIAL,      /* open a connection: link, address */
  LC_MEMBERSHIP_CLOSE,     /* close one: link, reason */
  LC_MEMBERSHIP_PING,      /* send a heartbeat: link, digest */
  LC_MEMBERSHIP_BROADCAST, /* send instances to all open connections but link */
  LC_MEMBERSHIP_SEND,      /* send instances on link alone */
  LC_MEMBERSHIP_COMPARE,   /* send the names, epochs, versions and states of all on link */
  LC_MEMBERSHIP_CHANGED    /* the view changed */
} LcMembershipActionType;

/* A heartbeat's size does not depend on the number of members: the digest stands for the view. */
typedef struct
{
  LbLink link_in_list;
  LcMembershipActionType type;
  LcLinkId link;
  LbName address;
  LbErrorCode reason;
  uint64_t digest;
  LcInstance *instances; /* owned by the action */
  size_t n_instances;
  bool is_reply; /* COMPARE: do not compare back */
} LcMembershipAction;

/* One instance as this one sees it. */
typedef struct
{
  LcInstance instance;
  bool is_self;
  bool alive;    /* neither suspected by anybody nor silent here */
  bool draining; /* said by itself or by the platform's list */
  LbTime changed_at;
} LcMemberView;

/* Totals since the start, for counters. */
typedef struct
{
  int64_t connection_timeouts;
  int64_t suspected;
  int64_t declared_dead;
  int64_t refuted;
  int64_t own_pauses;
  int64_t name_conflicts;
} LcMembershipTotals;

/* One entry of the platform's lagging list. */
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
/* A connection of another instance has proved the key; returns its name for later calls. */
LcLinkId lc_membership_link_accepted (LcMembership *membership,
                                      const LcInstance *peer,
                                      LbTime now,
                                      LbList *actions);
/* A connection that a DIAL asked for is open and the key proved. */
void lc_membership_link_dialled (
    LcMembership *membership, LcLinkId link, const LcInstance *peer, LbTime now, LbList *actions);
/* The connection failed, was refused or was closed by the other end. */
void
lc_membership_link_closed (LcMembership *membership, LcLinkId link, LbTime now, LbList *actions);
/* A frame other than a heartbeat was sent: a sign of life is due. */
void lc_membership_frame_sent (LcMembership *membership, LcLinkId link, LbTime now);
/* Any frame came in. */
void lc_membership_frame_received (LcMembership *membership, LcLinkId link, LbTime now);
/* The digest of a heartbeat or of its answer. */
void lc_membership_digest_received (LcMembership *membership,
                                    LcLinkId link,
                                    uint64_t digest,
                                    LbTime now);
/* Instances told by a peer. An entry with no peer_address is short: it changes only a known epoch.
 */
void lc_membership_updates_received (LcMembership *membership,
                                     LcLinkId link,
                                     const LcInstance *instances,
                                     size_t n_instances,
                                     LbTime now,
                                     LbList *actions);
/* What a peer knows; answered by TELL with what is later here. */
void lc_membership_summary_received (LcMembership *membership,
                                     LcLinkId link,
                                     const LcInstance *instances,
                                     size_t n_instances,
                                     bool answer,
                                     LbTime now,
                                     LbList *actions);
/* Keeps a connection to this instance open until then; false when it is not known. */
bool lc_membership_keep_connected (
    LcMembership *membership, const char *name, LbTime until, LbTime now, LbList *actions);
void lc_membership_set_draining (LcMembership *membership, LbTime now, LbList *actions);
/* load: share of the processor in use, per mille; told to others in steps and not often. */
void lc_membership_set_load (LcMembership *membership, int64_t load, LbTime now, LbList *actions);
void lc_membership_tick (LcMembership *membership, LbTime now, LbList *actions);
void lc_membership_action_free (LcMembershipAction *action);

/* queries */
LbTime lc_membership_next_tick (const LcMembership *membership);
uint64_t lc_membership_digest (const LcMembership *membership);
const LcInstance *lc_membership_self (const LcMembership *membership);
size_t lc_membership_count (const LcMembership *membership);
/* Fills an array of lc_membership_count elements, in the order of names. */
void lc_membership_copy_views (const LcMembership *membership, LcMemberView *views);
bool lc_membership_find (const LcMembership *membership, const char *name, LcMemberView *view);
/* An open connection to the instance that was heard last; 0 when there is none. */
LcLinkId lc_membership_find_link (const LcMembership *membership, const char *name);
const char *lc_membership_link_peer_name (const LcMembership *membership, LcLinkId link);
LcMembershipTotals lc_membership_totals (const LcMembership *membership);

#endif
