#ifndef LX_QUEUE_H
#define LX_QUEUE_H

#include "lb-types.h"

/* Events in virtual time. Events of one time run in the order in which they were added. */
typedef struct LxQueue LxQueue;

/* Takes over argument, unless it was added without a drop function. */
typedef void (*LxEventHandler) (void *owner, void *argument);

LxQueue *lx_queue_new (void);
void lx_queue_free (LxQueue *queue);

void lx_queue_add (LxQueue *queue,
                   LbTime at,
                   LxEventHandler handler,
                   void *owner,
                   void *argument,
                   void (*drop) (void *argument));
bool lx_queue_run_next (LxQueue *queue, LbTime until);

LbTime lx_queue_now (const LxQueue *queue);
uint64_t lx_queue_count_handled (const LxQueue *queue);

#endif
