#include "lc-queue.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define MAX_PRIORITY 10

/* Number of requests of a band after which the counts of a flow's share are halved, so that the
 * share follows the arrivals of other flows. */
#define MAX_SENDS_OF_SHARE_WINDOW 128
/* Maximum length of a flow in which the requests before another one are counted; bounds the cost.
 */
#define MAX_COUNTED_REQUESTS 256
/* Number of requests of a flow that must have been sent before its share counts more than the
 * requests that wait. */
#define MIN_SENDS_OF_FLOW 8

/* Position of a band in the order in which bands are served. Compared member by member, smaller
 * values first. */
typedef struct
{
  int kind;
  int organisation;
  int level;
} BandRank;

/* The waiting requests of one rank. All of them are sent before those of the next band; within the
 * band, flows share by start-time fair queueing. */
typedef struct
{
  BandRank rank;
  LcHeap active;  /* flows with ready requests, smallest next_start first */
  LcHeap backlog; /* flows with requests, largest backlog relative to its share first */
  LcHeap idle;    /* flows without requests, smallest next_start first */
  LcFlow *flows;
  double virtual_time;     /* largest virtual start time of a request sent */
  double backlogged_share; /* sum of the shares of the flows in backlog */
  size_t length;
  uint64_t n_sent; /* number of requests sent in total */
} Band;

/* The waiting requests of one flow in one band. */
struct LcFlow
{
  UT_hash_handle hh;
  LcHeapNode active_node;
  LcHeapNode backlog_node;
  LcHeapNode idle_node;
  Band *band;
  LcHeap ready;      /* heap of requests that are not deferred; the next to send is on top */
  LcHeap drop_order; /* heap of all requests; the first to drop is on top */
  double share;
  double next_start; /* virtual start time of the flow's next request */
  /* Number of requests of the flow, and of its band, that were sent while the flow had waiting
   * requests; halved from time to time. */
  double n_sent_of_flow;
  double n_sent_of_band;
  uint64_t counted_until; /* Band.n_sent up to which n_sent_of_band counts */
  LcRequestKind kind;
  LbName caller;
};

struct LcQueue
{
  Band **bands; /* sorted by rank; empty bands are kept */
  size_t n_bands;
  LbList deferred; /* requests (LcQueueEntry) that lc_queue_defer hides from lc_queue_peek */
  size_t length;
  size_t kind_length[LC_N_KINDS];
};

static bool
is_request_sent_before (const LcQueueEntry *a, const LcQueueEntry *b)
{
  if (a->priority != b->priority)
    return a->priority > b->priority;
  if (a->latest_start != b->latest_start)
    return a->latest_start < b->latest_start;
  return a->sequence < b->sequence;
}

static bool
is_ready_request_sent_before (const LcHeapNode *a, const LcHeapNode *b)
{
  return is_request_sent_before (LC_HEAP_ENTRY (a, LcQueueEntry, ready_node),
                                 LC_HEAP_ENTRY (b, LcQueueEntry, ready_node));
}

static bool
is_request_dropped_before (const LcHeapNode *a, const LcHeapNode *b)
{
  return is_request_sent_before (LC_HEAP_ENTRY (b, LcQueueEntry, drop_node),
                                 LC_HEAP_ENTRY (a, LcQueueEntry, drop_node));
}

static bool
is_active_flow_start_earlier (const LcHeapNode *a, const LcHeapNode *b)
{
  return LC_HEAP_ENTRY (a, LcFlow, active_node)->next_start
         < LC_HEAP_ENTRY (b, LcFlow, active_node)->next_start;
}

static bool
is_idle_flow_start_earlier (const LcHeapNode *a, const LcHeapNode *b)
{
  return LC_HEAP_ENTRY (a, LcFlow, idle_node)->next_start
         < LC_HEAP_ENTRY (b, LcFlow, idle_node)->next_start;
}

static double
compute_relative_backlog (const LcFlow *flow)
{
  return (double)flow->drop_order.length / flow->share;
}

static bool
has_larger_relative_backlog (const LcHeapNode *a, const LcHeapNode *b)
{
  return compute_relative_backlog (LC_HEAP_ENTRY (a, LcFlow, backlog_node))
         > compute_relative_backlog (LC_HEAP_ENTRY (b, LcFlow, backlog_node));
}

static int
clamp_and_invert_priority (int priority)
{
  if (priority > MAX_PRIORITY)
    priority = MAX_PRIORITY;
  if (priority < -MAX_PRIORITY)
    priority = -MAX_PRIORITY;
  return MAX_PRIORITY - priority;
}

/* Returns the rank of the band for requests with this key. All samples of organisations with equal
 * priority share one band, so that no trainer can overtake another by raising its own priority. */
static BandRank
compute_band_rank (const LcQueueKey *key)
{
  static const int kinds[] = { [LC_KIND_LIVE] = 0, [LC_KIND_SERVICE] = 1, [LC_KIND_SAMPLE] = 2 };

  return (BandRank){ .kind = kinds[key->kind],
                     .organisation = clamp_and_invert_priority (key->organisation_priority),
                     .level = key->kind == LC_KIND_SAMPLE
                                  ? 0
                                  : clamp_and_invert_priority (key->priority) };
}

static bool
is_band_rank_before (const BandRank *a, const BandRank *b)
{
  if (a->kind != b->kind)
    return a->kind < b->kind;
  if (a->organisation != b->organisation)
    return a->organisation < b->organisation;
  return a->level < b->level;
}

/* Returns the index of the band with the rank, or at which such a band would be inserted. */
static size_t
find_band_index (const LcQueue *queue, const BandRank *rank)
{
  size_t index = 0;

  while (index < queue->n_bands && is_band_rank_before (&queue->bands[index]->rank, rank))
    index++;
  return index;
}

static Band *
get_band_if_rank_equals (const LcQueue *queue, size_t index, const BandRank *rank)
{
  Band *band = index < queue->n_bands ? queue->bands[index] : NULL;

  return band && !is_band_rank_before (rank, &band->rank) ? band : NULL;
}

static Band *
band_new (const BandRank *rank)
{
  Band *band = LB_NEW (Band);

  band->rank = *rank;
  lc_heap_init (&band->active, is_active_flow_start_earlier);
  lc_heap_init (&band->backlog, has_larger_relative_backlog);
  lc_heap_init (&band->idle, is_idle_flow_start_earlier);
  return band;
}

static void
flow_free (LcFlow *flow)
{
  HASH_DELETE (hh, flow->band->flows, flow);
  lc_heap_remove (&flow->band->idle, &flow->idle_node);
  lc_heap_clear (&flow->ready);
  lc_heap_clear (&flow->drop_order);
  free (flow);
}

static void
band_free (Band *band)
{
  LcFlow *flow = NULL;
  LcFlow *next = NULL;

  HASH_ITER (hh, band->flows, flow, next)
  {
    flow_free (flow);
  }
  lc_heap_clear (&band->active);
  lc_heap_clear (&band->backlog);
  lc_heap_clear (&band->idle);
  free (band);
}

LcQueue *
lc_queue_new (void)
{
  LcQueue *queue = LB_NEW (LcQueue);

  lb_list_init (&queue->deferred);
  return queue;
}

/* Does not free the waiting requests, which LcDispatch owns. */
void
lc_queue_free (LcQueue *queue)
{
  if (!queue)
    return;
  for (size_t i = 0; i < queue->n_bands; i++)
    band_free (queue->bands[i]);
  free (queue->bands);
  free (queue);
}

static LcFlow *
find_flow (const Band *band, const char *caller)
{
  LcFlow *flow = NULL;

  if (band)
    HASH_FIND_STR (band->flows, caller, flow);
  return flow;
}

static LcFlow *
flow_new (Band *band, const LcQueueKey *key)
{
  LcFlow *flow = LB_NEW (LcFlow);

  LB_COPY (flow->caller, key->caller);
  flow->band = band;
  flow->kind = key->kind;
  lc_heap_init (&flow->ready, is_ready_request_sent_before);
  lc_heap_init (&flow->drop_order, is_request_dropped_before);
  HASH_ADD_STR (band->flows, caller, flow);
  return flow;
}

/* Called when the flow gets its first waiting request. Raises next_start to the band's virtual
 * time, so that a flow earns no credit while idle. A later next_start stays, so that a flow can't
 * gain by letting its queue run empty. */
static void
add_flow_to_backlog (LcFlow *flow, double share)
{
  Band *band = flow->band;

  lc_heap_remove (&band->idle, &flow->idle_node);
  flow->share = share > 0 ? share : 1;
  if (flow->next_start < band->virtual_time)
    flow->next_start = band->virtual_time;
  band->backlogged_share += flow->share;
  flow->n_sent_of_flow = 0;
  flow->n_sent_of_band = 0;
  flow->counted_until = band->n_sent;
  lc_heap_push (&band->backlog, &flow->backlog_node);
}

/* Frees the idle flows whose next_start is not later than the band's virtual time: a new flow would
 * get the same next_start. Frees all idle flows if the band is empty. */
static void
free_caught_up_idle_flows (Band *band)
{
  LcHeapNode *node = NULL;

  while ((node = lc_heap_top (&band->idle)))
    {
      LcFlow *flow = LC_HEAP_ENTRY (node, LcFlow, idle_node);

      if (flow->next_start > band->virtual_time && band->backlog.length > 0)
        return;
      flow_free (flow);
    }
}

/* Called when the last waiting request of the flow was removed; may free the flow. */
static void
remove_flow_from_backlog (LcFlow *flow)
{
  Band *band = flow->band;

  band->backlogged_share -= flow->share;
  lc_heap_remove (&band->backlog, &flow->backlog_node);
  lc_heap_push (&band->idle, &flow->idle_node);
  free_caught_up_idle_flows (band);
}

static void
mark_request_ready (LcFlow *flow, LcQueueEntry *entry)
{
  lc_heap_push (&flow->ready, &entry->ready_node);
  if (!lc_heap_node_is_in_heap (&flow->active_node))
    lc_heap_push (&flow->band->active, &flow->active_node);
}

static void
unmark_request_ready (LcFlow *flow, LcQueueEntry *entry)
{
  lc_heap_remove (&flow->ready, &entry->ready_node);
  if (flow->ready.length == 0)
    lc_heap_remove (&flow->band->active, &flow->active_node);
}

static Band *
find_or_add_band (LcQueue *queue, const LcQueueKey *key)
{
  BandRank rank = compute_band_rank (key);
  size_t index = find_band_index (queue, &rank);
  Band *band = get_band_if_rank_equals (queue, index, &rank);

  if (band)
    return band;
  queue->bands = lb_realloc (queue->bands, (queue->n_bands + 1) * sizeof (Band *));
  memmove (&queue->bands[index + 1], &queue->bands[index],
           (queue->n_bands - index) * sizeof (Band *));
  queue->n_bands++;
  queue->bands[index] = band_new (&rank);
  return queue->bands[index];
}

/* Adds a request to the queue. A retry keeps its sequence number, which places it before newer
 * requests of its flow, and has cost 0, so it is not charged twice. */
void
lc_queue_push (LcQueue *queue, const LcQueueKey *key, LcQueueEntry *entry)
{
  Band *band = find_or_add_band (queue, key);
  LcFlow *flow = find_flow (band, key->caller);

  if (!flow)
    flow = flow_new (band, key);
  if (flow->drop_order.length == 0)
    add_flow_to_backlog (flow, key->share);
  entry->flow = flow;
  entry->priority = key->priority;
  mark_request_ready (flow, entry);
  lc_heap_push (&flow->drop_order, &entry->drop_node);
  lc_heap_reposition_node (&band->backlog, &flow->backlog_node);
  band->length++;
  queue->length++;
  queue->kind_length[flow->kind]++;
}

/* Removes a request that won't be sent, without charging its flow. No-op if it is not waiting. */
void
lc_queue_remove (LcQueue *queue, LcQueueEntry *entry)
{
  LcFlow *flow = entry->flow;

  if (!flow)
    return;
  if (lb_link_is_in_list (&entry->deferred_link))
    lb_list_remove (&queue->deferred, &entry->deferred_link);
  else
    unmark_request_ready (flow, entry);
  lc_heap_remove (&flow->drop_order, &entry->drop_node);
  entry->flow = NULL;
  flow->band->length--;
  queue->length--;
  queue->kind_length[flow->kind]--;
  if (flow->drop_order.length == 0)
    remove_flow_from_backlog (flow);
  else
    lc_heap_reposition_node (&flow->band->backlog, &flow->backlog_node);
}

static void
count_send_of_flow (LcFlow *flow)
{
  Band *band = flow->band;

  band->n_sent++;
  flow->n_sent_of_flow++;
  flow->n_sent_of_band += (double)(band->n_sent - flow->counted_until);
  flow->counted_until = band->n_sent;
  if (flow->n_sent_of_band <= MAX_SENDS_OF_SHARE_WINDOW)
    return;
  flow->n_sent_of_flow /= 2;
  flow->n_sent_of_band /= 2;
}

/* Removes a request that is about to be sent, and charges its cost to its flow. */
void
lc_queue_dequeue (LcQueue *queue, LcQueueEntry *entry)
{
  LcFlow *flow = entry->flow;
  Band *band = flow->band;

  count_send_of_flow (flow);
  if (flow->next_start > band->virtual_time)
    band->virtual_time = flow->next_start;
  flow->next_start += entry->cost / flow->share;
  if (lc_heap_node_is_in_heap (&flow->active_node))
    lc_heap_reposition_node (&band->active, &flow->active_node);
  lc_queue_remove (queue, entry);
}

/* Hides a request from lc_queue_peek until lc_queue_restore_deferred: no endpoint can take the
 * request now, but others behind it may have one. */
void
lc_queue_defer (LcQueue *queue, LcQueueEntry *entry)
{
  unmark_request_ready (entry->flow, entry);
  lb_list_append (&queue->deferred, &entry->deferred_link);
}

void
lc_queue_restore_deferred (LcQueue *queue)
{
  LbLink *link = NULL;

  while ((link = lb_list_pop (&queue->deferred)))
    {
      LcQueueEntry *entry = LB_CONTAINER (link, LcQueueEntry, deferred_link);

      mark_request_ready (entry->flow, entry);
    }
}

/* Returns the request to send next; NULL if all waiting requests are deferred or none waits. */
LcQueueEntry *
lc_queue_peek (const LcQueue *queue)
{
  for (size_t i = 0; i < queue->n_bands; i++)
    {
      LcHeapNode *node = lc_heap_top (&queue->bands[i]->active);

      if (node)
        return LC_HEAP_ENTRY (lc_heap_top (&LC_HEAP_ENTRY (node, LcFlow, active_node)->ready),
                              LcQueueEntry, ready_node);
    }
  return NULL;
}

static double
compute_relative_backlog_with_new_request (const Band *band, const LcQueueKey *key)
{
  const LcFlow *flow = find_flow (band, key->caller);
  double share = key->share > 0 ? key->share : 1;

  return ((flow ? (double)flow->drop_order.length : 0) + 1) / share;
}

/* Returns the request to drop from a full queue for a new one. This is the last request of the flow
 * with the largest backlog relative to its share, in the last band with requests. Returns NULL if
 * the new request is the one to drop. */
LcQueueEntry *
lc_queue_find_request_to_drop (const LcQueue *queue, const LcQueueKey *key)
{
  BandRank rank = compute_band_rank (key);
  size_t own_index = find_band_index (queue, &rank);
  const Band *own_band = get_band_if_rank_equals (queue, own_index, &rank);

  for (size_t i = queue->n_bands; i-- > own_index;)
    {
      const Band *band = queue->bands[i];

      if (band->length == 0)
        continue;

      LcFlow *flow = LC_HEAP_ENTRY (lc_heap_top (&band->backlog), LcFlow, backlog_node);

      if (band == own_band
          && compute_relative_backlog (flow)
                 <= compute_relative_backlog_with_new_request (band, key))
        return NULL;
      return LC_HEAP_ENTRY (lc_heap_top (&flow->drop_order), LcQueueEntry, drop_node);
    }
  return NULL;
}

size_t
lc_queue_length (const LcQueue *queue)
{
  return queue->length;
}

size_t
lc_queue_length_of_kind (const LcQueue *queue, LcRequestKind kind)
{
  return queue->kind_length[kind];
}

/* A position in the queue: behind n_of_flow requests of a flow. */
typedef struct
{
  size_t band_index;  /* index of the position's band, or at which it would be inserted */
  const Band *band;   /* NULL: there is no such band yet */
  const LcFlow *flow; /* NULL: there is no such flow yet */
  double share;       /* share of the flow */
  double n_of_flow;   /* number of the flow's requests before the position */
  double n_of_band;   /* number of the band's other requests */
} Position;

/* Returns the position of a new request. */
static Position
find_position_of_new_request (const LcQueue *queue, const LcQueueKey *key)
{
  BandRank rank = compute_band_rank (key);
  Position position
      = { .band_index = find_band_index (queue, &rank), .share = key->share > 0 ? key->share : 1 };

  position.band = get_band_if_rank_equals (queue, position.band_index, &rank);
  position.flow = find_flow (position.band, key->caller);
  if (position.flow)
    position.n_of_flow = (double)position.flow->drop_order.length;
  if (position.band)
    position.n_of_band = (double)position.band->length;
  return position;
}

static double
count_requests_of_earlier_bands (const LcQueue *queue, const Position *position)
{
  double n = 0;

  for (size_t i = 0; i < position->band_index; i++)
    n += (double)queue->bands[i]->length;
  return n;
}

/* Estimates how many waiting requests are sent before a position: all of the earlier bands, and
 * those of its own band that fair queueing sends before. A flow gets the fraction share / active of
 * the band's sends, so the band sends active / share requests for each one of the flow. */
static double
estimate_requests_before_position (const LcQueue *queue, const Position *position)
{
  const LcFlow *flow = position->flow;
  double ahead = count_requests_of_earlier_bands (queue, position);

  if (!position->band)
    return ahead;

  double active
      = position->band->backlogged_share + (flow && flow->drop_order.length ? 0 : position->share);
  double ahead_in_band = position->n_of_flow * active / position->share
                         + (active - position->share) / position->share;

  return ahead + (ahead_in_band < position->n_of_band ? ahead_in_band : position->n_of_band);
}

/* Like estimate_requests_before_position, but includes requests that have yet to arrive and
 * overtake the flow: the flow's requests take the part of the band's sends that they got lately. A
 * flow that sends far more than others is overtaken by all others, which rarely wait and so are not
 * counted among the waiting requests. */
static double
estimate_sends_before_position (const LcQueue *queue, const Position *position)
{
  const LcFlow *flow = position->flow;
  double ahead = estimate_requests_before_position (queue, position);

  if (!flow || flow->drop_order.length == 0)
    return ahead;

  double n_sent_of_band = flow->n_sent_of_band + (double)(flow->band->n_sent - flow->counted_until);
  double ahead_of_flow = count_requests_of_earlier_bands (queue, position)
                         + position->n_of_flow * (n_sent_of_band + 1) / (flow->n_sent_of_flow + 1);

  return ahead_of_flow > ahead ? ahead_of_flow : ahead;
}

double
lc_queue_estimate_requests_ahead (const LcQueue *queue, const LcQueueKey *key)
{
  Position position = find_position_of_new_request (queue, key);

  return estimate_requests_before_position (queue, &position);
}

double
lc_queue_estimate_sends_ahead (const LcQueue *queue, const LcQueueKey *key)
{
  Position position = find_position_of_new_request (queue, key);

  return estimate_sends_before_position (queue, &position);
}

size_t
lc_queue_count_bands (const LcQueue *queue)
{
  return queue->n_bands;
}

/* Like estimate_sends_before_position, but weights the sends of the flow with MIN_SENDS_OF_FLOW
 * sends before which only requests that wait already are sent, since few sends do not show how many
 * requests overtake. A flow that has just begun to wait is overtaken by the backlog of the
 * others, and then no more. */
static double
estimate_sends_before_position_cautiously (const LcQueue *queue, const Position *position)
{
  const LcFlow *flow = position->flow;
  double ahead = estimate_requests_before_position (queue, position);

  if (position->n_of_flow <= 0)
    return ahead;

  double earlier_bands = count_requests_of_earlier_bands (queue, position);
  double n_sent_of_band = flow->n_sent_of_band + (double)(flow->band->n_sent - flow->counted_until)
                          + MIN_SENDS_OF_FLOW * (ahead - earlier_bands) / position->n_of_flow;
  double ahead_of_flow
      = earlier_bands
        + position->n_of_flow * n_sent_of_band / (flow->n_sent_of_flow + MIN_SENDS_OF_FLOW);

  return ahead_of_flow > ahead ? ahead_of_flow : ahead;
}

static double
estimate_sends_before_waiting_request (const LcQueue *queue, const LcFlow *flow, size_t n_of_flow)
{
  const Band *band = flow->band;
  const Position position = { .band_index = find_band_index (queue, &band->rank),
                              .band = band,
                              .flow = flow,
                              .share = flow->share,
                              .n_of_flow = (double)n_of_flow,
                              .n_of_band = (double)band->length - 1 };

  return estimate_sends_before_position_cautiously (queue, &position);
}

/* The last request of the flow with the largest backlog relative to its share waits longest. */
LcQueueEntry *
lc_queue_find_longest_wait (const LcQueue *queue, size_t band_index, double *n_ahead)
{
  LcHeapNode *node = lc_heap_top (&queue->bands[band_index]->backlog);

  if (!node)
    return NULL;

  const LcFlow *flow = LC_HEAP_ENTRY (node, LcFlow, backlog_node);

  *n_ahead = estimate_sends_before_waiting_request (queue, flow, flow->drop_order.length - 1);
  return LC_HEAP_ENTRY (lc_heap_top (&flow->drop_order), LcQueueEntry, drop_node);
}

double
lc_queue_estimate_sends_before (const LcQueue *queue, const LcQueueEntry *entry)
{
  const LcFlow *flow = entry->flow;
  size_t n_of_flow = 0;

  if (flow->drop_order.length > MAX_COUNTED_REQUESTS)
    return 0;
  for (size_t i = 0; i < flow->drop_order.length; i++)
    n_of_flow += is_request_sent_before (LC_HEAP_ENTRY (flow->drop_order.nodes[i], LcQueueEntry,
                                                        drop_node),
                                         entry);
  return estimate_sends_before_waiting_request (queue, flow, n_of_flow);
}
