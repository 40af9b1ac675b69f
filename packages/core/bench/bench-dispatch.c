/* Measures the time in microseconds and the memory in bytes that a request costs: its admission,
 * queueing, attempt, answer, refusal and ticket. Runs with several numbers of endpoints and of
 * waiting requests. Each time is the median of five runs. */

#include "lc-dispatch.h"
#include "lc-ticket.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_RUNS_PER_COST 5
#define N_REQUESTS 20000
#define N_CALLERS 100

typedef struct
{
  LcDispatch *dispatch;
  LcResourceSet set;
  LcPool pool;
  LcEndpointMember *members;
  LbList actions;
  LbTime now;
  LcRequestId last_id;
} Bench;

/* Costs of a queued request: microseconds for each operation, and the bytes that it takes in the
 * queue. */
typedef struct
{
  double submit;
  double dequeue;
  double expire;
  double refuse;
  double bytes;
} QueuedRequestCosts;

static void
dispatch_bench_init (Bench *bench, size_t n_endpoints, int64_t concurrency, int64_t queue_limit)
{
  LcDispatchSettings settings = {
    .max_report_age = LB_TIME_NEVER, .queue_limit = queue_limit, .retry_budget = 0.1, .seed = 1
  };

  memset (bench, 0, sizeof *bench);
  lb_list_init (&bench->actions);
  bench->now = LB_SEC;
  bench->members = LB_NEW_ARRAY (LcEndpointMember, n_endpoints);
  LB_COPY (bench->pool.name, "reader");
  bench->set = (LcResourceSet){ .revision = 1,
                                .pools = &bench->pool,
                                .n_pools = 1,
                                .endpoints = bench->members,
                                .n_endpoints = n_endpoints };
  for (size_t i = 0; i < n_endpoints; i++)
    {
      LcEndpointMember *member = &bench->members[i];

      member->concurrency = concurrency;
      snprintf (member->name, sizeof member->name, "engine-%zu", i);
      LB_COPY (member->pool, "reader");
    }
  bench->dispatch = lc_dispatch_new (&settings);
  lc_dispatch_configure (bench->dispatch, &bench->set, bench->now, &bench->actions);
  for (size_t i = 0; i < n_endpoints; i++)
    {
      LcLoadReport report = { .version = 1, .measured_at = bench->now };

      lc_dispatch_record_load_report (bench->dispatch, bench->members[i].name, &report, bench->now,
                                      &bench->actions);
    }
}

static void
free_pending_dispatch_actions (Bench *bench)
{
  LbLink *link = NULL;

  while ((link = lb_list_pop (&bench->actions)))
    lc_action_free (LB_CONTAINER (link, LcAction, link));
}

/* Exits with status 1 if the condition is false: the measured operation did not take place. */
static void
exit_with_failure_unless (bool condition, const char *failure)
{
  if (condition)
    return;
  fprintf (stderr, "bench-dispatch: %s\n", failure);
  exit (1);
}

static void
dispatch_bench_clear (Bench *bench)
{
  free_pending_dispatch_actions (bench);
  lc_dispatch_free (bench->dispatch);
  free (bench->members);
}

static bool
submit_live_request (Bench *bench, LbTime deadline)
{
  LcRequestSpec spec = { .id = ++bench->last_id,
                         .kind = LC_KIND_LIVE,
                         .repeatable = true,
                         .resumable = true,
                         .prompt_tokens = 200,
                         .expected_tokens = 100,
                         .n_prefix_hashes = 4,
                         .prefix_hashes = { 1, 2, 3, bench->last_id % 50 },
                         .deadline = deadline };
  LbTime retry_after = 0;

  LB_COPY (spec.pool, "reader");
  snprintf (spec.caller, sizeof spec.caller, "caller-%d", (int)(bench->last_id % N_CALLERS));
  return lc_dispatch_submit (bench->dispatch, &spec, bench->now, &bench->actions, &retry_after,
                             NULL);
}

static void
send_complete_answer_to_dispatch (Bench *bench, LcRequestId id)
{
  LcPiece piece = { .tokens = 100, .version = 1, .last = true };

  lc_dispatch_receive_piece (bench->dispatch, id, 1, &piece, bench->now, &bench->actions);
  lc_dispatch_record_attempt_end (bench->dispatch, id, 1, LC_END_COMPLETE, bench->now,
                                  &bench->actions);
}

static double
compute_micros_per_item_since (LbTime started_at, size_t n_items)
{
  return (double)(lb_clock_monotonic () - started_at) / (double)n_items;
}

static double
measure_queue_expiry (Bench *bench)
{
  size_t n_waiting = lc_dispatch_count_waiting_requests (bench->dispatch, LC_KIND_LIVE);
  LbTime started_at = lb_clock_monotonic ();

  bench->now += 200 * LB_SEC;
  lc_dispatch_tick (bench->dispatch, bench->now, &bench->actions);
  return compute_micros_per_item_since (started_at, n_waiting);
}

/* Returns the microseconds per call that an endpoint receives without queueing and answers in one
 * piece. */
static double
measure_answered_call_cost (size_t n_endpoints)
{
  Bench bench;

  dispatch_bench_init (&bench, n_endpoints, 64, 4096);

  LbTime started_at = lb_clock_monotonic ();

  for (int i = 0; i < N_REQUESTS; i++)
    {
      bench.now += LB_MSEC;
      submit_live_request (&bench, LB_TIME_NEVER);
      send_complete_answer_to_dispatch (&bench, bench.last_id);
      free_pending_dispatch_actions (&bench);
    }

  double cost = compute_micros_per_item_since (started_at, N_REQUESTS);

  exit_with_failure_unless (lc_dispatch_count_requests_in_progress (bench.dispatch) == 0,
                            "calls were not answered");
  dispatch_bench_clear (&bench);
  return cost;
}

/* Returns the microseconds per received piece of a streamed answer. */
static double
measure_stream_piece_cost (void)
{
  Bench bench;

  dispatch_bench_init (&bench, 10, 64, 4096);
  submit_live_request (&bench, LB_TIME_NEVER);

  LbTime started_at = lb_clock_monotonic ();

  for (int i = 0; i < N_REQUESTS; i++)
    {
      LcPiece piece = { .offset = i, .tokens = 1, .version = 1 };

      lc_dispatch_receive_piece (bench.dispatch, bench.last_id, 1, &piece, bench.now,
                                 &bench.actions);
    }

  double cost = compute_micros_per_item_since (started_at, N_REQUESTS);

  dispatch_bench_clear (&bench);
  return cost;
}

static QueuedRequestCosts
measure_queued_request_costs (size_t n_endpoints, size_t n_waiting)
{
  Bench bench;
  QueuedRequestCosts cost;

  dispatch_bench_init (&bench, n_endpoints, 1, (int64_t)n_waiting);
  for (size_t i = 0; i < n_endpoints; i++)
    submit_live_request (&bench, LB_TIME_NEVER);
  free_pending_dispatch_actions (&bench);

  size_t before = mallinfo2 ().uordblks;
  LbTime started_at = lb_clock_monotonic ();
  LcRequestId running_id = 1;

  for (size_t i = 0; i < n_waiting; i++)
    submit_live_request (&bench, bench.now + 100 * LB_SEC);
  cost.submit = compute_micros_per_item_since (started_at, n_waiting);
  cost.bytes = (double)(mallinfo2 ().uordblks - before) / (double)n_waiting;
  started_at = lb_clock_monotonic ();
  for (size_t i = 0; i < n_waiting; i++)
    submit_live_request (&bench, LB_TIME_NEVER);
  cost.refuse = compute_micros_per_item_since (started_at, n_waiting);
  started_at = lb_clock_monotonic ();
  for (size_t i = 0; i < n_waiting / 2; i++)
    {
      send_complete_answer_to_dispatch (&bench, running_id);
      LB_LIST_FOREACH (&bench.actions, LcAction, link, action)
      {
        if (action->type == LC_ACTION_SEND)
          running_id = action->request;
      }
      free_pending_dispatch_actions (&bench);
    }
  cost.dequeue = compute_micros_per_item_since (started_at, n_waiting / 2);
  exit_with_failure_unless (lc_dispatch_count_waiting_requests (bench.dispatch, LC_KIND_LIVE)
                                == n_waiting - n_waiting / 2,
                            "calls were not dequeued");
  cost.expire = measure_queue_expiry (&bench);
  dispatch_bench_clear (&bench);
  return cost;
}

static double
measure_ticket_micros_and_bytes (double *bytes_per_ticket)
{
  LcTicketLimits limits = { .lifetime = 600 * LB_SEC,
                            .max_tickets = N_REQUESTS,
                            .max_answer_bytes = N_REQUESTS * 200,
                            .seed = 1 };
  LcTickets *tickets = lc_tickets_new ("i1", "a", &limits);
  char text[LC_TICKET_SIZE];
  char answer_text[200] = { 0 };
  size_t before = mallinfo2 ().uordblks;
  LbTime started_at = lb_clock_monotonic ();

  for (LcRequestId id = 1; id <= N_REQUESTS; id++)
    {
      lc_tickets_issue (tickets, "shop", 0, text, NULL);
      lc_tickets_redeem (tickets, text, "shop", 1, id, 0);
      lc_tickets_finish_call (tickets, id, LB_OK, 200, answer_text, sizeof answer_text, 0);
    }

  double cost = compute_micros_per_item_since (started_at, N_REQUESTS);

  *bytes_per_ticket
      = (double)(mallinfo2 ().uordblks - before) / N_REQUESTS - (double)sizeof answer_text;
  lc_tickets_free (tickets);
  return cost;
}

static int
compare_doubles (const void *a, const void *b)
{
  double difference = *(const double *)a - *(const double *)b;

  return difference < 0 ? -1 : difference > 0;
}

static double
sort_and_get_median_of_runs (double *values)
{
  qsort (values, N_RUNS_PER_COST, sizeof *values, compare_doubles);
  return values[N_RUNS_PER_COST / 2];
}

static void
print_answered_call_cost (size_t n_endpoints)
{
  double runs[N_RUNS_PER_COST];

  for (int i = 0; i < N_RUNS_PER_COST; i++)
    runs[i] = measure_answered_call_cost (n_endpoints);
  printf ("complete call, %4zu endpoints        %8.2f us\n", n_endpoints,
          sort_and_get_median_of_runs (runs));
}

static void
print_queued_request_costs (size_t n_endpoints, size_t n_waiting)
{
  double submits[N_RUNS_PER_COST];
  double dequeues[N_RUNS_PER_COST];
  double expires[N_RUNS_PER_COST];
  double refuses[N_RUNS_PER_COST];
  double bytes = 0;

  for (int i = 0; i < N_RUNS_PER_COST; i++)
    {
      QueuedRequestCosts cost = measure_queued_request_costs (n_endpoints, n_waiting);

      submits[i] = cost.submit;
      dequeues[i] = cost.dequeue;
      expires[i] = cost.expire;
      refuses[i] = cost.refuse;
      bytes = cost.bytes;
    }
  printf ("%5zu waiting, %3zu endpoints: submit %6.2f us, refuse %6.2f us, dequeue %6.2f us, "
          "expire %6.2f us, %4.0f bytes each\n",
          n_waiting, n_endpoints, sort_and_get_median_of_runs (submits),
          sort_and_get_median_of_runs (refuses), sort_and_get_median_of_runs (dequeues),
          sort_and_get_median_of_runs (expires), bytes);
}

int
main (void)
{
  static const size_t endpoints[] = { 10, 100, 600 };
  static const size_t waiting[] = { 100, 1000, 4096, 16384 };
  double runs[N_RUNS_PER_COST];
  double bytes = 0;

  for (size_t i = 0; i < sizeof endpoints / sizeof endpoints[0]; i++)
    print_answered_call_cost (endpoints[i]);
  for (int i = 0; i < N_RUNS_PER_COST; i++)
    runs[i] = measure_stream_piece_cost ();
  printf ("piece of a stream                    %8.2f us\n", sort_and_get_median_of_runs (runs));
  for (size_t i = 0; i < sizeof waiting / sizeof waiting[0]; i++)
    print_queued_request_costs (9, waiting[i]);
  print_queued_request_costs (600, 4096);
  for (int i = 0; i < N_RUNS_PER_COST; i++)
    runs[i] = measure_ticket_micros_and_bytes (&bytes);
  printf ("ticket: issue, redeem and finish     %8.2f us, %.0f bytes without the answer\n",
          sort_and_get_median_of_runs (runs), bytes);
  return 0;
}
