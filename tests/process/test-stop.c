#include "pt-shared.h"

#include "lb-alloc.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_CALLS 2048
#define CALL_INTERVAL (12 * LB_MSEC)
#define CALL_DURATION (80 * LB_MSEC)
/* Limit from SIGTERM to the exit. The drain time is 0.3 s; the rest is for a busy machine. */
#define STOP_LIMIT (6 * LB_SEC)

typedef struct
{
  char id[16];
  bool has_run; /* the endpoint received the call */
  bool is_done;
  LbErrorCode failure; /* LB_OK: the response is complete */
  int status;
  LbTime ended_at;
  bool says_close; /* the response has the header Connection: close */
} Call;

/* Callers that keep the address of an instance and call it at a constant rate. */
typedef struct
{
  PsCluster *cluster;
  const char *method;
  const char *path;
  Call calls[MAX_CALLS];
  size_t n_calls;
  LbTime next_call_at;
} SteadyCallers;

static void
record_run (SiEndpoint *endpoint, const char *id, void *user)
{
  (void)endpoint;
  SteadyCallers *callers = user;

  if (id[0] == 'k')
    callers->calls[atoi (id + 1)].has_run = true;
}

static void
record_response (LhFetch *fetch, const LhResult *result, void *user)
{
  Call *call = user;
  const char *connection = lh_fetch_get_response_header (fetch, "Connection");

  call->is_done = true;
  call->failure = result->failure;
  call->status = result->status;
  call->ended_at = lb_clock_monotonic ();
  call->says_close = connection && strcmp (connection, "close") == 0;
}

static void
start_call (SteadyCallers *callers)
{
  Call *call = &callers->calls[callers->n_calls];
  const LhHeader headers[]
      = { { "Attempt-Id", call->id }, { "Deadline-Ms", "5000" }, { "Wait-Ms", "200" } };
  const LhHandlers handlers = { .on_done = record_response };
  const LhRequest request = { .method = callers->method,
                              .address = callers->cluster->instances[0].address,
                              .path = callers->path,
                              .host = "h.example",
                              .headers = headers,
                              .n_headers = 3,
                              .body = "hello",
                              .body_length = 5,
                              .fresh_connection = callers->n_calls % 4 == 0 };

  cr_assert_lt (callers->n_calls, MAX_CALLS);
  snprintf (call->id, sizeof call->id, "k%zu", callers->n_calls++);
  lh_fetch_start (callers->cluster->pool, &request, &handlers, call, NULL);
}

static void
run_steady_callers_once (SteadyCallers *callers)
{
  LbTime now = lb_clock_monotonic ();

  if (now >= callers->next_call_at)
    {
      callers->next_call_at = now + CALL_INTERVAL;
      start_call (callers);
    }
  ps_run_event_loop_once (callers->cluster);
}

static void
run_steady_callers_for (SteadyCallers *callers, LbTime duration)
{
  LbTime end = lb_clock_monotonic () + duration;

  while (lb_clock_monotonic () < end)
    run_steady_callers_once (callers);
}

static bool
are_all_calls_done (const SteadyCallers *callers)
{
  for (size_t i = 0; i < callers->n_calls; i++)
    if (!callers->calls[i].is_done)
      return false;
  return true;
}

static void
stop_instance_under_steady_calls (SteadyCallers *callers, size_t instance)
{
  PtProcess *process = &callers->cluster->instances[instance].process;
  LbTime stopped_at = lb_clock_monotonic ();

  pt_process_signal (process, SIGTERM);
  while (!process->ended && lb_clock_monotonic () < stopped_at + STOP_LIMIT)
    run_steady_callers_once (callers);
  cr_assert (process->ended, "the instance still runs %.1f s after SIGTERM",
             (double)(lb_clock_monotonic () - stopped_at) / LB_SEC);
  cr_assert (pt_process_has_exited (process, 0), "wait status %x", process->status);
  PS_WAIT_UNTIL (callers->cluster, are_all_calls_done (callers));
}

/* A call that ran must have its answer, and a call without one must not have run. */
static void
assert_no_call_was_cut (const SteadyCallers *callers)
{
  for (size_t i = 0; i < callers->n_calls; i++)
    {
      const Call *call = &callers->calls[i];
      bool is_answered = call->failure == LB_OK && call->status == 200;
      cr_assert_eq (call->has_run, is_answered, "%s: ran %d, failure %s, status %d", call->id,
                    call->has_run, lb_error_name (call->failure), call->status);
      if (call->failure == LB_OK && call->status != 200)
        cr_assert_eq (call->status, 503, "%s: status %d", call->id, call->status);
    }
}

static size_t
count_answers_since (const SteadyCallers *callers, LbTime since, bool must_say_close)
{
  size_t n = 0;

  for (size_t i = 0; i < callers->n_calls; i++)
    n += callers->calls[i].is_done && callers->calls[i].failure == LB_OK
         && callers->calls[i].status == 200 && callers->calls[i].ended_at > since
         && (!must_say_close || callers->calls[i].says_close);
  return n;
}

/* Callers keep the address of an instance that gets SIGTERM, and call it every 12 ms; a call takes
 * 80 ms, so a call is in progress at every moment. A process that waits for a moment without a call
 * never exits. After its drain time the instance must accept no more calls, finish those in
 * progress and exit. */
Test (stop, instance_exits_under_steady_calls)
{
  PsCluster cluster;
  SteadyCallers *callers = LB_NEW (SteadyCallers);
  const SiEndpointListener listener = { .on_call = record_run };

  ps_cluster_init (&cluster);
  *callers = (SteadyCallers){ .cluster = &cluster, .method = "POST", .path = "/lookup/x" };
  cluster.lookup.call_duration = CALL_DURATION;
  cluster.lookup.listener = &listener;
  cluster.lookup.user = callers;
  size_t instance = ps_start_instance (&cluster);
  run_steady_callers_for (callers, LB_SEC);
  cr_assert_geq (count_answers_since (callers, 0, false), 10);

  LbTime stopped_at = lb_clock_monotonic ();
  stop_instance_under_steady_calls (callers, instance);
  assert_no_call_was_cut (callers);
  cr_assert_geq (count_answers_since (callers, stopped_at + 150 * LB_MSEC, true), 3,
                 "calls are served during the drain time");
  ps_cluster_clear (&cluster);
  free (callers);
}

/* Trainers keep the address of the owner of their batch and wait there for results, several at a
 * time, so that such a call is in progress at every moment after SIGTERM too. The owner must exit,
 * and the batch must be completed by another instance. */
Test (stop, instance_exits_while_trainers_wait_for_results)
{
  PsCluster cluster;
  SteadyCallers *callers = LB_NEW (SteadyCallers);

  ps_cluster_init (&cluster);
  *callers = (SteadyCallers){ .cluster = &cluster, .method = "GET", .path = "/-/lots/b1?after=30" };
  ps_start_two_instances_with_batch (&cluster);
  run_steady_callers_for (callers, 300 * LB_MSEC);

  stop_instance_under_steady_calls (callers, 0);
  for (size_t i = 0; i < callers->n_calls; i++)
    if (callers->calls[i].failure == LB_OK && callers->calls[i].status != 503)
      cr_assert_eq (callers->calls[i].status, 200, "%s: status %d", callers->calls[i].id,
                    callers->calls[i].status);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 1, "b1") == 30);
  ps_assert_each_item_has_one_result (&cluster, 1, "b1", 30);
  ps_cluster_clear (&cluster);
  free (callers);
}
