#ifndef LC_POOL_H
#define LC_POOL_H

#include "lc-queue.h"
#include "lc-resources.h"
#include "lc-wait-estimate.h"

#include <uthash.h>

typedef enum
{
  LC_POOL_ENGINES,
  LC_POOL_SERVICE,
  LC_N_POOL_KINDS
} LcPoolKind;

#define LC_POOL_KEY_SIZE (2 * LB_NAME_MAX)

/* State of one pool or plain service at this instance: queue, running attempts, measured times. */
typedef struct
{
  UT_hash_handle hh;
  char key[LC_POOL_KEY_SIZE]; /* key in the hash table: the pool's name, with engines of a service
                                 also the name of the service */
  LbName name;
  LbName service; /* service that the pool's engines belong to; "": none, or a plain service */
  LcPoolKind kind;
  LcQueue *queue;
  bool configured;          /* the current configuration contains the pool */
  LbTime held_since;        /* when the pool began to hold its requests until a current load report
                               arrives; 0: it holds none */
  size_t n_skipped;         /* number of requests that the present round of sending has skipped */
  size_t n_awaiting_faster; /* number of skipped requests that wait for a faster endpoint */
  LbTime backlog_since;     /* since when the queue has not been empty; 0: it is empty */
  double live_reserve;      /* share of each engine's concurrency kept for live calls, 0..0.9 */
  int64_t queue_limit;      /* maximum number of waiting requests */
  size_t n_requests;        /* number of requests admitted and not finished */
  LcWaitEstimate wait_estimate;
  /* Moving average of the duration of complete attempts; 0: none has completed. Used only while
   * LB_SWITCH_WAIT_ESTIMATE is off. */
  double mean_attempt_seconds[LC_N_KINDS];
  /* Moving average of the time from sending an attempt to its first piece; 0: none has arrived. */
  double first_piece_seconds[LC_N_KINDS];
} LcPoolState;

/* An attempt that ended. */
typedef struct
{
  LbTime duration;         /* from sending the attempt to its end */
  bool has_run;            /* the endpoint may have run the attempt */
  bool is_complete;        /* the attempt has returned the complete answer */
  int64_t expected_tokens; /* expected length of the answer; 0: unknown */
} LcEndedAttempt;

LcPoolState *lc_pool_state_new (LcPoolKind kind, const char *name, const char *service);
void lc_pool_state_free (LcPoolState *pool);

/* Functions that change the pool's state. */
void lc_pool_state_record_attempt_start (LcPoolState *pool, LcRequestKind kind, LbTime now);
/* waited: time from sending an attempt to its first piece. */
void lc_pool_state_record_first_piece (LcPoolState *pool, LcRequestKind kind, LbTime waited);
void lc_pool_state_record_attempt_end (LcPoolState *pool,
                                       LcRequestKind kind,
                                       const LcEndedAttempt *ended,
                                       LbTime now);

/* Functions that only read the pool's state. */
void lc_pool_format_key (const char *name, const char *service, char key[LC_POOL_KEY_SIZE]);
bool lc_pool_state_has_endpoint (const LcPoolState *pool, const LcEndpointMember *member);
bool lc_pool_state_is_queue_full (const LcPoolState *pool);
/* Decides whether a new request with this key can be served in time. Replaces the query's kind and
 * number of requests ahead. */
LcWaitDecision lc_pool_state_decide_wait (const LcPoolState *pool,
                                          const LcQueueKey *key,
                                          LcWaitQuery query,
                                          LbTime now);

#endif
