/* Measures routing decisions and updates of the endpoint table in microseconds, and the memory of
 * the table in bytes per endpoint. */

#include "bench-fleet.h"
#include "lc-router.h"

#include "lb-clock.h"

#include <gsl/gsl_rng.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#define N_PREFIX_HASHES 8

static void
record_random_load_reports (LcEndpoints *endpoints, gsl_rng *rng, LbTime now)
{
  for (size_t i = 0; i < lc_endpoints_count (endpoints); i++)
    {
      LcLoadReport report = { .incarnation = "a",
                              .version = 1,
                              .running = (int64_t)gsl_rng_uniform_int (rng, 24),
                              .tokens_per_second = 30,
                              .measured_at = now };

      lc_endpoints_record_load_report (endpoints, lc_endpoints_at (endpoints, i)->member.name,
                                       &report, now);
    }
}

/* Prints the microseconds per routing decision for requests with 8 prefix hashes, and the memory of
 * the endpoint table in bytes per endpoint. */
static void
measure_routing_decision (const char *policy, int n_endpoints)
{
  const int rounds = 20000;
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  LcResourceSet set = bench_make_engine_resource_set (n_endpoints);
  size_t used_bytes = mallinfo2 ().uordblks;
  LcEndpoints *endpoints = lc_endpoints_new ();

  lc_endpoints_configure (endpoints, &set, 0);
  used_bytes = mallinfo2 ().uordblks - used_bytes;
  record_random_load_reports (endpoints, rng, LB_SEC);

  LcRouter *router = lc_router_new (policy, 1);
  uint64_t hashes[N_PREFIX_HASHES];
  LcRouteQuery query = { .kind = LC_KIND_LIVE,
                         .pool = "reader",
                         .data_centre = "hall-a",
                         .prefix_hashes = hashes,
                         .n_prefix_hashes = N_PREFIX_HASHES,
                         .prompt_tokens = 600,
                         .expected_tokens = 100 };
  LbTime duration = 0;

  for (int i = 0; i < rounds; i++)
    {
      LbTime now = 2 * LB_SEC + i * LB_MSEC;

      for (int j = 0; j < N_PREFIX_HASHES; j++)
        hashes[j] = bench_hash_pair ((uint64_t)(i % 100), (uint64_t)j);

      LbTime before = lb_clock_monotonic ();
      LcRouteDecision decision = lc_router_choose_endpoint (router, endpoints, &query, now);

      duration += lb_clock_monotonic () - before;
      lc_endpoint_request_sent (decision.endpoint, LC_KIND_LIVE, hashes[N_PREFIX_HASHES - 1], now);
      lc_endpoint_request_ended (decision.endpoint, LC_KIND_LIVE, true, 100, LB_SEC, now);
      if (i % 100 == 0)
        record_random_load_reports (endpoints, rng, now);
    }
  printf ("%-18s %9d %9.2f %9.0f\n", policy, n_endpoints, (double)duration / rounds,
          (double)used_bytes / n_endpoints);
  lc_router_free (router);
  lc_endpoints_free (endpoints);
  free (set.endpoints);
  gsl_rng_free (rng);
}

/* Records a lasting pace for each engine, fast and slow in turn, and fills the slots of the fast
 * engines. */
static void
record_paces_and_fill_fast_engines (LcEndpoints *endpoints, LbTime now)
{
  for (size_t i = 0; i < lc_endpoints_count (endpoints); i++)
    {
      LcEndpoint *endpoint = lc_endpoints_at (endpoints, i);
      LcLoadReport report = { .incarnation = "a", .version = 1, .measured_at = now };
      LbTime interval = (i % 2 == 0 ? 20 : 50) * LB_MSEC;

      lc_endpoints_record_load_report (endpoints, endpoint->member.name, &report, now);
      for (LbTime at = now; at < now + 3 * LB_SEC; at += interval)
        lc_endpoint_tokens_received (endpoint, 1, interval, at);
      for (int64_t j = 0; i % 2 == 0 && j < endpoint->member.concurrency; j++)
        lc_endpoint_request_sent (endpoint, LC_KIND_SAMPLE, 0, now + 3 * LB_SEC);
    }
}

/* Prints the microseconds per routing decision while all fast engines are full. A sample with few
 * expected tokens uses a slow engine; for one with many, the decision examines the full engines
 * too, and the sample waits for one of them. */
static void
measure_decision_to_wait (int n_endpoints, int64_t expected_tokens)
{
  const int rounds = 20000;
  LcResourceSet set = bench_make_engine_resource_set (n_endpoints);
  LcEndpoints *endpoints = lc_endpoints_new ();
  LcRouter *router = lc_router_new ("", 1);
  LbTime now = 4 * LB_SEC;
  LcRouteDecision decision = { 0 };

  lc_endpoints_configure (endpoints, &set, 0);
  record_paces_and_fill_fast_engines (endpoints, LB_SEC);

  const LcRouteQuery query = { .kind = LC_KIND_SAMPLE,
                               .pool = "reader",
                               .data_centre = "hall-a",
                               .prompt_tokens = 600,
                               .expected_tokens = expected_tokens,
                               .soft_deadline = now + 7 * LB_SEC,
                               .submitted = now };
  LbTime started_at = lb_clock_monotonic ();

  for (int i = 0; i < rounds; i++)
    decision = lc_router_choose_endpoint (router, endpoints, &query, now);
  printf ("%-18s %9d %9.2f\n", decision.endpoint ? "uneven, sent" : "uneven, waits", n_endpoints,
          (double)(lb_clock_monotonic () - started_at) / rounds);
  lc_router_free (router);
  lc_endpoints_free (endpoints);
  free (set.endpoints);
}

static void
print_micros_per_update (const char *name, int n_endpoints, LbTime started_at, int n_updates)
{
  double duration = (double)(lb_clock_monotonic () - started_at);

  printf ("%-18s %9d %9.3f\n", name, n_endpoints, duration / n_updates);
}

/* Prints the microseconds per load report, per cache event, per request sent and ended, and per
 * token of a stream. */
static void
measure_endpoint_table_updates (int n_endpoints)
{
  const int rounds = 200000;
  LcLoadReport report = { .incarnation = "a", .version = 1, .measured_at = rounds };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  LcResourceSet set = bench_make_engine_resource_set (n_endpoints);
  LcEndpoints *endpoints = lc_endpoints_new ();
  LbTime started_at = 0;

  lc_endpoints_configure (endpoints, &set, 0);
  started_at = lb_clock_monotonic ();
  for (int i = 0; i < rounds / n_endpoints; i++)
    record_random_load_reports (endpoints, rng, i);
  print_micros_per_update ("report", n_endpoints, started_at, rounds / n_endpoints * n_endpoints);
  started_at = lb_clock_monotonic ();
  for (int i = 0; i < rounds; i++)
    lc_endpoints_apply_cache_event (endpoints, set.endpoints[i % n_endpoints].name,
                                    (uint64_t)i / (uint64_t)n_endpoints + 1, true,
                                    bench_hash_pair ((uint64_t)(i % 100000), 0), i);
  print_micros_per_update ("cache event", n_endpoints, started_at, rounds);
  started_at = lb_clock_monotonic ();
  for (int i = 0; i < rounds; i++)
    {
      LcEndpoint *endpoint = lc_endpoints_at (endpoints, (size_t)(i % n_endpoints));

      lc_endpoint_request_sent (endpoint, LC_KIND_LIVE, bench_hash_pair ((uint64_t)(i % 100000), 0),
                                i);
      lc_endpoint_request_ended (endpoint, LC_KIND_LIVE, true, 100, LB_SEC, i);
    }
  print_micros_per_update ("sent and ended", n_endpoints, started_at, rounds);
  for (int i = 0; i < n_endpoints; i++)
    lc_endpoints_record_load_report (endpoints, set.endpoints[i].name, &report, rounds);
  started_at = lb_clock_monotonic ();
  for (int i = 0; i < rounds; i++)
    lc_endpoint_tokens_received (lc_endpoints_at (endpoints, (size_t)(i % n_endpoints)), 1,
                                 20 * LB_MSEC, rounds + i / n_endpoints * 20 * LB_MSEC);
  print_micros_per_update ("tokens", n_endpoints, started_at, rounds);
  lc_endpoints_free (endpoints);
  free (set.endpoints);
  gsl_rng_free (rng);
}

int
main (void)
{
  printf ("%-18s %9s %9s %9s\n", "decision", "endpoints", "us", "bytes/ep");
  for (const char *const *policy = lc_router_policy_names (); *policy; policy++)
    {
      measure_routing_decision (*policy, 10);
      measure_routing_decision (*policy, 100);
      measure_routing_decision (*policy, 600);
    }
  measure_decision_to_wait (100, 100);
  measure_decision_to_wait (100, 5);
  printf ("\n%-18s %9s %9s\n", "update", "endpoints", "us");
  measure_endpoint_table_updates (10);
  measure_endpoint_table_updates (600);
  return 0;
}
