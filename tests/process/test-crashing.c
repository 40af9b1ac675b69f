#include "pt-shared.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A caller sends a request that crashes each endpoint that starts it, and retries with new ids at
 * different instances. If each instance counts crashes only during the lifetime of one request and
 * does not share the count, each retry reaches the restarted endpoints. In one run the three
 * endpoints of a service crashed nine times within twelve seconds, and the requests of all other
 * callers failed. Log of that run:
 *
 *   n0 attempt_ended id=c0 content=777f26cc65beacb0 attempt=1 endpoint=i-lookup-c outcome=broken
 *   n0 endpoint_checked endpoint=i-lookup-c connections=refused broken=[777f26cc65beacb0]
 *   n1 attempt_ended id=c4 content=777f26cc65beacb0 attempt=1 endpoint=i-lookup-c.1 outcome=broken
 *   n2 attempt_ended id=c322 content=777f26cc65beacb0 attempt=1 endpoint=i-lookup-c.2
 *   outcome=broken */

#define N_LOOKUPS 3
#define FATAL_BODY "BAD"
#define FATAL_BODY_BASE64 "QkFE"
/* After the third crash, all instances must know of the three crashes within this time. */
#define CRASH_PROPAGATION_TIME (3 * LB_SEC)
/* allowed runs of a fatal request after CRASH_PROPAGATION_TIME */
#define MAX_RUNS_AFTER_PROPAGATION 3
#define N_FATAL_CALL_REPEATS 12
#define N_BATCH_ITEMS 6
/* Time in which the runs of a batch's fatal item are counted. Without quarantine the item would run
 * more than MAX_RUNS_AFTER_PROPAGATION times in this time. */
#define BATCH_OBSERVATION_TIME (8 * LB_SEC)

typedef struct
{
  PsCluster cluster;
  SiEndpoint extra_lookups[N_LOOKUPS - 1];
  SiEndpoint *lookups[N_LOOKUPS];
  int n_calls_sent;
} Fixture;

static const char unsafe_route_json[]
    = ", {\"name\": \"once\", \"host\": \"h.example\", \"prefix\": \"/once/\", \"kind\":"
      " \"unsafe\", \"timeoutMs\": 20000, \"service\": \"lookups\", \"attempts\": 3}";

static void
fixture_start_cluster_with_crashing_endpoints (Fixture *fixture)
{
  static const char *const names[] = { "i-lookup-b", "i-lookup-c" };

  fixture->n_calls_sent = 0;
  ps_cluster_init (&fixture->cluster);
  ps_put_desired_state (&fixture->cluster, 1, unsafe_route_json);
  fixture->lookups[0] = &fixture->cluster.lookup;
  for (int i = 0; i < N_LOOKUPS - 1; i++)
    {
      cr_assert (si_endpoint_init (&fixture->extra_lookups[i], fixture->cluster.base,
                                   &fixture->cluster.store, names[i], "lookups", ""));
      fixture->lookups[i + 1] = &fixture->extra_lookups[i];
    }
  for (int i = 0; i < N_LOOKUPS; i++)
    fixture->lookups[i]->fatal_body = FATAL_BODY;
  for (int i = 0; i < PS_N_ENGINES; i++)
    fixture->cluster.engines[i].fatal_body = FATAL_BODY;
  for (int i = 0; i < PS_MAX_INSTANCES; i++)
    ps_start_instance (&fixture->cluster);
}

static void
fixture_clear (Fixture *fixture)
{
  for (int i = 0; i < N_LOOKUPS - 1; i++)
    si_endpoint_clear (&fixture->extra_lookups[i]);
  ps_cluster_clear (&fixture->cluster);
}

static void
run_event_loop_for (Fixture *fixture, LbTime duration)
{
  LbTime end = lb_clock_monotonic () + duration;

  while (lb_clock_monotonic () < end)
    ps_run_event_loop_once (&fixture->cluster);
}

/* Sends a call with an unused id and waits for the response, which is then in fixture->cluster. */
static void
send_call_with_new_id (Fixture *fixture, size_t instance, const char *path, const char *body)
{
  char id[32];

  snprintf (id, sizeof id, "c%d", fixture->n_calls_sent++);
  ps_call_and_wait (&fixture->cluster, instance, "POST", path, id, body);
}

static bool
is_call_served (Fixture *fixture, size_t instance, const char *path, const char *body)
{
  send_call_with_new_id (fixture, instance, path, body);
  return fixture->cluster.response_status == 200;
}

static int
count_lookup_crashes (const Fixture *fixture)
{
  int n = 0;

  for (int i = 0; i < N_LOOKUPS; i++)
    n += fixture->lookups[i]->crashes;
  return n;
}

static int
count_fatal_lookup_runs (const Fixture *fixture)
{
  int n = 0;

  for (int i = 0; i < N_LOOKUPS; i++)
    n += fixture->lookups[i]->fatal_requests;
  return n;
}

static int
count_engine_crashes (const Fixture *fixture)
{
  int n = 0;

  for (int i = 0; i < PS_N_ENGINES; i++)
    n += fixture->cluster.engines[i].crashes;
  return n;
}

static int
count_fatal_engine_runs (const Fixture *fixture)
{
  int n = 0;

  for (int i = 0; i < PS_N_ENGINES; i++)
    n += fixture->cluster.engines[i].fatal_requests;
  return n;
}

/* Sends the fatal call to the instances in turn until three crashes of lookup endpoints. */
static void
crash_three_lookup_endpoints (Fixture *fixture, const char *path)
{
  for (size_t i = 0; count_lookup_crashes (fixture) < 3; i++)
    {
      send_call_with_new_id (fixture, i % PS_MAX_INSTANCES, path, FATAL_BODY);
      run_event_loop_for (fixture, 10 * LB_MSEC);
    }
}

/* Sends the fatal call to the instances in turn, N_FATAL_CALL_REPEATS times. Before each one, a
 * harmless call must succeed at that instance: it proves that the instance has a live endpoint. */
static void
repeat_fatal_call_at_all_instances (Fixture *fixture, const char *path)
{
  for (size_t i = 0; i < N_FATAL_CALL_REPEATS; i++)
    {
      size_t instance = i % PS_MAX_INSTANCES;
      PS_WAIT_UNTIL (&fixture->cluster, is_call_served (fixture, instance, "/lookup/8", "GOOD"));
      send_call_with_new_id (fixture, instance, path, FATAL_BODY);
    }
}

static void
assert_call_rejected_with_retry_time (const Fixture *fixture)
{
  cr_assert_eq (fixture->cluster.response_status, 503, "expected status 503, got %d: %s",
                fixture->cluster.response_status, fixture->cluster.response_body);
  cr_assert_neq (fixture->cluster.retry_after[0], '\0');
}

/* After three crashes the fatal call must be rejected with 503 and a retry time. Calls with the
 * same path or a similar body must be served. */
Test (crashing, repeated_fatal_call_is_quarantined)
{
  Fixture fixture;

  fixture_start_cluster_with_crashing_endpoints (&fixture);
  crash_three_lookup_endpoints (&fixture, "/lookup/7");
  run_event_loop_for (&fixture, CRASH_PROPAGATION_TIME);
  int runs_before = count_fatal_lookup_runs (&fixture);
  repeat_fatal_call_at_all_instances (&fixture, "/lookup/7");
  cr_assert_leq (count_fatal_lookup_runs (&fixture) - runs_before, MAX_RUNS_AFTER_PROPAGATION);
  assert_call_rejected_with_retry_time (&fixture);
  cr_assert (is_call_served (&fixture, 0, "/lookup/7", "GOOD"));
  cr_assert (is_call_served (&fixture, 1, "/lookup/9", "BAD?"));
  fixture_clear (&fixture);
}

/* An instance does not rerun a call on an unsafe route, so each run is a new request of the caller.
 * Such a call must be quarantined after three crashes too. */
Test (crashing, repeated_unsafe_fatal_call_is_quarantined)
{
  Fixture fixture;

  fixture_start_cluster_with_crashing_endpoints (&fixture);
  crash_three_lookup_endpoints (&fixture, "/once/7");
  run_event_loop_for (&fixture, CRASH_PROPAGATION_TIME);
  int runs_before = count_fatal_lookup_runs (&fixture);
  repeat_fatal_call_at_all_instances (&fixture, "/once/7");
  cr_assert_leq (count_fatal_lookup_runs (&fixture) - runs_before, MAX_RUNS_AFTER_PROPAGATION);
  assert_call_rejected_with_retry_time (&fixture);
  fixture_clear (&fixture);
}

/* All instances are killed and restarted. They must quarantine the call because of the crash
 * reports in the store. */
Test (crashing, quarantine_survives_restart_of_all_instances)
{
  Fixture fixture;

  fixture_start_cluster_with_crashing_endpoints (&fixture);
  crash_three_lookup_endpoints (&fixture, "/lookup/7");
  run_event_loop_for (&fixture, CRASH_PROPAGATION_TIME);
  int runs_before = count_fatal_lookup_runs (&fixture);
  for (size_t i = 0; i < PS_MAX_INSTANCES; i++)
    pt_process_clear (&fixture.cluster.instances[i].process);
  for (size_t i = 0; i < PS_MAX_INSTANCES; i++)
    ps_restart_instance (&fixture.cluster, i);
  repeat_fatal_call_at_all_instances (&fixture, "/lookup/7");
  cr_assert_leq (count_fatal_lookup_runs (&fixture) - runs_before, MAX_RUNS_AFTER_PROPAGATION);
  assert_call_rejected_with_retry_time (&fixture);
  fixture_clear (&fixture);
}

/* Endpoints crash while the store is down, and only instance 0 sees the crashes. Its crash reports
 * must reach the other instances once the store is back. */
Test (crashing, crashes_during_store_outage_are_reported_afterwards)
{
  Fixture fixture;

  fixture_start_cluster_with_crashing_endpoints (&fixture);
  fixture.cluster.store.mode = SI_ROW_STORE_UNAVAILABLE;
  PS_WAIT_UNTIL (&fixture.cluster,
                 (ps_call_and_wait (&fixture.cluster, 0, "POST", "/lookup/7", "c", FATAL_BODY),
                  count_lookup_crashes (&fixture) >= 3));
  fixture.cluster.store.mode = SI_ROW_STORE_NORMAL;
  run_event_loop_for (&fixture, CRASH_PROPAGATION_TIME);
  int runs_before = count_fatal_lookup_runs (&fixture);
  repeat_fatal_call_at_all_instances (&fixture, "/lookup/7");
  cr_assert_leq (count_fatal_lookup_runs (&fixture) - runs_before, MAX_RUNS_AFTER_PROPAGATION);
  fixture_clear (&fixture);
}

/* --- Fatal items of a batch --- */

/* Submits a batch with one fatal request: the third item, or the scorer call of the third item. */
static void
submit_fatal_batch (Fixture *fixture, bool is_scorer_fatal)
{
  char *text = ps_make_batch_json (N_BATCH_ITEMS);
  struct json_object *batch = json_tokener_parse (text);
  struct json_object *items = lb_json_member (batch, "requests");
  struct json_object *item = json_object_array_get_idx (items, 2);
  struct json_object *fatal = is_scorer_fatal ? lb_json_member (item, "scorer") : item;

  json_object_object_add (fatal, "body", json_object_new_string (FATAL_BODY_BASE64));
  ps_call_and_wait (&fixture->cluster, 0, "POST", "/steps/1", "b1",
                    json_object_to_json_string (batch));
  cr_assert_eq (fixture->cluster.response_status, 202);
  json_object_put (batch);
  free (text);
}

/* A batch has one item that crashes engines. That item must be quarantined, and the other items and
 * the next batch must complete. */
Test (crashing, fatal_sample_is_quarantined)
{
  Fixture fixture;

  fixture_start_cluster_with_crashing_endpoints (&fixture);
  submit_fatal_batch (&fixture, false);
  PS_WAIT_UNTIL (&fixture.cluster, count_engine_crashes (&fixture) >= 3);
  run_event_loop_for (&fixture, CRASH_PROPAGATION_TIME);
  int runs_before = count_fatal_engine_runs (&fixture);
  run_event_loop_for (&fixture, BATCH_OBSERVATION_TIME);
  cr_assert_leq (count_fatal_engine_runs (&fixture) - runs_before, MAX_RUNS_AFTER_PROPAGATION);
  PS_WAIT_UNTIL (&fixture.cluster,
                 ps_count_results_on_first_page (&fixture.cluster, 1, "b1") == N_BATCH_ITEMS - 1);
  ps_submit_batch (&fixture.cluster, 1, "b2", N_BATCH_ITEMS);
  PS_WAIT_UNTIL (&fixture.cluster,
                 ps_count_results_on_first_page (&fixture.cluster, 2, "b2") == N_BATCH_ITEMS);
  fixture_clear (&fixture);
}

/* Lets endpoints crash under one request of a batch until n_crashes, then makes them sound. */
static void
let_endpoints_crash_and_recover (Fixture *fixture, bool is_scorer_hit, int n_crashes)
{
  submit_fatal_batch (fixture, is_scorer_hit);
  PS_WAIT_UNTIL (&fixture->cluster,
                 count_engine_crashes (fixture) + count_lookup_crashes (fixture) >= n_crashes);
  for (int i = 0; i < PS_N_ENGINES; i++)
    fixture->cluster.engines[i].fatal_body = NULL;
  for (int i = 0; i < N_LOOKUPS; i++)
    fixture->lookups[i]->fatal_body = NULL;
}

/* Endpoints crash three times while they run the same sound item, or its scorer call, and all is
 * calm afterwards. The item must be placed again and listed, like all others. */
Test (crashing, sound_item_is_placed_again_after_crashes)
{
  for (int is_scorer_hit = 0; is_scorer_hit < 2; is_scorer_hit++)
    {
      Fixture fixture;
      fixture_start_cluster_with_crashing_endpoints (&fixture);
      let_endpoints_crash_and_recover (&fixture, is_scorer_hit, 3);
      PS_WAIT_UNTIL (&fixture.cluster,
                     ps_count_results_on_first_page (&fixture.cluster, 1, "b1") == N_BATCH_ITEMS);
      ps_assert_each_item_has_one_result (&fixture.cluster, 1, "b1", N_BATCH_ITEMS);
      fixture_clear (&fixture);
    }
}

/* A batch has one item whose scorer call, sent by the instance, crashes lookup endpoints. That call
 * must be quarantined, and the other items must complete. */
Test (crashing, fatal_scorer_call_is_quarantined)
{
  Fixture fixture;

  fixture_start_cluster_with_crashing_endpoints (&fixture);
  submit_fatal_batch (&fixture, true);
  PS_WAIT_UNTIL (&fixture.cluster, count_lookup_crashes (&fixture) >= 3);
  run_event_loop_for (&fixture, CRASH_PROPAGATION_TIME);
  int runs_before = count_fatal_lookup_runs (&fixture);
  run_event_loop_for (&fixture, BATCH_OBSERVATION_TIME);
  cr_assert_leq (count_fatal_lookup_runs (&fixture) - runs_before, MAX_RUNS_AFTER_PROPAGATION);
  PS_WAIT_UNTIL (&fixture.cluster,
                 ps_count_results_on_first_page (&fixture.cluster, 1, "b1") == N_BATCH_ITEMS - 1);
  fixture_clear (&fixture);
}
