#include "pt-cluster.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEAVING_BOUND (3 * LB_SEC)

static bool
has_tokens (PtCluster *cluster, void *user)
{
  return pt_read_log_counter (cluster, user, "tokens") > 0;
}

/* Work that the endpoint was given, whether it took it or not. */
static int64_t
count_asked (PtCluster *cluster, PtProgram *endpoint)
{
  return pt_read_log_counter (cluster, endpoint, "started")
         + pt_read_log_counter (cluster, endpoint, "refused");
}

/* Load in the background, one engine told to leave, the other stays. */
static void
leave_under_load (PtCluster *cluster, void (*leave) (PtCluster *cluster, PtProgram *engine))
{
  static const char *const load_options[]
      = { "--rate",    "60", "--concurrency", "40", "--count",  "100000",
          "--seconds", "8",  "--max-tokens",  "40", "--stream", "--expect-all",
          NULL };
  static const char *const slow[] = { "--tokens-per-second", "100", NULL };
  PtProcess load;

  cluster->has_memory_platform = true;
  PtProgram *leaving = pt_start_engine (cluster, "engine-1", slow);
  pt_start_engine (cluster, "engine-2", slow);
  PtProgram *instance = pt_start_instance (cluster, "i1", "hall-a");
  pt_apply_resources (cluster, instance);
  pt_wait_ready (cluster, instance);
  pt_start_load (cluster, &load, load_options);
  pt_wait (cluster, "the engine that will leave has work", has_tokens, leaving);

  leave (cluster, leaving);
  si_client_pause (&cluster->client, LEAVING_BOUND);
  int64_t after_bound = count_asked (cluster, leaving);
  struct json_object *summary = pt_wait_summary (cluster, &load);
  cr_assert_eq (count_asked (cluster, leaving), after_bound);
  cr_assert_eq (pt_read_log_counter (cluster, leaving, "cancelled"), 0);
  cr_assert (pt_process_has_exited (&load, 0), "%s", json_object_to_json_string (summary));
  cr_assert_gt (si_json_int (summary, "whole", 0), 100);
  json_object_put (summary);
  pt_process_clear (&load);
}

static void
leave_by_itself (PtCluster *cluster, PtProgram *engine)
{
  pt_inject_fault (cluster, engine, "{\"mode\": \"leaving\"}");
}

static void
leave_by_resource (PtCluster *cluster, PtProgram *engine)
{
  char changes[512];
  SiResponse answer;

  snprintf (changes, sizeof changes,
            "{\"apply\": [{\"kind\": \"endpoint\", \"name\": \"%s\", \"type\": \"engine\","
            " \"pool\": \"reader\", \"address\": \"%s\", \"data_centre\": \"hall-a\","
            " \"concurrency\": 32, \"checks_fence\": true, \"leaving\": true}]}",
            engine->name, engine->address);
  pt_apply_change (cluster, &cluster->instances[0], changes, "*", &answer);
  cr_assert (si_response_is_ok (&answer), "%s", answer.body);
  si_response_clear (&answer);
}

/* An engine says that it leaves, to be shut down soon. New work that still goes there, by a retry,
 * an old load report or the queue, dies with it. After 3 s there may be none, and what it had
 * before must end whole. */
Test (leaving, engine_that_says_so_gets_no_new_work_after_3_s)
{
  PtCluster cluster;

  pt_cluster_init (&cluster);
  leave_under_load (&cluster, leave_by_itself);
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}

/* The same, told by an operator's resource while the engine itself knows nothing of it. */
Test (leaving, engine_that_the_operator_retires_gets_no_new_work_after_3_s)
{
  PtCluster cluster;

  pt_cluster_init (&cluster);
  leave_under_load (&cluster, leave_by_resource);
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}

/* None of the calls that were said not to have run has run. */
static void
check_not_run (PtCluster *cluster, struct json_object *summary, PtProgram *one, PtProgram *other)
{
  struct json_object *not_run = NULL;

  json_object_object_get_ex (summary, "not_run_keys", &not_run);
  for (size_t i = 0; i < json_object_array_length (not_run); i++)
    {
      const char *key = json_object_get_string (json_object_array_get_idx (not_run, i));
      cr_assert_eq (pt_count_runs (cluster, one, key), 0, "%s", key);
      cr_assert (!other || pt_count_runs (cluster, other, key) == 0, "%s", key);
    }
}

/* An engine crashes while clerks read from it. Their answers go on at another engine from the last
 * word, and never with one word twice or one left out; who does not get the whole answer is told by
 * a typed error, and "not run" only if no engine began. */
Test (crash, answers_are_continued_on_another_engine)
{
  static const char *const load_options[]
      = { "--concurrency", "8",  "--count",  "40", "--callers", "40",
          "--max-tokens",  "60", "--stream", NULL };
  static const char *const slow[] = { "--tokens-per-second", "100", NULL };
  PtCluster cluster;
  PtProcess load;

  pt_cluster_init (&cluster);
  cluster.has_memory_platform = true;
  PtProgram *crashing = pt_start_engine (&cluster, "engine-1", slow);
  PtProgram *other = pt_start_engine (&cluster, "engine-2", slow);
  PtProgram *instance = pt_start_instance (&cluster, "i1", "hall-a");
  pt_apply_resources (&cluster, instance);
  pt_wait_ready (&cluster, instance);
  pt_start_load (&cluster, &load, load_options);
  pt_wait (&cluster, "the engine that will crash has work", has_tokens, crashing);
  pt_process_signal (&crashing->process, SIGKILL);

  struct json_object *summary = pt_wait_summary (&cluster, &load);
  cr_assert (pt_process_has_exited (&load, 0), "%s", json_object_to_json_string (summary));
  cr_assert_gt (si_json_int (summary, "whole", 0), 20);
  check_not_run (&cluster, summary, other, NULL);
  cr_assert_gt (pt_read_log_counter (&cluster, other, "resumed"), 0);
  cr_assert_eq (pt_read_log_counter (&cluster, other, "resume_mismatches"), 0);
  json_object_put (summary);
  pt_process_clear (&load);
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}

/* Two faults at once: every stream of one engine breaks after some words, and the other refuses
 * every second call. Callers still get whole answers or a typed error, and what was said not to
 * have run has not run. */
Test (faults, broken_streams_and_refusals_give_whole_answers_or_typed_errors)
{
  static const char *const load_options[]
      = { "--concurrency", "8", "--count", "60", "--max-tokens", "30", "--stream", NULL };
  static const char *const fast[] = { "--tokens-per-second", "500", NULL };
  PtCluster cluster;
  PtProcess load;

  pt_cluster_init (&cluster);
  cluster.has_memory_platform = true;
  PtProgram *breaking = pt_start_engine (&cluster, "engine-1", fast);
  PtProgram *refusing = pt_start_engine (&cluster, "engine-2", fast);
  PtProgram *instance = pt_start_instance (&cluster, "i1", "hall-a");
  pt_apply_resources (&cluster, instance);
  pt_wait_ready (&cluster, instance);
  pt_inject_fault (&cluster, breaking, "{\"mode\": \"break\", \"count\": 6, \"tokens\": 5}");
  pt_inject_fault (&cluster, refusing, "{\"mode\": \"refuse\", \"count\": 4}");
  pt_start_load (&cluster, &load, load_options);

  struct json_object *summary = pt_wait_summary (&cluster, &load);
  cr_assert (pt_process_has_exited (&load, 0), "%s", json_object_to_json_string (summary));
  cr_assert_gt (si_json_int (summary, "whole", 0), 30);
  check_not_run (&cluster, summary, breaking, refusing);
  json_object_put (summary);
  pt_process_clear (&load);
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}
