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

/* What one pool or plain service of this instance has waiting and running, and how fast it goes. */
typedef struct
{
  UT_hash_handle hh;
  LbName name;
  LcPoolKind kind;
  LcQueue *queue;
  bool configured;   /* part of the configuration in force */
  LbTime held_since; /* sends nothing since all views of its endpoints are old; 0: not held */
  double live_reserve;
  int64_t queue_limit;
  size_t n_requests; /* admitted and not finished */
  int64_t running[LC_N_KINDS];
  double mean_seconds[LC_N_KINDS];        /* of an attempt; 0: none has ended yet */
  double first_piece_seconds[LC_N_KINDS]; /* usually, from sending to it; 0: not known yet */
} LcPoolState;

LcPoolState *lc_pool_state_new (LcPoolKind kind, const char *name);
void lc_pool_state_free (LcPoolState *pool);

/* commands */
void lc_pool_state_started (LcPoolState *pool, LcRequestKind kind);
/* waited: from the sending of an attempt to its first piece. */
void lc_pool_state_heard (LcPoolState *pool, LcRequestKind kind, LbTime waited);
void lc_pool_state_ended (LcPoolState *pool, LcRequestKind kind, LbTime took);

/* queries */
bool lc_pool_state_is_full (const LcPoolState *pool);
LbTime lc_pool_state_wait (const LcPoolState *pool, const LcQueueKey *key);

#endif
