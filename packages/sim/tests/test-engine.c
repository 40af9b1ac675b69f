#include "lx-engine.h"

#include <criterion/criterion.h>
#include <stdlib.h>

static const LxEngineTimes times = { .token = 0.01,
                                     .token_per_other = 0.0,
                                     .prefill = 0.001,
                                     .cached_blocks = 8,
                                     .load = LB_SEC,
                                     .pause = 100 * LB_MSEC };

typedef struct
{
  int64_t tokens;
  int64_t of_version[4];
  int ends;
  LbTime ended_at;
  LxQueue *queue;
} Heard;

static void
hear_piece (void *user, LxEngine *engine, const LxStream *stream, const LcPiece *piece)
{
  Heard *heard = user;

  (void)engine;
  (void)stream;
  cr_assert_eq (piece->offset, heard->tokens);
  heard->tokens += piece->tokens;
  heard->of_version[piece->version] += piece->tokens;
}

static void
hear_end (void *user, LxEngine *engine, const LxStream *stream, LcAttemptEnd end)
{
  Heard *heard = user;

  (void)engine;
  (void)stream;
  cr_assert_eq (end, LC_END_COMPLETE);
  heard->ends++;
  heard->ended_at = lx_queue_now (heard->queue);
}

static void
ignore_made (void *user, LxEngine *engine, const LxStream *stream, int64_t tokens)
{
  (void)user;
  (void)engine;
  (void)stream;
  (void)tokens;
}

static LxEngine *
make_engine (LxQueue *queue, Heard *heard)
{
  LxEngine *engine = lx_engine_new ("e1", queue, &times);

  engine->concurrency = 4;
  engine->listener = (LxEngineListener){
    .piece = hear_piece, .ended = hear_end, .made = ignore_made, .user = heard
  };
  heard->queue = queue;
  lx_engine_start (engine, 1);
  return engine;
}

Test (engine, a_stream_takes_its_service_time_and_sends_each_token_once)
{
  LxQueue *queue = lx_queue_new ();
  Heard heard = { 0 };
  LxEngine *engine = make_engine (queue, &heard);
  LbTime begun = lx_queue_now (queue);

  cr_assert (lx_engine_submit (engine, &(LxStreamSpec){ .id = 1, .length = 100 }));
  while (lx_queue_run_next (queue, 100 * LB_SEC))
    continue;
  cr_assert_eq (heard.tokens, 100);
  cr_assert_eq (heard.ends, 1);
  cr_assert_lt (llabs (heard.ended_at - begun - LB_SEC), 100, "took %ld",
                (long)(heard.ended_at - begun));
  lx_engine_free (engine);
  lx_queue_free (queue);
}

Test (engine, a_swap_in_mid_stream_shows_as_another_version)
{
  LxQueue *queue = lx_queue_new ();
  Heard heard = { 0 };
  LxEngine *engine = make_engine (queue, &heard);

  lx_engine_submit (engine, &(LxStreamSpec){ .id = 1, .length = 150 });
  lx_engine_load_version (engine, 2);
  while (lx_queue_run_next (queue, 100 * LB_SEC))
    continue;
  cr_assert_eq (heard.of_version[1] + heard.of_version[2], 150);
  cr_assert_gt (heard.of_version[1], 95);
  cr_assert_gt (heard.of_version[2], 45);
  lx_engine_free (engine);
  lx_queue_free (queue);
}
