#include "lt-local-commands.h"

#include "lt-arguments.h"

#include "lt-command.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lc-change.h"
#include "lc-dispatch.h"
#include "lc-membership.h"
#include "lc-rollouts.h"
#include "lw-message.h"

#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OPERATIONS_PER_MEASUREMENT 20000
#define OPERATIONS_PER_SLOW_MEASUREMENT 200
#define GROUPS_PER_STEP 256
#define SAMPLES_PER_GROUP 8
#define TOKENS_PER_SAMPLE 365
#define TOKENS_PER_ANSWER_PIECE 16
#define N_WAITING_REQUESTS 2000

/* Collects measurements: time per operation, and bytes per message or per object in memory. Prints
 * each measurement immediately unless json is set. */
typedef struct
{
  struct json_object *array;
  bool json;
} Measurements;

static void
add_measurement (
    Measurements *measurements, const char *what, size_t size, double microseconds, double bytes)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "what", json_object_new_string (what));
  json_object_object_add (object, "size", json_object_new_int64 ((int64_t)size));
  json_object_object_add (object, "microseconds", json_object_new_double (microseconds));
  json_object_object_add (object, "bytes", json_object_new_double (bytes));
  json_object_array_add (measurements->array, object);
  if (!measurements->json)
    printf ("%-34s %6zu %12.3f us %12.1f bytes\n", what, size, microseconds, bytes);
}

static double
get_allocated_heap_bytes (void)
{
  return (double)mallinfo2 ().uordblks;
}

static double
get_microseconds_per_operation (LbTime started_at, size_t n_operations)
{
  return (double)(lb_clock_monotonic () - started_at) / (double)n_operations;
}

static LcResourceSet *
make_resource_set (size_t n_endpoints)
{
  LcResourceSet *set = LB_NEW (LcResourceSet);

  set->revision = 1;
  set->pools = LB_NEW_ARRAY (LcPool, 1);
  set->n_pools = 1;
  set->pools[0] = (LcPool){ .name = "pool",
                            .model = "model",
                            .live_reserve = 0.25,
                            .queue_limit = 4096,
                            .roll_out_percent = 25 };
  set->subscriptions = LB_NEW_ARRAY (LcSubscription, 1);
  set->n_subscriptions = 1;
  set->subscriptions[0] = (LcSubscription){
    .name = "trainer", .pool = "pool", .share = 1, .idle_weight = 0.8, .hedge_budget = 0.1
  };
  set->endpoints = LB_NEW_ARRAY (LcEndpointMember, n_endpoints);
  set->n_endpoints = n_endpoints;
  for (size_t i = 0; i < n_endpoints; i++)
    {
      LcEndpointMember *member = &set->endpoints[i];
      snprintf (member->name, LB_NAME_MAX, "engine-%zu", i);
      snprintf (member->address, LB_NAME_MAX, "10.0.%zu.%zu:9000", i / 250, i % 250);
      snprintf (member->data_centre, LB_NAME_MAX, "dc-%zu", i % 7);
      LB_COPY (member->pool, "pool");
      member->concurrency = 32;
      member->checks_fence = true;
    }
  return set;
}

static void
make_load_report (size_t engine_index, LbTime now, LcLoadReport *report)
{
  *report = (LcLoadReport){ .version = 3,
                            .running = (int64_t)(engine_index * 7 % 20),
                            .waiting = (int64_t)(engine_index * 5 % 3),
                            .tokens_per_second = 60,
                            .measured_at = now };
  snprintf (report->incarnation, sizeof report->incarnation, "engine-%zu-1", engine_index);
}

/* Measures the time of a routing decision among n_endpoints endpoints, including the request
 * accounting of the chosen endpoint, and the memory per endpoint. */
static void
measure_routing_decision (Measurements *measurements, size_t n_endpoints)
{
  LcResourceSet *set = make_resource_set (n_endpoints);
  double before = get_allocated_heap_bytes ();
  LcEndpoints *endpoints = lc_endpoints_new ();
  LcRouter *router = lc_router_new ("lentilspindle", 1);
  LbTime now = LB_SEC;
  LcRouteQuery query = { .kind = LC_KIND_LIVE,
                         .pool = "pool",
                         .data_centre = "dc-1",
                         .n_prefix_hashes = 4,
                         .prompt_tokens = 256,
                         .expected_tokens = 64,
                         .live_reserve = 0.25 };

  lc_endpoints_configure (endpoints, set, now);
  for (size_t i = 0; i < n_endpoints; i++)
    {
      LcLoadReport load;
      make_load_report (i, now, &load);
      lc_endpoints_record_load_report (endpoints, lc_endpoints_at (endpoints, i)->member.name,
                                       &load, now);
    }
  double memory = (get_allocated_heap_bytes () - before) / (double)n_endpoints;
  LbTime started_at = lb_clock_monotonic ();
  for (uint64_t i = 0; i < OPERATIONS_PER_MEASUREMENT; i++)
    {
      const uint64_t hashes[] = { i % 40 + 1, i % 40 + 1001, i % 40 + 2001, i + 100000 };
      query.prefix_hashes = hashes;
      now += 500;
      LcRouteDecision decision = lc_router_choose_endpoint (router, endpoints, &query, now);
      if (!decision.endpoint)
        continue;
      lc_endpoint_request_sent (decision.endpoint, LC_KIND_LIVE, hashes[2], now);
      lc_endpoint_request_ended (decision.endpoint, LC_KIND_LIVE, true, 64, LB_SEC, now);
    }
  add_measurement (measurements, "routing-decision", n_endpoints,
                   get_microseconds_per_operation (started_at, OPERATIONS_PER_MEASUREMENT), 0);
  add_measurement (measurements, "endpoint-memory", n_endpoints, 0, memory);
  lc_router_free (router);
  lc_endpoints_free (endpoints);
  lc_resource_set_free (set);
}

/* Measures the time to process a load report, sent by n_endpoints endpoints in turn. */
static void
measure_load_report_processing (Measurements *measurements, size_t n_endpoints)
{
  LcResourceSet *set = make_resource_set (n_endpoints);
  LcDispatchSettings settings = { .policy = "lentilspindle", .queue_limit = 4096 };
  LcDispatch *dispatch = lc_dispatch_new (&settings);
  LbTime now = LB_SEC;
  LbList actions;

  lb_list_init (&actions);
  lc_dispatch_configure (dispatch, set, now, &actions);
  LbTime started_at = lb_clock_monotonic ();
  for (size_t i = 0; i < OPERATIONS_PER_MEASUREMENT; i++)
    {
      LcLoadReport load;
      now += 100;
      make_load_report (i % n_endpoints, now, &load);
      lc_dispatch_record_load_report (dispatch, set->endpoints[i % n_endpoints].name, &load, now,
                                      &actions);
    }
  add_measurement (measurements, "load-report", n_endpoints,
                   get_microseconds_per_operation (started_at, OPERATIONS_PER_MEASUREMENT), 0);
  lc_dispatch_free (dispatch);
  lc_resource_set_free (set);
}

/* Measures the time to queue a request and the memory of a queued request. All requests stay queued
 * because no endpoint has loaded min_version of the weights. */
static void
measure_request_queueing (Measurements *measurements)
{
  LcResourceSet *set = make_resource_set (10);
  LcDispatchSettings settings = { .policy = "lentilspindle", .queue_limit = 4096 };
  LcDispatch *dispatch = lc_dispatch_new (&settings);
  LbList actions;

  lb_list_init (&actions);
  lc_dispatch_configure (dispatch, set, LB_SEC, &actions);
  double before = get_allocated_heap_bytes ();
  LbTime started_at = lb_clock_monotonic ();
  for (uint64_t i = 1; i <= N_WAITING_REQUESTS; i++)
    {
      LcRequestSpec spec = { .id = i,
                             .kind = LC_KIND_LIVE,
                             .pool = "pool",
                             .repeatable = true,
                             .expected_tokens = 64,
                             .min_version = 1000,
                             .deadline = LB_TIME_NEVER };
      LbTime retry_after;
      LbError error;
      snprintf (spec.caller, LB_NAME_MAX, "caller-%" PRIu64, i % 50);
      lc_dispatch_submit (dispatch, &spec, LB_SEC + (LbTime)i, &actions, &retry_after, &error);
    }
  size_t waiting = lc_dispatch_count_waiting_requests (dispatch, LC_KIND_LIVE);
  if (waiting > 0)
    add_measurement (measurements, "waiting-request", waiting,
                     get_microseconds_per_operation (started_at, N_WAITING_REQUESTS),
                     (get_allocated_heap_bytes () - before) / (double)waiting);
  while (!lb_list_is_empty (&actions))
    lc_action_free (LB_CONTAINER (lb_list_pop (&actions), LcAction, link));
  lc_dispatch_free (dispatch);
  lc_resource_set_free (set);
}

/* State of a training step executed by LcRollouts, which plans the step's samples, and LcDispatch,
 * which sends the samples' requests to simulated endpoints that answer immediately. */
typedef struct
{
  LcDispatch *dispatch;
  LcRollouts *rollouts;
  LbList actions;
  LbList rollout_actions;
  LbTime now;
  size_t n_ledger_writes;
  size_t ledger_bytes; /* size in bytes of the last row written to the step's ledger */
  size_t n_samples;
  size_t n_decisions;
  char *cursor;
} Step;

static void
simulate_endpoint_answer (Step *step, const LcAction *send)
{
  for (int64_t offset = 0; offset < TOKENS_PER_SAMPLE; offset += TOKENS_PER_ANSWER_PIECE)
    {
      LcPiece piece = { .offset = offset, .tokens = TOKENS_PER_ANSWER_PIECE, .version = 3 };
      if (offset + TOKENS_PER_ANSWER_PIECE >= TOKENS_PER_SAMPLE)
        {
          piece.tokens = TOKENS_PER_SAMPLE - offset;
          piece.last = true;
        }
      step->now += 10;
      if (lc_dispatch_receive_piece (step->dispatch, send->request, send->attempt, &piece,
                                     step->now, &step->actions)
          == LC_PIECE_FORWARD)
        lc_rollouts_add_generated_piece (step->rollouts, send->request, &piece, send->endpoint,
                                         step->now, &step->rollout_actions);
    }
  lc_dispatch_record_attempt_end (step->dispatch, send->request, send->attempt, LC_END_COMPLETE,
                                  step->now, &step->actions);
}

static void
execute_dispatch_action (Step *step, const LcAction *action)
{
  if (action->type == LC_ACTION_SEND)
    {
      step->n_decisions++;
      simulate_endpoint_answer (step, action);
    }
  else if (action->type == LC_ACTION_FINISH)
    {
      lc_rollouts_finish_generation (step->rollouts, action->request, action->error,
                                     lb_strdup ("text"), step->now, &step->rollout_actions);
    }
}

static void
execute_rollout_action (Step *step, const LcRolloutAction *action)
{
  LbTime retry_after;
  LbError error;

  switch (action->type)
    {
    case LC_ROLLOUT_GENERATE:
      lc_dispatch_submit (step->dispatch, &action->spec, step->now, &step->actions, &retry_after,
                          &error);
      break;
    case LC_ROLLOUT_CANCEL:
      lc_dispatch_cancel (step->dispatch, action->spec.id, step->now, &step->actions);
      break;
    case LC_ROLLOUT_WRITE_LEDGER:
      step->n_ledger_writes++;
      step->ledger_bytes = strlen (action->row_value);
      lc_rollouts_finish_ledger_write (step->rollouts, action->write_id, LB_OK, step->now,
                                       &step->rollout_actions);
      break;
    case LC_ROLLOUT_REPLY:
      step->n_samples += action->n_samples;
      free (step->cursor);
      step->cursor = lb_strdup (action->cursor ? action->cursor : "");
      break;
    default:
      break;
    }
}

static void
execute_pending_actions (Step *step)
{
  for (;;)
    {
      if (!lb_list_is_empty (&step->rollout_actions))
        {
          LcRolloutAction *action
              = LB_CONTAINER (lb_list_pop (&step->rollout_actions), LcRolloutAction, link);
          execute_rollout_action (step, action);
          lc_rollout_action_free (action);
        }
      else if (!lb_list_is_empty (&step->actions))
        {
          LcAction *action = LB_CONTAINER (lb_list_pop (&step->actions), LcAction, link);
          execute_dispatch_action (step, action);
          lc_action_free (action);
        }
      else
        {
          return;
        }
    }
}

static void
fill_training_step_spec (LcStepSpec *spec)
{
  LB_COPY (spec->subscription, "trainer");
  spec->step = 1;
  spec->trainer_version = 3;
  spec->n_groups = GROUPS_PER_STEP;
  spec->groups = LB_NEW_ARRAY (LcGroupSpec, GROUPS_PER_STEP);
  for (size_t i = 0; i < GROUPS_PER_STEP; i++)
    {
      snprintf (spec->groups[i].id, LB_NAME_MAX, "g%zu", i);
      spec->groups[i].prompt = lb_strdup ("a prompt");
      spec->groups[i].samples = SAMPLES_PER_GROUP;
      spec->groups[i].max_tokens = 4096;
    }
}

static void
pull_training_step_samples (Step *step, uint64_t pull_id)
{
  char *cursor = lb_strdup (step->cursor);
  LcPull request = { .id = pull_id,
                     .subscription = "trainer",
                     .step = 1,
                     .cursor = cursor,
                     .trainer_version = 3,
                     .max_samples = 64,
                     .wait_until = step->now + LB_SEC };

  step->now += 100 * LB_MSEC;
  lc_rollouts_accept_pull (step->rollouts, &request, step->now, &step->rollout_actions);
  execute_pending_actions (step);
  if (lc_rollouts_next_tick_at (step->rollouts) <= step->now)
    lc_rollouts_tick (step->rollouts, step->now, &step->rollout_actions);
  if (lc_dispatch_next_tick (step->dispatch) <= step->now)
    lc_dispatch_tick (step->dispatch, step->now, &step->actions);
  execute_pending_actions (step);
  free (cursor);
}

static void
init_training_step (Step *step, const LcResourceSet *set)
{
  LcDispatchSettings dispatch = { .policy = "lentilspindle", .queue_limit = 4096 };
  LcRolloutSettings rollouts = lc_rollout_settings_default ();

  *step = (Step){ .now = LB_SEC, .cursor = lb_strdup ("") };
  lb_list_init (&step->actions);
  lb_list_init (&step->rollout_actions);
  step->dispatch = lc_dispatch_new (&dispatch);
  step->rollouts = lc_rollouts_new (&rollouts);
  lc_dispatch_configure (step->dispatch, set, step->now, &step->actions);
  lc_rollouts_configure (step->rollouts, set, step->now, &step->rollout_actions);
  for (size_t i = 0; i < set->n_endpoints; i++)
    {
      LcLoadReport load;
      make_load_report (i, step->now, &load);
      load.running = 0;
      load.waiting = 0;
      lc_dispatch_record_load_report (step->dispatch, set->endpoints[i].name, &load, step->now,
                                      &step->actions);
    }
}

static void
measure_training_step (Measurements *measurements, size_t n_endpoints)
{
  const size_t slots = GROUPS_PER_STEP * SAMPLES_PER_GROUP;
  LcResourceSet *set = make_resource_set (n_endpoints);
  LcStepSpec spec = { 0 };
  LbError error = { 0 };
  Step step;

  init_training_step (&step, set);
  fill_training_step_spec (&spec);
  double before = get_allocated_heap_bytes ();
  LbTime started_at = lb_clock_monotonic ();
  lc_rollouts_open_step (step.rollouts, &spec, 1, step.now, &step.rollout_actions, &error);
  double memory = get_allocated_heap_bytes () - before;
  execute_pending_actions (&step);
  for (uint64_t i = 1; step.n_samples < slots && i < 10000; i++)
    pull_training_step_samples (&step, i);
  if (step.n_samples == slots)
    {
      add_measurement (measurements, "sample-life", n_endpoints,
                       get_microseconds_per_operation (started_at, slots), memory / (double)slots);
      add_measurement (measurements, "ledger-write", slots, 0, (double)step.ledger_bytes);
      add_measurement (measurements, "ledger-writes-of-a-step", slots, 0,
                       (double)step.n_ledger_writes);
    }
  else
    {
      fprintf (stderr, "lentilspindle cost: the step delivered only %zu of %zu samples\n",
               step.n_samples, slots);
    }
  lc_step_spec_clear (&spec);
  free (step.cursor);
  lc_rollouts_free (step.rollouts);
  lc_dispatch_free (step.dispatch);
  lc_resource_set_free (set);
}

static void
make_instance (size_t instance_index, LcInstance *instance)
{
  *instance = (LcInstance){ .epoch = 1700000000000, .version = 3, .state = LC_INSTANCE_ALIVE };
  snprintf (instance->name, LB_NAME_MAX, "i%zu", instance_index);
  snprintf (instance->incarnation, LB_NAME_MAX, "i%zu-5f3a91", instance_index);
  snprintf (instance->data_centre, LB_NAME_MAX, "dc-%zu", instance_index % 7);
  snprintf (instance->caller_address, LB_NAME_MAX, "10.1.%zu.%zu:8080", instance_index / 250,
            instance_index % 250);
  snprintf (instance->peer_address, LB_NAME_MAX, "10.1.%zu.%zu:8081", instance_index / 250,
            instance_index % 250);
}

static void
free_membership_actions (LbList *actions)
{
  while (!lb_list_is_empty (actions))
    lc_membership_action_free (
        LB_CONTAINER (lb_list_pop (actions), LcMembershipAction, link_in_list));
}

/* Measures the memory per known instance, and the time of a membership tick after one received
 * heartbeat. The membership knows n_instances instances. */
static void
measure_membership_tick (Measurements *measurements, size_t n_instances)
{
  LcMembershipSettings settings = lc_membership_settings_default ();
  LcInstance *instances = LB_NEW_ARRAY (LcInstance, n_instances);
  LbTime now = LB_SEC;
  LbList actions;

  lb_list_init (&actions);
  for (size_t i = 0; i < n_instances; i++)
    make_instance (i, &instances[i]);
  settings.self = instances[0];
  double before = get_allocated_heap_bytes ();
  LcMembership *membership = lc_membership_new (&settings, now);
  LcLinkId link = lc_membership_link_accepted (membership, &instances[1], now, &actions);
  lc_membership_updates_received (membership, link, instances, n_instances, now, &actions);
  free_membership_actions (&actions);
  add_measurement (measurements, "peer-memory", n_instances, 0,
                   (get_allocated_heap_bytes () - before) / (double)n_instances);
  LbTime started_at = lb_clock_monotonic ();
  for (size_t i = 0; i < OPERATIONS_PER_SLOW_MEASUREMENT; i++)
    {
      now += LB_SEC / 10;
      lc_membership_frame_received (membership, link, now);
      lc_membership_digest_received (membership, link, i, now);
      lc_membership_tick (membership, now, &actions);
      free_membership_actions (&actions);
    }
  add_measurement (measurements, "membership-tick", n_instances,
                   get_microseconds_per_operation (started_at, OPERATIONS_PER_SLOW_MEASUREMENT), 0);
  lc_membership_free (membership);
  free (instances);
}

static void
measure_message_codec (Measurements *measurements, const char *what, LwMessage *message)
{
  size_t length = 0;
  LbTime started_at = lb_clock_monotonic ();

  for (size_t i = 0; i < OPERATIONS_PER_MEASUREMENT; i++)
    {
      LwMessage decoded = { 0 };
      LbError error;
      uint8_t *frame = lw_message_encode (message, &length);
      lw_message_decode (frame + LW_FRAME_HEADER_BYTES, length - LW_FRAME_HEADER_BYTES, &decoded,
                         &error);
      lw_message_clear (&decoded);
      free (frame);
    }
  add_measurement (measurements, what, 1,
                   get_microseconds_per_operation (started_at, OPERATIONS_PER_MEASUREMENT),
                   (double)length);
}

static void
measure_membership_messages (Measurements *measurements)
{
  LcInstance instance;
  LwMessage ping = { .type = LW_PING, .digest = 0x123456789abcdefu };
  LwMessage update = { .type = LW_INSTANCES, .instances = &instance, .n_instances = 1 };

  make_instance (1, &instance);
  measure_message_codec (measurements, "heartbeat-frame", &ping);
  measure_message_codec (measurements, "instance-news-frame", &update);
}

/* Measures the time and memory that an instance needs to apply a change of one endpoint to a
 * resource set with n_endpoints endpoints. */
static void
measure_configuration_change (Measurements *measurements, size_t n_endpoints)
{
  static const char text[] = "{\"apply\": [{\"kind\": \"endpoint\", \"name\": \"engine-3\","
                             "\"type\": \"engine\", \"pool\": \"pool\", \"address\":"
                             "\"10.0.0.3:9000\", \"data_centre\": \"dc-1\", \"leaving\": true,"
                             "\"checks_fence\": true, \"concurrency\": 32}]}";
  LcResourceSet *set = make_resource_set (n_endpoints);
  struct json_object *change = json_tokener_parse (text);
  struct json_object *set_object = lc_resource_set_to_json (set);
  LbError error = { 0 };
  LbTime started_at = lb_clock_monotonic ();
  double memory = 0;

  for (size_t i = 0; i < OPERATIONS_PER_SLOW_MEASUREMENT; i++)
    {
      double before = get_allocated_heap_bytes ();
      LcResourceSet *next = lc_change_apply_to_resource_set (set, change, "cost", &error);
      memory = get_allocated_heap_bytes () - before;
      lc_resource_set_free (next);
    }
  add_measurement (measurements, "configuration-change", n_endpoints,
                   get_microseconds_per_operation (started_at, OPERATIONS_PER_SLOW_MEASUREMENT),
                   (double)strlen (text));
  add_measurement (measurements, "configuration-memory", n_endpoints, 0, memory);
  add_measurement (measurements, "configuration-whole-set", n_endpoints, 0,
                   (double)strlen (
                       json_object_to_json_string_ext (set_object, JSON_C_TO_STRING_PLAIN)));
  json_object_put (set_object);
  json_object_put (change);
  lc_resource_set_free (set);
}

static void
run_all_measurements (Measurements *measurements)
{
  static const size_t endpoint_counts[] = { 10, 100, 600 };
  static const size_t instance_counts[] = { 10, 100, 350 };

  for (size_t i = 0; i < 3; i++)
    measure_routing_decision (measurements, endpoint_counts[i]);
  for (size_t i = 0; i < 3; i++)
    measure_load_report_processing (measurements, endpoint_counts[i]);
  measure_request_queueing (measurements);
  for (size_t i = 0; i < 3; i++)
    measure_training_step (measurements, endpoint_counts[i]);
  for (size_t i = 0; i < 3; i++)
    measure_membership_tick (measurements, instance_counts[i]);
  measure_membership_messages (measurements);
  for (size_t i = 0; i < 3; i++)
    measure_configuration_change (measurements, endpoint_counts[i]);
}

/* Measures the CPU time and memory of decisions on this machine. tools/capacity generates a part of
 * docs/CAPACITY.md from the JSON output. */
int
lt_run_cost_command (int argc, char **argv)
{
  struct arg_lit *json = arg_lit0 (NULL, "json", "print a JSON array");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { json, help, end };
  int errors = arg_parse (argc, argv, table);
  int code = LT_EXIT_USAGE;
  Measurements measurements = { .json = json->count > 0 };

  if (help->count > 0)
    {
      lt_print_help (table, "cost",
                     "Measures the time and memory of decisions, in microseconds and bytes.");
      code = LT_EXIT_OK;
      goto out;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, end, "lentilspindle cost");
      goto out;
    }
  lb_log_init (LB_LOG_OFF, 2, NULL);
  measurements.array = json_object_new_array ();
  run_all_measurements (&measurements);
  if (measurements.json)
    puts (json_object_to_json_string_ext (measurements.array, JSON_C_TO_STRING_PRETTY));
  json_object_put (measurements.array);
  code = LT_EXIT_OK;
out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
