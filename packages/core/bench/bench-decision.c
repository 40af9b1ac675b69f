/* What a routing decision and the updates of the endpoint table cost: microseconds, and bytes for
 * each endpoint. */

#include "bench-fleet.h"
#include "lc-router.h"

#include "lb-clock.h"

#include <gsl/gsl_rng.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#define N_BLOCKS 8

static void
report_all (LcEndpoints *endpoints, gsl_rng *rng, LbTime now)
{
  for (size_t i = 0; i < lc_endpoints_count (endpoints); i++)
    {
      LcLoadReport report = { .incarnation = "a",
                              .version = 1,
                              .running = (int64_t)gsl_rng_uniform_int (rng, 24),
                              .tokens_per_second = 30,
                              .measured_at = now };

      lc_endpoints_record_load (endpoints, lc_endpoints_at (endpoints, i)->member.name, &report,
                                now);
    }
}

/* Microseconds of a decision with 8 prefix hashes, and bytes of an endpoint. */
static void
measure_cost (const char *policy, int n)
{
  const int rounds = 20000;
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  LcResourceSet set = bench_fleet_make (n);
  size_t used = mallinfo2 ().uordblks;
  LcEndpoints *endpoints = lc_endpoints_new ();

  lc_endpoints_configure (endpoints, &set, 0);
  used = mallinfo2 ().uordblks - used;
  report_all (endpoints, rng, LB_SEC);

  LcRouter *router = lc_router_new (policy, 1);
  uint64_t hashes[N_BLOCKS];
  LcRouteQuery query = { .kind = LC_KIND_LIVE,
                         .pool = "reader",
                         .data_centre = "hall-a",
                         .prefix_hashes = hashes,
                         .n_prefix_hashes = N_BLOCKS,
                         .prompt_tokens = 600,
                         .expected_tokens = 100 };
  LbTime spent = 0;

  for (int i = 0; i < rounds; i++)
    {
      LbTime now = 2 * LB_SEC + i * LB_MSEC;

      for (int j = 0; j < N_BLOCKS; j++)
        hashes[j] = bench_hash ((uint64_t)(i % 100), (uint64_t)j);

      LbTime before = lb_clock_monotonic ();
      LcRouteDecision decision = lc_router_choose (router, endpoints, &query, now);

      spent += lb_clock_monotonic () - before;
      lc_endpoint_request_sent (decision.endpoint, LC_KIND_LIVE, hashes[N_BLOCKS - 1], now);
      lc_endpoint_request_ended (decision.endpoint, LC_KIND_LIVE, true, 100, LB_SEC, now);
      if (i % 100 == 0)
        report_all (endpoints, rng, now);
    }
  printf ("%-18s %9d %9.2f %9.0f\n", policy, n, (double)spent / rounds, (double)used / n);
  lc_router_free (router);
  lc_endpoints_free (endpoints);
  free (set.endpoints);
  gsl_rng_free (rng);
}

static void
print_update (const char *what, int n, LbTime began, int rounds)
{
  double spent = (double)(lb_clock_monotonic () - began);

  printf ("%-18s %9d %9.3f\n", what, n, spent / rounds);
}

/* Microseconds of what keeps the table up to date. */
static void
measure_updates (int n)
{
  const int rounds = 200000;
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  LcResourceSet set = bench_fleet_make (n);
  LcEndpoints *endpoints = lc_endpoints_new ();
  LbTime began = 0;

  lc_endpoints_configure (endpoints, &set, 0);
  began = lb_clock_monotonic ();
  for (int i = 0; i < rounds / n; i++)
    report_all (endpoints, rng, i);
  print_update ("report", n, began, rounds / n * n);
  began = lb_clock_monotonic ();
  for (int i = 0; i < rounds; i++)
    lc_endpoints_apply_cache_event (endpoints, set.endpoints[i % n].name,
                                    (uint64_t)i / (uint64_t)n + 1, true,
                                    bench_hash ((uint64_t)(i % 100000), 0), i);
  print_update ("cache event", n, began, rounds);
  began = lb_clock_monotonic ();
  for (int i = 0; i < rounds; i++)
    {
      LcEndpoint *endpoint = lc_endpoints_at (endpoints, (size_t)(i % n));

      lc_endpoint_request_sent (endpoint, LC_KIND_LIVE, bench_hash ((uint64_t)(i % 100000), 0), i);
      lc_endpoint_request_ended (endpoint, LC_KIND_LIVE, true, 100, LB_SEC, i);
    }
  print_update ("sent and ended", n, began, rounds);
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
      measure_cost (*policy, 10);
      measure_cost (*policy, 100);
      measure_cost (*policy, 600);
    }
  printf ("\n%-18s %9s %9s\n", "update", "endpoints", "us");
  measure_updates (10);
  measure_updates (600);
  return 0;
}
