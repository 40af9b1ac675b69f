#include "lx-queue.h"

#include "lb-alloc.h"

#include <stdlib.h>

typedef struct
{
  LbTime at;
  uint64_t sequence;
  LxEventHandler handler;
  void *owner;
  void *argument;
  void (*free_argument) (void *argument);
} Event;

struct LxQueue
{
  Event *heap;
  size_t length;
  size_t capacity;
  LbTime now;
  uint64_t sequence;
  uint64_t handled;
};

LxQueue *
lx_queue_new (void)
{
  LxQueue *queue = LB_NEW (LxQueue);

  queue->now = LB_SEC;
  return queue;
}

/* Frees the queue and the arguments of events that have not run. */
void
lx_queue_free (LxQueue *queue)
{
  if (!queue)
    return;
  for (size_t i = 0; i < queue->length; i++)
    if (queue->heap[i].free_argument)
      queue->heap[i].free_argument (queue->heap[i].argument);
  free (queue->heap);
  free (queue);
}

static bool
is_event_before (const Event *a, const Event *b)
{
  return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void
swap_heap_events (Event *a, Event *b)
{
  Event event = *a;

  *a = *b;
  *b = event;
}

static void
sift_up_event (LxQueue *queue, size_t i)
{
  while (i > 0 && is_event_before (&queue->heap[i], &queue->heap[(i - 1) / 2]))
    {
      swap_heap_events (&queue->heap[i], &queue->heap[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
}

static void
sift_down_event (LxQueue *queue, size_t i)
{
  for (;;)
    {
      size_t earliest = i;

      for (size_t child = 2 * i + 1; child <= 2 * i + 2 && child < queue->length; child++)
        if (is_event_before (&queue->heap[child], &queue->heap[earliest]))
          earliest = child;
      if (earliest == i)
        return;
      swap_heap_events (&queue->heap[i], &queue->heap[earliest]);
      i = earliest;
    }
}

void
lx_queue_add_event (LxQueue *queue,
                    LbTime at,
                    LxEventHandler handler,
                    void *owner,
                    void *argument,
                    void (*free_argument) (void *argument))
{
  if (queue->length == queue->capacity)
    {
      queue->capacity = queue->capacity ? 2 * queue->capacity : 256;
      queue->heap = lb_realloc (queue->heap, queue->capacity * sizeof (Event));
    }
  queue->heap[queue->length] = (Event){ .at = at < queue->now ? queue->now : at,
                                        .sequence = queue->sequence++,
                                        .handler = handler,
                                        .owner = owner,
                                        .argument = argument,
                                        .free_argument = free_argument };
  sift_up_event (queue, queue->length++);
}

bool
lx_queue_run_next_event (LxQueue *queue, LbTime until)
{
  if (queue->length == 0 || queue->heap[0].at > until)
    return false;

  Event event = queue->heap[0];
  queue->heap[0] = queue->heap[--queue->length];
  sift_down_event (queue, 0);
  queue->now = event.at;
  queue->handled++;
  event.handler (event.owner, event.argument);
  return true;
}

LbTime
lx_queue_now (const LxQueue *queue)
{
  return queue->now;
}

uint64_t
lx_queue_count_handled_events (const LxQueue *queue)
{
  return queue->handled;
}
