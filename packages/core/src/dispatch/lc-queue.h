#ifndef LC_QUEUE_H
#define LC_QUEUE_H

#include "lc-heap.h"
#include "lc-types.h"

/* The waiting requests of one pool, in bands of strict priority: live calls, then service calls,
 * then samples; within a kind by the priority of the organisation, then, except for samples, by the
 * request's own.
 * Within a band, callers share by start-time fair queueing: each caller's flow has a virtual start
 * time that grows by cost over share with every request sent. Within a flow, higher priority goes
 * first, then earlier latest start, then the older request. */
typedef struct LcQueue LcQueue;
typedef struct LcFlow LcFlow;

/* Embedded in the request. */
typedef struct
{
  LcHeapNode ready_node; /* node in the order of sending; not linked while deferred */
  LcHeapNode drop_node;  /* node in the order of dropping */
  LbLink deferred_link;  /* link in the list of requests skipped by lc_queue_defer */
  LcFlow *flow;          /* NULL: not waiting */
  uint64_t sequence;     /* order of admission; a retry keeps its number */
  double cost;           /* charged to the caller when sent, in tokens; 1 if unknown; 0: a retry */
  int priority;          /* larger first within a flow */
  LbTime latest_start;   /* latest start to finish in time; 0: none */
} LcQueueEntry;

typedef struct
{
  LcRequestKind kind;
  int organisation_priority;
  int priority;
  const char *caller; /* name of the flow */
  double share;       /* weight among the callers of the kind; 0: 1 */
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
