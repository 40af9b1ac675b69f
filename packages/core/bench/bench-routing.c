/* Compares the routing policies in virtual time. Several instances, each with an endpoint table of
 * its own, share the same engines. Load reports are delayed; cache events are delayed or lost.
 * Options, each with a value: --endpoints, --seconds, --seeds, --rate (requests per second and
 * endpoint), --policy, --lag-ms (delay of load reports), --lost (share of cache events that are
 * lost), --slow (speed of the first engine; 1: normal), --hot (share of live requests with one
 * common prefix). */

#include "bench-engine.h"
#include "bench-fleet.h"
#include "lc-router.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <getopt.h>
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_INSTANCES 10
#define STEP_DURATION (10 * LB_MSEC)
#define LOAD_REPORT_PERIOD LB_SEC
#define CACHE_EVENTS_PERIOD (500 * LB_MSEC)
#define CACHE_EVENTS_DELAY (500 * LB_MSEC)
#define SAMPLE_SHARE 0.6 /* share of requests that are samples; the others are live */
#define SAMPLES_PER_GROUP 8
#define LIVE_PREFIXES_PER_ENDPOINT 20
#define N_PREFIX_HASHES 8
#define LIVE_RESERVE_SHARE 0.25
#define WARM_UP_SHARE 0.25 /* share of the run whose latencies are not recorded */

typedef struct
{
  int endpoints;
  double seconds;
  int seeds;
  double rate;
  const char *policy; /* name of the only policy to compare; NULL: all policies */
  LbTime report_lag;
  double lost_event_share;
  double first_engine_speed;
  double hot_prefix_share;
} Options;

typedef struct
{
  LcEndpoints *endpoints;
  LcRouter *router;
  LbList queue;
} Instance;

/* A load report or a cache event of an endpoint, in transit to an instance. */
typedef struct
{
  LbLink link;
  LbTime due_at;
  int instance;
  int endpoint;
  bool is_report;
  LcLoadReport report;
  BenchCacheEvent event;
} Delivery;

typedef struct
{
  double latency;
  double live_p99;
  double all_p99;
  double imbalance_tokens;
  double imbalance_load;
  double hits;
  double queue_seconds;
  double decision_micros;
} Measures;

typedef struct
{
  Instance instances[N_INSTANCES];
  BenchEngine *engines;
  int n_engines;
  LbList deliveries;
  gsl_rng *rng;
  gsl_ran_discrete_t *live_prefixes;
  uint64_t n_sample_groups;
  LbTime now;
  LbTime end;
  bool is_warmed_up;
  double *latencies;
  double *live_latencies;
  size_t n_latencies;
  size_t n_live_latencies;
  size_t latency_capacity;
  size_t n_decisions;
  double queue_seconds;
  const Options *options;
  LbTime decision_time;
} Simulation;

static size_t
fill_prefix_hashes (const BenchRequest *request, uint64_t *hashes)
{
  size_t shared = (size_t)(request->prefix_share * N_PREFIX_HASHES + 0.5);

  for (size_t i = 0; i < N_PREFIX_HASHES; i++)
    hashes[i]
        = i + 1 == shared
              ? request->prefix
              : bench_hash_pair (request->prefix,
                                 i < shared ? i
                                            : (uint64_t)request->sent + (uint64_t)request->arrived);
  return N_PREFIX_HASHES;
}

static bool
try_send_request_to_engine (Simulation *simulation, BenchRequest *request)
{
  Instance *instance = &simulation->instances[request->instance];
  uint64_t hashes[N_PREFIX_HASHES];
  char data_centre[LB_NAME_MAX];

  snprintf (data_centre, sizeof data_centre, "hall-%c", 'a' + request->instance % 3);

  LcRouteQuery query = { .kind = request->live ? LC_KIND_LIVE : LC_KIND_SAMPLE,
                         .pool = "reader",
                         .data_centre = data_centre,
                         .prefix_hashes = hashes,
                         .n_prefix_hashes = fill_prefix_hashes (request, hashes),
                         .prompt_tokens = (int64_t)request->prompt_tokens,
                         .expected_tokens = 100,
                         .live_reserve = LIVE_RESERVE_SHARE };
  LbTime before = lb_clock_monotonic ();
  LcRouteDecision decision
      = lc_router_choose_endpoint (instance->router, instance->endpoints, &query, simulation->now);

  simulation->decision_time += lb_clock_monotonic () - before;
  simulation->n_decisions++;
  if (!decision.endpoint)
    return false;
  simulation->queue_seconds += (double)(simulation->now - request->arrived) / LB_SEC;
  request->endpoint = atoi (decision.endpoint->member.name + strlen ("engine-"));
  request->sent = simulation->now;
  lc_endpoint_request_sent (decision.endpoint, query.kind, hashes[N_PREFIX_HASHES - 1],
                            simulation->now);
  bench_engine_enqueue_request (&simulation->engines[request->endpoint], request);
  return true;
}

static void
send_or_queue_request (Simulation *simulation, BenchRequest *request)
{
  if (!try_send_request_to_engine (simulation, request))
    lb_list_append (&simulation->instances[request->instance].queue, &request->link);
}

static BenchRequest *
new_bench_request (Simulation *simulation, int instance)
{
  BenchRequest *request = LB_NEW (BenchRequest);

  request->instance = instance;
  request->arrived = simulation->now;
  request->tokens = gsl_ran_lognormal (simulation->rng, 4.3, 0.8);
  request->tokens_left = request->tokens;
  request->prompt_tokens = 600;
  return request;
}

static void
submit_live_request (Simulation *simulation)
{
  BenchRequest *request
      = new_bench_request (simulation, (int)gsl_rng_uniform_int (simulation->rng, N_INSTANCES));

  request->live = true;
  request->prefix
      = bench_hash_pair (1,
                         gsl_rng_uniform (simulation->rng) < simulation->options->hot_prefix_share
                             ? UINT64_MAX
                             : gsl_ran_discrete (simulation->rng, simulation->live_prefixes));
  request->prefix_share = 0.75;
  send_or_queue_request (simulation, request);
}

static void
submit_sample_group (Simulation *simulation)
{
  int instance = (int)gsl_rng_uniform_int (simulation->rng, N_INSTANCES);
  uint64_t prefix = bench_hash_pair (2, simulation->n_sample_groups++);

  for (int i = 0; i < SAMPLES_PER_GROUP; i++)
    {
      BenchRequest *request = new_bench_request (simulation, instance);

      request->prefix = prefix;
      request->prefix_share = 1;
      send_or_queue_request (simulation, request);
    }
}

static void
submit_arriving_requests (Simulation *simulation)
{
  double rate = simulation->options->rate * simulation->n_engines * STEP_DURATION / LB_SEC;
  unsigned live = gsl_ran_poisson (simulation->rng, rate * (1 - SAMPLE_SHARE));
  unsigned n_sample_groups
      = gsl_ran_poisson (simulation->rng, rate * SAMPLE_SHARE / SAMPLES_PER_GROUP);

  for (unsigned i = 0; i < live; i++)
    submit_live_request (simulation);
  for (unsigned i = 0; i < n_sample_groups; i++)
    submit_sample_group (simulation);
}

static void
schedule_report_or_event_delivery (Simulation *simulation, Delivery delivery)
{
  Delivery *copy = lb_memdup (&delivery, sizeof delivery);

  lb_list_append (&simulation->deliveries, &copy->link);
}

static void
schedule_load_report (Simulation *simulation, int instance, int endpoint)
{
  const BenchEngine *engine = &simulation->engines[endpoint];
  LcLoadReport report = { .incarnation = "a",
                          .version = 1,
                          .running = (int64_t)engine->running.length,
                          .waiting = (int64_t)engine->waiting.length,
                          .tokens_per_second = bench_engine_tokens_per_second (engine),
                          .measured_at = simulation->now };

  schedule_report_or_event_delivery (simulation,
                                     (Delivery){ .due_at = simulation->now
                                                           + simulation->options->report_lag,
                                                 .instance = instance,
                                                 .endpoint = endpoint,
                                                 .is_report = true,
                                                 .report = report });
}

/* Returns true if the instance polls the endpoint in the current step of the simulation. Polls of
 * different endpoints and instances are spread over the period. */
static bool
is_endpoint_poll_due (const Simulation *simulation, int instance, int endpoint, LbTime period)
{
  int64_t n_steps = period / STEP_DURATION;

  return (simulation->now / STEP_DURATION + instance * 37 + endpoint * 11) % n_steps == 0;
}

static void
schedule_due_load_reports (Simulation *simulation)
{
  for (int i = 0; i < N_INSTANCES; i++)
    for (int j = 0; j < simulation->n_engines; j++)
      if (is_endpoint_poll_due (simulation, i, j, LOAD_REPORT_PERIOD))
        schedule_load_report (simulation, i, j);
}

static void
schedule_due_cache_events (Simulation *simulation)
{
  for (int j = 0; j < simulation->n_engines; j++)
    {
      BenchEngine *engine = &simulation->engines[j];

      if (!is_endpoint_poll_due (simulation, 0, j, CACHE_EVENTS_PERIOD))
        continue;
      for (size_t k = 0; k < engine->n_events; k++)
        for (int i = 0; i < N_INSTANCES; i++)
          if (gsl_rng_uniform (simulation->rng) >= simulation->options->lost_event_share)
            schedule_report_or_event_delivery (simulation,
                                               (Delivery){ .due_at
                                                           = simulation->now + CACHE_EVENTS_DELAY,
                                                           .instance = i,
                                                           .endpoint = j,
                                                           .event = engine->events[k] });
      engine->n_events = 0;
    }
}

static void
apply_delivered_reports_and_events (Simulation *simulation)
{
  char name[LB_NAME_MAX];

  LB_LIST_FOREACH (&simulation->deliveries, Delivery, link, delivery)
  {
    LcEndpoints *endpoints = simulation->instances[delivery->instance].endpoints;

    if (delivery->due_at > simulation->now)
      return;
    snprintf (name, sizeof name, "engine-%d", delivery->endpoint);
    if (delivery->is_report)
      lc_endpoints_record_load_report (endpoints, name, &delivery->report, simulation->now);
    else
      lc_endpoints_apply_cache_event (endpoints, name, delivery->event.sequence,
                                      delivery->event.stored, delivery->event.prefix,
                                      simulation->now);
    lb_list_remove (&simulation->deliveries, &delivery->link);
    free (delivery);
  }
}

static void
record_request_latency (Simulation *simulation, const BenchRequest *request)
{
  double seconds = (double)(simulation->now - request->arrived) / LB_SEC;

  if (!simulation->is_warmed_up)
    return;
  if (simulation->n_latencies == simulation->latency_capacity)
    {
      simulation->latency_capacity
          = simulation->latency_capacity ? simulation->latency_capacity * 2 : 1024;
      simulation->latencies
          = lb_realloc (simulation->latencies, simulation->latency_capacity * sizeof (double));
      simulation->live_latencies
          = lb_realloc (simulation->live_latencies, simulation->latency_capacity * sizeof (double));
    }
  simulation->latencies[simulation->n_latencies++] = seconds;
  if (request->live)
    simulation->live_latencies[simulation->n_live_latencies++] = seconds;
}

static void
record_and_free_ended_requests (Simulation *simulation, LbList *ended)
{
  char name[LB_NAME_MAX];

  LB_LIST_FOREACH (ended, BenchRequest, link, request)
  {
    LcEndpoints *endpoints = simulation->instances[request->instance].endpoints;

    snprintf (name, sizeof name, "engine-%d", request->endpoint);

    LcEndpoint *endpoint = lc_endpoints_find (endpoints, name);

    lc_endpoint_first_byte_received (endpoint, request->first_byte - request->sent,
                                     simulation->now);
    lc_endpoint_request_ended (endpoint, request->live ? LC_KIND_LIVE : LC_KIND_SAMPLE, true,
                               (int64_t)request->tokens, simulation->now - request->sent,
                               simulation->now);
    record_request_latency (simulation, request);
    lb_list_remove (ended, &request->link);
    free (request);
  }
}

static void
send_queued_requests (Simulation *simulation)
{
  for (int i = 0; i < N_INSTANCES; i++)
    {
      LbList *queue = &simulation->instances[i].queue;

      LB_LIST_FOREACH (queue, BenchRequest, link, request)
      {
        lb_list_remove (queue, &request->link);
        if (try_send_request_to_engine (simulation, request))
          continue;
        lb_list_prepend (queue, &request->link);
        break;
      }
    }
}

static void
run_simulation (Simulation *simulation)
{
  LbList ended;

  lb_list_init (&ended);
  for (simulation->now = LB_SEC; simulation->now < simulation->end;
       simulation->now += STEP_DURATION)
    {
      if (!simulation->is_warmed_up
          && (double)simulation->now > WARM_UP_SHARE * (double)simulation->end)
        {
          simulation->is_warmed_up = true;
          for (int i = 0; i < simulation->n_engines; i++)
            bench_engine_reset_statistics (&simulation->engines[i]);
        }
      apply_delivered_reports_and_events (simulation);
      send_queued_requests (simulation);
      submit_arriving_requests (simulation);
      for (int i = 0; i < simulation->n_engines; i++)
        bench_engine_advance (&simulation->engines[i], simulation->now, STEP_DURATION, &ended);
      record_and_free_ended_requests (simulation, &ended);
      schedule_due_load_reports (simulation);
      schedule_due_cache_events (simulation);
    }
}

static Simulation *
simulation_new (const char *policy, const Options *options, uint64_t seed)
{
  int n_endpoints = options->endpoints;
  Simulation *simulation = LB_NEW (Simulation);
  LcResourceSet set = bench_make_engine_resource_set (n_endpoints);
  size_t n_prefixes = (size_t)n_endpoints * LIVE_PREFIXES_PER_ENDPOINT;
  double *popularity = LB_NEW_ARRAY (double, n_prefixes);

  simulation->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (simulation->rng, seed);
  for (size_t i = 0; i < n_prefixes; i++)
    popularity[i] = 1 / ((double)i + 5);
  simulation->live_prefixes = gsl_ran_discrete_preproc (n_prefixes, popularity);
  free (popularity);
  lb_list_init (&simulation->deliveries);
  simulation->end = (LbTime)(options->seconds * LB_SEC);
  simulation->options = options;
  simulation->n_engines = n_endpoints;
  simulation->engines = LB_NEW_ARRAY (BenchEngine, n_endpoints);
  for (int i = 0; i < n_endpoints; i++)
    bench_engine_init (&simulation->engines[i], i == 0 ? options->first_engine_speed : 1);
  for (int i = 0; i < N_INSTANCES; i++)
    {
      simulation->instances[i].endpoints = lc_endpoints_new ();
      lc_endpoints_configure (simulation->instances[i].endpoints, &set, 0);
      simulation->instances[i].router = lc_router_new (policy, seed * 100 + (uint64_t)i);
      lb_list_init (&simulation->instances[i].queue);
    }
  free (set.endpoints);
  return simulation;
}

static void
simulation_free (Simulation *simulation)
{
  for (int i = 0; i < N_INSTANCES; i++)
    {
      LB_LIST_FOREACH (&simulation->instances[i].queue, BenchRequest, link, request)
      free (request);
      lc_router_free (simulation->instances[i].router);
      lc_endpoints_free (simulation->instances[i].endpoints);
    }
  for (int i = 0; i < simulation->n_engines; i++)
    bench_engine_clear (&simulation->engines[i]);
  LB_LIST_FOREACH (&simulation->deliveries, Delivery, link, delivery)
  free (delivery);
  gsl_ran_discrete_free (simulation->live_prefixes);
  gsl_rng_free (simulation->rng);
  free (simulation->engines);
  free (simulation->latencies);
  free (simulation->live_latencies);
  free (simulation);
}

static int
compare_doubles (const void *a, const void *b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;

  return (first > second) - (first < second);
}

static double
sort_and_get_percentile (double *values, size_t n_values, double quantile)
{
  qsort (values, n_values, sizeof *values, compare_doubles);
  return n_values > 0 ? values[(size_t)((double)(n_values - 1) * quantile)] : 0;
}

static Measures
compute_routing_measures (Simulation *simulation)
{
  Measures measures = { 0 };
  double tokens = 0;
  double load = 0;
  double prompts = 0;
  double cached = 0;
  double max_tokens = 0;
  double max_load = 0;

  for (int i = 0; i < simulation->n_engines; i++)
    {
      const BenchEngine *engine = &simulation->engines[i];

      tokens += engine->tokens;
      load += engine->occupancy;
      prompts += engine->prompt_tokens;
      cached += engine->cached_tokens;
      max_tokens = engine->tokens > max_tokens ? engine->tokens : max_tokens;
      max_load = engine->occupancy > max_load ? engine->occupancy : max_load;
    }
  for (size_t i = 0; i < simulation->n_latencies; i++)
    measures.latency += simulation->latencies[i] / (double)simulation->n_latencies;
  measures.live_p99
      = sort_and_get_percentile (simulation->live_latencies, simulation->n_live_latencies, 0.99);
  measures.all_p99 = sort_and_get_percentile (simulation->latencies, simulation->n_latencies, 0.99);
  measures.imbalance_tokens = max_tokens * simulation->n_engines / tokens;
  measures.imbalance_load = max_load * simulation->n_engines / load;
  measures.hits = cached / prompts;
  measures.queue_seconds
      = simulation->queue_seconds / (double)simulation->n_latencies * (1 - WARM_UP_SHARE);
  measures.decision_micros = (double)simulation->decision_time / (double)simulation->n_decisions;
  return measures;
}

static void
print_policy_averages (const char *policy, const double *sums, int seeds)
{
  printf ("%-18s", policy);
  for (size_t i = 0; i < sizeof (Measures) / sizeof (double); i++)
    printf (" %9.3f", sums[i] / seeds);
  printf ("\n");
  fflush (stdout);
}

static void
compare_routing_policies (const Options *options)
{
  printf ("%d instances, %d endpoints, %.0f s, %d seeds, %.1f requests/s each, reports lag %d ms, "
          "%.0f%% of cache events lost, first engine at speed %.1f, %.0f%% of live calls with the "
          "same prefix\n",
          N_INSTANCES, options->endpoints, options->seconds, options->seeds, options->rate,
          (int)(options->report_lag / LB_MSEC), 100 * options->lost_event_share,
          options->first_engine_speed, 100 * options->hot_prefix_share);
  printf ("%-18s %9s %9s %9s %9s %9s %9s %9s %9s\n", "policy", "mean_s", "live_p99", "all_p99",
          "imb_tok", "imb_load", "hits", "queued", "us");
  for (const char *const *policy = lc_router_policy_names (); *policy; policy++)
    {
      double sums[sizeof (Measures) / sizeof (double)] = { 0 };

      if (options->policy && strcmp (options->policy, *policy) != 0)
        continue;
      for (int seed = 1; seed <= options->seeds; seed++)
        {
          Simulation *simulation = simulation_new (*policy, options, (uint64_t)seed);

          run_simulation (simulation);

          Measures measures = compute_routing_measures (simulation);

          for (size_t i = 0; i < sizeof sums / sizeof sums[0]; i++)
            sums[i] += ((const double *)&measures)[i];
          simulation_free (simulation);
        }
      print_policy_averages (*policy, sums, options->seeds);
    }
}

static void
parse_options (int argc, char **argv, Options *options)
{
  static const struct option long_options[] = {
    { "endpoints", required_argument, NULL, 'e' },
    { "seconds", required_argument, NULL, 't' },
    { "seeds", required_argument, NULL, 'n' },
    { "rate", required_argument, NULL, 'r' },
    { "policy", required_argument, NULL, 'p' },
    { "lag-ms", required_argument, NULL, 'l' },
    { "lost", required_argument, NULL, 'x' },
    { "slow", required_argument, NULL, 's' },
    { "hot", required_argument, NULL, 'h' },

    { NULL, 0, NULL, 0 },
  };

  for (int c = getopt_long (argc, argv, "", long_options, NULL); c != -1;
       c = getopt_long (argc, argv, "", long_options, NULL))
    switch (c)
      {
      case 'e':
        options->endpoints = atoi (optarg);
        break;
      case 't':
        options->seconds = atof (optarg);
        break;
      case 'n':
        options->seeds = atoi (optarg);
        break;
      case 'r':
        options->rate = atof (optarg);
        break;
      case 'p':
        options->policy = optarg;
        break;
      case 'l':
        options->report_lag = atoi (optarg) * LB_MSEC;
        break;
      case 'x':
        options->lost_event_share = atof (optarg);
        break;
      case 's':
        options->first_engine_speed = atof (optarg);
        break;
      case 'h':
        options->hot_prefix_share = atof (optarg);
        break;
      default:
        exit (2);
      }
}

int
main (int argc, char **argv)
{
  /* By default, each endpoint gets 4 requests per second, half of what an engine with a full batch
   * and no prefill serves. */
  Options options = { .endpoints = 13,
                      .seconds = 120,
                      .seeds = 5,
                      .rate = 4,
                      .report_lag = 500 * LB_MSEC,
                      .lost_event_share = 0.1,
                      .first_engine_speed = 1 };

  parse_options (argc, argv, &options);
  compare_routing_policies (&options);
  return 0;
}
