#include "lc-config-private.h"

/* Time that a new process waits for its peers to report a newer revision than the store did. */
#define STARTUP_DELAY (LB_SEC / 2)

/* Age up to which an answer of a peer counts. With many instances one round of queries takes longer
 * than max_confirmation_age. */
static LbTime
max_answer_age (const LcConfig *config)
{
  LbTime rounds = HASH_COUNT (config->peers) / LC_CONFIG_QUERIES_PER_PERIOD + 1;
  LbTime age = 2 * rounds * LC_CONFIG_QUERY_PERIOD;

  return age > config->settings.max_confirmation_age ? age : config->settings.max_confirmation_age;
}

bool
lc_config_is_store_confirmed (const LcConfig *config, LbTime now)
{
  return config->store_confirmed_at >= 0
         && now - config->store_confirmed_at <= config->settings.max_confirmation_age;
}

/* Counts peers that answered a query sent at queried_since or later. */
static size_t
count_answers (const LcConfig *config, LbTime queried_since)
{
  size_t answers = 0;

  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    answers += peer->confirmed && peer->answered_query_at > 0
               && peer->answered_query_at >= queried_since;
  return answers;
}

/* Returns true if this instance and the peers that answered a query sent at queried_since or later
 * are a majority of all known instances.
 *
 * Prevents a network partition from accepting a change that the other side can't see, where an
 * operator would find a revision active while other instances still use the previous one. Only an
 * instance that reaches a majority may accept a change, and any two majorities share a member. */
bool
lc_config_has_majority (const LcConfig *config, LbTime queried_since)
{
  size_t all = HASH_COUNT (config->peers) + 1;

  return 2 * (count_answers (config, queried_since) + 1) > all;
}

static bool
is_announced_change_settled (const LcConfig *config, const LcConfigPeer *peer)
{
  return peer->announced_change == 0 || config->set->revision > peer->announced_base_revision
         || config->store_confirmed_at >= peer->announced_at + LC_CONFIG_MAX_COMMIT_DURATION;
}

/* Returns true if an instance announced a change and has not been heard from since.
 *
 * Guards against a partition at the moment of acceptance: the majority that let the change pass
 * would use the previous revision for as long as the partition lasts, although the operator was
 * shown the new one as accepted. Until the outcome is known, only the store confirms. */
bool
lc_config_is_in_doubt (const LcConfig *config, LbTime now)
{
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (!is_announced_change_settled (config, peer)
        && peer->answered_query_at < now - max_answer_age (config)
        && peer->announced_at < now - config->settings.max_confirmation_age)
      return true;
  return false;
}

/* Returns true if more than half of the peers recently answered with a confirmed revision and none
 * of these is newer than the revision of this instance. This instance is not counted, since its
 * process has just started and has no confirmation of its own. */
static bool
peers_confirm_new_process (const LcConfig *config, LbTime now)
{
  size_t answers = count_answers (config, now - max_answer_age (config));

  if (answers == 0 || 2 * answers <= HASH_COUNT (config->peers))
    return false;
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (peer->confirmed && peer->revision > config->set->revision)
      return false;
  return true;
}

static bool
is_behind_a_peer (const LcConfig *config)
{
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (peer->alive && peer->revision > config->set->revision)
      return true;
  return false;
}

bool
lc_config_can_accept_work (const LcConfig *config, LbTime now)
{
  if (config->confirmed)
    return lc_config_is_store_confirmed (config, now)
           || (lc_config_has_majority (config, now - max_answer_age (config))
               && !lc_config_is_in_doubt (config, now));
  /* Guards against a stale read by a new process, where callers would see the revision go back when
   * an instance is replaced: its peers are queried as well before it serves the first call. */
  if (lc_config_is_store_confirmed (config, now))
    return !is_behind_a_peer (config) && now - config->started_at >= STARTUP_DELAY;
  return peers_confirm_new_process (config, now);
}
