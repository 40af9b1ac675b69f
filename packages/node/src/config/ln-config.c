#include "ln-config-task.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lb-settings.h"
#include "ln-messages.h"
#include "lp-platform.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define CONFIG_TICK_PERIOD (50 * LB_MSEC)
#define MAX_CONFIG_CONFIRMATION_AGE (8 * LB_SEC)
#define MIN_HEAD_POLL_PERIOD LB_SEC
#define INSTANCE_LISTING_PERIOD (10 * LB_SEC)
#define PEER_MESSAGE_TOPIC "config"

static LnConfigTask *
config_task_from_base (LnTask *task)
{
  return (LnConfigTask *)task;
}

static void
clear_config_message (LnMessage *message)
{
  lc_resource_set_free (((LnConfigMessage *)message)->set);
}

static void
clear_peer_message (LnMessage *message)
{
  free (((LnPeerMessage *)message)->payload);
}

void
ln_config_send_peer_message (LnConfigTask *task, const char *instance, struct json_object *object)
{
  LnTask *peers = ln_hub_find_task (task->task.hub, "peers");
  LnPeerMessage message = { .base = LN_MESSAGE (LN_PEER_SEND), .topic = PEER_MESSAGE_TOPIC };

  if (peers)
    {
      message.base.clear = clear_peer_message;
      LB_COPY (message.instance, instance);
      message.payload = lb_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
      message.length = strlen (message.payload);
      LN_POST (task->task.hub, peers, message);
    }
  json_object_put (object);
}

static void
on_accepted_set_read (const LnConfigRead *read, void *user)
{
  LnConfigTask *task = user;
  LbTime now = lb_clock_monotonic ();
  LbList actions;

  task->is_polling_head = false;
  lb_list_init (&actions);
  if (read->error == LB_OK)
    lc_config_store_read_completed (task->config, read->revision, read->set, read->requested_at,
                                    now, &actions);
  else
    {
      lb_metric_count_error (read->error);
      lc_config_store_read_failed (task->config, now, &actions);
    }
  ln_config_execute_actions (task, &actions);
}

static void
post_activated_resource_set (LnConfigTask *task, const LcResourceSet *set)
{
  LnConfigMessage message = { .base = LN_MESSAGE (LN_CONFIG) };

  lb_log (LB_LOG_INFO, "config_in_force", LB_INT ("revision", set->revision),
          LB_INT ("endpoints", set->n_endpoints), LB_INT ("subscriptions", set->n_subscriptions));
  message.base.clear = clear_config_message;
  message.set = lc_resource_set_copy (set);
  LN_POST (task->task.hub, NULL, message);
  ln_pool_controllers_configure (task, set);
}

static void
post_config_readiness (LnConfigTask *task, bool ready)
{
  LnReadyMessage message = { .base = LN_MESSAGE (LN_READY), .ready = ready };

  lb_log (ready ? LB_LOG_INFO : LB_LOG_WARNING, "config_ready", LB_BOOL ("ready", ready),
          LB_INT ("revision", lc_config_active_revision (task->config)),
          LB_INT ("confirmation_age_us",
                  lc_config_confirmation_age (task->config, lb_clock_monotonic ())));
  LN_POST (task->task.hub, NULL, message);
}

static void
execute_config_action (LnConfigTask *task, const LcConfigAction *action)
{
  switch (action->type)
    {
    case LC_CONFIG_READ_STORE:
      if (!task->is_polling_head)
        {
          task->is_polling_head = true;
          ln_config_store_read_accepted_set (task->store, lc_config_active_revision (task->config),
                                             on_accepted_set_read, task);
        }
      break;
    case LC_CONFIG_SEND:
      ln_config_send_peer_message (task, action->to, lc_config_message_to_json (&action->message));
      break;
    case LC_CONFIG_ACTIVATED:
      post_activated_resource_set (task, action->set);
      break;
    case LC_CONFIG_READINESS_CHANGED:
      post_config_readiness (task, action->ready);
      break;
    }
}

void
ln_config_execute_actions (LnConfigTask *task, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcConfigAction *action = LB_CONTAINER (link, LcConfigAction, link);
      execute_config_action (task, action);
      lc_config_action_free (action);
    }
}

static bool
contains_instance (const LpInstanceList *list, const char *name)
{
  for (size_t i = 0; i < list->n_instances; i++)
    if (strcmp (list->instances[i].name, name) == 0)
      return true;
  return false;
}

typedef struct
{
  const LpInstanceList *list;
  LbName removed; /* an unreachable instance that is missing from `list`; "": none */
} UnlistedSearch;

static void
find_unlisted_instance (
    const char *instance, int64_t revision, bool alive, bool draining, void *user)
{
  (void)revision;
  (void)draining;
  UnlistedSearch *search = user;

  if (!alive && !contains_instance (search->list, instance))
    LB_COPY (search->removed, instance);
}

/* Forgets unreachable instances that the platform no longer lists. Until an instance is forgotten,
 * the instance counts as one with an outdated revision, and as one of the known instances of which
 * a majority has to answer a configuration change. */
static void
on_instances_listed (LbErrorCode error, const LpInstanceList *list, void *user)
{
  LnConfigTask *task = user;

  task->is_listing_instances = false;
  if (error != LB_OK || list->n_instances == 0)
    return;
  for (;;)
    {
      UnlistedSearch search = { .list = list };
      lc_config_visit_instances (task->config, find_unlisted_instance, &search);
      if (!search.removed[0])
        return;
      lb_log (LB_LOG_INFO, "config_instance_gone", LB_TEXT ("gone", search.removed));
      lc_config_remove_instance (task->config, search.removed);
    }
}

static void
request_instance_list_if_due (LnConfigTask *task, LbTime now)
{
  LpPlatform *platform = task->context->platform;

  if (task->is_listing_instances || now < task->next_listing_at
      || !lc_config_has_unreachable_members (task->config))
    return;
  task->is_listing_instances = true;
  task->next_listing_at = now + INSTANCE_LISTING_PERIOD;
  platform->klass->list_instances (platform, on_instances_listed, task);
}

static void
on_config_tick (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnConfigTask *task = user;
  LbTime now = lb_clock_monotonic ();
  LbList actions;

  lb_list_init (&actions);
  lc_config_tick (task->config, now, &actions);
  ln_config_execute_actions (task, &actions);
  request_instance_list_if_due (task, now);
  ln_pool_controllers_tick (task, now);
  ln_config_api_tick_watches_and_changes (task, now);
}

static void
apply_members_message (LnConfigTask *task, const LnMembersMessage *message)
{
  LcConfigMember *members = LB_NEW_ARRAY (LcConfigMember, message->n_members);
  LbList actions;

  for (size_t i = 0; i < message->n_members; i++)
    members[i] = (LcConfigMember){ .name = message->members[i].name,
                                   .incarnation = message->members[i].incarnation,
                                   .alive = message->members[i].alive,
                                   .draining = message->members[i].draining };
  lb_list_init (&actions);
  lc_config_update_members (task->config, members, message->n_members, lb_clock_monotonic (),
                            &actions);
  ln_config_execute_actions (task, &actions);
  ln_pool_controllers_update_lease_ranks (task);
  free (members);
}

static void
receive_peer_frame (LnConfigTask *task, const LnPeerMessage *frame)
{
  LcConfigMessage message = { 0 };
  LbError error = { .code = LB_OK };
  LbTime now = lb_clock_monotonic ();
  LbList actions;
  struct json_object *object
      = lb_settings_parse (frame->payload, frame->length, frame->instance, &error);

  lb_list_init (&actions);
  if (object && ln_pool_controllers_receive_announcement (task, object))
    goto out;
  if (object && lc_config_message_from_json (object, &message, &error))
    lc_config_message_received (task->config, frame->instance, &message, now, &actions);
  else
    {
      lb_metric_count_error (error.code);
      lb_log_error (LB_LOG_WARNING, "config_frame_refused", &error);
    }
  lc_config_message_clear (&message);
  ln_config_execute_actions (task, &actions);
  ln_config_change_commit_on_majority (task, now);
out:
  json_object_put (object);
}

static void
receive_message_for_config_task (LnTask *base, const LnMessage *message)
{
  LnConfigTask *task = config_task_from_base (base);

  switch (message->type)
    {
    case LN_EXCHANGE:
      ln_config_api_handle_request (task, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_CALLER_DISCONNECTED:
      ln_config_api_on_caller_disconnected (task, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_MEMBERS:
      apply_members_message (task, (const LnMembersMessage *)message);
      break;
    case LN_PEER_FRAME:
      receive_peer_frame (task, (const LnPeerMessage *)message);
      break;
    default:
      break;
    }
}

static void
drain_config_task (LnTask *base)
{
  LnConfigTask *task = config_task_from_base (base);

  task->draining = true;
  ln_config_api_finish_watches (task);
  ln_pool_controllers_release_leases (task);
}

static bool
is_config_task_idle (const LnTask *base)
{
  const LnConfigTask *task = (const LnConfigTask *)base;

  return ln_config_api_is_idle (task)
         && (!task->draining || ln_pool_controllers_have_released_leases (task));
}

static void
free_config_task (LnTask *base)
{
  LnConfigTask *task = config_task_from_base (base);

  ln_config_api_free_requests (task);
  ln_pool_controllers_free_all (task);
  event_free (task->timer);
  ln_config_store_free (task->store);
  lc_config_free (task->config);
  free (task);
}

static const LnTaskClass config_class = { .name = "config",
                                          .receive = receive_message_for_config_task,
                                          .drain = drain_config_task,
                                          .is_idle = is_config_task_idle,
                                          .free = free_config_task };

LnTask *
ln_config_task_new (LnContext *context)
{
  LnConfigTask *task = LB_NEW (LnConfigTask);
  LcConfigSettings settings = { .max_confirmation_age = MAX_CONFIG_CONFIRMATION_AGE,
                                .min_poll_period = MIN_HEAD_POLL_PERIOD,
                                .seed = context->settings->seed ^ (uint64_t)lb_clock_monotonic () };
  const struct timeval tick = { .tv_usec = CONFIG_TICK_PERIOD };

  LB_COPY (settings.instance, context->instance);
  task->task.klass = &config_class;
  task->task.hub = context->hub;
  task->context = context;
  task->config = lc_config_new (&settings, lb_clock_monotonic ());
  task->store = ln_config_store_new (context->base, context->platform);
  lb_list_init (&task->changes);
  lb_list_init (&task->watches);
  lb_list_init (&task->pool_controllers);
  lb_list_init (&task->pool_operations);
  task->timer = event_new (context->base, -1, EV_PERSIST, on_config_tick, task);
  event_add (task->timer, &tick);
  return &task->task;
}
