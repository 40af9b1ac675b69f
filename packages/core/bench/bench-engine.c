#include "bench-engine.h"

#include <stdlib.h>
#include <string.h>

#define MIN_SECONDS_PER_TOKEN 0.02
#define PREFILL_TOKENS_PER_SECOND 8000.0

void
bench_engine_init (BenchEngine *engine, double speed)
{
  memset (engine, 0, sizeof *engine);
  engine->speed = speed;
  lb_list_init (&engine->running);
  lb_list_init (&engine->waiting);
}

static void
free_requests (LbList *list)
{
  for (LbLink *link = lb_list_pop (list); link; link = lb_list_pop (list))
    free (LB_CONTAINER (link, BenchRequest, link));
}

void
bench_engine_clear (BenchEngine *engine)
{
  free_requests (&engine->running);
  free_requests (&engine->waiting);
}

void
bench_engine_reset_statistics (BenchEngine *engine)
{
  engine->tokens = 0;
  engine->occupancy = 0;
  engine->prompt_tokens = 0;
  engine->cached_tokens = 0;
}

void
bench_engine_enqueue_request (BenchEngine *engine, BenchRequest *request)
{
  lb_list_append (&engine->waiting, &request->link);
}

static void
append_cache_event (BenchEngine *engine, uint64_t prefix, bool stored)
{
  engine->sequence++;
  if (engine->n_events < ENGINE_MAX_CACHE_EVENTS)
    engine->events[engine->n_events++]
        = (BenchCacheEvent){ .sequence = engine->sequence, .prefix = prefix, .stored = stored };
}

/* Moves the prefix to the front of the LRU cache. If the prefix is new and the cache is full,
 * evicts the least recently used prefix. Returns true if the prefix was cached before the call. */
static bool
cache_prefix_as_most_recently_used (BenchEngine *engine, uint64_t prefix)
{
  size_t position = 0;

  while (position < engine->n_cached && engine->cache[position] != prefix)
    position++;

  bool is_cached = position < engine->n_cached;

  if (!is_cached && engine->n_cached == ENGINE_MAX_CACHED_PREFIXES)
    {
      position = ENGINE_MAX_CACHED_PREFIXES - 1;
      append_cache_event (engine, engine->cache[position], false);
    }
  else if (!is_cached)
    engine->n_cached++;
  memmove (engine->cache + 1, engine->cache, position * sizeof *engine->cache);
  engine->cache[0] = prefix;
  if (!is_cached)
    append_cache_event (engine, prefix, true);
  return is_cached;
}

static void
start_waiting_requests (BenchEngine *engine)
{
  while (engine->running.length < BENCH_ENGINE_CONCURRENCY && !lb_list_is_empty (&engine->waiting))
    {
      BenchRequest *request = LB_CONTAINER (lb_list_pop (&engine->waiting), BenchRequest, link);
      bool is_cached = cache_prefix_as_most_recently_used (engine, request->prefix);
      double cached = is_cached ? request->prompt_tokens * request->prefix_share : 0;

      request->prefill_left = request->prompt_tokens - cached;
      engine->prompt_tokens += request->prompt_tokens;
      engine->cached_tokens += cached;
      lb_list_append (&engine->running, &request->link);
    }
}

static double
compute_seconds_per_token (const BenchEngine *engine)
{
  double occupied = (double)engine->running.length / BENCH_ENGINE_CONCURRENCY;

  return MIN_SECONDS_PER_TOKEN * (1 + occupied) / engine->speed;
}

double
bench_engine_tokens_per_second (const BenchEngine *engine)
{
  return 1 / compute_seconds_per_token (engine);
}

void
bench_engine_advance (BenchEngine *engine, LbTime now, LbTime step, LbList *ended)
{
  double seconds = (double)step / LB_SEC;
  double prefill = PREFILL_TOKENS_PER_SECOND * engine->speed * seconds;
  double max_prefill = prefill;

  start_waiting_requests (engine);
  engine->occupancy += (double)(engine->running.length + engine->waiting.length) * seconds;
  LB_LIST_FOREACH (&engine->running, BenchRequest, link, prefilling)
  {
    double prefilled = prefilling->prefill_left < prefill ? prefilling->prefill_left : prefill;

    prefilling->prefill_left -= prefilled;
    prefill -= prefilled;
  }

  double decoded = seconds / compute_seconds_per_token (engine)
                   * (1 - 0.5 * (max_prefill - prefill) / max_prefill);

  LB_LIST_FOREACH (&engine->running, BenchRequest, link, request)
  {
    if (request->prefill_left > 0)
      continue;
    if (request->first_byte == 0)
      request->first_byte = now;
    request->tokens_left -= decoded;
    if (request->tokens_left > 0)
      continue;
    engine->tokens += request->tokens;
    lb_list_remove (&engine->running, &request->link);
    lb_list_append (ended, &request->link);
  }
}
