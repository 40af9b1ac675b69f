#include "lc-queue.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define PRIORITY_MAX 10

/* Place of a band among the others: the smaller one comes first, number by number. */
typedef struct
{
  int kind;
  int organisation;
  int level;
} BandRank;

typedef struct
{
  BandRank rank;
  LcHeap active;  /* flows with requests, by virtual start time */
  LcHeap backlog; /* the same flows, largest backlog for its share first */
  LcHeap idle;    /* flows without requests that are still ahead of the virtual time */
  LcFlow *flows;
  double virtual_time;
  double active_share;
  size_t length;
} Band;

/* One caller's requests inside one band. */
struct LcFlow
{
  UT_hash_handle hh;
  LcHeapNode active_node;
  LcHeapNode backlog_node;
  LcHeapNode idle_node;
  Band *band;
  LcHeap firsts; /* the request to take first on top; without those set aside */
  LcHeap lasts;  /* the request to give up first on top; all of them */
  double share;
  double start;
  LcRequestKind kind;
  LbName caller;
};

struct LcQueue
{
  Band **bands; /* by rank; a band stays when it has become empty */
  size_t n_bands;
  LbList aside; /* LcWaiting */
  size_t length;
  size_t kind_length[LC_N_KINDS];
};

static bool
goes_before (const LcWaiting *a, const LcWaiting *b)
{
  if (a->priority != b->priority)
    return a->priority > b->priority;
  if (a->latest_start != b->latest_start)
    return a->latest_start < b->latest_start;
  return a->sequence < b->sequence;
}

static bool
first_before (const LcHeapNode *a, const LcHeapNode *b)
{
  return goes_before (LC_HEAP_ENTRY (a, LcWaiting, first_node),
                      LC_HEAP_ENTRY (b, LcWaiting, first_node));
}

static bool
last_before (const LcHeapNode *a, const LcHeapNode *b)
{
  return goes_before (LC_HEAP_ENTRY (b, LcWaiting, last_node),
                      LC_HEAP_ENTRY (a, LcWaiting, last_node));
}

static bool
active_before (const LcHeapNode *a, const LcHeapNode *b)
{
  return LC_HEAP_ENTRY (a, LcFlow, active_node)->start
         < LC_HEAP_ENTRY (b, LcFlow, active_node)->start;
}

static bool
idle_before (const LcHeapNode *a, const LcHeapNode *b)
{
  return LC_HEAP_ENTRY (a, LcFlow, idle_node)->start < LC_HEAP_ENTRY (b, LcFlow, idle_node)->start;
}

static double
backlog_of (const LcFlow *flow)
{
  return (double)flow->lasts.length / flow->share;
}

static bool
backlog_before (const LcHeapNode *a, const LcHeapNode *b)
{
  return backlog_of (LC_HEAP_ENTRY (a, LcFlow, backlog_node))
         > backlog_of (LC_HEAP_ENTRY (b, LcFlow, backlog_node));
}

static int
level_of (int priority)
{
  if (priority > PRIORITY_MAX)
    priority = PRIORITY_MAX;
  if (priority < -PRIORITY_MAX)
    priority = -PRIORITY_MAX;
  return PRIORITY_MAX - priority;
}

/* Samples of organisations with the same priority share one band, so that no trainer can pass
 * another by a priority of its own. */
static BandRank
rank_of (const LcQueueKey *key)
{
  static const int kinds[] = { [LC_KIND_LIVE] = 0, [LC_KIND_SERVICE] = 1, [LC_KIND_SAMPLE] = 2 };

  return (BandRank){ .kind = kinds[key->kind],
                     .organisation = level_of (key->organisation_priority),
                     .level = key->kind == LC_KIND_SAMPLE ? 0 : level_of (key->priority) };
}

static bool
rank_before (const BandRank *a, const BandRank *b)
{
  if (a->kind != b->kind)
    return a->kind < b->kind;
  if (a->organisation != b->organisation)
    return a->organisation < b->organisation;
  return a->level < b->level;
}

/* Index of the first band that does not come before the rank. */
static size_t
band_index (const LcQueue *queue, const BandRank *rank)
{
  size_t index = 0;

  while (index < queue->n_bands && rank_before (&queue->bands[index]->rank, rank))
    index++;
  return index;
}

static Band *
band_at (const LcQueue *queue, size_t index, const BandRank *rank)
{
  Band *band = index < queue->n_bands ? queue->bands[index] : NULL;

  return band && !rank_before (rank, &band->rank) ? band : NULL;
}

static Band *
band_new (const BandRank *rank)
{
  Band *band = LB_NEW (Band);

  band->rank = *rank;
  lc_heap_init (&band->active, active_before);
  lc_heap_init (&band->backlog, backlog_before);
  lc_heap_init (&band->idle, idle_before);
  return band;
}

static void
flow_free (LcFlow *flow)
{
  HASH_DELETE (hh, flow->band->flows, flow);
  lc_heap_remove (&flow->band->idle, &flow->idle_node);
  lc_heap_clear (&flow->firsts);
  lc_heap_clear (&flow->lasts);
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

  lb_list_init (&queue->aside);
  return queue;
}

/* Requests that still wait belong to the caller. */
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
  lc_heap_init (&flow->firsts, first_before);
  lc_heap_init (&flow->lasts, last_before);
  HASH_ADD_STR (band->flows, caller, flow);
  return flow;
}

/* A flow that was idle starts at the band's virtual time at the earliest: it gains no credit by
 * idling, and a flow that had just been served keeps its later start. */
static void
flow_activate (LcFlow *flow, double share)
{
  Band *band = flow->band;

  lc_heap_remove (&band->idle, &flow->idle_node);
  flow->share = share > 0 ? share : 1;
  if (flow->start < band->virtual_time)
    flow->start = band->virtual_time;
  band->active_share += flow->share;
  lc_heap_push (&band->backlog, &flow->backlog_node);
}

/* Idle flows whose start the virtual time has passed hold nothing worth keeping, and nor does any
 * when nobody waits. */
static void
drop_idle_flows (Band *band)
{
  LcHeapNode *node = NULL;

  while ((node = lc_heap_first (&band->idle)))
    {
      LcFlow *flow = LC_HEAP_ENTRY (node, LcFlow, idle_node);

      if (flow->start > band->virtual_time && band->backlog.length > 0)
        return;
      flow_free (flow);
    }
}

static void
flow_deactivate (LcFlow *flow)
{
  Band *band = flow->band;

  band->active_share -= flow->share;
  lc_heap_remove (&band->backlog, &flow->backlog_node);
  lc_heap_push (&band->idle, &flow->idle_node);
  drop_idle_flows (band);
}

static void
make_takeable (LcFlow *flow, LcWaiting *waiting)
{
  lc_heap_push (&flow->firsts, &waiting->first_node);
  if (!lc_heap_holds (&flow->active_node))
    lc_heap_push (&flow->band->active, &flow->active_node);
}

static void
make_untakeable (LcFlow *flow, LcWaiting *waiting)
{
  lc_heap_remove (&flow->firsts, &waiting->first_node);
  if (flow->firsts.length == 0)
    lc_heap_remove (&flow->band->active, &flow->active_node);
}

static Band *
ensure_band (LcQueue *queue, const LcQueueKey *key)
{
  BandRank rank = rank_of (key);
  size_t index = band_index (queue, &rank);
  Band *band = band_at (queue, index, &rank);

  if (band)
    return band;
  queue->bands = lb_realloc (queue->bands, (queue->n_bands + 1) * sizeof (Band *));
  memmove (&queue->bands[index + 1], &queue->bands[index],
           (queue->n_bands - index) * sizeof (Band *));
  queue->n_bands++;
  queue->bands[index] = band_new (&rank);
  return queue->bands[index];
}

/* Adds a request. One that comes back for a retry keeps its sequence and brings cost 0, so it goes
 * before the newer ones of its flow and is not charged twice. */
void
lc_queue_push (LcQueue *queue, const LcQueueKey *key, LcWaiting *waiting)
{
  Band *band = ensure_band (queue, key);
  LcFlow *flow = find_flow (band, key->caller);

  if (!flow)
    flow = flow_new (band, key);
  if (flow->lasts.length == 0)
    flow_activate (flow, key->share);
  waiting->flow = flow;
  waiting->priority = key->priority;
  make_takeable (flow, waiting);
  lc_heap_push (&flow->lasts, &waiting->last_node);
  lc_heap_moved (&band->backlog, &flow->backlog_node);
  band->length++;
  queue->length++;
  queue->kind_length[flow->kind]++;
}

/* Takes a request out without charging its caller: cancelled, given up on, or past its deadline. */
void
lc_queue_remove (LcQueue *queue, LcWaiting *waiting)
{
  LcFlow *flow = waiting->flow;

  if (!flow)
    return;
  if (lb_link_is_linked (&waiting->aside_link))
    lb_list_remove (&queue->aside, &waiting->aside_link);
  else
    make_untakeable (flow, waiting);
  lc_heap_remove (&flow->lasts, &waiting->last_node);
  waiting->flow = NULL;
  flow->band->length--;
  queue->length--;
  queue->kind_length[flow->kind]--;
  if (flow->lasts.length == 0)
    flow_deactivate (flow);
  else
    lc_heap_moved (&flow->band->backlog, &flow->backlog_node);
}

/* Takes a request out to be sent and charges its caller. */
void
lc_queue_take (LcQueue *queue, LcWaiting *waiting)
{
  LcFlow *flow = waiting->flow;
  Band *band = flow->band;

  if (flow->start > band->virtual_time)
    band->virtual_time = flow->start;
  flow->start += waiting->cost / flow->share;
  if (lc_heap_holds (&flow->active_node))
    lc_heap_moved (&band->active, &flow->active_node);
  lc_queue_remove (queue, waiting);
}

/* Passes over this request until lc_queue_restore: it can't be placed now, others perhaps can. */
void
lc_queue_set_aside (LcQueue *queue, LcWaiting *waiting)
{
  make_untakeable (waiting->flow, waiting);
  lb_list_append (&queue->aside, &waiting->aside_link);
}

void
lc_queue_restore (LcQueue *queue)
{
  LbLink *link = NULL;

  while ((link = lb_list_pop (&queue->aside)))
    {
      LcWaiting *waiting = LB_CONTAINER (link, LcWaiting, aside_link);

      make_takeable (waiting->flow, waiting);
    }
}

/* The request whose turn it is; NULL when none waits. */
LcWaiting *
lc_queue_first (const LcQueue *queue)
{
  for (size_t i = 0; i < queue->n_bands; i++)
    {
      LcHeapNode *node = lc_heap_first (&queue->bands[i]->active);

      if (node)
        return LC_HEAP_ENTRY (lc_heap_first (&LC_HEAP_ENTRY (node, LcFlow, active_node)->firsts),
                              LcWaiting, first_node);
    }
  return NULL;
}

static double
backlog_with_one_more (const Band *band, const LcQueueKey *key)
{
  const LcFlow *flow = find_flow (band, key->caller);
  double share = key->share > 0 ? key->share : 1;

  return ((flow ? (double)flow->lasts.length : 0) + 1) / share;
}

/* The request to give up for a newcomer: the last one of the caller that is furthest over its share
 * in the least valuable band. NULL when the newcomer itself is the least valuable. */
LcWaiting *
lc_queue_victim (const LcQueue *queue, const LcQueueKey *key)
{
  BandRank rank = rank_of (key);
  size_t own = band_index (queue, &rank);
  const Band *own_band = band_at (queue, own, &rank);

  for (size_t i = queue->n_bands; i-- > own;)
    {
      const Band *band = queue->bands[i];

      if (band->length == 0)
        continue;

      LcFlow *flow = LC_HEAP_ENTRY (lc_heap_first (&band->backlog), LcFlow, backlog_node);

      if (band == own_band && backlog_of (flow) <= backlog_with_one_more (band, key))
        return NULL;
      return LC_HEAP_ENTRY (lc_heap_first (&flow->lasts), LcWaiting, last_node);
    }
  return NULL;
}

size_t
lc_queue_length (const LcQueue *queue)
{
  return queue->length;
}

size_t
lc_queue_kind_length (const LcQueue *queue, LcRequestKind kind)
{
  return queue->kind_length[kind];
}

/* How many requests are likely to be taken before a newcomer with this key: all of the bands above
 * and, of its own band, what fair sharing lets through before the caller's last request. */
double
lc_queue_ahead (const LcQueue *queue, const LcQueueKey *key)
{
  BandRank rank = rank_of (key);
  size_t own = band_index (queue, &rank);
  const Band *band = band_at (queue, own, &rank);
  double share = key->share > 0 ? key->share : 1;
  double ahead = 0;

  for (size_t i = 0; i < own; i++)
    ahead += (double)queue->bands[i]->length;
  if (!band)
    return ahead;

  const LcFlow *flow = find_flow (band, key->caller);
  double active = band->active_share + (flow && flow->lasts.length ? 0 : share);
  double turns = (flow ? (double)flow->lasts.length : 0) * active / share;

  turns += (active - share) / share;
  return ahead + (turns < (double)band->length ? turns : (double)band->length);
}
