#include "lc-config-private.h"

/* How long a new process waits for its peers to name a newer revision than the store did. */
#define SETTLE (LB_SEC / 2)

/* With many instances one round of ASK takes longer than the bound. */
static LbTime
answer_bound (const LcConfig *config)
{
  LbTime rounds = HASH_COUNT (config->peers) / LC_CONFIG_ASKS_PER_PERIOD + 1;
  LbTime bound = 2 * rounds * LC_CONFIG_ASK_PERIOD;

  return bound > config->settings.max_confirmation_age ? bound
                                                       : config->settings.max_confirmation_age;
}

bool
lc_config_is_store_confirmed (const LcConfig *config, LbTime now)
{
  return config->store_confirmed_at >= 0
         && now - config->store_confirmed_at <= config->settings.max_confirmation_age;
}

/* Peers that answered an ASK which was sent at this time or later. */
static size_t
count_answers (const LcConfig *config, LbTime asked_since)
{
  size_t answers = 0;

  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    answers += peer->confirmed && peer->answered_to > 0 && peer->answered_to >= asked_since;
  return answers;
}

/* True when this instance and those that answered an ASK of asked_since or later are more than half
 * of all known.
 *
 * Guards against a change that is accepted where this instance can't see it: an operator would
 * see a revision in force while a cut-off part goes on with the one before. A change is accepted
 * only by an instance that reaches a majority, and two majorities share a member. */
bool
lc_config_has_majority (const LcConfig *config, LbTime asked_since)
{
  size_t all = HASH_COUNT (config->peers) + 1;

  return 2 * (count_answers (config, asked_since) + 1) > all;
}

static bool
is_settled (const LcConfig *config, const LcConfigPeer *peer)
{
  return peer->intent == 0 || config->set->revision > peer->intent_base
         || config->store_confirmed_at >= peer->intent_at + LC_CONFIG_COMMIT_LIFE;
}

/* True when an instance has announced a change and was not heard of since.
 *
 * Guards against a cut in the moment of acceptance: the majority that let the change pass would go
 * on with the revision before for as long as the parting lasts, while the operator was told that
 * the new one is accepted. Until its outcome is known, only the store confirms. */
bool
lc_config_is_in_doubt (const LcConfig *config, LbTime now)
{
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (!is_settled (config, peer) && peer->answered_to < now - answer_bound (config)
        && peer->intent_at < now - config->settings.max_confirmation_age)
      return true;
  return false;
}

/* A new process knows nothing itself, so only its peers count. */
static bool
peers_confirm_new_process (const LcConfig *config, LbTime now)
{
  size_t answers = count_answers (config, now - answer_bound (config));

  if (answers == 0 || 2 * answers <= HASH_COUNT (config->peers))
    return false;
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (peer->confirmed && peer->revision > config->set->revision)
      return false;
  return true;
}

/* A peer that named a newer revision has yet to send it. */
static bool
is_behind_a_peer (const LcConfig *config)
{
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (peer->alive && peer->revision > config->set->revision)
      return true;
  return false;
}

/* Whether new work may be taken with the revision in force. */
bool
lc_config_may_take_work (const LcConfig *config, LbTime now)
{
  if (config->confirmed)
    return lc_config_is_store_confirmed (config, now)
           || (lc_config_has_majority (config, now - answer_bound (config))
               && !lc_config_is_in_doubt (config, now));
  /* Guards against a stale read by a new process: callers would see a revision go back when an
   * instance is replaced. Its peers are asked too before the first call is served. */
  if (lc_config_is_store_confirmed (config, now))
    return !is_behind_a_peer (config) && now - config->started_at >= SETTLE;
  return peers_confirm_new_process (config, now);
}
