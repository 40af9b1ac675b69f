#include "lx-engine.h"

#include "lb-alloc.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* Tokens in a piece: few for live callers, who see them come; many for samples, to keep runs short.
 */
enum
{
  FIRST_PIECE = 1,
  LIVE_PIECE = 16,
  SAMPLE_PIECE = 32
};

static void set_timer (LxEngine *engine);

LxEngine *
lx_engine_new (const char *name, LxQueue *queue, const LxEngineTimes *times)
{
  LxEngine *engine = LB_NEW (LxEngine);

  LB_COPY (engine->name, name);
  engine->queue = queue;
  engine->times = *times;
  lb_list_init (&engine->running);
  lb_list_init (&engine->waiting);
  engine->clock_at = lx_queue_now (queue);
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
seconds_per_token (const LxEngine *engine)
{
  size_t others = engine->running.length > 0 ? engine->running.length - 1 : 0;

  return engine->times.token + engine->times.token_per_other * (double)others;
}

/* Brings the engine's clock to the present; must run before the batch changes. */
static void
advance (LxEngine *engine)
{
  LbTime now = lx_queue_now (engine->queue);

  if (!engine->paused)
    engine->clock += (double)(now - engine->clock_at) / LB_SEC / seconds_per_token (engine);
  engine->clock_at = now;
}

static void
log_cache (LxEngine *engine, uint64_t hash, bool stored)
{
  LxCacheEvent *event = &engine->cache_log[++engine->cache_sequence % LX_CACHE_LOG_LENGTH];

  *event = (LxCacheEvent){ .sequence = engine->cache_sequence, .hash = hash, .stored = stored };
}

static LxCachedBlock *
find_block (LxEngine *engine, uint64_t hash)
{
  for (size_t i = 0; i < engine->n_cached; i++)
    if (engine->cached[i].hash == hash)
      return &engine->cached[i];
  return NULL;
}

static LxCachedBlock *
oldest_block (LxEngine *engine)
{
  LxCachedBlock *oldest = &engine->cached[0];

  for (size_t i = 1; i < engine->n_cached; i++)
    if (engine->cached[i].used < oldest->used)
      oldest = &engine->cached[i];
  return oldest;
}

static void
store_block (LxEngine *engine, uint64_t hash)
{
  LxCachedBlock *block;

  if (engine->n_cached < engine->times.cached_blocks && engine->n_cached < LX_MAX_CACHED_BLOCKS)
    {
      block = &engine->cached[engine->n_cached++];
    }
  else
    {
      block = oldest_block (engine);
      log_cache (engine, block->hash, false);
    }
  *block = (LxCachedBlock){ .hash = hash, .used = ++engine->cache_clock };
  log_cache (engine, hash, true);
}

/* Share of the prompt that must be computed, 0..1; stores its blocks. */
static double
look_up_prompt (LxEngine *engine, const LxStreamSpec *spec)
{
  size_t found = 0;
  bool leading = true;

  if (spec->n_prefix_hashes == 0 || engine->times.cached_blocks == 0)
    return 1.0;
  for (size_t i = 0; i < spec->n_prefix_hashes; i++)
    {
      LxCachedBlock *block = find_block (engine, spec->prefix_hashes[i]);

      leading = leading && block;
      if (leading)
        found++;
      if (block)
        block->used = ++engine->cache_clock;
      else
        store_block (engine, spec->prefix_hashes[i]);
    }
  engine->prompt_blocks += (int64_t)spec->n_prefix_hashes;
  engine->prompt_blocks_found += (int64_t)found;
  return 1.0 - (double)found / (double)spec->n_prefix_hashes;
}

static void
plan_piece (LxStream *stream, int64_t tokens, double from)
{
  int64_t left = stream->spec.length - stream->offset;

  stream->piece = tokens < left ? tokens : left;
  stream->piece_clock = from + (double)stream->piece;
}

static void
start_stream (LxEngine *engine, LxStream *stream)
{
  double fresh = look_up_prompt (engine, &stream->spec);
  double prefill = (double)(stream->spec.prompt_tokens + stream->offset) * fresh
                   * engine->times.prefill / engine->times.token;

  stream->running = true;
  plan_piece (stream, FIRST_PIECE, engine->clock + prefill);
}

/* Moves waiting streams into the batch, those of higher priority first. */
static void
fill_batch (LxEngine *engine)
{
  while (!engine->paused && (int64_t)engine->running.length < engine->concurrency
         && !lb_list_is_empty (&engine->waiting))
    {
      LxStream *stream = LB_CONTAINER (lb_list_pop (&engine->waiting), LxStream, link);

      advance (engine);
      lb_list_append (&engine->running, &stream->link);
      start_stream (engine, stream);
    }
}

static void
end_stream (LxEngine *engine, LxStream *stream, LcAttemptEnd end)
{
  lb_list_remove (stream->running ? &engine->running : &engine->waiting, &stream->link);
  if (!stream->silent)
    engine->listener.ended (engine->listener.user, engine, stream, end);
  free (stream);
}

static void
count_made (LxEngine *engine, const LxStream *stream, int64_t tokens)
{
  engine->tokens += tokens;
  engine->listener.made (engine->listener.user, engine, stream, tokens);
}

/* Sends the tokens made since the last piece. */
static void
send_piece (LxEngine *engine, LxStream *stream, int64_t tokens)
{
  LcPiece piece = { .offset = stream->offset,
                    .tokens = tokens,
                    .version = engine->is_service ? 0 : engine->version,
                    .last = stream->offset + tokens == stream->spec.length };

  stream->offset += tokens;
  count_made (engine, stream, tokens);
  if (!stream->silent)
    engine->listener.piece (engine->listener.user, engine, stream, &piece);
}

static void
finish_piece (LxEngine *engine, LxStream *stream)
{
  double made_at = stream->piece_clock;

  send_piece (engine, stream, stream->piece);
  if (stream->offset == stream->spec.length)
    end_stream (engine, stream, LC_END_COMPLETE);
  else
    plan_piece (stream, stream->spec.kind == LC_KIND_SAMPLE ? SAMPLE_PIECE : LIVE_PIECE, made_at);
}

static void
on_timer (void *owner, void *argument)
{
  LxEngine *engine = owner;

  if ((uintptr_t)argument != engine->timer)
    return;
  advance (engine);
  LB_LIST_FOREACH (&engine->running, LxStream, link, stream)
  {
    if (stream->piece_clock <= engine->clock + 1e-6)
      finish_piece (engine, stream);
  }
  fill_batch (engine);
  set_timer (engine);
}

static void
set_timer (LxEngine *engine)
{
  double next = INFINITY;

  engine->timer++;
  if (engine->paused)
    return;
  LB_LIST_FOREACH (&engine->running, LxStream, link, stream)
  {
    next = fmin (next, stream->piece_clock);
  }
  if (isinf (next))
    return;

  double wait = (next - engine->clock) * seconds_per_token (engine) * LB_SEC;
  LbTime at = lx_queue_now (engine->queue) + (LbTime)ceil (fmax (wait, 0));
  lx_queue_add (engine->queue, at, on_timer, engine, (void *)(uintptr_t)engine->timer, NULL);
}

static int
rank (const LxStreamSpec *spec)
{
  return (spec->kind == LC_KIND_SAMPLE ? 0 : 1000) + spec->priority;
}

static void
enqueue (LxEngine *engine, LxStream *stream)
{
  LbLink *place = &engine->waiting.head;

  while (place->prev != &engine->waiting.head
         && rank (&LB_CONTAINER (place->prev, LxStream, link)->spec) < rank (&stream->spec))
    place = place->prev;
  lb_list_insert_before (&engine->waiting, place, &stream->link);
}

bool
lx_engine_submit (LxEngine *engine, const LxStreamSpec *spec)
{
  if (engine->leaving || (!engine->is_service && engine->version == 0))
    return false;

  LxStream *stream = LB_NEW (LxStream);
  stream->spec = *spec;
  stream->offset = spec->offset;
  stream->arrived = lx_queue_now (engine->queue);
  advance (engine);
  enqueue (engine, stream);
  fill_batch (engine);
  set_timer (engine);
  return true;
}

static LxStream *
find_stream (LbList *list, uint64_t id)
{
  LB_LIST_FOREACH (list, LxStream, link, stream)
  {
    if (stream->spec.id == id)
      return stream;
  }
  return NULL;
}

/* The connection was closed: the stream ends without a word. Tokens made since its last piece count
 * as made. */
void
lx_engine_cancel (LxEngine *engine, uint64_t id)
{
  LxStream *stream = find_stream (&engine->running, id);

  if (!stream)
    stream = find_stream (&engine->waiting, id);
  if (!stream)
    return;
  advance (engine);
  if (stream->running)
    {
      double made = (double)stream->piece - (stream->piece_clock - engine->clock);
      if (made >= 1)
        {
          stream->offset += (int64_t)made;
          count_made (engine, stream, (int64_t)made);
        }
    }
  stream->silent = true;
  end_stream (engine, stream, LC_END_BROKEN);
  fill_batch (engine);
  set_timer (engine);
}

/* Sends what was made by the old version before the weights change, so that no piece has two. */
static void
flush_pieces (LxEngine *engine)
{
  LB_LIST_FOREACH (&engine->running, LxStream, link, stream)
  {
    int64_t made = stream->piece - (int64_t)ceil (stream->piece_clock - engine->clock);

    if (made > 0 && made < stream->piece)
      {
        send_piece (engine, stream, made);
        stream->piece -= made;
      }
  }
}

static void
on_swapped (void *owner, void *argument)
{
  LxEngine *engine = owner;

  if ((uintptr_t)argument != engine->life || !engine->alive)
    return;
  advance (engine);
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
      engine->version = engine->wanted;
    }
  fill_batch (engine);
  set_timer (engine);
}

static void
on_loaded (void *owner, void *argument)
{
  LxEngine *engine = owner;

  if ((uintptr_t)argument != engine->life || !engine->alive)
    return;
  advance (engine);
  flush_pieces (engine);
  engine->paused = true;
  set_timer (engine);
  lx_queue_add (engine->queue, lx_queue_now (engine->queue) + engine->times.pause, on_swapped,
                engine, argument, NULL);
}

/* Loads a version beside the one that serves, then changes to it; streams go on in between. */
void
lx_engine_load_version (LxEngine *engine, LcVersion version)
{
  if (!engine->alive || engine->loading || version == engine->version)
    return;
  engine->loading = true;
  engine->wanted = version;
  lx_queue_add (engine->queue, lx_queue_now (engine->queue) + engine->times.load, on_loaded, engine,
                (void *)(uintptr_t)engine->life, NULL);
}

static void
break_list (LxEngine *engine, LbList *list, bool silent)
{
  LB_LIST_FOREACH (list, LxStream, link, stream)
  {
    if (!silent)
      {
        end_stream (engine, stream, LC_END_BROKEN);
      }
    else if (!stream->silent)
      {
        stream->silent = true;
        engine->listener.went_silent (engine->listener.user, engine, stream);
      }
  }
}

/* All connections break, or go silent while their streams run on. */
void
lx_engine_break_streams (LxEngine *engine, bool silent)
{
  advance (engine);
  break_list (engine, &engine->running, silent);
  break_list (engine, &engine->waiting, silent);
  set_timer (engine);
}

void
lx_engine_crash (LxEngine *engine)
{
  lx_engine_break_streams (engine, false);
  engine->alive = false;
  engine->version = 0;
  engine->loading = false;
  engine->n_cached = 0;
}

/* A new process of the endpoint; version 0: no weights yet. */
void
lx_engine_start (LxEngine *engine, LcVersion version)
{
  advance (engine);
  engine->life++;
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
                            .tokens_per_second = 1.0 / seconds_per_token (engine),
                            .kv_used = (double)engine->running.length / (double)engine->concurrency,
                            .measured_at = lx_queue_now (engine->queue) };
  snprintf (report->incarnation, sizeof report->incarnation, "%.30s-%u", engine->name,
            engine->life);
}

size_t
lx_engine_count_in_progress (const LxEngine *engine)
{
  return engine->running.length + engine->waiting.length;
}
