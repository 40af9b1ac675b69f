#ifndef LC_CONFIG_H
#define LC_CONFIG_H

#include "lc-resources.h"

/* Replication of the configuration between instances: the active revision of this process, the
 * revisions that others confirmed, and whether this instance may accept new work with what it has.
 * No I/O: commands append actions (LcConfigAction) that the caller carries out and frees. */

typedef enum
{
  LC_CONFIG_MESSAGE_CHANGE,  /* to all: a revision was accepted; body: the change that led to it */
  LC_CONFIG_MESSAGE_QUERY,   /* asks for revision and age of the last confirmation */
  LC_CONFIG_MESSAGE_STATUS,  /* reply to QUERY; also sent unasked after CHANGE */
  LC_CONFIG_MESSAGE_FETCH,   /* requests the whole set */
  LC_CONFIG_MESSAGE_SNAPSHOT /* reply to FETCH; body: the set */
} LcConfigMessageType;

/* Message between instances. */
typedef struct
{
  LcConfigMessageType type;
  int64_t revision;
  LbTime asked_at; /* QUERY: clock of the sender, echoed by STATUS; 0: STATUS without a QUERY */
  LbTime age;      /* STATUS: age of the latest confirmation by the store; -1: none is known */
  bool confirmed;  /* STATUS: the sender's revision is confirmed and not in doubt */
  int64_t intent;  /* QUERY: number of the change that the sender is about to commit, 0: none;
                      STATUS: number of its last change with a known outcome */
  struct json_object *body;
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
  LbTime min_poll_period; /* between reads of the head row */
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
void lc_config_remove_instance (LcConfig *config, const char *instance);
void lc_config_store_read_completed (LcConfig *config,
                                     int64_t revision,
                                     LcResourceSet *set,
                                     LbTime read_at,
                                     LbTime now,
                                     LbList *actions);
void lc_config_store_read_failed (LcConfig *config, LbTime now, LbList *actions);
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
void lc_config_change_abandoned (LcConfig *config, LbTime now, LbList *actions);
void lc_config_query_outdated_peers (LcConfig *config, LbTime now, LbList *actions);
void lc_config_tick (LcConfig *config, LbTime now, LbList *actions);

/* queries */
const LcResourceSet *lc_config_set (const LcConfig *config);
int64_t lc_config_revision (const LcConfig *config);
bool lc_config_is_ready (const LcConfig *config);
LbTime lc_config_confirmation_age (const LcConfig *config, LbTime now);
bool lc_config_has_majority (const LcConfig *config, LbTime queried_since);
bool lc_config_has_absent_members (const LcConfig *config);

/* Number of instances on which a revision or a newer one is active. */
typedef struct
{
  size_t active;
  size_t known; /* instances in all, this one included */
} LcActiveCount;

LcActiveCount lc_config_count_active (const LcConfig *config, int64_t revision);
/* revision: last known one of the instance. */
typedef void (*LcConfigVisit) (
    const char *instance, int64_t revision, bool alive, bool draining, void *user);
/* Calls visit for each known instance, this one included. */
void lc_config_visit_instances (const LcConfig *config, LcConfigVisit visit, void *user);
LbTime lc_config_next_tick_at (const LcConfig *config);

#endif
