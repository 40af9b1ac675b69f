#ifndef LC_MEMBERSHIP_PRIVATE_H
#define LC_MEMBERSHIP_PRIVATE_H

#include "lc-detector.h"
#include "lc-membership.h"

#include <gsl/gsl_rng.h>
#include <uthash.h>

#define LC_MEMBERSHIP_MAX_RINGS 8
/* Minimum time between two comparisons of views that this instance starts with any peer. */
#define LC_COMPARE_INTERVAL LB_SEC
/* Two peers compare views when their digests have differed for this many heartbeat periods. */
#define LC_COMPARE_AFTER_PERIODS 4

typedef struct
{
  LcInstance instance;
  LbTime changed_at; /* when the member's state or draining mark last changed */
  /* when the member's epoch became known; for a while afterwards, updates about the member include
   * its addresses */
  LbTime epoch_learned_at;
  LbTime last_heard_at;   /* time of the last frame from the member on any connection */
  LbTime declare_dead_at; /* when the member is declared dead; valid in state SUSPECT */
  /* after a refutation, this instance does not suspect the member before this time */
  LbTime suspicion_ignored_until;
  /* time for which a refutation prevents suspicion; doubles with each refutation */
  LbTime suspicion_ignore_time;
  LbTime keep_connected_until;
  LbTime next_dial_at;
  /* the connection to the member timed out or closed, and no new one is open yet */
  bool is_silent;
  bool is_listed;         /* the member is in the platform's list */
  bool is_listed_leaving; /* the platform's list marks the member as leaving */
  bool is_pending;        /* an update about the member is to be sent on all connections */
  LcLinkId source_link;   /* connection on which the pending update arrived; 0: none */
  UT_hash_handle hh;
} LcMember;

/* A connection, open or being opened. */
typedef struct
{
  LcLinkId id;
  LbName name; /* name of the peer; empty: not known yet */
  LbName address;
  bool is_outgoing;
  bool is_open;
  bool is_watched; /* heartbeats are sent on the connection, and answers are expected */
  /* this process was paused since the dial started or the last frame arrived, so the peer may have
   * closed the connection because of the pause */
  bool spans_pause;
  LbTime started_at;
  LbTime next_ping_at;
  LbTime unneeded_since;   /* when the connection became unneeded; 0: it is needed */
  LbTime unanswered_since; /* when the first frame since the last arrival was sent; 0: none */
  LcDetector detector;
  uint64_t peer_digest;
  LbTime digest_differs_since; /* when the digests of both ends began to differ; 0: equal */
  UT_hash_handle hh;
} LcPeerLink;

/* An address to dial, of a possibly unknown instance: a seed or an entry of the platform's list. */
typedef struct
{
  LbName address;
  bool is_listed; /* the address is in the platform's list */
  LbLink link;
} LcContact;

/* State of a membership; shared by the files lc-membership-*.c. */
struct LcMembership
{
  LcMembershipSettings settings;
  LcInstance self;
  LcMember *members; /* all known instances except self */
  LcPeerLink *links;
  LbList contacts;
  LcLinkId last_link_id;
  gsl_rng *rng;
  LbName targets[LC_MEMBERSHIP_MAX_RINGS]; /* names of the members that this instance watches */
  size_t n_targets;
  bool targets_outdated;
  bool view_changed;
  bool is_self_pending;
  bool has_platform_list;
  uint64_t digest; /* digest of the view when it last changed */
  LbTime flush_at; /* when to broadcast pending updates; LB_TIME_NEVER: none are pending */
  LbTime next_contact_at;
  LbTime next_compare_at;
  LbTime next_load_update_at;
  uint64_t conflicting_epoch; /* largest epoch of another incarnation of this instance's name */
  LbTime next_conflict_answer_at;
  LbTime last_tick_at;
  LcMembershipTotals totals;
};

/* Excludes a pause of this process, if there was one since the last tick, from the silence of its
 * peers. Called first in each function that records an event of a connection, since after a pause
 * such events are often handled before the next tick. */
void lc_membership_discount_process_pause (LcMembership *membership, LbTime now);
LcMember *lc_membership_lookup_member (const LcMembership *membership, const char *name);
LcPeerLink *lc_membership_lookup_link (const LcMembership *membership, LcLinkId id);
LcMembershipAction *lc_membership_add_action (LbList *actions, LcMembershipActionType type);
/* Called at the end of each call that may change the view: if it did, updates the digest and emits
 * CHANGED once. */
void lc_membership_emit_view_change (LcMembership *membership, LbList *actions);
uint64_t lc_membership_compute_digest (const LcMembership *membership);
void lc_membership_send_instance (LcLinkId link, const LcInstance *instance, LbList *actions);

/* Implemented in lc-membership-updates.c. */

/* Removes and frees the member; peers may still report it again. */
void lc_membership_remove_member (LcMembership *membership, LcMember *member);
void lc_membership_apply_update (LcMembership *membership,
                                 LcLinkId link,
                                 const LcInstance *update,
                                 LbTime now);
void lc_membership_set_member_state (LcMembership *membership,
                                     LcMember *member,
                                     LcInstanceState state,
                                     LbTime now);
void lc_membership_resolve_name_conflict (LcMembership *membership, LbTime now);
void lc_membership_queue_self_update (LcMembership *membership, LbTime now);
void lc_membership_send_summary (LcMembership *membership, LcLinkId link, LbList *actions);
void lc_membership_flush_updates (LcMembership *membership, LbTime now, LbList *actions);

/* Implemented in lc-membership-links.c. */

LcPeerLink *lc_membership_add_link (LcMembership *membership, bool is_outgoing, LbTime now);
/* Removes and frees the state of a connection that is closed already. */
void lc_membership_remove_link (LcMembership *membership, LcPeerLink *link);
/* Closes a connection that is no longer needed, without marking the member at its other end as
 * silent; frees link. */
void lc_membership_close_link (LcMembership *membership,
                               LcPeerLink *link,
                               LbErrorCode reason,
                               LbList *actions);
/* Whether a connection to the named member that this instance initiated is open or being opened. */
bool lc_membership_has_outgoing_link (const LcMembership *membership, const char *name);
/* Opens a connection unless one to the address is being opened already. name: empty when it is not
 * known which instance has the address. */
void lc_membership_dial (
    LcMembership *membership, const char *name, const char *address, LbTime now, LbList *actions);
void
lc_membership_dial_member (LcMembership *membership, LcMember *member, LbTime now, LbList *actions);

/* Implemented in lc-membership-connect.c. Frees the state of a connection that ended or could not
 * be opened; the member at its other end may become silent or suspect. */
void lc_membership_remove_lost_link (LcMembership *membership,
                                     LcPeerLink *link,
                                     LbTime now,
                                     LbList *actions);

/* Implemented in lc-membership-heartbeat.c. */

/* Records a frame from the peer; the member no longer counts as silent. */
void lc_membership_record_frame_arrival (LcMembership *membership, LcPeerLink *link, LbTime now);
/* Sends due heartbeats and closes connections that timed out or are no longer needed. */
void lc_membership_tick_links (LcMembership *membership, LbTime now, LbList *actions);

/* Implemented in lc-membership-members.c. Declares suspects dead that did not refute within the
 * suspicion timeout, and removes members that have been dead for hours. */
void lc_membership_expire_members (LcMembership *membership, LbTime now);

/* Implemented in lc-membership-contacts.c. Dials the address of a dead or unknown instance when the
 * next attempt is due. */
void lc_membership_dial_contact (LcMembership *membership, LbTime now, LbList *actions);

/* Implemented in lc-membership-watch.c. */

void lc_membership_choose_watch_targets (LcMembership *membership);
/* Dials watched members without a connection; chooses them anew first if members have changed. */
void lc_membership_dial_watch_targets (LcMembership *membership, LbTime now, LbList *actions);
bool lc_membership_is_watch_target (const LcMembership *membership, const char *name);

#endif
