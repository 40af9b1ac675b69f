#include "lc-config-private.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lc-change.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Limit on reads of the store's head row, for all instances together. The store serves about 2,000
 * requests per second. */
#define MAX_HEAD_READS_PER_SECOND 175
/* maximum random deviation from the poll period, as a fraction of the period */
#define POLL_JITTER 0.2

static LbMetric metric_revision = LB_GAUGE_INIT ("lentilspindle_config_revision",
                                                 NULL,
                                                 "Active configuration revision of this process");
static LbMetric metric_outdated
    = LB_COUNTER_INIT ("lentilspindle_config_stale_ignored_total",
                       NULL,
                       "Outdated sets, pushes and store reads that were ignored");
static LbMetric metric_ready
    = LB_GAUGE_INIT ("lentilspindle_config_ready",
                     NULL,
                     "1 if the configuration allows new work to be accepted");

static LcConfigAction *
append_config_action (LbList *actions, LcConfigActionType type)
{
  LcConfigAction *action = LB_NEW (LcConfigAction);

  action->type = type;
  lb_list_append (actions, &action->link);
  return action;
}

void
lc_config_action_free (LcConfigAction *action)
{
  lc_config_message_clear (&action->message);
  free (action);
}

static LcResourceSet *
new_empty_resource_set (void)
{
  return LB_NEW (LcResourceSet);
}

LcConfig *
lc_config_new (const LcConfigSettings *settings, LbTime now)
{
  LcConfig *config = LB_NEW (LcConfig);

  config->settings = *settings;
  config->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (config->rng, settings->seed);
  config->set = new_empty_resource_set ();
  config->started_at = now;
  config->store_confirmed_at = -1;
  config->next_poll_at = now;
  config->next_query_at = now;
  return config;
}

void
lc_config_free (LcConfig *config)
{
  LcConfigPeer *peer, *next;

  if (!config)
    return;
  HASH_ITER (hh, config->peers, peer, next)
  {
    HASH_DEL (config->peers, peer);
    free (peer);
  }
  lc_resource_set_free (config->set);
  gsl_rng_free (config->rng);
  free (config);
}

static LcConfigPeer *
find_peer_by_name (const LcConfig *config, const char *name)
{
  LcConfigPeer *peer;

  HASH_FIND_STR (config->peers, name, peer);
  return peer;
}

static LcConfigPeer *
get_or_add_peer (LcConfig *config, const char *name)
{
  LcConfigPeer *peer = find_peer_by_name (config, name);

  if (peer)
    return peer;
  peer = LB_NEW (LcConfigPeer);
  LB_COPY (peer->name, name);
  HASH_ADD_STR (config->peers, name, peer);
  return peer;
}

static LbTime
compute_jittered_poll_period (const LcConfig *config)
{
  LbTime period = (LbTime)(HASH_COUNT (config->peers) + 1) * LB_SEC / MAX_HEAD_READS_PER_SECOND;

  if (period < config->settings.min_poll_period)
    period = config->settings.min_poll_period;
  return period + (LbTime)(period * POLL_JITTER * (2 * gsl_rng_uniform (config->rng) - 1));
}

static void
append_readiness_action_if_changed (LcConfig *config, LbTime now, LbList *actions)
{
  bool ready = lc_config_can_accept_work (config, now);

  config->confirmed |= ready;
  if (ready == config->ready)
    return;
  config->ready = ready;
  lb_metric_set (&metric_ready, ready);
  append_config_action (actions, LC_CONFIG_READINESS_CHANGED)->ready = ready;
}

static LcConfigMessage *
send_message (LbList *actions, const char *to, LcConfigMessageType type, int64_t revision)
{
  LcConfigAction *action = append_config_action (actions, LC_CONFIG_SEND);

  LB_COPY (action->to, to);
  action->message.type = type;
  action->message.revision = revision;
  action->message.age = -1;
  return &action->message;
}

static void
send_status (LcConfig *config, const char *to, LbTime asked_at, LbTime now, LbList *actions)
{
  LcConfigMessage *status
      = send_message (actions, to, LC_CONFIG_MESSAGE_STATUS, config->set->revision);

  status->asked_at = asked_at;
  status->confirmed = config->confirmed
                      && (lc_config_is_confirmed_by_store (config, now)
                          || !lc_config_has_change_of_unknown_outcome (config, now));
  status->announced_change = config->settled_change;
  status->age = lc_config_confirmation_age (config, now);
}

/* Activates the set if its revision is newer than the active one. Takes ownership of set.
 *
 * Guards against a revision that goes back: a delayed push, an old copy of a peer or a stale read
 * of the store would undo a change that operators saw accepted. Every set passes through this
 * function, and the store assigns each revision number once, by a conditional write. */
static bool
activate_set_if_newer (LcConfig *config, LcResourceSet *set, LbList *actions)
{
  if (set->revision <= config->set->revision)
    {
      if (set->revision < config->set->revision)
        lb_metric_add (&metric_outdated, 1);
      lc_resource_set_free (set);
      return false;
    }
  lc_resource_set_free (config->set);
  config->set = set;
  lb_metric_set (&metric_revision, set->revision);
  append_config_action (actions, LC_CONFIG_ACTIVATED)->set = set;
  return true;
}

static LcConfigMessage *
send_query (LcConfig *config, LcConfigPeer *peer, LbTime now, LbList *actions)
{
  LcConfigMessage *message
      = send_message (actions, peer->name, LC_CONFIG_MESSAGE_QUERY, config->set->revision);

  peer->queried_at = now;
  message->asked_at = now;
  return message;
}

static void
query_all_peers (LcConfig *config, LbTime now, LbList *actions)
{
  for (LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    send_query (config, peer, now, actions);
}

/* Discards the state that the previous process of a restarted peer reported, because that state
 * does not apply to the peer's new process. */
static void
reset_restarted_peer (LcConfigPeer *peer, const char *incarnation)
{
  if (peer->incarnation[0])
    {
      peer->revision = 0;
      peer->confirmed = false;
      peer->answered_query_at = 0;
    }
  LB_COPY (peer->incarnation, incarnation);
}

/* A peer that is missing from members stays known until lc_config_remove_instance, unless it was
 * draining. The loss of instances by a partition must not lower the majority that the remaining
 * instances need. */
void
lc_config_update_members (
    LcConfig *config, const LcConfigMember *members, size_t n_members, LbTime now, LbList *actions)
{
  LcConfigPeer *peer, *next;

  for (peer = config->peers; peer; peer = peer->hh.next)
    peer->is_listed = false;
  for (size_t i = 0; i < n_members; i++)
    {
      if (strcmp (members[i].name, config->settings.instance) == 0)
        continue;
      peer = get_or_add_peer (config, members[i].name);
      if (strcmp (peer->incarnation, members[i].incarnation) != 0)
        reset_restarted_peer (peer, members[i].incarnation);
      peer->is_listed = true;
      peer->alive = members[i].alive;
      peer->draining = members[i].draining;
    }
  HASH_ITER (hh, config->peers, peer, next)
  {
    if (peer->is_listed)
      continue;
    peer->alive = false;
    if (peer->draining)
      lc_config_remove_instance (config, peer->name);
  }
  if (!config->confirmed)
    query_all_peers (config, now, actions);
  append_readiness_action_if_changed (config, now, actions);
}

/* Removes an instance that the platform reports as permanently removed, so that it no longer counts
 * for the majority. */
void
lc_config_remove_instance (LcConfig *config, const char *instance)
{
  LcConfigPeer *peer = find_peer_by_name (config, instance);

  if (!peer || !config->peers)
    return;
  HASH_DEL (config->peers, peer);
  free (peer);
}

/* Handles the result of a read of the store that began at read_at. revision: number in the head
 * row. set: the resources if this revision was newer than the active one at the time of the read,
 * otherwise NULL; takes ownership of set. */
void
lc_config_store_read_completed (LcConfig *config,
                                int64_t revision,
                                LcResourceSet *set,
                                LbTime read_at,
                                LbTime now,
                                LbList *actions)
{
  if (set)
    activate_set_if_newer (config, set, actions);
  if (revision < config->set->revision)
    /* The replica of the store that answered lags behind, so its answer confirms nothing. */
    lb_metric_add (&metric_outdated, 1);
  else if (revision == config->set->revision && read_at > config->store_confirmed_at)
    config->store_confirmed_at = read_at;
  if (read_at >= config->announced_at + LC_CONFIG_MAX_COMMIT_DURATION)
    config->settled_change = config->announced_change;
  config->next_poll_at = now + compute_jittered_poll_period (config);
  append_readiness_action_if_changed (config, now, actions);
}

void
lc_config_store_read_failed (LcConfig *config, LbTime now, LbList *actions)
{
  config->next_poll_at = now + compute_jittered_poll_period (config);
  append_readiness_action_if_changed (config, now, actions);
}

/* Activates and broadcasts the result of a change that this instance committed. Takes ownership of
 * set. */
void
lc_config_change_committed (LcConfig *config,
                            LcResourceSet *set,
                            struct json_object *change,
                            LbTime committed_at,
                            LbTime now,
                            LbList *actions)
{
  int64_t revision = set->revision;

  if (!activate_set_if_newer (config, set, actions))
    return;
  if (committed_at > config->store_confirmed_at)
    config->store_confirmed_at = committed_at;
  config->settled_change = config->announced_change;
  send_message (actions, "", LC_CONFIG_MESSAGE_CHANGE, revision)->body = json_object_get (change);
  append_readiness_action_if_changed (config, now, actions);
}

/* Requests the whole set from a peer with a newer revision, at most once per LC_CONFIG_QUERY_PERIOD
 * for each peer. */
static void
request_whole_set_from_peer (LcConfig *config, LcConfigPeer *peer, LbTime now, LbList *actions)
{
  if (peer->fetched_at > 0 && now - peer->fetched_at < LC_CONFIG_QUERY_PERIOD)
    return;
  peer->fetched_at = now;
  send_message (actions, peer->name, LC_CONFIG_MESSAGE_FETCH, config->set->revision);
}

static void
activate_or_fetch_peer_change (LcConfig *config,
                               LcConfigPeer *peer,
                               const LcConfigMessage *message,
                               LbTime now,
                               LbList *actions)
{
  LbError error;
  LcResourceSet *next = NULL;

  if (message->body && message->revision == config->set->revision + 1)
    next = lc_change_apply_to_resource_set (config->set, message->body, peer->name, &error);
  if (next)
    activate_set_if_newer (config, next, actions);
  else if (message->revision > config->set->revision)
    request_whole_set_from_peer (config, peer, now, actions);
  else if (message->revision < config->set->revision)
    lb_metric_add (&metric_outdated, 1);
  if (message->revision <= config->set->revision)
    send_status (config, peer->name, 0, now, actions);
}

/* A confirmation age counts only in a reply to a query of this process, and is measured from the
 * time of the query. Otherwise a reply that waited in the socket of a paused process would make an
 * old confirmation look recent. */
static void
record_peer_status (LcConfig *config,
                    LcConfigPeer *peer,
                    const LcConfigMessage *status,
                    LbTime now,
                    LbList *actions)
{
  if (status->asked_at > 0 && status->asked_at <= now && status->asked_at > peer->answered_query_at)
    {
      peer->answered_query_at = status->asked_at;
      peer->revision = status->revision;
      LbTime confirmed_at = status->asked_at - status->age;
      if (status->age >= 0 && status->revision == config->set->revision
          && confirmed_at > config->store_confirmed_at)
        config->store_confirmed_at = confirmed_at;
    }
  if (status->announced_change >= peer->announced_change)
    peer->announced_change = 0;
  if (status->revision > config->set->revision && status->confirmed)
    request_whole_set_from_peer (config, peer, now, actions);
}

static void
activate_peer_snapshot (LcConfig *config,
                        LcConfigPeer *peer,
                        const LcConfigMessage *message,
                        LbTime now,
                        LbList *actions)
{
  LbError error;
  LcResourceSet *set
      = message->body ? lc_resource_set_from_json (message->body, peer->name, &error) : NULL;

  if (!set)
    {
      lb_metric_count_error (LB_ERROR_FRAME_GARBLED);
      return;
    }
  if (activate_set_if_newer (config, set, actions))
    send_status (config, peer->name, 0, now, actions);
}

static void
record_change_announced_by_peer (LcConfigPeer *peer, const LcConfigMessage *message, LbTime now)
{
  peer->announced_change = message->announced_change;
  peer->announced_base_revision = message->revision;
  peer->announced_at = now;
}

void
lc_config_message_received (
    LcConfig *config, const char *from, const LcConfigMessage *message, LbTime now, LbList *actions)
{
  LcConfigPeer *peer = get_or_add_peer (config, from);

  if (message->revision > peer->revision)
    peer->revision = message->revision;
  if (message->type == LC_CONFIG_MESSAGE_STATUS)
    peer->confirmed = message->confirmed;
  switch (message->type)
    {
    case LC_CONFIG_MESSAGE_CHANGE:
      activate_or_fetch_peer_change (config, peer, message, now, actions);
      break;
    case LC_CONFIG_MESSAGE_QUERY:
      if (message->announced_change > 0)
        record_change_announced_by_peer (peer, message, now);
      send_status (config, from, message->asked_at, now, actions);
      break;
    case LC_CONFIG_MESSAGE_STATUS:
      record_peer_status (config, peer, message, now, actions);
      break;
    case LC_CONFIG_MESSAGE_FETCH:
      if (message->revision < config->set->revision)
        send_message (actions, from, LC_CONFIG_MESSAGE_SNAPSHOT, config->set->revision)->body
            = lc_resource_set_to_json (config->set);
      break;
    case LC_CONFIG_MESSAGE_SNAPSHOT:
      activate_peer_snapshot (config, peer, message, now, actions);
      break;
    }
  append_readiness_action_if_changed (config, now, actions);
}

void
lc_config_announce_change (LcConfig *config, LbTime now, LbList *actions)
{
  config->announced_change++;
  config->announced_at = now;
  for (LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    send_query (config, peer, now, actions)->announced_change = config->announced_change;
}

/* Tells all peers that the announced change was not committed. */
void
lc_config_change_abandoned (LcConfig *config, LbTime now, LbList *actions)
{
  config->settled_change = config->announced_change;
  send_status (config, "", 0, now, actions);
}

/* Sends a query to each peer that is not known to have this instance's active revision. */
void
lc_config_query_outdated_peers (LcConfig *config, LbTime now, LbList *actions)
{
  for (LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (peer->revision < config->set->revision)
      send_query (config, peer, now, actions);
}

/* Queries up to LC_CONFIG_QUERIES_PER_PERIOD peers, beginning with the one whose last query is the
 * oldest. */
static void
query_least_recently_queried_peers (LcConfig *config, LbTime now, LbList *actions)
{
  for (size_t n = 0; n < LC_CONFIG_QUERIES_PER_PERIOD; n++)
    {
      LcConfigPeer *oldest = NULL;
      for (LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
        if (!oldest || peer->queried_at < oldest->queried_at)
          oldest = peer;
      if (!oldest || oldest->queried_at == now)
        return;
      send_query (config, oldest, now, actions);
    }
}

void
lc_config_tick (LcConfig *config, LbTime now, LbList *actions)
{
  if (now >= config->next_poll_at)
    {
      config->next_poll_at = now + compute_jittered_poll_period (config);
      append_config_action (actions, LC_CONFIG_READ_STORE);
    }
  if (now >= config->next_query_at)
    {
      config->next_query_at = now + LC_CONFIG_QUERY_PERIOD;
      bool needs_confirmation
          = !config->confirmed || config->store_confirmed_at < 0
            || now - config->store_confirmed_at > config->settings.max_confirmation_age / 4;
      if (needs_confirmation)
        query_least_recently_queried_peers (config, now, actions);
    }
  append_readiness_action_if_changed (config, now, actions);
}
