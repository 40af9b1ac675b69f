#include "lx-instance-config.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>

#define STORE_TIME (5 * LB_MSEC)
#define STORE_DEADLINE LB_SEC
#define MEMBERS_EVERY LB_SEC
/* An instance that is paused or dead is seen to be so after this time. */
#define DETECTION (2 * LB_SEC)
#define ACCEPT_WAIT (300 * LB_MSEC)

static void pump_config (LxInstance *instance);

static LbTime
now_of (const LxInstance *instance)
{
  return lx_world_now (instance->world);
}

typedef struct
{
  LbName from;
  LcConfigMessage message;
} Mail;

static void
drop_mail (void *argument)
{
  Mail *mail = argument;

  lc_config_message_clear (&mail->message);
  free (mail);
}

static void
on_mail (LxInstance *instance, void *argument)
{
  const Mail *mail = argument;

  lc_config_message_received (instance->config, mail->from, &mail->message, now_of (instance),
                              &instance->config_actions);
  pump_config (instance);
}

/* Between instances: lost, doubled and late while links are garbled. */
static void
post_mail (LxInstance *instance, LxInstance *to, const LcConfigMessage *message)
{
  LxWorld *world = instance->world;
  bool garbled = world->faults.garbled_until > lx_world_now (world);
  LbTime delay = lx_world_latency (world, instance->data_centre, to->data_centre);
  double lot = garbled ? gsl_rng_uniform (world->random) : 1;
  int copies = lot < 0.05 ? 0 : lot < 0.1 ? 2 : 1;

  for (int i = 0; i < copies; i++)
    {
      Mail *mail = LB_NEW (Mail);
      LB_COPY (mail->from, instance->name);
      mail->message = *message;
      mail->message.body = message->body ? json_object_get (message->body) : NULL;
      lx_instance_post (to, delay + (garbled ? (LbTime)(lot * 500 * LB_MSEC) : 0) + i * LB_SEC,
                        on_mail, mail, drop_mail);
    }
}

static void
send_message (LxInstance *instance, const LcConfigAction *action)
{
  LxWorld *world = instance->world;

  for (size_t i = 0; i < world->n_instances; i++)
    {
      LxInstance *to = &world->instances[i];
      if (to != instance && (!action->to[0] || strcmp (to->name, action->to) == 0))
        post_mail (instance, to, &action->message);
    }
}

typedef struct
{
  bool failed;
  int64_t revision;
  LcResourceSet *set;
  LbTime asked_at;
} HeadRead;

static void
drop_head (void *argument)
{
  HeadRead *head = argument;

  lc_resource_set_free (head->set);
  free (head);
}

static void
on_head (LxInstance *instance, void *argument)
{
  HeadRead *head = argument;

  if (head->failed)
    lc_config_store_read_failed (instance->config, now_of (instance), &instance->config_actions);
  else
    lc_config_store_read_completed (instance->config, head->revision, head->set, head->asked_at,
                                    now_of (instance), &instance->config_actions);
  head->set = NULL;
  pump_config (instance);
}

static void
read_store (LxInstance *instance)
{
  LxWorld *world = instance->world;
  HeadRead *head = LB_NEW (HeadRead);

  head->asked_at = now_of (instance);
  head->failed = now_of (instance) < world->store.away_until;
  head->revision = world->registry.set->revision;
  if (!head->failed && head->revision > lc_config_revision (instance->config))
    head->set = lc_resource_set_copy (world->registry.set);
  LbTime time = head->failed ? STORE_DEADLINE : STORE_TIME;
  /* A slow store: what it answers is old when it comes. */
  if (now_of (instance) < world->store.lose_until)
    time += (LbTime)(gsl_rng_uniform (world->random) * (double)(STORE_DEADLINE - STORE_TIME));
  lx_instance_post (instance, time, on_head, head, drop_head);
}

static void
carry_out (LxInstance *instance, const LcConfigAction *action)
{
  switch (action->type)
    {
    case LC_CONFIG_READ_STORE:
      read_store (instance);
      break;
    case LC_CONFIG_SEND:
      send_message (instance, action);
      break;
    case LC_CONFIG_ACTIVATED:
      lx_instance_apply_config (instance, lc_config_set (instance->config));
      break;
    case LC_CONFIG_READINESS_CHANGED:
      break;
    }
}

static void
on_config_tick (LxInstance *instance, void *argument)
{
  LbTime now = now_of (instance);

  (void)argument;
  if (now < instance->config_tick_at)
    return;
  instance->config_tick_at = LB_TIME_NEVER;
  lc_config_tick (instance->config, now, &instance->config_actions);
  pump_config (instance);
}

static void
pump_config (LxInstance *instance)
{
  LbLink *link;

  while ((link = lb_list_pop (&instance->config_actions)))
    {
      LcConfigAction *action = LB_CONTAINER (link, LcConfigAction, link);
      carry_out (instance, action);
      lc_config_action_free (action);
    }

  LbTime due = lc_config_next_tick_at (instance->config);
  if (due >= instance->config_tick_at)
    return;
  instance->config_tick_at = due;
  lx_instance_post (instance, due - now_of (instance), on_config_tick, NULL, NULL);
}

static bool
seems_alive (const LxInstance *instance, LbTime now)
{
  bool paused = instance->paused_until > now && instance->paused_at + DETECTION < now;

  return instance->alive && !paused;
}

/* What the membership of instances would tell, with the lag of its detection. */
static void
on_members (LxInstance *instance, void *argument)
{
  LxWorld *world = instance->world;
  LcConfigMember members[64];
  LbName incarnations[64];
  size_t n = world->n_instances < 64 ? world->n_instances : 64;

  (void)argument;
  for (size_t i = 0; i < n; i++)
    {
      const LxInstance *other = &world->instances[i];
      snprintf (incarnations[i], LB_NAME_MAX, "%u", other->life);
      members[i] = (LcConfigMember){ .name = other->name,
                                     .incarnation = incarnations[i],
                                     .alive = seems_alive (other, now_of (instance)),
                                     .draining = other->draining };
    }
  lc_config_update_members (instance->config, members, n, now_of (instance),
                            &instance->config_actions);
  pump_config (instance);
  lx_instance_post (instance, MEMBERS_EVERY, on_members, NULL, NULL);
}

void
lx_instance_config_start (LxInstance *instance)
{
  LcConfigSettings settings = { .max_confirmation_age = 10 * LB_SEC,
                                .min_poll_period = 2 * LB_SEC,
                                .seed = instance->world->options.seed * 77 + instance->index };

  LB_COPY (settings.instance, instance->name);
  instance->config = lc_config_new (&settings, now_of (instance));
  instance->config_tick_at = LB_TIME_NEVER;
  instance->revision_seen = 0;
  instance->was_ready = false;
  on_members (instance, NULL);
}

void
lx_instance_config_stop (LxInstance *instance)
{
  LbLink *link;

  while ((link = lb_list_pop (&instance->config_actions)))
    lc_config_action_free (LB_CONTAINER (link, LcConfigAction, link));
  lc_config_free (instance->config);
  instance->config = NULL;
}

/* An operator's change in the middle of its acceptance. */
typedef struct
{
  struct json_object *change;
  int64_t revision; /* that the operator saw */
  LbTime asked_at;
  LcResourceSet *next;
} Change;

static void
drop_change (void *argument)
{
  Change *change = argument;

  json_object_put (change->change);
  lc_resource_set_free (change->next);
  free (change);
}

static void
on_committed (LxInstance *instance, void *argument)
{
  Change *change = argument;

  lc_config_change_committed (instance->config, change->next, change->change, change->asked_at,
                              now_of (instance), &instance->config_actions);
  change->next = NULL;
  pump_config (instance);
}

static void
on_commit (LxInstance *instance, void *argument)
{
  LxWorld *world = instance->world;
  Change *change = argument;
  LbTime now = now_of (instance);
  bool reply_lost
      = now < world->store.lose_until && lx_faults_is_event_selected (&world->faults, 0.33);

  LcResourceSet *next = NULL;
  if (now >= world->store.away_until && lc_config_has_majority (instance->config, change->asked_at))
    next = lx_registry_commit (&world->registry, change->revision, change->change);
  if (!next)
    {
      lc_config_change_abandoned (instance->config, now, &instance->config_actions);
      pump_config (instance);
      return;
    }
  if (reply_lost)
    {
      /* Committed, but this instance can't know before it reads the head row. */
      lc_resource_set_free (next);
      return;
    }

  Change *committed = LB_NEW (Change);
  *committed = *change;
  committed->change = json_object_get (change->change);
  committed->next = next;
  committed->asked_at = now;
  lx_instance_post (instance, STORE_TIME, on_committed, committed, drop_change);
}

void
lx_instance_submit_change (LxInstance *instance, struct json_object *content)
{
  Change *change = LB_NEW (Change);

  change->change = json_object_get (content);
  change->revision = lc_config_revision (instance->config);
  change->asked_at = now_of (instance);
  lc_config_announce_change (instance->config, now_of (instance), &instance->config_actions);
  pump_config (instance);
  lx_instance_post (instance, ACCEPT_WAIT, on_commit, change, drop_change);
}
