#include "lx-engine.h"

#include "lb-alloc.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* Numbers of tokens that are sent as one piece. Small pieces deliver the tokens of live calls with
 * low latency; large pieces reduce the number of simulation events for samples. */
enum
{
  FIRST_PIECE_TOKENS = 1,
  LIVE_PIECE_TOKENS = 16,
  SAMPLE_PIECE_TOKENS = 32
};

/* Tolerance for rounding errors of LxEngine.token_clock, in tokens. */
#define TOKEN_CLOCK_TOLERANCE 1e-6
/* Added to the priority of a call, so that calls are queued before all samples. */
#define CALL_PRIORITY_OFFSET 1000

static void set_piece_timer (LxEngine *engine);

LxEngine *
lx_engine_new (const char *name, LxQueue *queue, const LxEngineTimes *times)
{
  LxEngine *engine = LB_NEW (LxEngine);

  LB_COPY (engine->name, name);
  engine->queue = queue;
  engine->times = *times;
  lb_list_init (&engine->running);
  lb_list_init (&engine->waiting);
  engine->token_clock_at = lx_queue_now (queue);
  return engine;
}

static void
free_streams (LbList *list)
{
  LB_LIST_FOREACH (list, LxStream, link, stream)
  {
    lb_list_remove (list, &stream->link);
    free (stream);
  }
}

void
lx_engine_free (LxEngine *engine)
{
  if (!engine)
    return;
  free_streams (&engine->running);
  free_streams (&engine->waiting);
  free (engine);
}

static double
compute_seconds_per_token (const LxEngine *engine)
{
  size_t others = engine->running.length > 0 ? engine->running.length - 1 : 0;

  return engine->times.token_seconds + engine->times.token_seconds_per_other * (double)others;
}

/* Advances the token clock to the current time. Must be called before the batch changes, because
 * the speed of the clock depends on the batch size. */
static void
advance_token_clock (LxEngine *engine)
{
  LbTime now = lx_queue_now (engine->queue);

  if (!engine->paused)
    engine->token_clock
        += (double)(now - engine->token_clock_at) / LB_SEC / compute_seconds_per_token (engine);
  engine->token_clock_at = now;
}

static void
log_cache_event (LxEngine *engine, uint64_t hash, bool stored)
{
  LxCacheEvent *event = &engine->cache_log[++engine->cache_sequence % LX_CACHE_LOG_LENGTH];

  *event = (LxCacheEvent){ .sequence = engine->cache_sequence, .hash = hash, .stored = stored };
}

static LxCachedBlock *
find_cached_block (LxEngine *engine, uint64_t hash)
{
  for (size_t i = 0; i < engine->n_cached_blocks; i++)
    if (engine->cached_blocks[i].hash == hash)
      return &engine->cached_blocks[i];
  return NULL;
}

static LxCachedBlock *
find_least_recently_used_cached_block (LxEngine *engine)
{
  LxCachedBlock *oldest = &engine->cached_blocks[0];

  for (size_t i = 1; i < engine->n_cached_blocks; i++)
    if (engine->cached_blocks[i].last_used < oldest->last_used)
      oldest = &engine->cached_blocks[i];
  return oldest;
}

static void
store_cached_block (LxEngine *engine, uint64_t hash)
{
  LxCachedBlock *block;

  if (engine->n_cached_blocks < engine->times.max_cached_blocks
      && engine->n_cached_blocks < LX_MAX_CACHED_BLOCKS)
    {
      block = &engine->cached_blocks[engine->n_cached_blocks++];
    }
  else
    {
      block = find_least_recently_used_cached_block (engine);
      log_cache_event (engine, block->hash, false);
    }
  *block = (LxCachedBlock){ .hash = hash, .last_used = ++engine->cache_use_counter };
  log_cache_event (engine, hash, true);
}

/* Returns the share of the prompt, 0..1, that is not in the prefix cache, and stores the missing
 * blocks in the cache. */
static double
cache_prompt_and_get_uncached_share (LxEngine *engine, const LxStreamSpec *spec)
{
  size_t n_cached = 0;
  bool is_in_cached_prefix = true;

  if (spec->n_prefix_hashes == 0 || engine->times.max_cached_blocks == 0)
    return 1.0;
  for (size_t i = 0; i < spec->n_prefix_hashes; i++)
    {
      LxCachedBlock *block = find_cached_block (engine, spec->prefix_hashes[i]);

      is_in_cached_prefix = is_in_cached_prefix && block;
      if (is_in_cached_prefix)
        n_cached++;
      if (block)
        block->last_used = ++engine->cache_use_counter;
      else
        store_cached_block (engine, spec->prefix_hashes[i]);
    }
  engine->prompt_blocks += (int64_t)spec->n_prefix_hashes;
  engine->prompt_blocks_cached += (int64_t)n_cached;
  return 1.0 - (double)n_cached / (double)spec->n_prefix_hashes;
}

static void
schedule_next_piece (LxStream *stream, int64_t tokens, double start_clock)
{
  int64_t remaining = stream->spec.total_tokens - stream->next_token;

  stream->piece_tokens = tokens < remaining ? tokens : remaining;
  stream->piece_due_clock = start_clock + (double)stream->piece_tokens;
}

static void
start_waiting_stream (LxEngine *engine, LxStream *stream)
{
  double uncached_share = cache_prompt_and_get_uncached_share (engine, &stream->spec);
  double prefill_clock = (double)(stream->spec.prompt_tokens + stream->next_token) * uncached_share
                         * engine->times.prefill_token_seconds / engine->times.token_seconds;

  stream->is_running = true;
  schedule_next_piece (stream, FIRST_PIECE_TOKENS, engine->token_clock + prefill_clock);
}

/* Moves waiting streams into the running batch, highest priority first. */
static void
fill_running_batch (LxEngine *engine)
{
  while (!engine->paused && (int64_t)engine->running.length < engine->concurrency
         && !lb_list_is_empty (&engine->waiting))
    {
      LxStream *stream = LB_CONTAINER (lb_list_pop (&engine->waiting), LxStream, link);

      advance_token_clock (engine);
      lb_list_append (&engine->running, &stream->link);
      start_waiting_stream (engine, stream);
    }
}

static void
remove_and_end_stream (LxEngine *engine, LxStream *stream, LcAttemptEnd end)
{
  lb_list_remove (stream->is_running ? &engine->running : &engine->waiting, &stream->link);
  if (!stream->is_silent)
    engine->listener.on_end (engine->listener.user, engine, stream, end);
  free (stream);
}

static void
record_generated_tokens (LxEngine *engine, const LxStream *stream, int64_t tokens)
{
  engine->generated_tokens += tokens;
  engine->listener.on_generated (engine->listener.user, engine, stream, tokens);
}

/* Sends the tokens that the stream has generated since its last piece. */
static void
send_generated_tokens_as_piece (LxEngine *engine, LxStream *stream, int64_t tokens)
{
  LcPiece piece = { .offset = stream->next_token,
                    .tokens = tokens,
                    .version = engine->is_service ? 0 : engine->version,
                    .last = stream->next_token + tokens == stream->spec.total_tokens };

  stream->next_token += tokens;
  record_generated_tokens (engine, stream, tokens);
  if (!stream->is_silent)
    engine->listener.on_piece (engine->listener.user, engine, stream, &piece);
}

static void
send_due_piece_and_schedule_next (LxEngine *engine, LxStream *stream)
{
  double due_clock = stream->piece_due_clock;

  send_generated_tokens_as_piece (engine, stream, stream->piece_tokens);
  if (stream->next_token == stream->spec.total_tokens)
    remove_and_end_stream (engine, stream, LC_END_COMPLETE);
  else
    schedule_next_piece (stream,
                         stream->spec.kind == LC_KIND_SAMPLE ? SAMPLE_PIECE_TOKENS
                                                             : LIVE_PIECE_TOKENS,
                         due_clock);
}

static void
on_piece_timer (void *owner, void *argument)
{
  LxEngine *engine = owner;

  if ((uintptr_t)argument != engine->timer_number)
    return;
  advance_token_clock (engine);
  LB_LIST_FOREACH (&engine->running, LxStream, link, stream)
  {
    if (stream->piece_due_clock <= engine->token_clock + TOKEN_CLOCK_TOLERANCE)
      send_due_piece_and_schedule_next (engine, stream);
  }
  fill_running_batch (engine);
  set_piece_timer (engine);
}

static void
set_piece_timer (LxEngine *engine)
{
  double next = INFINITY;

  engine->timer_number++;
  if (engine->paused)
    return;
  LB_LIST_FOREACH (&engine->running, LxStream, link, stream)
  {
    next = fmin (next, stream->piece_due_clock);
  }
  if (isinf (next))
    return;

  double wait = (next - engine->token_clock) * compute_seconds_per_token (engine) * LB_SEC;
  LbTime at = lx_queue_now (engine->queue) + (LbTime)ceil (fmax (wait, 0));
  lx_queue_add_event (engine->queue, at, on_piece_timer, engine,
                      (void *)(uintptr_t)engine->timer_number, NULL);
}

static int
get_stream_queue_priority (const LxStreamSpec *spec)
{
  return (spec->kind == LC_KIND_SAMPLE ? 0 : CALL_PRIORITY_OFFSET) + spec->priority;
}

static void
enqueue_stream_by_priority (LxEngine *engine, LxStream *stream)
{
  LbLink *position = &engine->waiting.head;

  while (position->prev != &engine->waiting.head
         && get_stream_queue_priority (&LB_CONTAINER (position->prev, LxStream, link)->spec)
                < get_stream_queue_priority (&stream->spec))
    position = position->prev;
  lb_list_insert_before (&engine->waiting, position, &stream->link);
}

bool
lx_engine_submit_stream (LxEngine *engine, const LxStreamSpec *spec)
{
  if (engine->leaving || (!engine->is_service && engine->version == 0))
    return false;

  LxStream *stream = LB_NEW (LxStream);
  stream->spec = *spec;
  stream->next_token = spec->offset;
  stream->arrived_at = lx_queue_now (engine->queue);
  advance_token_clock (engine);
  enqueue_stream_by_priority (engine, stream);
  fill_running_batch (engine);
  set_piece_timer (engine);
  return true;
}

static LxStream *
find_stream_by_id (LbList *list, uint64_t id)
{
  LB_LIST_FOREACH (list, LxStream, link, stream)
  {
    if (stream->spec.id == id)
      return stream;
  }
  return NULL;
}

/* Ends the stream without calling on_end. Tokens generated since the last piece of the stream still
 * count as generated. */
void
lx_engine_cancel_stream (LxEngine *engine, uint64_t id)
{
  LxStream *stream = find_stream_by_id (&engine->running, id);

  if (!stream)
    stream = find_stream_by_id (&engine->waiting, id);
  if (!stream)
    return;
  advance_token_clock (engine);
  if (stream->is_running)
    {
      double generated
          = (double)stream->piece_tokens - (stream->piece_due_clock - engine->token_clock);
      if (generated >= 1)
        {
          stream->next_token += (int64_t)generated;
          record_generated_tokens (engine, stream, (int64_t)generated);
        }
    }
  stream->is_silent = true;
  remove_and_end_stream (engine, stream, LC_END_BROKEN);
  fill_running_batch (engine);
  set_piece_timer (engine);
}

/* Sends the tokens of the old weight version before the weights change, so that no piece mixes
 * versions. */
static void
flush_partial_pieces (LxEngine *engine)
{
  LB_LIST_FOREACH (&engine->running, LxStream, link, stream)
  {
    int64_t generated
        = stream->piece_tokens - (int64_t)ceil (stream->piece_due_clock - engine->token_clock);

    if (generated > 0 && generated < stream->piece_tokens)
      {
        send_generated_tokens_as_piece (engine, stream, generated);
        stream->piece_tokens -= generated;
      }
  }
}

static void
on_weight_swap_completed (void *owner, void *argument)
{
  LxEngine *engine = owner;

  if ((uintptr_t)argument != engine->incarnation || !engine->alive)
    return;
  advance_token_clock (engine);
  engine->paused = false;
  engine->loading = false;
  if (engine->fail_next_load)
    {
      engine->fail_next_load = false;
      engine->version = 0;
      lx_engine_break_streams (engine, false);
    }
  else
    {
      engine->version = engine->loading_version;
    }
  fill_running_batch (engine);
  set_piece_timer (engine);
}

static void
on_weight_load_completed (void *owner, void *argument)
{
  LxEngine *engine = owner;

  if ((uintptr_t)argument != engine->incarnation || !engine->alive)
    return;
  advance_token_clock (engine);
  flush_partial_pieces (engine);
  engine->paused = true;
  set_piece_timer (engine);
  lx_queue_add_event (engine->queue, lx_queue_now (engine->queue) + engine->times.pause_time,
                      on_weight_swap_completed, engine, argument, NULL);
}

void
lx_engine_load_version (LxEngine *engine, LcVersion version)
{
  if (!engine->alive || engine->loading || version == engine->version)
    return;
  engine->loading = true;
  engine->loading_version = version;
  lx_queue_add_event (engine->queue, lx_queue_now (engine->queue) + engine->times.load_time,
                      on_weight_load_completed, engine, (void *)(uintptr_t)engine->incarnation,
                      NULL);
}

static void
break_or_silence_streams_of_list (LxEngine *engine, LbList *list, bool silent)
{
  LB_LIST_FOREACH (list, LxStream, link, stream)
  {
    if (!silent)
      {
        remove_and_end_stream (engine, stream, LC_END_BROKEN);
      }
    else if (!stream->is_silent)
      {
        stream->is_silent = true;
        engine->listener.on_silenced (engine->listener.user, engine, stream);
      }
  }
}

/* Silent streams continue to generate tokens, but send nothing. */
void
lx_engine_break_streams (LxEngine *engine, bool silent)
{
  advance_token_clock (engine);
  break_or_silence_streams_of_list (engine, &engine->running, silent);
  break_or_silence_streams_of_list (engine, &engine->waiting, silent);
  set_piece_timer (engine);
}

void
lx_engine_crash (LxEngine *engine)
{
  lx_engine_break_streams (engine, false);
  engine->alive = false;
  engine->version = 0;
  engine->loading = false;
  engine->n_cached_blocks = 0;
}

void
lx_engine_start (LxEngine *engine, LcVersion version)
{
  advance_token_clock (engine);
  engine->incarnation++;
  engine->alive = true;
  engine->leaving = false;
  engine->paused = false;
  engine->version = version;
  engine->cache_sequence += LX_CACHE_LOG_LENGTH;
}

void
lx_engine_get_load_report (const LxEngine *engine, LcLoadReport *report)
{
  *report = (LcLoadReport){ .leaving = engine->leaving,
                            .version = engine->paused ? 0 : engine->version,
                            .running = (int64_t)engine->running.length,
                            .waiting = (int64_t)engine->waiting.length,
                            .tokens_per_second = 1.0 / compute_seconds_per_token (engine),
                            .kv_used = (double)engine->running.length / (double)engine->concurrency,
                            .measured_at = lx_queue_now (engine->queue) };
  snprintf (report->incarnation, sizeof report->incarnation, "%.30s-%u", engine->name,
            engine->incarnation);
}

size_t
lx_engine_count_streams (const LxEngine *engine)
{
  return engine->running.length + engine->waiting.length;
}
