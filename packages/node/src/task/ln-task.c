#include "ln-task.h"

#include "ln-stall.h"

#include "lb-alloc.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

struct LnHub
{
  struct event *deliver_event;
  LbList tasks;
  LbList queue;
};

static void
message_free (LnMessage *message)
{
  if (message->clear)
    message->clear (message);
  free (message);
}

static void
deliver_message (LnHub *hub, const LnMessage *message)
{
  if (message->to)
    {
      ln_stall_set_activity (message->to->klass->name);
      message->to->klass->receive (message->to, message);
      return;
    }
  LB_LIST_FOREACH (&hub->tasks, LnTask, link, task)
  {
    ln_stall_set_activity (task->klass->name);
    task->klass->receive (task, message);
  }
}

/* Delivers only the messages that are queued at the start. Messages posted by their receivers wait
 * for the next iteration of the event loop, so that socket events are handled in between. */
static void
deliver_queued_messages (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnHub *hub = user;

  for (size_t n_left = hub->queue.length; n_left > 0; n_left--)
    {
      LnMessage *message = LB_CONTAINER (lb_list_pop (&hub->queue), LnMessage, link);
      deliver_message (hub, message);
      message_free (message);
    }
  if (!lb_list_is_empty (&hub->queue))
    event_active (hub->deliver_event, EV_TIMEOUT, 0);
}

LnHub *
ln_hub_new (struct event_base *base)
{
  LnHub *hub = LB_NEW (LnHub);

  hub->deliver_event = event_new (base, -1, 0, deliver_queued_messages, hub);
  lb_list_init (&hub->tasks);
  lb_list_init (&hub->queue);
  return hub;
}

/* Frees the tasks in reverse order, the last added task first. */
void
ln_hub_free (LnHub *hub)
{
  LbLink *link;

  if (!hub)
    return;
  while ((link = lb_list_pop (&hub->queue)))
    message_free (LB_CONTAINER (link, LnMessage, link));
  while (!lb_list_is_empty (&hub->tasks))
    {
      LnTask *task = LB_CONTAINER (hub->tasks.head.prev, LnTask, link);
      lb_list_remove (&hub->tasks, &task->link);
      task->klass->free (task);
    }
  while ((link = lb_list_pop (&hub->queue)))
    message_free (LB_CONTAINER (link, LnMessage, link));
  event_free (hub->deliver_event);
  free (hub);
}

void
ln_hub_add_task (LnHub *hub, LnTask *task)
{
  task->hub = hub;
  lb_list_append (&hub->tasks, &task->link);
}

LnTask *
ln_hub_find_task (const LnHub *hub, const char *name)
{
  LB_LIST_FOREACH (&hub->tasks, LnTask, link, task)
  {
    if (strcmp (task->klass->name, name) == 0)
      return task;
  }
  return NULL;
}

void
ln_post (LnHub *hub, LnTask *to, const LnMessage *message, size_t size)
{
  LnMessage *copy = lb_memdup (message, size);

  copy->to = to;
  lb_list_append (&hub->queue, &copy->link);
  event_active (hub->deliver_event, EV_TIMEOUT, 0);
}

void
ln_hub_drain_tasks (LnHub *hub)
{
  LB_LIST_FOREACH (&hub->tasks, LnTask, link, task)
  {
    if (task->klass->drain)
      task->klass->drain (task);
  }
}

void
ln_hub_stop_accepting (LnHub *hub)
{
  LB_LIST_FOREACH (&hub->tasks, LnTask, link, task)
  {
    if (task->klass->stop_accepting)
      task->klass->stop_accepting (task);
  }
}

bool
ln_hub_is_idle (const LnHub *hub)
{
  if (!lb_list_is_empty (&hub->queue))
    return false;
  LB_LIST_FOREACH (&hub->tasks, LnTask, link, task)
  {
    if (task->klass->is_idle && !task->klass->is_idle (task))
      return false;
  }
  return true;
}
