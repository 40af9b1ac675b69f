#ifndef LC_POOL_H
#define LC_POOL_H

#include "lc-queue.h"

#include <uthash.h>

typedef enum
{
  LC_POOL_ENGINES,
  LC_POOL_SERVICE,
  LC_N_POOL_KINDS
} LcPoolKind;

/* State of one pool or plain service at this instance: queue, running attempts, measured times. */
typedef struct
{
  UT_hash_handle hh;
  LbName name;
  LcPoolKind kind;
  LcQueue *queue;
  bool configured;   /* the current configuration contains the pool */
  LbTime held_since; /* when the pool began to hold its requests until a current load report
                        arrives; 0: it holds none */
  /* number of requests that wait for a faster endpoint, in the present round of sending */
  size_t n_awaiting_faster;
  double live_reserve;         /* share of each engine's concurrency kept for live calls, 0..0.9 */
  int64_t queue_limit;         /* maximum number of waiting requests */
  size_t n_requests;           /* number of requests admitted and not finished */
  int64_t running[LC_N_KINDS]; /* number of running attempts by request kind */
  /* Moving average of the duration of complete attempts; 0: none has completed. */
  double mean_attempt_seconds[LC_N_KINDS];
  /* Moving average of the time from sending an attempt to its first piece; 0: none has arrived. */
  double first_piece_seconds[LC_N_KINDS];
} LcPoolState;

LcPoolState *lc_pool_state_new (LcPoolKind kind, const char *name);
void lc_pool_state_free (LcPoolState *pool);

/* Functions that change the pool's state. */
void lc_pool_state_record_attempt_start (LcPoolState *pool, LcRequestKind kind);
/* waited: time from sending an attempt to its first piece. */
void lc_pool_state_record_first_piece (LcPoolState *pool, LcRequestKind kind, LbTime waited);
void lc_pool_state_record_attempt_end (LcPoolState *pool, LcRequestKind kind, LbTime duration);

/* Functions that only read the pool's state. */
bool lc_pool_state_is_queue_full (const LcPoolState *pool);
LbTime lc_pool_state_estimate_wait (const LcPoolState *pool, const LcQueueKey *key);

#endif
