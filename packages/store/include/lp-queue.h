#ifndef LP_QUEUE_H
#define LP_QUEUE_H

#include "lb-list.h"
#include "lp-platform.h"

/* Store calls that wait until an attempt is allowed: the most urgent first, and among calls of the
 * same priority the longest-waiting first. No I/O. */

/* Member of the struct of a call. */
typedef struct
{
  LbLink link;
  LbList *list; /* list of LpQueue.waiting that contains the item; NULL: none */
  LbTime added_at;
  LbTime deadline; /* time from which on the item is expired */
} LpQueueItem;

typedef struct
{
  LbList waiting[LP_N_PRIORITIES];
  unsigned n_taken;
} LpQueue;

void lp_queue_init (LpQueue *queue);
void
lp_queue_add (LpQueue *queue, LpQueueItem *item, LpPriority priority, LbTime deadline, LbTime now);
/* Has no effect if no queue contains the item. */
void lp_queue_remove (LpQueueItem *item);
/* Removes and returns the item to send next; NULL if the queue is empty. */
LpQueueItem *lp_queue_take_next (LpQueue *queue);
/* Removes and returns an item whose deadline has passed; NULL if there is none. */
LpQueueItem *lp_queue_take_expired (LpQueue *queue, LbTime now);

bool lp_queue_is_empty (const LpQueue *queue);
size_t lp_queue_count (const LpQueue *queue);
/* LB_TIME_NEVER: the queue is empty. */
LbTime lp_queue_get_earliest_deadline (const LpQueue *queue);

#endif
