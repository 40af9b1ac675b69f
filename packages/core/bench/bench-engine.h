/* Simulates an inference engine in virtual time: continuous batching, an LRU cache with a fixed
 * number of prefixes, and prefill of one prompt at a time, which halves the decoding speed. */
#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include "bench-fleet.h"

#define ENGINE_MAX_CACHED_PREFIXES 100
#define ENGINE_MAX_CACHE_EVENTS 64

typedef struct
{
  LbLink link;
  LbTime arrived;    /* time when the instance received the request */
  LbTime sent;       /* time when the instance sent the request to the engine */
  LbTime first_byte; /* time when the engine began to answer; 0: no byte was answered yet */
  uint64_t prefix;
  double prefix_share; /* share of the prompt that the prefix covers, 0 to 1 */
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
  uint64_t cache[ENGINE_MAX_CACHED_PREFIXES]; /* cached prefixes, most recently used first */
  size_t n_cached;
  uint64_t sequence;
  /* cache events since the caller last set n_events to 0 */
  BenchCacheEvent events[ENGINE_MAX_CACHE_EVENTS];
  size_t n_events;
  double speed; /* factor on the speed of prefill and decoding; 1: normal speed */
  /* Totals since the last bench_engine_reset_statistics: decoded tokens of ended requests, running
   * and waiting requests in request-seconds, prompt tokens, and how many of these were cached. */
  double tokens;
  double occupancy;
  double prompt_tokens;
  double cached_tokens;
} BenchEngine;

void bench_engine_init (BenchEngine *engine, double speed);
void bench_engine_clear (BenchEngine *engine);
void bench_engine_enqueue_request (BenchEngine *engine, BenchRequest *request);
/* Simulates the engine for the duration `step`. Moves the requests that end to the list `ended`. */
void bench_engine_advance (BenchEngine *engine, LbTime now, LbTime step, LbList *ended);
double bench_engine_tokens_per_second (const BenchEngine *engine);
void bench_engine_reset_statistics (BenchEngine *engine);

#endif
