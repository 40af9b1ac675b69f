#include "lc-config-private.h"

/* Time that a new process waits for its peers, which may report a newer revision than the store
 * did. */
#define STARTUP_QUERY_DELAY (LB_SEC / 2)

/* Returns the maximum age of a peer's answer that still counts: max_confirmation_age, or the time
 * of two rounds of queries if this is longer. With many instances one round takes longer than
 * max_confirmation_age. */
static LbTime
max_peer_answer_age (const LcConfig *config)
{
  LbTime rounds = HASH_COUNT (config->peers) / LC_CONFIG_QUERIES_PER_PERIOD + 1;
  LbTime age = 2 * rounds * LC_CONFIG_QUERY_PERIOD;

  return age > config->settings.max_confirmation_age ? age : config->settings.max_confirmation_age;
}

bool
lc_config_is_confirmed_by_store (const LcConfig *config, LbTime now)
{
  return config->store_confirmed_at >= 0
         && now - config->store_confirmed_at <= config->settings.max_confirmation_age;
}

/* Returns the number of peers with a confirmed revision that answered a query sent at queried_since
 * or later. */
static size_t
count_answering_peers (const LcConfig *config, LbTime queried_since)
{
  size_t n_answering = 0;

  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    n_answering += peer->confirmed && peer->answered_query_at > 0
                   && peer->answered_query_at >= queried_since;
  return n_answering;
}

/* Returns true if this instance and the peers that answered a query sent at queried_since or later
 * form a majority of all known instances.
 *
 * Guards against a network partition in which one side accepts a change that the other side can't
 * see: an operator would find a revision active while other instances still use the previous one.
 * Only an instance that reaches a majority may accept a change, and any two majorities share a
 * member. */
bool
lc_config_has_answers_of_majority (const LcConfig *config, LbTime queried_since)
{
  size_t all = HASH_COUNT (config->peers) + 1;

  return 2 * (count_answering_peers (config, queried_since) + 1) > all;
}

static bool
is_announced_change_outcome_known (const LcConfig *config, const LcConfigPeer *peer)
{
  return peer->announced_change == 0 || config->set->revision > peer->announced_base_revision
         || config->store_confirmed_at >= peer->announced_at + LC_CONFIG_MAX_COMMIT_DURATION;
}

/* Returns true if an instance announced a change, its outcome is unknown and the instance no longer
 * answers.
 *
 * Guards against a partition during a commit: the majority that answered the announcement would use
 * the previous revision for as long as the partition lasts, although the operator saw the new one
 * accepted. Until the outcome is known, only the store can confirm a revision. */
bool
lc_config_has_change_of_unknown_outcome (const LcConfig *config, LbTime now)
{
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (!is_announced_change_outcome_known (config, peer)
        && peer->answered_query_at < now - max_peer_answer_age (config)
        && peer->announced_at < now - config->settings.max_confirmation_age)
      return true;
  return false;
}

/* Returns true if more than half of the peers recently answered with a confirmed revision and no
 * peer has a newer confirmed revision than this instance's active one. This instance is not counted
 * in the majority, since its process has just started and has no confirmation of its own. */
static bool
majority_of_peers_confirms_revision (const LcConfig *config, LbTime now)
{
  size_t n_answering = count_answering_peers (config, now - max_peer_answer_age (config));

  if (n_answering == 0 || 2 * n_answering <= HASH_COUNT (config->peers))
    return false;
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (peer->confirmed && peer->revision > config->set->revision)
      return false;
  return true;
}

static bool
has_alive_peer_with_newer_revision (const LcConfig *config)
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
    return lc_config_is_confirmed_by_store (config, now)
           || (lc_config_has_answers_of_majority (config, now - max_peer_answer_age (config))
               && !lc_config_has_change_of_unknown_outcome (config, now));
  /* Guards against a stale store read by a new process: callers would see the revision go back when
   * an instance is replaced. So a new process also waits for its peers before it serves the first
   * call. */
  if (lc_config_is_confirmed_by_store (config, now))
    return !has_alive_peer_with_newer_revision (config)
           && now - config->started_at >= STARTUP_QUERY_DELAY;
  return majority_of_peers_confirms_revision (config, now);
}
