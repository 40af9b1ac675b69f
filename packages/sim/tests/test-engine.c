#include "lx-engine.h"

#include <criterion/criterion.h>
#include <stdlib.h>

static const LxEngineTimes times = { .token_seconds = 0.01,
                                     .token_seconds_per_other = 0.0,
                                     .prefill_token_seconds = 0.001,
                                     .max_cached_blocks = 8,
                                     .load_time = LB_SEC,
                                     .pause_time = 100 * LB_MSEC };

typedef struct
{
  int64_t tokens;
  int64_t tokens_by_version[4];
  int n_ends;
  LbTime ended_at;
  LxQueue *queue;
} EngineOutput;

static void
check_and_record_piece (void *user, LxEngine *engine, const LxStream *stream, const LcPiece *piece)
{
  EngineOutput *output = user;

  (void)engine;
  (void)stream;
  cr_assert_eq (piece->offset, output->tokens);
  output->tokens += piece->tokens;
  output->tokens_by_version[piece->version] += piece->tokens;
}

static void
check_and_record_stream_end (void *user, LxEngine *engine, const LxStream *stream, LcAttemptEnd end)
{
  EngineOutput *output = user;

  (void)engine;
  (void)stream;
  cr_assert_eq (end, LC_END_COMPLETE);
  output->n_ends++;
  output->ended_at = lx_queue_now (output->queue);
}

static void
ignore_generated_tokens (void *user, LxEngine *engine, const LxStream *stream, int64_t tokens)
{
  (void)user;
  (void)engine;
  (void)stream;
  (void)tokens;
}

static LxEngine *
make_started_engine (LxQueue *queue, EngineOutput *output)
{
  LxEngine *engine = lx_engine_new ("e1", queue, &times);

  engine->concurrency = 4;
  engine->listener = (LxEngineListener){ .on_piece = check_and_record_piece,
                                         .on_end = check_and_record_stream_end,
                                         .on_generated = ignore_generated_tokens,
                                         .user = output };
  output->queue = queue;
  lx_engine_start (engine, 1);
  return engine;
}

Test (engine, stream_ends_after_its_service_time_with_each_token_sent_once)
{
  LxQueue *queue = lx_queue_new ();
  EngineOutput output = { 0 };
  LxEngine *engine = make_started_engine (queue, &output);
  LbTime started_at = lx_queue_now (queue);

  cr_assert (lx_engine_submit_stream (engine, &(LxStreamSpec){ .id = 1, .total_tokens = 100 }));
  while (lx_queue_run_next_event (queue, 100 * LB_SEC))
    continue;
  cr_assert_eq (output.tokens, 100);
  cr_assert_eq (output.n_ends, 1);
  cr_assert_lt (llabs (output.ended_at - started_at - LB_SEC), 100,
                "stream took %ld us, expected 1000000 us", (long)(output.ended_at - started_at));
  lx_engine_free (engine);
  lx_queue_free (queue);
}

Test (engine, pieces_after_a_weight_swap_carry_the_new_version)
{
  LxQueue *queue = lx_queue_new ();
  EngineOutput output = { 0 };
  LxEngine *engine = make_started_engine (queue, &output);

  lx_engine_submit_stream (engine, &(LxStreamSpec){ .id = 1, .total_tokens = 150 });
  lx_engine_load_version (engine, 2);
  while (lx_queue_run_next_event (queue, 100 * LB_SEC))
    continue;
  cr_assert_eq (output.tokens_by_version[1] + output.tokens_by_version[2], 150);
  cr_assert_gt (output.tokens_by_version[1], 95);
  cr_assert_gt (output.tokens_by_version[2], 45);
  lx_engine_free (engine);
  lx_queue_free (queue);
}
