#ifndef LC_CONFIG_H
#define LC_CONFIG_H

#include "lc-resources.h"

/* This header declares the replication of the configuration between instances. LcConfig tracks the
 * active revision of this process, the revisions that its peers report, and whether this instance
 * may accept new work. The store holds the newest resource set and a head row with its revision
 * number. The store confirms the active revision when a read of the head row returns the same
 * number. Without a recent confirmation, an instance may accept work only while a majority of the
 * instances answers it. No I/O: commands append actions (LcConfigAction), which the caller carries
 * out and frees. */

typedef enum
{
  /* broadcast of an accepted revision; the body is the change that led to this revision */
  LC_CONFIG_MESSAGE_CHANGE,
  /* asks a peer for its active revision and for the time since the store last confirmed a
   * revision */
  LC_CONFIG_MESSAGE_QUERY,
  /* states the sender's active revision and its confirmation; reply to QUERY, also sent after a
   * CHANGE, SNAPSHOT or abandoned change */
  LC_CONFIG_MESSAGE_STATUS,
  LC_CONFIG_MESSAGE_FETCH,   /* requests the whole configuration from a peer */
  LC_CONFIG_MESSAGE_SNAPSHOT /* reply to FETCH; body: the whole configuration */
} LcConfigMessageType;

/* Message about the configuration between two instances. */
typedef struct
{
  LcConfigMessageType type;
  int64_t revision;
  /* QUERY: send time by the sender's clock; STATUS: copied from the QUERY, 0 if there was none */
  LbTime asked_at;
  /* STATUS: time since the store's latest confirmation of a revision that the sender knows of; -1:
   * none known */
  LbTime age;
  /* STATUS: the sender's revision is confirmed: the store or a majority has confirmed one since the
   * sender started, and either the store did so recently or no unreachable instance has announced a
   * change whose outcome is unknown. */
  bool confirmed;
  /* QUERY: number of the change that the sender is about to commit; 0: none. STATUS: number of the
   * sender's last announced change with a known outcome. */
  int64_t announced_change;
  /* JSON of the change (CHANGE) or of the whole configuration (SNAPSHOT); owned by the message */
  struct json_object *body;
} LcConfigMessage;

void lc_config_message_clear (LcConfigMessage *message);
struct json_object *lc_config_message_to_json (const LcConfigMessage *message);
bool
lc_config_message_from_json (struct json_object *object, LcConfigMessage *message, LbError *error);

typedef enum
{
  /* read the store's head row, and the resource set if the row has a newer revision */
  LC_CONFIG_READ_STORE,
  LC_CONFIG_SEND,      /* send `message` to the instance `to`; to all instances if `to` is empty */
  LC_CONFIG_ACTIVATED, /* `set` is the active configuration from now on */
  LC_CONFIG_READINESS_CHANGED
} LcConfigActionType;

typedef struct
{
  LbLink link;
  LcConfigActionType type;
  LbName to;
  LcConfigMessage message;
  /* ACTIVATED: new configuration, valid until the LcConfig is next changed */
  const LcResourceSet *set;
  bool ready; /* READINESS_CHANGED: whether new work may be accepted */
} LcConfigAction;

void lc_config_action_free (LcConfigAction *action);

typedef struct
{
  LbName instance;
  /* Maximum time for which new work is accepted without a confirmation by the store or a
   * majority. */
  LbTime max_confirmation_age;
  /* period of reads of the store's head row, before jitter; longer with many instances */
  LbTime min_poll_period;
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

/* Functions that change an LcConfig. */

void lc_config_update_members (
    LcConfig *config, const LcConfigMember *members, size_t n_members, LbTime now, LbList *actions);
/* Removes an instance that the platform reports as permanently removed, so that it no longer counts
 * for the majority. */
void lc_config_remove_instance (LcConfig *config, const char *instance);
/* Handles the result of a read of the store that began at read_at. revision: number in the head
 * row. set: the store's resource set if its revision is newer than the active one, otherwise NULL;
 * takes ownership of the set. */
void lc_config_store_read_completed (LcConfig *config,
                                     int64_t revision,
                                     LcResourceSet *set,
                                     LbTime read_at,
                                     LbTime now,
                                     LbList *actions);
void lc_config_store_read_failed (LcConfig *config, LbTime now, LbList *actions);
/* Activates and broadcasts the result of a change that this instance committed. Takes ownership of
 * set. */
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
/* Sends each peer a query that announces a change, before this instance commits it. The caller
 * reports the outcome with lc_config_change_committed or lc_config_change_abandoned; with neither
 * if the outcome is unknown. */
void lc_config_announce_change (LcConfig *config, LbTime now, LbList *actions);
/* Tells all peers that the announced change was not committed. */
void lc_config_change_abandoned (LcConfig *config, LbTime now, LbList *actions);
/* Sends a query to each peer that is not known to have this instance's active revision. */
void lc_config_query_outdated_peers (LcConfig *config, LbTime now, LbList *actions);
void lc_config_tick (LcConfig *config, LbTime now, LbList *actions);

/* Functions that only read an LcConfig. */

const LcResourceSet *lc_config_active_set (const LcConfig *config);
int64_t lc_config_active_revision (const LcConfig *config);
/* Returns true if this instance may accept new work with its active revision. */
bool lc_config_is_ready_for_new_work (const LcConfig *config);
/* Returns the time since the latest confirmation by the store that this instance or a peer
 * received; -1 if none is known. */
LbTime lc_config_confirmation_age (const LcConfig *config, LbTime now);
/* Returns true if this instance and the peers that answered a query sent at queried_since or later
 * form a majority of the known instances. Only then may this instance accept a change to the
 * configuration. */
bool lc_config_has_answers_of_majority (const LcConfig *config, LbTime queried_since);
/* Returns true if at least one known instance is not alive according to the gossip membership. */
bool lc_config_has_unreachable_members (const LcConfig *config);

/* Number of instances on which a given revision is active, and number of all instances. */
typedef struct
{
  size_t active; /* instances on which the revision or a newer one is active */
  size_t known;  /* all known instances, including this one */
} LcActiveCount;

LcActiveCount lc_config_count_instances_at_revision (const LcConfig *config, int64_t revision);
/* Callback for one instance. revision: newest one known to be active on the instance. */
typedef void (*LcConfigVisit) (
    const char *instance, int64_t revision, bool alive, bool draining, void *user);
/* Calls visit for each known instance, including this one. */
void lc_config_visit_instances (const LcConfig *config, LcConfigVisit visit, void *user);
LbTime lc_config_next_tick_at (const LcConfig *config);

#endif
