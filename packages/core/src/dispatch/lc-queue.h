#ifndef LC_QUEUE_H
#define LC_QUEUE_H

#include "lc-heap.h"
#include "lc-types.h"

/* The waiting requests of one pool. Bands come strictly one after the other: live calls, then calls
 * of services, then samples; of one kind by the priority of their organisation, then by their own.
 * Inside a band callers share by
 * start-time fair queueing: each caller's flow carries a virtual start time that grows by cost over
 * share for every request taken. Inside a flow the larger priority goes first, then the earlier
 * latest start, then the older. */
typedef struct LcQueue LcQueue;
typedef struct LcFlow LcFlow;

/* Lives in the request. */
typedef struct
{
  LcHeapNode first_node;
  LcHeapNode last_node;
  LbLink aside_link;
  LcFlow *flow; /* NULL: not waiting */
  uint64_t sequence;
  double cost;
  int priority;
  LbTime latest_start; /* 0: none */
} LcWaiting;

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
void lc_queue_push (LcQueue *queue, const LcQueueKey *key, LcWaiting *waiting);
void lc_queue_take (LcQueue *queue, LcWaiting *waiting);
void lc_queue_remove (LcQueue *queue, LcWaiting *waiting);
void lc_queue_set_aside (LcQueue *queue, LcWaiting *waiting);
void lc_queue_restore (LcQueue *queue);

/* queries */
LcWaiting *lc_queue_first (const LcQueue *queue);
LcWaiting *lc_queue_victim (const LcQueue *queue, const LcQueueKey *key);
size_t lc_queue_length (const LcQueue *queue);
size_t lc_queue_kind_length (const LcQueue *queue, LcRequestKind kind);
double lc_queue_ahead (const LcQueue *queue, const LcQueueKey *key);

#endif
