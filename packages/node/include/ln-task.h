#ifndef LN_TASK_H
#define LN_TASK_H

#include "lb-error.h"
#include "lb-list.h"

struct event_base;
typedef struct LnTask LnTask;
typedef struct LnHub LnHub;
typedef struct LnMessage LnMessage;

/* A task owns its sockets, timers and state; nothing else touches them. Tasks talk by messages. */
typedef struct
{
  const char *name;
  void (*receive) (LnTask *task, const LnMessage *message);
  /* New work stops; what runs goes on. */
  void (*drain) (LnTask *task);
  /* True when nothing of this task is in progress. */
  bool (*is_idle) (const LnTask *task);
  void (*free) (LnTask *task);
} LnTaskClass;

struct LnTask
{
  const LnTaskClass *klass; /* first, so that a task can be cast to its type */
  LnHub *hub;
  LbLink link;
};

/* Types are in ln-messages.h. Every message is a struct whose first member is this. */
struct LnMessage
{
  LbLink link;
  int type;
  LnTask *to;                         /* NULL: all tasks */
  void (*clear) (LnMessage *message); /* frees what the message owns; may be NULL */
};

/* The hub owns the tasks of one process and delivers messages in the order they were posted, always
 * from the event loop, never from inside ln_post. */
LnHub *ln_hub_new (struct event_base *base);
void ln_hub_free (LnHub *hub);

void ln_hub_add (LnHub *hub, LnTask *task);
LnTask *ln_hub_find_task (const LnHub *hub, const char *name);
/* Copies size bytes of the message (allocated with lb_malloc) and takes over what it owns. */
void ln_post (LnHub *hub, LnTask *to, const LnMessage *message, size_t size);
void ln_hub_drain (LnHub *hub);
bool ln_hub_is_idle (const LnHub *hub);

/* LnFoo message = { .base = LN_MESSAGE (LN_FOO) }; LN_POST (hub, to, message); */
#define LN_MESSAGE(t)                                                                              \
  {                                                                                                \
    .type = (t)                                                                                    \
  }
#define LN_POST(hub, to, message) ln_post ((hub), (to), &(message).base, sizeof (message))

#endif
