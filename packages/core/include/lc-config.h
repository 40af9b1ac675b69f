#ifndef LC_CONFIG_H
#define LC_CONFIG_H

#include "lc-resources.h"

/* Which revision is in force in this process, who has confirmed which, and whether this instance
 * may take new work with what it has. No I/O: commands append actions (LcConfigAction) that the
 * caller carries out and frees. */

typedef enum
{
  LC_CONFIG_MESSAGE_CHANGE,  /* to all: a revision was accepted; body: the change that made it */
  LC_CONFIG_MESSAGE_QUERY,   /* tell me your revision and how young your confirmation is */
  LC_CONFIG_MESSAGE_STATUS,  /* answer to ASK, or unasked after NEWS */
  LC_CONFIG_MESSAGE_FETCH,   /* send me your whole set */
  LC_CONFIG_MESSAGE_SNAPSHOT /* answer to WANT; body: the set */
} LcConfigMessageType;

/* A message between instances about the configuration. */
typedef struct
{
  LcConfigMessageType type;
  int64_t revision;
  LbTime asked_at; /* ASK: the asker's own clock, echoed by HAVE; 0: unasked */
  LbTime age;      /* HAVE: age of the youngest store confirmation known; -1: none */
  bool confirmed;  /* HAVE: the sender has a confirmed revision and no doubt of it */
  int64_t intent;  /* ASK: number of the change that the sender is about to commit, 0: none;
                      HAVE: number of its last change whose outcome is known */
  struct json_object *body;
} LcConfigMessage;

void lc_config_message_clear (LcConfigMessage *message);
struct json_object *lc_config_message_to_json (const LcConfigMessage *message);
bool
lc_config_message_from_json (struct json_object *object, LcConfigMessage *message, LbError *error);

typedef enum
{
  LC_CONFIG_READ_STORE,       /* read the head row, and the set when it is newer than revision */
  LC_CONFIG_SEND,             /* message to the instance `to`, or to all when it is empty */
  LC_CONFIG_ACTIVATED,        /* the set is in force from here on */
  LC_CONFIG_READINESS_CHANGED /* whether new work may be taken has changed: ready */
} LcConfigActionType;

typedef struct
{
  LbLink link;
  LcConfigActionType type;
  LbName to;
  LcConfigMessage message;
  const LcResourceSet *set; /* IN_FORCE: valid until the next command */
  bool ready;
} LcConfigAction;

void lc_config_action_free (LcConfigAction *action);

typedef struct
{
  LbName instance;
  LbTime max_confirmation_age; /* longest time to take new work with no confirmation by store or
                                  majority */
  LbTime min_poll_period;      /* shortest period of reads of the head row */
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
                                     LbTime asked_at,
                                     LbTime now,
                                     LbList *actions);
void lc_config_store_read_failed (LcConfig *config, LbTime now, LbList *actions);
void lc_config_change_committed (LcConfig *config,
                                 LcResourceSet *set,
                                 struct json_object *change,
                                 LbTime asked_at,
                                 LbTime now,
                                 LbList *actions);
void lc_config_message_received (LcConfig *config,
                                 const char *from,
                                 const LcConfigMessage *message,
                                 LbTime now,
                                 LbList *actions);
/* A change is about to be committed here: every known instance is asked and told so. Followed by
 * lc_config_change_committed, lc_config_change_abandoned, or neither when the outcome is not known.
 */
void lc_config_announce_change (LcConfig *config, LbTime now, LbList *actions);
void lc_config_change_abandoned (LcConfig *config, LbTime now, LbList *actions);
void lc_config_query_outdated_peers (LcConfig *config, LbTime now, LbList *actions);
void lc_config_tick (LcConfig *config, LbTime now, LbList *actions);

/* queries */
const LcResourceSet *lc_config_set (const LcConfig *config);
int64_t lc_config_revision (const LcConfig *config);
bool lc_config_is_ready (const LcConfig *config);
LbTime lc_config_confirmation_age (const LcConfig *config, LbTime now);
bool lc_config_has_majority (const LcConfig *config, LbTime asked_since);
bool lc_config_has_absent_members (const LcConfig *config);

/* How many of the known instances have at least this revision in force. */
typedef struct
{
  size_t active;
  size_t known;
} LcActiveCount;

LcActiveCount lc_config_count_active (const LcConfig *config, int64_t revision);
/* Calls back with the name and last known revision of each instance, this one included. */
typedef void (*LcConfigVisit) (
    const char *instance, int64_t revision, bool alive, bool draining, void *user);
void lc_config_visit_instances (const LcConfig *config, LcConfigVisit visit, void *user);
LbTime lc_config_next_tick_at (const LcConfig *config);

#endif
