#ifndef LX_QUEUE_H
#define LX_QUEUE_H

#include "lb-types.h"

/* Event queue in virtual time. Events with the same time run in the order of insertion. */
typedef struct LxQueue LxQueue;

/* Handles a due event. Takes ownership of argument if the event was added with free_argument. */
typedef void (*LxEventHandler) (void *owner, void *argument);

/* Creates an empty queue. Its clock starts at one second, so that 0 is never a valid time. */
LxQueue *lx_queue_new (void);
void lx_queue_free (LxQueue *queue);

/* Adds an event; a time in the past means now. free_argument, which may be NULL, frees the argument
 * of an event that never runs. */
void lx_queue_add_event (LxQueue *queue,
                         LbTime at,
                         LxEventHandler handler,
                         void *owner,
                         void *argument,
                         void (*free_argument) (void *argument));
/* Runs the next event if it is due at or before `until`; returns false otherwise. */
bool lx_queue_run_next_event (LxQueue *queue, LbTime until);

LbTime lx_queue_now (const LxQueue *queue);
uint64_t lx_queue_count_handled_events (const LxQueue *queue);

#endif
