#ifndef LC_CONFIG_PRIVATE_H
#define LC_CONFIG_PRIVATE_H

#include "lc-config.h"

#include <gsl/gsl_rng.h>
#include <uthash.h>

/* Time between rounds of queries, and maximum number of peers queried in each round. */
#define LC_CONFIG_QUERY_PERIOD (LB_SEC / 2)
#define LC_CONFIG_QUERIES_PER_PERIOD 20

/* Time after the announcement of a change during which its transaction may still take effect. */
#define LC_CONFIG_MAX_COMMIT_DURATION (10 * LB_SEC)

/* Known state of another instance. */
typedef struct
{
  LbName name; /* key in LcConfig.peers */
  LbName incarnation;
  bool alive;
  bool draining;
  bool is_listed; /* the latest list of cluster members contains the peer */
  /* the peer's latest STATUS message states that its revision is confirmed */
  bool confirmed;
  int64_t revision;         /* newest revision known to be active on the peer */
  LbTime queried_at;        /* send time of the latest query */
  LbTime answered_query_at; /* send time of the latest query that the peer answered; 0: none */
  LbTime fetched_at;        /* send time of the latest FETCH to the peer; 0: none */
  /* number of the peer's announced change with an unknown outcome; 0: none */
  int64_t announced_change;
  int64_t announced_base_revision; /* revision active on the peer when it announced the change */
  LbTime announced_at;
  UT_hash_handle hh;
} LcConfigPeer;

struct LcConfig
{
  LcConfigSettings settings;
  gsl_rng *rng;
  LcConfigPeer *peers; /* all known instances except this one */
  LcResourceSet *set;
  /* the store or a majority of the instances has confirmed a revision since this process started */
  bool confirmed;
  bool ready;
  LbTime started_at;
  /* time of the store's latest known confirmation, on this instance's clock; -1: none */
  LbTime store_confirmed_at;
  LbTime next_poll_at; /* time of the next read of the store's head row */
  LbTime next_query_at;
  int64_t announced_change; /* number of the last change that this instance announced */
  /* number of the last change that this instance announced and whose outcome is known */
  int64_t settled_change;
  LbTime announced_at;
};

/* Returns true if the store confirmed a revision at most max_confirmation_age ago. */
bool lc_config_is_confirmed_by_store (const LcConfig *config, LbTime now);
/* Returns true if an instance announced a change, the outcome of the change is unknown and the
 * instance no longer answers. Then only the store can confirm a revision. */
bool lc_config_has_change_of_unknown_outcome (const LcConfig *config, LbTime now);
/* Returns true if the active revision is confirmed well enough to accept new work. */
bool lc_config_can_accept_work (const LcConfig *config, LbTime now);

#endif
