#include "lc-config-private.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lc-change.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Reads of the head row by all instances together stay under this, of about 2,000 a second. */
#define HEAD_READS_PER_SECOND 175
#define POLL_JITTER 0.2

static LbMetric metric_revision
    = LB_GAUGE_INIT ("lentilspindle_config_revision", NULL, "Revision in force in this process");
static LbMetric metric_ignored
    = LB_COUNTER_INIT ("lentilspindle_config_stale_ignored_total",
                       NULL,
                       "Older sets, pushes and reads that were not put in force");
static LbMetric metric_ready
    = LB_GAUGE_INIT ("lentilspindle_config_ready",
                     NULL,
                     "1 when the configuration allows new work to be taken");

static LcConfigAction *
add_action (LbList *actions, LcConfigActionType type)
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
empty_set (void)
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
  config->set = empty_set ();
  config->started_at = now;
  config->store_confirmed_at = -1;
  config->next_poll = now;
  config->next_ask = now;
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
find_peer (const LcConfig *config, const char *name)
{
  LcConfigPeer *peer;

  HASH_FIND_STR (config->peers, name, peer);
  return peer;
}

static LcConfigPeer *
ensure_peer (LcConfig *config, const char *name)
{
  LcConfigPeer *peer = find_peer (config, name);

  if (peer)
    return peer;
  peer = LB_NEW (LcConfigPeer);
  LB_COPY (peer->name, name);
  HASH_ADD_STR (config->peers, name, peer);
  return peer;
}

static LbTime
poll_period (const LcConfig *config)
{
  LbTime period = (LbTime)(HASH_COUNT (config->peers) + 1) * LB_SEC / HEAD_READS_PER_SECOND;

  if (period < config->settings.min_poll_period)
    period = config->settings.min_poll_period;
  return period + (LbTime)(period * POLL_JITTER * (2 * gsl_rng_uniform (config->rng) - 1));
}

static void
update_ready (LcConfig *config, LbTime now, LbList *actions)
{
  bool ready = lc_config_may_take_work (config, now);

  config->confirmed |= ready;
  if (ready == config->ready)
    return;
  config->ready = ready;
  lb_metric_set (&metric_ready, ready);
  add_action (actions, LC_CONFIG_READINESS_CHANGED)->ready = ready;
}

static LcConfigMessage *
send (LbList *actions, const char *to, LcConfigMessageType type, int64_t revision)
{
  LcConfigAction *action = add_action (actions, LC_CONFIG_SEND);

  LB_COPY (action->to, to);
  action->message.type = type;
  action->message.revision = revision;
  action->message.age = -1;
  return &action->message;
}

static void
send_have (LcConfig *config, const char *to, LbTime asked_at, LbTime now, LbList *actions)
{
  LcConfigMessage *have = send (actions, to, LC_CONFIG_MESSAGE_STATUS, config->set->revision);

  have->asked_at = asked_at;
  have->confirmed
      = config->confirmed
        && (lc_config_is_store_confirmed (config, now) || !lc_config_is_in_doubt (config, now));
  have->intent = config->settled;
  have->age = lc_config_confirmation_age (config, now);
}

/* Puts a set in force unless this process has a newer one.
 *
 * Guards against a revision that goes back: an old push that was late on the wire, an old copy of
 * a peer or a stale read of the store would undo what operators saw accepted. Every way in ends
 * here, and the number of a revision is given once, under a condition, by the store. */
static bool
offer (LcConfig *config, LcResourceSet *set, LbList *actions)
{
  if (set->revision <= config->set->revision)
    {
      if (set->revision < config->set->revision)
        lb_metric_add (&metric_ignored, 1);
      lc_resource_set_free (set);
      return false;
    }
  lc_resource_set_free (config->set);
  config->set = set;
  lb_metric_set (&metric_revision, set->revision);
  add_action (actions, LC_CONFIG_ACTIVATED)->set = set;
  return true;
}

static LcConfigMessage *
ask (LcConfig *config, LcConfigPeer *peer, LbTime now, LbList *actions)
{
  LcConfigMessage *message
      = send (actions, peer->name, LC_CONFIG_MESSAGE_QUERY, config->set->revision);

  peer->asked_at = now;
  message->asked_at = now;
  return message;
}

static void
ask_all (LcConfig *config, LbTime now, LbList *actions)
{
  for (LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    ask (config, peer, now, actions);
}

/* What the process before had in force says nothing of the new one of the same name. */
static void
peer_restarted (LcConfigPeer *peer, const char *incarnation)
{
  if (peer->incarnation[0])
    {
      peer->revision = 0;
      peer->confirmed = false;
      peer->answered_to = 0;
    }
  LB_COPY (peer->incarnation, incarnation);
}

/* The view of the membership. An instance that is missing from it stays known until
 * lc_config_remove_instance: one that is cut off must not shrink the majority that the rest needs.
 */
void
lc_config_update_members (
    LcConfig *config, const LcConfigMember *members, size_t n_members, LbTime now, LbList *actions)
{
  LcConfigPeer *peer, *next;

  for (peer = config->peers; peer; peer = peer->hh.next)
    peer->listed = false;
  for (size_t i = 0; i < n_members; i++)
    {
      if (strcmp (members[i].name, config->settings.instance) == 0)
        continue;
      peer = ensure_peer (config, members[i].name);
      if (strcmp (peer->incarnation, members[i].incarnation) != 0)
        peer_restarted (peer, members[i].incarnation);
      peer->listed = true;
      peer->alive = members[i].alive;
      peer->draining = members[i].draining;
    }
  HASH_ITER (hh, config->peers, peer, next)
  {
    if (peer->listed)
      continue;
    peer->alive = false;
    if (peer->draining)
      lc_config_remove_instance (config, peer->name);
  }
  if (!config->confirmed)
    ask_all (config, now, actions);
  update_ready (config, now, actions);
}

/* The platform says that this instance is gone for good. */
void
lc_config_remove_instance (LcConfig *config, const char *instance)
{
  LcConfigPeer *peer = find_peer (config, instance);

  if (!peer || !config->peers)
    return;
  HASH_DEL (config->peers, peer);
  free (peer);
}

/* The store named its head revision in a read that began at asked_at; set is given (and taken over)
 * when it is newer than what was in force then. */
void
lc_config_store_read_completed (LcConfig *config,
                                int64_t revision,
                                LcResourceSet *set,
                                LbTime asked_at,
                                LbTime now,
                                LbList *actions)
{
  if (set)
    offer (config, set, actions);
  if (revision < config->set->revision)
    /* A replica that lags; it says nothing of what is accepted now. */
    lb_metric_add (&metric_ignored, 1);
  else if (revision == config->set->revision && asked_at > config->store_confirmed_at)
    config->store_confirmed_at = asked_at;
  if (asked_at >= config->announced_at + LC_CONFIG_COMMIT_LIFE)
    config->settled = config->announced;
  config->next_poll = now + poll_period (config);
  update_ready (config, now, actions);
}

void
lc_config_store_read_failed (LcConfig *config, LbTime now, LbList *actions)
{
  config->next_poll = now + poll_period (config);
  update_ready (config, now, actions);
}

/* This instance committed the change that made set (taken over): in force here, and news for all.
 */
void
lc_config_change_committed (LcConfig *config,
                            LcResourceSet *set,
                            struct json_object *change,
                            LbTime asked_at,
                            LbTime now,
                            LbList *actions)
{
  int64_t revision = set->revision;

  if (!offer (config, set, actions))
    return;
  if (asked_at > config->store_confirmed_at)
    config->store_confirmed_at = asked_at;
  config->settled = config->announced;
  send (actions, "", LC_CONFIG_MESSAGE_CHANGE, revision)->body = json_object_get (change);
  update_ready (config, now, actions);
}

/* A peer has something newer: its whole set, at most once per LC_CONFIG_ASK_PERIOD and peer. */
static void
want (LcConfig *config, LcConfigPeer *peer, LbTime now, LbList *actions)
{
  if (peer->wanted_at > 0 && now - peer->wanted_at < LC_CONFIG_ASK_PERIOD)
    return;
  peer->wanted_at = now;
  send (actions, peer->name, LC_CONFIG_MESSAGE_FETCH, config->set->revision);
}

static void
receive_news (
    LcConfig *config, LcConfigPeer *peer, const LcConfigMessage *news, LbTime now, LbList *actions)
{
  LbError error;
  LcResourceSet *next = NULL;

  if (news->body && news->revision == config->set->revision + 1)
    next = lc_change_apply (config->set, news->body, peer->name, &error);
  if (next)
    offer (config, next, actions);
  else if (news->revision > config->set->revision)
    want (config, peer, now, actions);
  else if (news->revision < config->set->revision)
    lb_metric_add (&metric_ignored, 1);
  if (news->revision <= config->set->revision)
    send_have (config, peer->name, 0, now, actions);
}

/* An age counts only in an answer to our own ASK, and from the time we asked: a message that lay in
 * a socket of a paused process would else make an old confirmation look young. */
static void
receive_have (
    LcConfig *config, LcConfigPeer *peer, const LcConfigMessage *have, LbTime now, LbList *actions)
{
  if (have->asked_at > 0 && have->asked_at <= now && have->asked_at > peer->answered_to)
    {
      peer->answered_to = have->asked_at;
      peer->revision = have->revision;
      LbTime confirmed_at = have->asked_at - have->age;
      if (have->age >= 0 && have->revision == config->set->revision
          && confirmed_at > config->store_confirmed_at)
        config->store_confirmed_at = confirmed_at;
    }
  if (have->intent >= peer->intent)
    peer->intent = 0;
  if (have->revision > config->set->revision && have->confirmed)
    want (config, peer, now, actions);
}

static void
receive_set (LcConfig *config,
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
  if (offer (config, set, actions))
    send_have (config, peer->name, 0, now, actions);
}

static void
note_intent (LcConfigPeer *peer, const LcConfigMessage *message, LbTime now)
{
  peer->intent = message->intent;
  peer->intent_base = message->revision;
  peer->intent_at = now;
}

void
lc_config_message_received (
    LcConfig *config, const char *from, const LcConfigMessage *message, LbTime now, LbList *actions)
{
  LcConfigPeer *peer = ensure_peer (config, from);

  if (message->revision > peer->revision)
    peer->revision = message->revision;
  if (message->type == LC_CONFIG_MESSAGE_STATUS)
    peer->confirmed = message->confirmed;
  switch (message->type)
    {
    case LC_CONFIG_MESSAGE_CHANGE:
      receive_news (config, peer, message, now, actions);
      break;
    case LC_CONFIG_MESSAGE_QUERY:
      if (message->intent > 0)
        note_intent (peer, message, now);
      send_have (config, from, message->asked_at, now, actions);
      break;
    case LC_CONFIG_MESSAGE_STATUS:
      receive_have (config, peer, message, now, actions);
      break;
    case LC_CONFIG_MESSAGE_FETCH:
      if (message->revision < config->set->revision)
        send (actions, from, LC_CONFIG_MESSAGE_SNAPSHOT, config->set->revision)->body
            = lc_resource_set_to_json (config->set);
      break;
    case LC_CONFIG_MESSAGE_SNAPSHOT:
      receive_set (config, peer, message, now, actions);
      break;
    }
  update_ready (config, now, actions);
}

void
lc_config_announce_change (LcConfig *config, LbTime now, LbList *actions)
{
  config->announced++;
  config->announced_at = now;
  for (LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    ask (config, peer, now, actions)->intent = config->announced;
}

/* The change that was announced is known not to have been committed. */
void
lc_config_change_abandoned (LcConfig *config, LbTime now, LbList *actions)
{
  config->settled = config->announced;
  send_have (config, "", 0, now, actions);
}

/* Asks those that are not known to have the revision in force here. */
void
lc_config_query_outdated_peers (LcConfig *config, LbTime now, LbList *actions)
{
  for (LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (peer->revision < config->set->revision)
      ask (config, peer, now, actions);
}

/* Asks those first that were asked longest ago. */
static void
ask_some (LcConfig *config, LbTime now, LbList *actions)
{
  for (size_t n = 0; n < LC_CONFIG_ASKS_PER_PERIOD; n++)
    {
      LcConfigPeer *oldest = NULL;
      for (LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
        if (!oldest || peer->asked_at < oldest->asked_at)
          oldest = peer;
      if (!oldest || oldest->asked_at == now)
        return;
      ask (config, oldest, now, actions);
    }
}

void
lc_config_tick (LcConfig *config, LbTime now, LbList *actions)
{
  if (now >= config->next_poll)
    {
      config->next_poll = now + poll_period (config);
      add_action (actions, LC_CONFIG_READ_STORE);
    }
  if (now >= config->next_ask)
    {
      config->next_ask = now + LC_CONFIG_ASK_PERIOD;
      bool doubtful
          = !config->confirmed || config->store_confirmed_at < 0
            || now - config->store_confirmed_at > config->settings.max_confirmation_age / 4;
      if (doubtful)
        ask_some (config, now, actions);
    }
  update_ready (config, now, actions);
}
