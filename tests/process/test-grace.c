#include "pt-shared.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>

#define GRACE (4 * LB_SEC)
#define LONG_DEADLINE "15000" /* milliseconds */

/* A call and its response. */
typedef struct
{
  bool is_done;
  LbErrorCode failure; /* LB_OK: the response is complete */
  int status;
  bool has_retry_after;
} Call;

/* An instance that is told to stop, a plain service with a safe and an unsafe route, and callers.
 * The platform kills the instance at the end of the grace. */
typedef struct
{
  PsCluster cluster;
  LbTime stopped_at;
} Fixture;

static void
fixture_start (Fixture *f)
{
  memset (f, 0, sizeof *f);
  ps_cluster_init (&f->cluster);
  ps_put_desired_state (&f->cluster, 1,
                        ", {\"name\": \"once\", \"host\": \"h.example\", \"prefix\": \"/once/\","
                        " \"kind\": \"unsafe\", \"timeoutMs\": 20000, \"service\": \"lookups\","
                        " \"attempts\": 1}");
  f->cluster.drain_ms = 10000;
  f->cluster.grace_s = (double)GRACE / LB_SEC;
  ps_start_instance (&f->cluster);
}

static void
record_response (LhFetch *fetch, const LhResult *result, void *user)
{
  Call *call = user;

  call->is_done = true;
  call->failure = result->failure;
  call->status = result->status;
  call->has_retry_after = lh_fetch_get_response_header (fetch, "Retry-After") != NULL;
}

static void
start_call (Fixture *f, Call *call, const char *path, const char *id, const char *deadline_ms)
{
  const LhHeader headers[] = { { "Attempt-Id", id }, { "Deadline-Ms", deadline_ms } };
  const LhHandlers handlers = { .on_done = record_response };
  const LhRequest request = { .method = "POST",
                              .address = f->cluster.instances[0].address,
                              .path = path,
                              .host = "h.example",
                              .headers = headers,
                              .n_headers = 2,
                              .body = "hello",
                              .body_length = 5 };

  cr_assert (lh_fetch_start (f->cluster.pool, &request, &handlers, call, NULL));
}

static void
stop_instance (Fixture *f)
{
  pt_process_signal (&f->cluster.instances[0].process, SIGTERM);
  f->stopped_at = lb_clock_monotonic ();
}

/* Runs until the instance has exited, and kills it at the end of the grace. */
static void
run_until_end_of_grace (Fixture *f)
{
  PtProcess *process = &f->cluster.instances[0].process;

  while (!process->ended && lb_clock_monotonic () < f->stopped_at + GRACE)
    ps_run_event_loop_once (&f->cluster);
  cr_expect (process->ended, "the instance has to be killed");
  if (!process->ended)
    pt_process_signal (process, SIGKILL);
}

/* An unsafe request comes late in the grace and could run past its end. It must be refused as not
 * run, so that its caller sends it elsewhere, instead of being passed on and cut. */
Test (grace, an_unsafe_request_that_could_be_cut_is_refused)
{
  Fixture f;
  Call call = { 0 };

  fixture_start (&f);
  f.cluster.lookup.call_duration = 10 * LB_SEC;
  stop_instance (&f);
  PS_WAIT_UNTIL (&f.cluster, lb_clock_monotonic () > f.stopped_at + LB_SEC);
  start_call (&f, &call, "/once/1", "c1", LONG_DEADLINE);
  PS_WAIT_UNTIL (&f.cluster, call.is_done || lb_clock_monotonic () > f.stopped_at + GRACE);
  cr_expect (call.is_done && call.failure == LB_OK, "the request has no answer");
  cr_expect_eq (call.status, 503, "got status %d", call.status);
  cr_expect (call.has_retry_after);
  run_until_end_of_grace (&f);
  cr_assert_eq (f.cluster.lookup.n_calls, 0, "the refused request was passed on");
  ps_cluster_clear (&f.cluster);
}

/* Requests run while the instance is told to stop, and would run past the end of the grace; a safe
 * one comes later. Each must get an answer before the process is killed, and the process must exit.
 */
Test (grace, requests_that_still_run_are_answered_before_the_end)
{
  Fixture f;
  Call calls[3] = { 0 };

  fixture_start (&f);
  f.cluster.lookup.call_duration = 30 * LB_SEC;
  start_call (&f, &calls[0], "/once/1", "c0", LONG_DEADLINE);
  start_call (&f, &calls[1], "/lookup/1", "c1", LONG_DEADLINE);
  PS_WAIT_UNTIL (&f.cluster, f.cluster.lookup.n_calls >= 2);
  stop_instance (&f);
  PS_WAIT_UNTIL (&f.cluster, lb_clock_monotonic () > f.stopped_at + LB_SEC);
  start_call (&f, &calls[2], "/lookup/1", "c2", LONG_DEADLINE);
  run_until_end_of_grace (&f);
  PS_WAIT_UNTIL (&f.cluster, calls[0].is_done && calls[1].is_done && calls[2].is_done);
  for (int i = 0; i < 3; i++)
    {
      cr_expect_eq (calls[i].failure, LB_OK, "request %d was cut: %s", i,
                    lb_error_name (calls[i].failure));
      cr_expect (calls[i].status == 504 || calls[i].status == 502, "request %d: status %d", i,
                 calls[i].status);
    }
  ps_cluster_clear (&f.cluster);
}

/* Short requests that come in the grace are served as before, also unsafe ones whose own time limit
 * is before its end. */
Test (grace, short_requests_are_served_in_the_grace)
{
  Fixture f;
  Call calls[2] = { 0 };

  fixture_start (&f);
  f.cluster.lookup.call_duration = 20 * LB_MSEC;
  stop_instance (&f);
  start_call (&f, &calls[0], "/lookup/1", "c0", LONG_DEADLINE);
  start_call (&f, &calls[1], "/once/1", "c1", "1000");
  PS_WAIT_UNTIL (&f.cluster, calls[0].is_done && calls[1].is_done);
  for (int i = 0; i < 2; i++)
    cr_assert_eq (calls[i].status, 200, "request %d: status %d", i, calls[i].status);
  run_until_end_of_grace (&f);
  ps_cluster_clear (&f.cluster);
}
