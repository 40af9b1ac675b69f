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

/* Queue, running attempts and measured times of one pool or plain service at this instance. */
typedef struct
{
  UT_hash_handle hh;
  LbName name;
  LcPoolKind kind;
  LcQueue *queue;
  bool configured;     /* part of the current configuration */
  LbTime held_since;   /* requests are held back since then, as all reports are outdated; 0: no */
  double live_reserve; /* share of each engine's concurrency kept for live calls, 0..0.9 */
  int64_t queue_limit; /* waiting requests */
  size_t n_requests;   /* admitted and not finished */
  int64_t running[LC_N_KINDS];             /* attempts */
  double mean_attempt_seconds[LC_N_KINDS]; /* mean duration of an attempt; 0: none has ended yet */
  double first_piece_seconds[LC_N_KINDS];  /* mean from sending to the first piece; 0: not measured
                                              yet */
} LcPoolState;

LcPoolState *lc_pool_state_new (LcPoolKind kind, const char *name);
void lc_pool_state_free (LcPoolState *pool);

/* commands */
void lc_pool_state_record_start (LcPoolState *pool, LcRequestKind kind);
/* waited: from sending the attempt to its first piece. */
void lc_pool_state_record_first_piece (LcPoolState *pool, LcRequestKind kind, LbTime waited);
void lc_pool_state_record_end (LcPoolState *pool, LcRequestKind kind, LbTime duration);

/* queries */
bool lc_pool_state_is_full (const LcPoolState *pool);
LbTime lc_pool_state_estimate_wait (const LcPoolState *pool, const LcQueueKey *key);

#endif
