#ifndef LC_QUEUE_H
#define LC_QUEUE_H

#include "lc-heap.h"
#include "lc-types.h"

/* The waiting requests of one pool, in bands of strict priority: live calls, then service calls,
 * then samples; within a kind by the priority of the organisation, then by the request's own.
 * Within a band, callers share by start-time fair queueing: each caller's flow has a virtual start
 * time that grows by cost over share with every request sent. Within a flow, higher priority goes
 * first, then earlier latest start, then the older request. */
typedef struct LcQueue LcQueue;
typedef struct LcFlow LcFlow;

/* Embedded in the request. */
typedef struct
{
  LcHeapNode ready_node;
  LcHeapNode shed_node;
  LbLink deferred_link;
  LcFlow *flow; /* NULL: not waiting */
  uint64_t sequence;
  double cost;
  int priority;
  LbTime latest_start; /* 0: none */
} LcQueueEntry;

typedef struct
{
  LcRequestKind kind;
  int organisation_priority;
  int priority;
  const char *caller;
  double share; /* weight among the callers of the kind; 0: 1 */
} LcQueueKey;

LcQueue *lc_queue_new (void);
void lc_queue_free (LcQueue *queue);

/* commands */
void lc_queue_push (LcQueue *queue, const LcQueueKey *key, LcQueueEntry *entry);
void lc_queue_dequeue (LcQueue *queue, LcQueueEntry *entry);
void lc_queue_remove (LcQueue *queue, LcQueueEntry *entry);
void lc_queue_defer (LcQueue *queue, LcQueueEntry *entry);
void lc_queue_restore_deferred (LcQueue *queue);

/* queries */
LcQueueEntry *lc_queue_peek (const LcQueue *queue);
LcQueueEntry *lc_queue_find_request_to_drop (const LcQueue *queue, const LcQueueKey *key);
size_t lc_queue_length (const LcQueue *queue);
size_t lc_queue_length_of_kind (const LcQueue *queue, LcRequestKind kind);
double lc_queue_estimate_ahead (const LcQueue *queue, const LcQueueKey *key);

#endif
