#ifndef LX_QUEUE_H
#define LX_QUEUE_H

#include "lb-types.h"

/* Event queue in virtual time. Events with the same time run in the order of insertion. */
typedef struct LxQueue LxQueue;

/* Takes ownership of argument if the event was added with a drop function. */
typedef void (*LxEventHandler) (void *owner, void *argument);

/* The clock starts at one second, so that 0 is never a valid time. */
LxQueue *lx_queue_new (void);
void lx_queue_free (LxQueue *queue);

/* Adds an event; a time in the past means now. If drop is not NULL, it frees the argument of an
 * event that never runs. */
void lx_queue_add (LxQueue *queue,
                   LbTime at,
                   LxEventHandler handler,
                   void *owner,
                   void *argument,
                   void (*drop) (void *argument));
/* Runs the next event if it is due at or before `until`; returns false otherwise. */
bool lx_queue_run_next (LxQueue *queue, LbTime until);

LbTime lx_queue_now (const LxQueue *queue);
uint64_t lx_queue_count_handled (const LxQueue *queue);

#endif
