#ifndef LN_TASK_H
#define LN_TASK_H

#include "lb-error.h"
#include "lb-list.h"

struct event_base;
typedef struct LnTask LnTask;
typedef struct LnHub LnHub;
typedef struct LnMessage LnMessage;

/* A task (an actor) has exclusive use of its sockets, timers and state. Tasks communicate only by
 * messages. */
typedef struct
{
  const char *name;
  void (*receive) (LnTask *task, const LnMessage *message);
  /* Stops accepting new work; work in progress continues. */
  void (*drain) (LnTask *task);
  /* Called once the drain time is over: accepts no more requests; those in progress continue. */
  void (*stop_accepting) (LnTask *task);
  /* True when the task has no work in progress. */
  bool (*is_idle) (const LnTask *task);
  void (*free) (LnTask *task);
} LnTaskClass;

/* Base of all tasks. Must be the first member of a task's struct, so that an LnTask pointer can be
 * cast to the type of the task. */
struct LnTask
{
  const LnTaskClass *klass;
  LnHub *hub;
  LbLink link;
};

/* Header of a message; must be the first member of each message's struct. The message types are in
 * ln-messages.h. */
struct LnMessage
{
  LbLink link;
  int type;
  LnTask *to;                         /* receiver; NULL: all tasks */
  void (*clear) (LnMessage *message); /* frees what the message owns; NULL: it owns nothing */
};

/* The hub owns the tasks of a process. It delivers messages from the event loop, in the order of
 * posting, and never from within ln_post. */
LnHub *ln_hub_new (struct event_base *base);
void ln_hub_free (LnHub *hub);

void ln_hub_add_task (LnHub *hub, LnTask *task);
/* Returns NULL when no task has this name. */
LnTask *ln_hub_find_task (const LnHub *hub, const char *name);
/* Posts a copy of the message, which has size bytes, and takes ownership of what the message owns.
 * to: the receiver; NULL: all tasks. */
void ln_post (LnHub *hub, LnTask *to, const LnMessage *message, size_t size);
void ln_hub_drain_tasks (LnHub *hub);
void ln_hub_stop_accepting (LnHub *hub);
bool ln_hub_is_idle (const LnHub *hub);

/* Usage: LnFoo message = { .base = LN_MESSAGE (LN_FOO) }; LN_POST (hub, to, message); */
#define LN_MESSAGE(t)                                                                              \
  {                                                                                                \
    .type = (t)                                                                                    \
  }
#define LN_POST(hub, to, message) ln_post ((hub), (to), &(message).base, sizeof (message))

#endif
