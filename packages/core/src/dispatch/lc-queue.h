#ifndef LC_QUEUE_H
#define LC_QUEUE_H

#include "lc-heap.h"
#include "lc-types.h"

/* The waiting requests of one pool, in bands of strict priority. Bands are ordered by kind (live
 * calls, service calls, samples), then by the organisation's priority. Bands of calls are further
 * split by the request's priority.
 *
 * A band serves its flows, each with the requests of one or more callers, by start-time fair
 * queueing: each request sent advances the virtual start time of its flow by cost / share. Within a
 * flow, requests with a higher priority are sent first, then those with an earlier latest start,
 * then older ones. */
typedef struct LcQueue LcQueue;
typedef struct LcFlow LcFlow;

/* A request's state in the queue, embedded in the request. */
typedef struct
{
  LcHeapNode ready_node; /* node in the heap LcFlow.ready; in no heap while deferred */
  LcHeapNode drop_node;  /* node in the heap LcFlow.drop_order */
  LbLink deferred_link;  /* link in the list of deferred requests (lc_queue_defer) */
  LcFlow *flow;          /* flow in which the request waits; NULL: it is not in the queue */
  uint64_t sequence;     /* number in order of admission; kept when the request is retried */
  double cost;  /* tokens charged to the flow when the request is sent; 1: unknown, 0: a retry */
  int priority; /* within a flow, requests with a higher priority are sent first */
  LbTime latest_start; /* latest start that still lets the answer finish in time; 0: none */
} LcQueueEntry;

typedef struct
{
  LcRequestKind kind;
  int organisation_priority;
  int priority;
  const char *caller; /* name of the flow, which may combine several callers */
  double share; /* weight of the flow in fair queueing among flows of the same kind; 0 means 1 */
} LcQueueKey;

LcQueue *lc_queue_new (void);
void lc_queue_free (LcQueue *queue);

/* Functions that change the queue. */
void lc_queue_push (LcQueue *queue, const LcQueueKey *key, LcQueueEntry *entry);
void lc_queue_dequeue (LcQueue *queue, LcQueueEntry *entry);
void lc_queue_remove (LcQueue *queue, LcQueueEntry *entry);
void lc_queue_defer (LcQueue *queue, LcQueueEntry *entry);
void lc_queue_restore_deferred (LcQueue *queue);

/* Functions that only read the queue. */
LcQueueEntry *lc_queue_peek (const LcQueue *queue);
LcQueueEntry *lc_queue_find_request_to_drop (const LcQueue *queue, const LcQueueKey *key);
size_t lc_queue_length (const LcQueue *queue);
size_t lc_queue_length_of_kind (const LcQueue *queue, LcRequestKind kind);
size_t lc_queue_count_bands (const LcQueue *queue);
/* Returns the request of the band that is expected to wait longest; NULL if none waits. n_ahead:
 * set to the number of requests that are expected to be sent before it. */
LcQueueEntry *lc_queue_find_longest_wait (const LcQueue *queue, size_t band_index, double *n_ahead);
/* Estimates how many requests are sent before a waiting one; 0: its flow is too long to count. */
double lc_queue_estimate_sends_before (const LcQueue *queue, const LcQueueEntry *entry);
/* Estimates how many waiting requests are sent before a new one with this key. */
double lc_queue_estimate_requests_ahead (const LcQueue *queue, const LcQueueKey *key);
/* Like lc_queue_estimate_requests_ahead, but includes requests that are expected to arrive later
 * and to be sent before. */
double lc_queue_estimate_sends_ahead (const LcQueue *queue, const LcQueueKey *key);

#endif
