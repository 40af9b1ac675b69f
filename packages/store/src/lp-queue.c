#include "lp-queue.h"

/* Every third item taken is the longest-waiting one of any priority. Otherwise the leases and
 * renewals of an instance with many duties would take all attempts that a failing store leaves it,
 * and it would not learn of a new configuration. */
#define TAKES_PER_LONGEST_WAITING 3

void
lp_queue_init (LpQueue *queue)
{
  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    lb_list_init (&queue->waiting[i]);
  queue->n_taken = 0;
}

void
lp_queue_add (LpQueue *queue, LpQueueItem *item, LpPriority priority, LbTime deadline, LbTime now)
{
  item->list = &queue->waiting[priority];
  item->added_at = now;
  item->deadline = deadline;
  lb_list_append (item->list, &item->link);
}

void
lp_queue_remove (LpQueueItem *item)
{
  if (item->list)
    lb_list_remove (item->list, &item->link);
  item->list = NULL;
}

static LpQueueItem *
find_most_urgent_item (const LpQueue *queue)
{
  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    if (!lb_list_is_empty (&queue->waiting[i]))
      return LB_LIST_FIRST (&queue->waiting[i], LpQueueItem, link);
  return NULL;
}

static LpQueueItem *
find_longest_waiting_item (const LpQueue *queue)
{
  LpQueueItem *found = NULL;

  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    {
      LpQueueItem *first = LB_LIST_FIRST (&queue->waiting[i], LpQueueItem, link);
      if (first && (!found || first->added_at < found->added_at))
        found = first;
    }
  return found;
}

LpQueueItem *
lp_queue_take_next (LpQueue *queue)
{
  bool takes_longest_waiting = ++queue->n_taken % TAKES_PER_LONGEST_WAITING == 0;
  LpQueueItem *item
      = takes_longest_waiting ? find_longest_waiting_item (queue) : find_most_urgent_item (queue);

  if (item)
    lp_queue_remove (item);
  return item;
}

LpQueueItem *
lp_queue_take_expired (LpQueue *queue, LbTime now)
{
  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    LB_LIST_FOREACH (&queue->waiting[i], LpQueueItem, link, item)
    {
      if (now < item->deadline)
        continue;
      lp_queue_remove (item);
      return item;
    }
  return NULL;
}

bool
lp_queue_is_empty (const LpQueue *queue)
{
  return lp_queue_count (queue) == 0;
}

size_t
lp_queue_count (const LpQueue *queue)
{
  size_t n = 0;

  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    n += queue->waiting[i].length;
  return n;
}

LbTime
lp_queue_get_earliest_deadline (const LpQueue *queue)
{
  LbTime earliest = LB_TIME_NEVER;

  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    LB_LIST_FOREACH (&queue->waiting[i], LpQueueItem, link, item)
    {
      if (item->deadline < earliest)
        earliest = item->deadline;
    }
  return earliest;
}
