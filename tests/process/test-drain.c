#include "pt-cluster.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>

typedef struct
{
  SiCheckedCallResult result;
  bool done;
} Answer;

static void
on_answer (const SiCheckedCallResult *result, void *user)
{
  Answer *answer = user;

  answer->result = *result;
  answer->done = true;
}

static bool
is_answered (PtCluster *cluster, void *user)
{
  (void)cluster;
  return ((Answer *)user)->done;
}

static bool
engine_has_started (PtCluster *cluster, void *user)
{
  return pt_read_log_counter (cluster, user, "started") > 0;
}

static bool
stream_has_started (PtCluster *cluster, void *user)
{
  return pt_count_runs (cluster, user, "a long envelope") > 0;
}

/* An instance is replaced while a clerk reads a long answer. If the process ends at SIGTERM, or
 * when its drain time is over, the clerk sees half an envelope. The stream must end whole, new
 * calls must be refused as not run, and only then does the process end, with 0. */
Test (drain, stream_in_progress_is_finished_before_the_exit)
{
  static const char *const slow[] = { "--tokens-per-second", "40", NULL };
  PtCluster cluster;
  Answer answer = { .done = false };

  pt_cluster_init (&cluster);
  cluster.has_memory_platform = true;
  PtProgram *engine = pt_start_engine (&cluster, "engine-1", slow);
  PtProgram *instance = pt_start_instance (&cluster, "i1", "hall-a");
  pt_apply_resources (&cluster, instance);
  pt_wait_ready (&cluster, instance);
  SiCheckedCallSpec spec = { .address = instance->address,
                             .model = "reader",
                             .prompt = "a long envelope",
                             .max_tokens = 120,
                             .stream = true };
  si_checked_call_start (cluster.client.pool, &spec, on_answer, &answer);
  pt_wait (&cluster, "the engine has the call", engine_has_started, engine);

  pt_process_signal (&instance->process, SIGTERM);
  pt_process_signal (&instance->process, SIGTERM);
  si_client_pause (&cluster.client, 100 * LB_MSEC);
  spec.prompt = "another";
  SiCheckedCallResult refused = pt_checked_call (&cluster, &spec);
  cr_assert_eq (refused.outcome, SI_CALL_NOT_RUN, "%d %s", refused.outcome, refused.error);
  cr_assert_eq (pt_count_runs (&cluster, engine, "another"), 0);

  pt_wait (&cluster, "the stream ends", is_answered, &answer);
  cr_assert_eq (answer.result.outcome, SI_CALL_COMPLETE, "%d %s", answer.result.outcome,
                answer.result.error);
  pt_wait_exit (&cluster, &instance->process, 0);
  pt_cluster_clear (&cluster);
}

static bool
pull_is_turned_away (PtCluster *cluster, void *user)
{
  const PtProgram *instance = user;
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/v1/subscriptions/reader-trainer/pull",
                        .body = "{\"step\": 1, \"cursor\": \"\", \"weight_version\": 1, "
                                "\"max_samples\": 1, \"wait_ms\": 10}",
                        .idle_timeout = LB_SEC };
  SiResponse answer;

  si_client_call (&cluster->client, &call, &answer);
  bool turned_away = strcmp (si_response_error (&answer), "draining") == 0;
  si_response_clear (&answer);
  return turned_away;
}

/* An instance is replaced while a trainer pulls through it a step that another one owns. Every
 * pull is passed on, so the trainer, well served, stays: a call is nearly always in progress and
 * the old process stays too, for a quarter of a minute where it was seen. Once its drain time is
 * over it must turn the trainer away. A long stream keeps it alive here, so that it can answer. */
Test (drain, trainer_that_stays_is_turned_away)
{
  static const char *const slow[] = { "--tokens-per-second", "20", NULL };
  PtCluster cluster;
  Answer answer = { .done = false };

  pt_cluster_init (&cluster);
  pt_start_platform (&cluster);
  PtProgram *engine = pt_start_engine (&cluster, "engine-1", slow);
  PtProgram *leaving = pt_start_instance (&cluster, "i1", "hall-a");
  PtProgram *owner = pt_start_instance (&cluster, "i2", "hall-b");
  pt_apply_resources (&cluster, leaving);
  pt_wait_ready (&cluster, leaving);
  pt_wait_ready (&cluster, owner);
  json_object_put (si_client_call_json (
      &cluster.client, owner->address, "/v1/subscriptions/reader-trainer/steps",
      "{\"step\": 1, \"weight_version\": 1, \"groups\": [{\"id\": \"g0\", \"prompt\": \"p\", "
      "\"samples\": 1, \"max_tokens\": 120}]}"));
  pt_wait (&cluster, "the step runs", engine_has_started, engine);
  const SiCheckedCallSpec spec = { .address = leaving->address,
                                   .model = "reader",
                                   .prompt = "a long envelope",
                                   .max_tokens = 120,
                                   .stream = true };
  si_checked_call_start (cluster.client.pool, &spec, on_answer, &answer);
  pt_wait (&cluster, "the stream runs", stream_has_started, engine);

  pt_process_signal (&leaving->process, SIGTERM);
  pt_wait (&cluster, "the trainer is turned away", pull_is_turned_away, leaving);
  pt_wait (&cluster, "the stream ends", is_answered, &answer);
  cr_assert_eq (answer.result.outcome, SI_CALL_COMPLETE);
  pt_wait_exit (&cluster, &leaving->process, 0);
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}

/* An instance is replaced while the store answers nothing. What waits for the store is dropped at
 * the exit; under the sanitizers each forgotten piece of it shows as a leak and as an exit code
 * that is not 0, and so would one that is used after its task has ended. */
Test (drain, store_that_answers_nothing_does_not_spoil_the_exit)
{
  static const char *const engine_options[] = { "--version", "1", NULL };
  PtCluster cluster;

  pt_cluster_init (&cluster);
  pt_start_platform (&cluster);
  pt_start_engine (&cluster, "engine-1", engine_options);
  pt_start_instance (&cluster, "i1", "hall-a");
  pt_start_instance (&cluster, "i2", "hall-b");
  pt_apply_resources (&cluster, &cluster.instances[0]);
  pt_wait_ready (&cluster, &cluster.instances[0]);
  pt_wait_ready (&cluster, &cluster.instances[1]);
  pt_inject_fault (&cluster, &cluster.platform, "{\"mode\": \"hang\"}");
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}
