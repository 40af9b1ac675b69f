#ifndef LC_MEMBERSHIP_PRIVATE_H
#define LC_MEMBERSHIP_PRIVATE_H

#include "lc-detector.h"
#include "lc-membership.h"

#include <gsl/gsl_rng.h>
#include <uthash.h>

#define LC_MAX_RINGS 8
/* Pause between the comparisons that this instance begins. */
#define LC_COMPARE_EVERY LB_SEC
/* Two ends compare when their digests have differed for this many periods. */
#define LC_COMPARE_AFTER_PERIODS 4

typedef struct
{
  LcInstance instance;
  LbTime changed;       /* of state or draining */
  LbTime introduced;    /* when this epoch was first told: news go in full form for a while */
  LbTime heard;         /* on any connection */
  LbTime condemn_at;    /* while SUSPECT */
  LbTime vouched_until; /* it refuted our suspicion: the fault lies between it and us */
  LbTime vouch;
  LbTime wanted_until;
  LbTime next_dial;
  bool silent; /* its connection went silent or closed, and no new one is open yet */
  bool listed;
  bool listed_leaving;
  bool pending; /* to be told to all connections */
  LcLinkId told_by;
  UT_hash_handle hh;
} LcMember;

/* A connection, open or being opened. */
typedef struct
{
  LcLinkId id;
  LbName name; /* empty: not known yet */
  LbName address;
  bool dialled;
  bool open;
  bool watched; /* heartbeats go out on it and their answers are awaited */
  LbTime started;
  LbTime next_ping;
  LbTime unneeded_since;   /* 0: needed */
  LbTime unanswered_since; /* something was sent and nothing heard since; 0: no */
  LcDetector detector;
  uint64_t digest;
  LbTime differs_since; /* 0: both ends have the same view */
  UT_hash_handle hh;
} LcPeerLink;

/* An address to try that may belong to an unknown instance: a seed or a listed instance. */
typedef struct
{
  LbName address;
  bool listed;
  LbLink link;
} LcContact;

/* The whole state; the files lc-membership-*.c share it. */
struct LcMembership
{
  LcMembershipSettings settings;
  LcInstance self;
  LcMember *members; /* without self */
  LcPeerLink *links;
  LbList contacts;
  LcLinkId last_link;
  gsl_rng *rng;
  LbName targets[LC_MAX_RINGS]; /* whom this instance watches */
  size_t n_targets;
  bool targets_old;
  bool view_changed;
  bool self_pending;
  bool list_known;
  uint64_t digest; /* of the view at the end of the last command */
  LbTime flush_at; /* LB_TIME_NEVER: nothing is pending */
  LbTime next_contact;
  LbTime next_compare;
  LbTime next_load;
  uint64_t rival_epoch; /* largest epoch of another incarnation of our name */
  LbTime next_conflict;
  LbTime last_tick;
  LcMembershipTotals totals;
};

LcMember *lc_membership_member (const LcMembership *membership, const char *name);
LcPeerLink *lc_membership_link (const LcMembership *membership, LcLinkId id);
LcMembershipAction *lc_membership_act (LbList *actions, LcMembershipActionType type);
/* At the end of a command: takes the new digest and emits CHANGED once when the view changed. */
void lc_membership_finish (LcMembership *membership, LbList *actions);
uint64_t lc_membership_compute_digest (const LcMembership *membership);
void lc_membership_tell_one (LcLinkId link, const LcInstance *instance, LbList *actions);

/* lc-membership-news.c */

/* Forgets the member, which others may tell of again; member is freed. */
void lc_membership_drop_member (LcMembership *membership, LcMember *member);
void
lc_membership_learn (LcMembership *membership, LcLinkId link, const LcInstance *news, LbTime now);
void lc_membership_set_state (LcMembership *membership,
                              LcMember *member,
                              LcInstanceState state,
                              LbTime now);
void lc_membership_outbid_rival (LcMembership *membership, LbTime now);
void lc_membership_announce_self (LcMembership *membership, LbTime now);
void lc_membership_compare (LcMembership *membership, LcLinkId link, LbList *actions);
void lc_membership_flush (LcMembership *membership, LbTime now, LbList *actions);

/* lc-membership-links.c */

LcPeerLink *lc_membership_add_link (LcMembership *membership, bool dialled, LbTime now);
/* Forgets a connection that is closed already; link is freed. */
void lc_membership_drop_link (LcMembership *membership, LcPeerLink *link);
/* Orders the connection to be closed on purpose, which says nothing about its member; link is
 * freed. */
void lc_membership_close_link (LcMembership *membership,
                               LcPeerLink *link,
                               LbErrorCode reason,
                               LbList *actions);
/* Open or being opened. */
bool lc_membership_has_dialled_link (const LcMembership *membership, const char *name);
/* Orders a connection, unless one to the address is being opened. name: empty when an address is
 * tried of which nobody knows whose it is. */
void lc_membership_dial (
    LcMembership *membership, const char *name, const char *address, LbTime now, LbList *actions);
void
lc_membership_dial_member (LcMembership *membership, LcMember *member, LbTime now, LbList *actions);

/* lc-membership-connect.c: a connection has ended or could not be opened, which is a sign against
 * its member; link is freed. */
void
lc_membership_lose_link (LcMembership *membership, LcPeerLink *link, LbTime now, LbList *actions);

/* lc-membership-heartbeat.c */

/* Evidence of life. A member that was silent here speaks again. */
void lc_membership_note_heard (LcMembership *membership, LcPeerLink *link, LbTime now);
/* Sends the heartbeats that are due and ends the connections that are silent or unneeded. */
void lc_membership_tick_links (LcMembership *membership, LbTime now, LbList *actions);

/* lc-membership-members.c: condemns the suspects that did not refute in time and forgets those that
 * are long dead. */
void lc_membership_tick_members (LcMembership *membership, LbTime now);

/* lc-membership-contacts.c: tries the address of a dead or unknown instance when that is due. */
void lc_membership_contact_one (LcMembership *membership, LbTime now, LbList *actions);

/* lc-membership-watch.c */

void lc_membership_choose_targets (LcMembership *membership);
/* Dials the targets to which there is no connection, choosing anew when members have changed. */
void lc_membership_watch_targets (LcMembership *membership, LbTime now, LbList *actions);
bool lc_membership_is_target (const LcMembership *membership, const char *name);

#endif
