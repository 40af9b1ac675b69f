#ifndef LC_CONFIG_H
#define LC_CONFIG_H

#include "lc-resources.h"

/* Replication of the configuration between instances: the active revision of this process, the
 * revisions that others confirmed, and whether this instance may accept new work with its active
 * revision. The store holds the newest set and a head row with its revision number. The
 * store confirms the active revision when a read of the head row shows the same number. Without
 * that, work may be accepted while a majority of the instances answers. No I/O: commands append
 * actions (LcConfigAction) that the caller carries out and frees. */

typedef enum
{
  LC_CONFIG_MESSAGE_CHANGE,  /* to all: a revision was accepted; body: the change that led to it */
  LC_CONFIG_MESSAGE_QUERY,   /* asks for the active revision and how long ago it was confirmed */
  LC_CONFIG_MESSAGE_STATUS,  /* reply to QUERY; also sent unasked after CHANGE */
  LC_CONFIG_MESSAGE_FETCH,   /* requests the whole configuration */
  LC_CONFIG_MESSAGE_SNAPSHOT /* reply to FETCH; body: the set */
} LcConfigMessageType;

/* Message between instances. */
typedef struct
{
  LcConfigMessageType type;
  int64_t revision;
  LbTime asked_at; /* QUERY: clock of the sender, echoed by STATUS; 0: STATUS without a QUERY */
  LbTime age;      /* STATUS: age of the latest confirmation by the store; -1: none is known */
  /* STATUS: the sender's process had a revision confirmed by the store or a majority, and either
   * the store did so recently or no announced change of an instance that no longer answers has an
   * unknown outcome. */
  bool confirmed;
  /* QUERY: number of the change that the sender announces and is about to commit, 0: none; STATUS:
   * number of its last announced change with a known outcome. */
  int64_t announced_change;
  struct json_object *body; /* CHANGE: the change; SNAPSHOT: the set; owned */
} LcConfigMessage;

void lc_config_message_clear (LcConfigMessage *message);
struct json_object *lc_config_message_to_json (const LcConfigMessage *message);
bool
lc_config_message_from_json (struct json_object *object, LcConfigMessage *message, LbError *error);

typedef enum
{
  LC_CONFIG_READ_STORE, /* read the head row; if its revision is newer, the set as well */
  LC_CONFIG_SEND,       /* send message to instance `to`; empty: to all */
  LC_CONFIG_ACTIVATED,  /* `set` is the active configuration from now on */
  LC_CONFIG_READINESS_CHANGED
} LcConfigActionType;

typedef struct
{
  LbLink link;
  LcConfigActionType type;
  LbName to;
  LcConfigMessage message;
  const LcResourceSet *set; /* ACTIVATED: valid until the next command */
  bool ready;               /* READINESS_CHANGED: new work may be accepted */
} LcConfigAction;

void lc_config_action_free (LcConfigAction *action);

typedef struct
{
  LbName instance;
  /* New work is accepted for at most this long without confirmation by the store or a majority. */
  LbTime max_confirmation_age;
  LbTime min_poll_period; /* between reads of the head row; longer with many instances */
  uint64_t seed;
} LcConfigSettings;

typedef struct
{
  const char *name;
  const char *incarnation;
  bool alive;
  bool draining;
} LcConfigMember;

typedef struct LcConfig LcConfig;

LcConfig *lc_config_new (const LcConfigSettings *settings, LbTime now);
void lc_config_free (LcConfig *config);

/* commands */
void lc_config_update_members (
    LcConfig *config, const LcConfigMember *members, size_t n_members, LbTime now, LbList *actions);
/* Forgets an instance that the platform reports as permanently removed. */
void lc_config_remove_instance (LcConfig *config, const char *instance);
/* revision: that of the head row, read at read_at; set: taken over; given if it is newer than the
 * active one. */
void lc_config_store_read_completed (LcConfig *config,
                                     int64_t revision,
                                     LcResourceSet *set,
                                     LbTime read_at,
                                     LbTime now,
                                     LbList *actions);
void lc_config_store_read_failed (LcConfig *config, LbTime now, LbList *actions);
/* This instance committed the change that led to the set, which it takes over. */
void lc_config_change_committed (LcConfig *config,
                                 LcResourceSet *set,
                                 struct json_object *change,
                                 LbTime committed_at,
                                 LbTime now,
                                 LbList *actions);
void lc_config_message_received (LcConfig *config,
                                 const char *from,
                                 const LcConfigMessage *message,
                                 LbTime now,
                                 LbList *actions);
/* Notifies and queries all known instances before a change is committed here. The caller reports
 * the outcome by lc_config_change_committed or lc_config_change_abandoned; by neither if it is not
 * known. */
void lc_config_announce_change (LcConfig *config, LbTime now, LbList *actions);
/* The announced change is known not to be committed. */
void lc_config_change_abandoned (LcConfig *config, LbTime now, LbList *actions);
/* Queries the peers that are not known to have the active revision of this instance. */
void lc_config_query_outdated_peers (LcConfig *config, LbTime now, LbList *actions);
void lc_config_tick (LcConfig *config, LbTime now, LbList *actions);

/* queries */
const LcResourceSet *lc_config_active_set (const LcConfig *config);
int64_t lc_config_active_revision (const LcConfig *config);
/* Whether new work may be accepted with the active revision. */
bool lc_config_is_ready (const LcConfig *config);
/* Age of the latest confirmation by the store that this instance or a peer received; -1: none. */
LbTime lc_config_confirmation_age (const LcConfig *config, LbTime now);
/* Whether this instance and the peers that answered a query sent at queried_since or later are a
 * majority of the known instances; only then may it accept a change. */
bool lc_config_has_majority (const LcConfig *config, LbTime queried_since);
/* Whether a known instance is not alive but has not left either. */
bool lc_config_has_unreachable_members (const LcConfig *config);

/* Number of instances on which a revision or a newer one is active. */
typedef struct
{
  size_t active;
  size_t known; /* instances in all, this one included */
} LcActiveCount;

LcActiveCount lc_config_count_instances_at_revision (const LcConfig *config, int64_t revision);
/* revision: the last one known to be active on the instance. */
typedef void (*LcConfigVisit) (
    const char *instance, int64_t revision, bool alive, bool draining, void *user);
/* Calls visit for each known instance, this one included. */
void lc_config_visit_instances (const LcConfig *config, LcConfigVisit visit, void *user);
LbTime lc_config_next_tick_at (const LcConfig *config);

#endif
