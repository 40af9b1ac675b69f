#include "lx-instance-config.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>

#define STORE_ROUND_TRIP_TIME (5 * LB_MSEC)
#define STORE_TIMEOUT LB_SEC
#define MEMBERSHIP_UPDATE_INTERVAL LB_SEC
/* Time after which the other instances detect that an instance is paused. */
#define FAILURE_DETECTION_TIME (2 * LB_SEC)
#define CHANGE_COMMIT_DELAY (300 * LB_MSEC)
#define MAX_MEMBERS 64

static void execute_config_actions (LxInstance *instance);

static LbTime
get_simulation_time (const LxInstance *instance)
{
  return lx_world_now (instance->world);
}

/* A configuration message in transit between two instances. */
typedef struct
{
  LbName from;
  LcConfigMessage message;
} ConfigMessageInTransit;

static void
free_config_message (void *argument)
{
  ConfigMessageInTransit *transit = argument;

  lc_config_message_clear (&transit->message);
  free (transit);
}

static void
on_config_message (LxInstance *instance, void *argument)
{
  const ConfigMessageInTransit *transit = argument;

  lc_config_message_received (instance->config, transit->from, &transit->message,
                              get_simulation_time (instance), &instance->config_actions);
  execute_config_actions (instance);
}

/* Posts a configuration message to another instance. While LX_FAULT_PIECES_GARBLED is active, the
 * message may be lost, duplicated or late. */
static void
post_config_message (LxInstance *instance, LxInstance *to, const LcConfigMessage *message)
{
  LxWorld *world = instance->world;
  bool is_garbled = world->faults.garbled_until > lx_world_now (world);
  LbTime delay = lx_world_get_network_latency (world, instance->data_centre, to->data_centre);
  double draw = is_garbled ? gsl_rng_uniform (world->random) : 1;
  int copies = draw < 0.05 ? 0 : draw < 0.1 ? 2 : 1;

  for (int i = 0; i < copies; i++)
    {
      ConfigMessageInTransit *transit = LB_NEW (ConfigMessageInTransit);
      LB_COPY (transit->from, instance->name);
      transit->message = *message;
      transit->message.body = message->body ? json_object_get (message->body) : NULL;
      lx_instance_post_message (to,
                                delay + (is_garbled ? (LbTime)(draw * 500 * LB_MSEC) : 0)
                                    + i * LB_SEC,
                                on_config_message, transit, free_config_message);
    }
}

static void
send_config_message (LxInstance *instance, const LcConfigAction *action)
{
  LxWorld *world = instance->world;

  for (size_t i = 0; i < world->n_instances; i++)
    {
      LxInstance *to = &world->instances[i];
      if (to != instance && (!action->to[0] || strcmp (to->name, action->to) == 0))
        post_config_message (instance, to, &action->message);
    }
}

/* The result of reading the head row, which holds the newest accepted configuration, in transit
 * from the store to an instance. */
typedef struct
{
  bool failed;
  int64_t revision;   /* revision in the head row */
  LcResourceSet *set; /* set that was read; NULL: not newer than the active one, or read failed */
  LbTime requested_at;
} HeadRead;

static void
free_head_read (void *argument)
{
  HeadRead *head_read = argument;

  lc_resource_set_free (head_read->set);
  free (head_read);
}

static void
on_head_read_completed (LxInstance *instance, void *argument)
{
  HeadRead *head_read = argument;

  if (head_read->failed)
    lc_config_store_read_failed (instance->config, get_simulation_time (instance),
                                 &instance->config_actions);
  else
    lc_config_store_read_completed (instance->config, head_read->revision, head_read->set,
                                    head_read->requested_at, get_simulation_time (instance),
                                    &instance->config_actions);
  head_read->set = NULL;
  execute_config_actions (instance);
}

static void
read_head_from_store (LxInstance *instance)
{
  LxWorld *world = instance->world;
  HeadRead *head_read = LB_NEW (HeadRead);

  head_read->requested_at = get_simulation_time (instance);
  head_read->failed = get_simulation_time (instance) < world->store.unavailable_until;
  head_read->revision = world->registry.accepted->revision;
  if (!head_read->failed && head_read->revision > lc_config_active_revision (instance->config))
    head_read->set = lc_resource_set_copy (world->registry.accepted);
  LbTime delay = head_read->failed ? STORE_TIMEOUT : STORE_ROUND_TRIP_TIME;
  /* While LX_FAULT_REPLIES_LOST is active, the reply arrives late and may then be outdated. */
  if (get_simulation_time (instance) < world->store.replies_lost_until)
    delay += (LbTime)(gsl_rng_uniform (world->random)
                      * (double)(STORE_TIMEOUT - STORE_ROUND_TRIP_TIME));
  lx_instance_post_message (instance, delay, on_head_read_completed, head_read, free_head_read);
}

static void
execute_config_action_of_instance (LxInstance *instance, const LcConfigAction *action)
{
  switch (action->type)
    {
    case LC_CONFIG_READ_STORE:
      read_head_from_store (instance);
      break;
    case LC_CONFIG_SEND:
      send_config_message (instance, action);
      break;
    case LC_CONFIG_ACTIVATED:
      lx_instance_apply_configuration (instance, lc_config_active_set (instance->config));
      break;
    case LC_CONFIG_READINESS_CHANGED:
      break;
    }
}

static void
on_config_tick (LxInstance *instance, void *argument)
{
  LbTime now = get_simulation_time (instance);

  (void)argument;
  if (now < instance->next_config_tick_at)
    return;
  instance->next_config_tick_at = LB_TIME_NEVER;
  lc_config_tick (instance->config, now, &instance->config_actions);
  execute_config_actions (instance);
}

static void
execute_config_actions (LxInstance *instance)
{
  LbLink *link;

  while ((link = lb_list_pop (&instance->config_actions)))
    {
      LcConfigAction *action = LB_CONTAINER (link, LcConfigAction, link);
      execute_config_action_of_instance (instance, action);
      lc_config_action_free (action);
    }

  LbTime due = lc_config_next_tick_at (instance->config);
  if (due >= instance->next_config_tick_at)
    return;
  instance->next_config_tick_at = due;
  lx_instance_post_message (instance, due - get_simulation_time (instance), on_config_tick, NULL,
                            NULL);
}

static bool
does_membership_list_as_alive (const LxInstance *instance, LbTime now)
{
  bool paused = instance->paused_until > now && instance->paused_at + FAILURE_DETECTION_TIME < now;

  return instance->alive && !paused;
}

/* Reports the state of all instances to LcConfig as the membership protocol does, with
 * FAILURE_DETECTION_TIME as delay. */
static void
on_membership_update_due (LxInstance *instance, void *argument)
{
  LxWorld *world = instance->world;
  LcConfigMember members[MAX_MEMBERS];
  LbName incarnations[MAX_MEMBERS];
  size_t n = world->n_instances < MAX_MEMBERS ? world->n_instances : MAX_MEMBERS;

  (void)argument;
  for (size_t i = 0; i < n; i++)
    {
      const LxInstance *other = &world->instances[i];
      snprintf (incarnations[i], LB_NAME_MAX, "%u", other->incarnation);
      members[i] = (LcConfigMember){
        .name = other->name,
        .incarnation = incarnations[i],
        .alive = does_membership_list_as_alive (other, get_simulation_time (instance)),
        .draining = other->draining
      };
    }
  lc_config_update_members (instance->config, members, n, get_simulation_time (instance),
                            &instance->config_actions);
  execute_config_actions (instance);
  lx_instance_post_message (instance, MEMBERSHIP_UPDATE_INTERVAL, on_membership_update_due, NULL,
                            NULL);
}

void
lx_instance_start_config (LxInstance *instance)
{
  LcConfigSettings settings = { .max_confirmation_age = 10 * LB_SEC,
                                .min_poll_period = 2 * LB_SEC,
                                .seed = instance->world->options.seed * 77 + instance->index };

  LB_COPY (settings.instance, instance->name);
  instance->config = lc_config_new (&settings, get_simulation_time (instance));
  instance->next_config_tick_at = LB_TIME_NEVER;
  instance->checked_revision = 0;
  instance->was_ready = false;
  on_membership_update_due (instance, NULL);
}

void
lx_instance_stop_config (LxInstance *instance)
{
  LbLink *link;

  while ((link = lb_list_pop (&instance->config_actions)))
    lc_config_action_free (LB_CONTAINER (link, LcConfigAction, link));
  lc_config_free (instance->config);
  instance->config = NULL;
}

/* A configuration change by an operator, in transit to the store or back. */
typedef struct
{
  struct json_object *change;
  int64_t revision; /* revision that the change is based on */
  LbTime requested_at;
  LcResourceSet *next; /* new configuration; NULL: the change is not committed yet */
} ChangeInTransit;

static void
free_config_change_in_transit (void *argument)
{
  ChangeInTransit *change = argument;

  json_object_put (change->change);
  lc_resource_set_free (change->next);
  free (change);
}

static void
on_config_change_committed (LxInstance *instance, void *argument)
{
  ChangeInTransit *change = argument;

  lc_config_change_committed (instance->config, change->next, change->change, change->requested_at,
                              get_simulation_time (instance), &instance->config_actions);
  change->next = NULL;
  execute_config_actions (instance);
}

static void
on_config_change_commit_due (LxInstance *instance, void *argument)
{
  LxWorld *world = instance->world;
  ChangeInTransit *change = argument;
  LbTime now = get_simulation_time (instance);
  bool reply_lost = now < world->store.replies_lost_until
                    && lx_faults_is_current_event_affected (&world->faults, LX_LOST_REPLY_SHARE);

  LcResourceSet *next = NULL;
  if (now >= world->store.unavailable_until
      && lc_config_has_answers_of_majority (instance->config, change->requested_at))
    next = lx_registry_commit_change (&world->registry, change->revision, change->change);
  if (!next)
    {
      lc_config_change_abandoned (instance->config, now, &instance->config_actions);
      execute_config_actions (instance);
      return;
    }
  if (reply_lost)
    {
      /* The change is committed, but this instance learns the new revision only by reading the
       * store's head row, which holds the newest configuration. */
      lc_resource_set_free (next);
      return;
    }

  ChangeInTransit *committed = LB_NEW (ChangeInTransit);
  *committed = *change;
  committed->change = json_object_get (change->change);
  committed->next = next;
  committed->requested_at = now;
  lx_instance_post_message (instance, STORE_ROUND_TRIP_TIME, on_config_change_committed, committed,
                            free_config_change_in_transit);
}

void
lx_instance_submit_config_change (LxInstance *instance, struct json_object *content)
{
  ChangeInTransit *change = LB_NEW (ChangeInTransit);

  change->change = json_object_get (content);
  change->revision = lc_config_active_revision (instance->config);
  change->requested_at = get_simulation_time (instance);
  lc_config_announce_change (instance->config, get_simulation_time (instance),
                             &instance->config_actions);
  execute_config_actions (instance);
  lx_instance_post_message (instance, CHANGE_COMMIT_DELAY, on_config_change_commit_due, change,
                            free_config_change_in_transit);
}
