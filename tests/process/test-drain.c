#include "pt-world.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>

typedef struct
{
  SiLiveResult result;
  bool done;
} Answer;

static void
on_answer (const SiLiveResult *result, void *user)
{
  Answer *answer = user;

  answer->result = *result;
  answer->done = true;
}

static bool
is_answered (PtWorld *world, void *user)
{
  (void)world;
  return ((Answer *)user)->done;
}

static bool
engine_has_started (PtWorld *world, void *user)
{
  return pt_log_number (world, user, "started") > 0;
}

/* An instance is replaced while a clerk reads a long answer. If the process ends at SIGTERM, or
 * when its drain time is over, the clerk sees half an envelope. The stream must end whole, new
 * calls must be refused as not run, and only then does the process end, with 0. */
Test (drain, stream_in_progress_is_finished_before_the_exit)
{
  static const char *const slow[] = { "--tokens-per-second", "40", NULL };
  PtWorld world;
  Answer answer = { .done = false };

  pt_world_init (&world);
  world.in_memory = true;
  PtProgram *engine = pt_start_engine (&world, "engine-1", slow);
  PtProgram *instance = pt_start_instance (&world, "i1", "hall-a");
  pt_apply_all (&world, instance);
  pt_wait_ready (&world, instance);
  SiLiveSpec spec = { .address = instance->address,
                      .model = "reader",
                      .prompt = "a long envelope",
                      .max_tokens = 120,
                      .stream = true };
  si_live_start (world.client.pool, &spec, on_answer, &answer);
  pt_wait (&world, "the engine has the call", engine_has_started, engine);

  pt_process_signal (&instance->process, SIGTERM);
  pt_process_signal (&instance->process, SIGTERM);
  si_client_pause (&world.client, 100 * LB_MSEC);
  spec.prompt = "another";
  SiLiveResult refused = pt_live (&world, &spec);
  cr_assert_eq (refused.outcome, SI_LIVE_NOT_RUN, "%d %s", refused.outcome, refused.error);
  cr_assert_eq (pt_runs (&world, engine, "another"), 0);

  pt_wait (&world, "the stream ends", is_answered, &answer);
  cr_assert_eq (answer.result.outcome, SI_LIVE_WHOLE, "%d %s", answer.result.outcome,
                answer.result.error);
  pt_wait_exit (&world, &instance->process, 0);
  pt_world_clear (&world);
}
