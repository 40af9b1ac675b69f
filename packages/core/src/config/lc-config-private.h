#ifndef LC_CONFIG_PRIVATE_H
#define LC_CONFIG_PRIVATE_H

#include "lc-config.h"

#include <gsl/gsl_rng.h>
#include <uthash.h>

/* Peers are queried this often, and this many each time. */
#define LC_CONFIG_QUERY_PERIOD (LB_SEC / 2)
#define LC_CONFIG_QUERIES_PER_PERIOD 20

/* Time after the announcement of a change during which its transaction may still take effect. */
#define LC_CONFIG_MAX_COMMIT_DURATION (10 * LB_SEC)

/* Known state of another instance. */
typedef struct
{
  LbName name; /* key */
  LbName incarnation;
  bool alive;
  bool draining;
  bool is_listed;           /* in the latest list of members */
  bool confirmed;           /* as its last STATUS stated, see LcConfigMessage */
  int64_t revision;         /* newest known to be active there */
  LbTime queried_at;        /* send time of the latest query */
  LbTime answered_query_at; /* send time of the latest query that it answered; 0: none */
  LbTime fetched_at;        /* time of the latest FETCH sent to it */
  int64_t announced_change; /* number of its announced change with an unknown outcome; 0: none */
  int64_t announced_base_revision; /* revision active there when it announced the change */
  LbTime announced_at;
  UT_hash_handle hh;
} LcConfigPeer;

struct LcConfig
{
  LcConfigSettings settings;
  gsl_rng *rng;
  LcConfigPeer *peers; /* all known instances except this one */
  LcResourceSet *set;
  bool confirmed; /* store or majority have confirmed some revision of this process */
  bool ready;
  LbTime started_at;
  LbTime store_confirmed_at; /* latest known confirmation by the store, own clock; -1: none */
  LbTime next_poll_at;       /* next read of the head row */
  LbTime next_query_at;
  int64_t announced_change; /* number of the last change that this instance announced */
  int64_t settled_change;   /* number of the last one with a known outcome */
  LbTime announced_at;
};

/* lc-config-confirm.c: validity of the active revision. */
/* Whether the store confirmed the revision recently enough. */
bool lc_config_is_store_confirmed (const LcConfig *config, LbTime now);
/* Whether an instance announced a change, its outcome is unknown and it no longer answers; then
 * only the store can confirm a revision. */
bool lc_config_is_in_doubt (const LcConfig *config, LbTime now);
bool lc_config_can_accept_work (const LcConfig *config, LbTime now);

#endif
