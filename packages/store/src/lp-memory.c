#include "lp-platform.h"

#include "lb-alloc.h"
#include "lb-list.h"
#include "lp-store.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

typedef enum
{
  REPLY_TRANSACT,
  REPLY_ROWS,
  REPLY_OBJECT,
  REPLY_INSTANCES,
  REPLY_WEIGHTS
} ReplyType;

/* A reply that waits for the event loop to deliver it. Its rows and bytes are copies, because the
 * store may change before the delivery. */
typedef struct
{
  LbLink link;
  ReplyType type;
  LbErrorCode error;
  LpRow *rows; /* rows to deliver, which own their keys and values */
  size_t n_rows;
  char *bytes;
  size_t length;
  int64_t version;
  union
  {
    LpTransactDone transact;
    LpRowsDone rows;
    LpObjectDone object;
    LpInstancesDone instances;
    LpWeightsDone weights;
  } done;
  void *user;
} Reply;

typedef struct
{
  LpPlatform platform;
  LpStore *store;
  LbList replies;
  struct event *delivery_event;
} LpMemory;

static LpMemory *
get_memory_platform (LpPlatform *platform)
{
  return (LpMemory *)platform;
}

static void
reply_free (Reply *reply)
{
  for (size_t i = 0; i < reply->n_rows; i++)
    {
      free ((char *)reply->rows[i].key);
      free ((char *)reply->rows[i].value);
    }
  free (reply->rows);
  free (reply->bytes);
  free (reply);
}

static void
add_row_to_reply (Reply *reply, const LpRow *row)
{
  reply->rows = lb_realloc (reply->rows, (reply->n_rows + 1) * sizeof (LpRow));
  reply->rows[reply->n_rows++] = (LpRow){ .key = lb_strdup (row->key),
                                          .value = row->value ? lb_strdup (row->value) : NULL,
                                          .version = row->version };
}

static Reply *
reply_new (LpMemory *memory, ReplyType type, void *user)
{
  Reply *reply = LB_NEW (Reply);

  reply->type = type;
  reply->user = user;
  lb_list_append (&memory->replies, &reply->link);
  event_active (memory->delivery_event, EV_TIMEOUT, 0);
  return reply;
}

static void
invoke_reply_callback (const Reply *reply)
{
  static const LpInstanceList no_instances = { 0 };

  switch (reply->type)
    {
    case REPLY_TRANSACT:
      reply->done.transact (reply->error, reply->rows, reply->user);
      break;
    case REPLY_ROWS:
      reply->done.rows (reply->error, reply->rows, reply->n_rows, reply->user);
      break;
    case REPLY_OBJECT:
      reply->done.object (reply->error, reply->bytes, reply->length, reply->user);
      break;
    case REPLY_INSTANCES:
      reply->done.instances (reply->error, &no_instances, reply->user);
      break;
    case REPLY_WEIGHTS:
      reply->done.weights (reply->error, reply->version, reply->user);
      break;
    }
}

/* Delivers the replies that are queued now. Replies to calls that a callback makes are delivered in
 * the event loop's next iteration. */
static void
deliver_queued_replies (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LpMemory *memory = user;

  for (size_t n = memory->replies.length; n > 0; n--)
    {
      Reply *reply = LB_CONTAINER (lb_list_pop (&memory->replies), Reply, link);
      invoke_reply_callback (reply);
      reply_free (reply);
    }
}

static void
memory_platform_free (LpPlatform *platform)
{
  LpMemory *memory = get_memory_platform (platform);
  LbLink *link;

  while ((link = lb_list_pop (&memory->replies)))
    reply_free (LB_CONTAINER (link, Reply, link));
  event_free (memory->delivery_event);
  lp_store_free (memory->store);
  free (memory);
}

static void
memory_transact (LpPlatform *platform,
                 const LpTransaction *transaction,
                 LpPriority priority,
                 LpTransactDone done,
                 void *user)
{
  (void)priority;
  LpMemory *memory = get_memory_platform (platform);
  Reply *reply = reply_new (memory, REPLY_TRANSACT, user);
  LpRow row;

  reply->done.transact = done;
  reply->error = lp_store_transact (memory->store, transaction, &row);
  add_row_to_reply (reply, &row);
}

static void
memory_get_row (LpPlatform *platform, const char *key, LpRowsDone done, void *user)
{
  LpMemory *memory = get_memory_platform (platform);
  Reply *reply = reply_new (memory, REPLY_ROWS, user);
  const LpRow *row = lp_store_get_row (memory->store, key);

  reply->done.rows = done;
  if (row)
    add_row_to_reply (reply, row);
  else
    reply->error = LB_ERROR_NOT_FOUND;
}

static void
memory_scan_rows (LpPlatform *platform, const char *prefix, LpRowsDone done, void *user)
{
  LpMemory *memory = get_memory_platform (platform);
  Reply *reply = reply_new (memory, REPLY_ROWS, user);

  reply->done.rows = done;
  for (const LpRow *row = lp_store_find_next_row (memory->store, prefix, NULL); row;
       row = lp_store_find_next_row (memory->store, prefix, row->key))
    add_row_to_reply (reply, row);
}

static void
memory_put_object (LpPlatform *platform,
                   const char *key,
                   const char *bytes,
                   size_t length,
                   LpObjectDone done,
                   void *user)
{
  LpMemory *memory = get_memory_platform (platform);
  Reply *reply = reply_new (memory, REPLY_OBJECT, user);

  reply->done.object = done;
  lp_store_put_object (memory->store, key, bytes, length);
}

static void
memory_get_object (LpPlatform *platform, const char *key, LpObjectDone done, void *user)
{
  LpMemory *memory = get_memory_platform (platform);
  Reply *reply = reply_new (memory, REPLY_OBJECT, user);
  const char *bytes = lp_store_get_object (memory->store, key, &reply->length);

  reply->done.object = done;
  if (bytes)
    reply->bytes = lb_memdup (bytes, reply->length);
  else
    reply->error = LB_ERROR_NOT_FOUND;
}

static void
memory_list_instances (LpPlatform *platform, LpInstancesDone done, void *user)
{
  Reply *reply = reply_new (get_memory_platform (platform), REPLY_INSTANCES, user);

  reply->done.instances = done;
}

static void
memory_get_weight_version (LpPlatform *platform, const char *pool, LpWeightsDone done, void *user)
{
  LpMemory *memory = get_memory_platform (platform);
  Reply *reply = reply_new (memory, REPLY_WEIGHTS, user);

  reply->done.weights = done;
  reply->version = lp_store_get_weight_version (memory->store, pool);
  if (reply->version == 0)
    reply->error = LB_ERROR_NOT_FOUND;
}

static const LpPlatformClass memory_class = {
  .name = "memory",
  .free = memory_platform_free,
  .transact = memory_transact,
  .get = memory_get_row,
  .scan = memory_scan_rows,
  .put_object = memory_put_object,
  .get_object = memory_get_object,
  .list_instances = memory_list_instances,
  .get_weights = memory_get_weight_version,
};

/* Creates a platform in this process's memory, for a single instance and for tests. Its data is
 * lost when it is freed, and its list of instances is always empty. */
LpPlatform *
lp_memory_new (struct event_base *base)
{
  LpMemory *memory = LB_NEW (LpMemory);

  memory->platform.klass = &memory_class;
  memory->store = lp_store_new ();
  lb_list_init (&memory->replies);
  memory->delivery_event = event_new (base, -1, 0, deliver_queued_replies, memory);
  return &memory->platform;
}
