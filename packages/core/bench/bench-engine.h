#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include "bench-fleet.h"

/* Simulated inference engine in virtual time: continuous batching, one prefill at a time, which
 * halves the decoding speed, and an LRU cache with a fixed number of prefixes. */

#define ENGINE_CACHE_PREFIXES 100
#define ENGINE_MAX_EVENTS 64

typedef struct
{
  LbLink link;
  LbTime arrived; /* at its instance */
  LbTime sent;
  LbTime first_byte; /* 0: not yet */
  uint64_t prefix;
  double prefix_share; /* of the prompt */
  double prompt_tokens;
  double prefill_left;
  double tokens;
  double tokens_left;
  int instance;
  int endpoint;
  bool live;
} BenchRequest;

typedef struct
{
  uint64_t sequence;
  uint64_t prefix;
  bool stored;
} BenchCacheEvent;

typedef struct
{
  LbList running;
  LbList waiting;
  uint64_t cache[ENGINE_CACHE_PREFIXES]; /* most recently used first */
  size_t n_cached;
  uint64_t sequence;
  BenchCacheEvent events[ENGINE_MAX_EVENTS]; /* since the caller last read them */
  size_t n_events;
  double speed;
  /* Totals since the warm-up; occupancy in request seconds. */
  double tokens;
  double occupancy;
  double prompt_tokens;
  double cached_tokens;
} BenchEngine;

void bench_engine_init (BenchEngine *engine, double speed);
void bench_engine_clear (BenchEngine *engine);
void bench_engine_take (BenchEngine *engine, BenchRequest *request);
/* Advances the engine by step; appends requests that ended to the list. */
void bench_engine_run (BenchEngine *engine, LbTime now, LbTime step, LbList *ended);
double bench_engine_tokens_per_second (const BenchEngine *engine);
void bench_engine_reset_totals (BenchEngine *engine);

#endif
