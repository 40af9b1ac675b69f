#ifndef LC_CONFIG_PRIVATE_H
#define LC_CONFIG_PRIVATE_H

#include "lc-config.h"

#include <gsl/gsl_rng.h>
#include <uthash.h>

/* How often others are asked, and how many of them each time. */
#define LC_CONFIG_ASK_PERIOD (LB_SEC / 2)
#define LC_CONFIG_ASKS_PER_PERIOD 20

/* From the announcement of a change until its transaction can't take effect any more. */
#define LC_CONFIG_COMMIT_LIFE (10 * LB_SEC)

/* What is known of another instance. */
typedef struct
{
  LbName name; /* key */
  LbName incarnation;
  bool alive;
  bool draining;
  bool listed; /* in the last view of the membership */
  bool confirmed;
  int64_t revision;
  LbTime asked_at;    /* our last ASK */
  LbTime answered_to; /* asked_at of the youngest ASK that it answered; 0: none */
  LbTime wanted_at;
  int64_t intent;      /* number of the change it announced; 0: none that is unsettled */
  int64_t intent_base; /* the revision that change was made from */
  LbTime intent_at;
  UT_hash_handle hh;
} LcConfigPeer;

struct LcConfig
{
  LcConfigSettings settings;
  gsl_rng *rng;
  LcConfigPeer *peers; /* all known but this instance */
  LcResourceSet *set;
  bool confirmed; /* some revision of this process was confirmed by store or majority */
  bool ready;
  LbTime started_at;
  LbTime store_confirmed_at; /* -1: never; the youngest known, our clock */
  LbTime next_poll;
  LbTime next_ask;
  int64_t announced; /* changes of this instance */
  int64_t settled;   /* the last of them whose outcome is known */
  LbTime announced_at;
};

/* lc-config-confirm.c: whether what is in force may be relied on. */
bool lc_config_is_store_confirmed (const LcConfig *config, LbTime now);
bool lc_config_is_in_doubt (const LcConfig *config, LbTime now);
bool lc_config_may_take_work (const LcConfig *config, LbTime now);

#endif
