/* Compares the routing policies in virtual time: several instances with separate endpoint tables
 * share the same engines, with delayed load reports, and cache events that are delayed or lost.
 * Options, each with a value: --endpoints --seconds --seeds --rate (requests per second and
 * endpoint) --policy --lag-ms (of load reports) --lost (share of cache events) --slow (speed of the
 * first engine) --hot (share of live requests with the same prefix). */

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
#define STEP (10 * LB_MSEC)
#define REPORT_PERIOD LB_SEC
#define EVENTS_PERIOD (500 * LB_MSEC)
#define EVENTS_LAG (500 * LB_MSEC)
#define SAMPLE_SHARE 0.6
#define GROUP_SIZE 8
#define LIVE_PREFIXES_PER_ENDPOINT 20
#define N_BLOCKS 8
#define LIVE_RESERVE 0.25
#define WARM_UP_SHARE 0.25 /* of the run */

typedef struct
{
  int endpoints;
  double seconds;
  int seeds;
  double rate;
  const char *policy; /* NULL: all policies */
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

/* Load report or cache event in transit to an instance. */
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
  uint64_t groups;
  LbTime now;
  LbTime end;
  bool is_warmed_up;
  double *latencies;
  double *live_latencies;
  size_t n_latencies;
  size_t n_live_latencies;
  size_t capacity;
  size_t decisions;
  double queue_seconds;
  const Options *options;
  LbTime decision_time;
} World;

static size_t
fill_hashes (const BenchRequest *request, uint64_t *hashes)
{
  size_t shared = (size_t)(request->prefix_share * N_BLOCKS + 0.5);

  for (size_t i = 0; i < N_BLOCKS; i++)
    hashes[i]
        = i + 1 == shared
              ? request->prefix
              : bench_hash (request->prefix,
                            i < shared ? i : (uint64_t)request->sent + (uint64_t)request->arrived);
  return N_BLOCKS;
}

static bool
send (World *world, BenchRequest *request)
{
  Instance *instance = &world->instances[request->instance];
  uint64_t hashes[N_BLOCKS];
  char data_centre[LB_NAME_MAX];

  snprintf (data_centre, sizeof data_centre, "hall-%c", 'a' + request->instance % 3);

  LcRouteQuery query = { .kind = request->live ? LC_KIND_LIVE : LC_KIND_SAMPLE,
                         .pool = "reader",
                         .data_centre = data_centre,
                         .prefix_hashes = hashes,
                         .n_prefix_hashes = fill_hashes (request, hashes),
                         .prompt_tokens = (int64_t)request->prompt_tokens,
                         .expected_tokens = 100,
                         .live_reserve = LIVE_RESERVE };
  LbTime before = lb_clock_monotonic ();
  LcRouteDecision decision
      = lc_router_choose (instance->router, instance->endpoints, &query, world->now);

  world->decision_time += lb_clock_monotonic () - before;
  world->decisions++;
  if (!decision.endpoint)
    return false;
  world->queue_seconds += (double)(world->now - request->arrived) / LB_SEC;
  request->endpoint = atoi (decision.endpoint->member.name + strlen ("engine-"));
  request->sent = world->now;
  lc_endpoint_request_sent (decision.endpoint, query.kind, hashes[N_BLOCKS - 1], world->now);
  bench_engine_take (&world->engines[request->endpoint], request);
  return true;
}

static void
submit (World *world, BenchRequest *request)
{
  if (!send (world, request))
    lb_list_append (&world->instances[request->instance].queue, &request->link);
}

static BenchRequest *
request_new (World *world, int instance)
{
  BenchRequest *request = LB_NEW (BenchRequest);

  request->instance = instance;
  request->arrived = world->now;
  request->tokens = gsl_ran_lognormal (world->rng, 4.3, 0.8);
  request->tokens_left = request->tokens;
  request->prompt_tokens = 600;
  return request;
}

static void
add_live_request (World *world)
{
  BenchRequest *request = request_new (world, (int)gsl_rng_uniform_int (world->rng, N_INSTANCES));

  request->live = true;
  request->prefix = bench_hash (1, gsl_rng_uniform (world->rng) < world->options->hot_prefix_share
                                       ? UINT64_MAX
                                       : gsl_ran_discrete (world->rng, world->live_prefixes));
  request->prefix_share = 0.75;
  submit (world, request);
}

static void
add_group (World *world)
{
  int instance = (int)gsl_rng_uniform_int (world->rng, N_INSTANCES);
  uint64_t prefix = bench_hash (2, world->groups++);

  for (int i = 0; i < GROUP_SIZE; i++)
    {
      BenchRequest *request = request_new (world, instance);

      request->prefix = prefix;
      request->prefix_share = 1;
      submit (world, request);
    }
}

static void
add_requests (World *world)
{
  double rate = world->options->rate * world->n_engines * STEP / LB_SEC;
  unsigned live = gsl_ran_poisson (world->rng, rate * (1 - SAMPLE_SHARE));
  unsigned groups = gsl_ran_poisson (world->rng, rate * SAMPLE_SHARE / GROUP_SIZE);

  for (unsigned i = 0; i < live; i++)
    add_live_request (world);
  for (unsigned i = 0; i < groups; i++)
    add_group (world);
}

static void
schedule (World *world, Delivery delivery)
{
  Delivery *copy = lb_memdup (&delivery, sizeof delivery);

  lb_list_append (&world->deliveries, &copy->link);
}

static void
schedule_report (World *world, int instance, int endpoint)
{
  const BenchEngine *engine = &world->engines[endpoint];
  LcLoadReport report = { .incarnation = "a",
                          .version = 1,
                          .running = (int64_t)engine->running.length,
                          .waiting = (int64_t)engine->waiting.length,
                          .tokens_per_second = bench_engine_tokens_per_second (engine),
                          .measured_at = world->now };

  schedule (world, (Delivery){ .due_at = world->now + world->options->report_lag,
                               .instance = instance,
                               .endpoint = endpoint,
                               .is_report = true,
                               .report = report });
}

/* Spreads the polls of all pairs of instance and endpoint over the period. */
static bool
is_poll_due (const World *world, int instance, int endpoint, LbTime period)
{
  int64_t n_steps = period / STEP;

  return (world->now / STEP + instance * 37 + endpoint * 11) % n_steps == 0;
}

static void
schedule_reports (World *world)
{
  for (int i = 0; i < N_INSTANCES; i++)
    for (int j = 0; j < world->n_engines; j++)
      if (is_poll_due (world, i, j, REPORT_PERIOD))
        schedule_report (world, i, j);
}

static void
schedule_events (World *world)
{
  for (int j = 0; j < world->n_engines; j++)
    {
      BenchEngine *engine = &world->engines[j];

      if (!is_poll_due (world, 0, j, EVENTS_PERIOD))
        continue;
      for (size_t k = 0; k < engine->n_events; k++)
        for (int i = 0; i < N_INSTANCES; i++)
          if (gsl_rng_uniform (world->rng) >= world->options->lost_event_share)
            schedule (world, (Delivery){ .due_at = world->now + EVENTS_LAG,
                                         .instance = i,
                                         .endpoint = j,
                                         .event = engine->events[k] });
      engine->n_events = 0;
    }
}

static void
process_due_deliveries (World *world)
{
  char name[LB_NAME_MAX];

  LB_LIST_FOREACH (&world->deliveries, Delivery, link, delivery)
  {
    LcEndpoints *endpoints = world->instances[delivery->instance].endpoints;

    if (delivery->due_at > world->now)
      return;
    snprintf (name, sizeof name, "engine-%d", delivery->endpoint);
    if (delivery->is_report)
      lc_endpoints_record_load (endpoints, name, &delivery->report, world->now);
    else
      lc_endpoints_apply_cache_event (endpoints, name, delivery->event.sequence,
                                      delivery->event.stored, delivery->event.prefix, world->now);
    lb_list_remove (&world->deliveries, &delivery->link);
    free (delivery);
  }
}

static void
record_latency (World *world, const BenchRequest *request)
{
  double seconds = (double)(world->now - request->arrived) / LB_SEC;

  if (!world->is_warmed_up)
    return;
  if (world->n_latencies == world->capacity)
    {
      world->capacity = world->capacity ? world->capacity * 2 : 1024;
      world->latencies = lb_realloc (world->latencies, world->capacity * sizeof (double));
      world->live_latencies = lb_realloc (world->live_latencies, world->capacity * sizeof (double));
    }
  world->latencies[world->n_latencies++] = seconds;
  if (request->live)
    world->live_latencies[world->n_live_latencies++] = seconds;
}

static void
end_requests (World *world, LbList *ended)
{
  char name[LB_NAME_MAX];

  LB_LIST_FOREACH (ended, BenchRequest, link, request)
  {
    LcEndpoints *endpoints = world->instances[request->instance].endpoints;

    snprintf (name, sizeof name, "engine-%d", request->endpoint);

    LcEndpoint *endpoint = lc_endpoints_find (endpoints, name);

    lc_endpoint_first_byte_received (endpoint, request->first_byte - request->sent, world->now);
    lc_endpoint_request_ended (endpoint, request->live ? LC_KIND_LIVE : LC_KIND_SAMPLE, true,
                               (int64_t)request->tokens, world->now - request->sent, world->now);
    record_latency (world, request);
    lb_list_remove (ended, &request->link);
    free (request);
  }
}

static void
retry_queues (World *world)
{
  for (int i = 0; i < N_INSTANCES; i++)
    {
      LbList *queue = &world->instances[i].queue;

      LB_LIST_FOREACH (queue, BenchRequest, link, request)
      {
        lb_list_remove (queue, &request->link);
        if (send (world, request))
          continue;
        lb_list_prepend (queue, &request->link);
        break;
      }
    }
}

static void
run (World *world)
{
  LbList ended;

  lb_list_init (&ended);
  for (world->now = LB_SEC; world->now < world->end; world->now += STEP)
    {
      if (!world->is_warmed_up && (double)world->now > WARM_UP_SHARE * (double)world->end)
        {
          world->is_warmed_up = true;
          for (int i = 0; i < world->n_engines; i++)
            bench_engine_reset_totals (&world->engines[i]);
        }
      process_due_deliveries (world);
      retry_queues (world);
      add_requests (world);
      for (int i = 0; i < world->n_engines; i++)
        bench_engine_run (&world->engines[i], world->now, STEP, &ended);
      end_requests (world, &ended);
      schedule_reports (world);
      schedule_events (world);
    }
}

static World *
world_new (const char *policy, const Options *options, uint64_t seed)
{
  int n_endpoints = options->endpoints;
  World *world = LB_NEW (World);
  LcResourceSet set = bench_fleet_make (n_endpoints);
  size_t n_prefixes = (size_t)n_endpoints * LIVE_PREFIXES_PER_ENDPOINT;
  double *popularity = LB_NEW_ARRAY (double, n_prefixes);

  world->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (world->rng, seed);
  for (size_t i = 0; i < n_prefixes; i++)
    popularity[i] = 1 / ((double)i + 5);
  world->live_prefixes = gsl_ran_discrete_preproc (n_prefixes, popularity);
  free (popularity);
  lb_list_init (&world->deliveries);
  world->end = (LbTime)(options->seconds * LB_SEC);
  world->options = options;
  world->n_engines = n_endpoints;
  world->engines = LB_NEW_ARRAY (BenchEngine, n_endpoints);
  for (int i = 0; i < n_endpoints; i++)
    bench_engine_init (&world->engines[i], i == 0 ? options->first_engine_speed : 1);
  for (int i = 0; i < N_INSTANCES; i++)
    {
      world->instances[i].endpoints = lc_endpoints_new ();
      lc_endpoints_configure (world->instances[i].endpoints, &set, 0);
      world->instances[i].router = lc_router_new (policy, seed * 100 + (uint64_t)i);
      lb_list_init (&world->instances[i].queue);
    }
  free (set.endpoints);
  return world;
}

static void
world_free (World *world)
{
  for (int i = 0; i < N_INSTANCES; i++)
    {
      LB_LIST_FOREACH (&world->instances[i].queue, BenchRequest, link, request)
      free (request);
      lc_router_free (world->instances[i].router);
      lc_endpoints_free (world->instances[i].endpoints);
    }
  for (int i = 0; i < world->n_engines; i++)
    bench_engine_clear (&world->engines[i]);
  LB_LIST_FOREACH (&world->deliveries, Delivery, link, delivery)
  free (delivery);
  gsl_ran_discrete_free (world->live_prefixes);
  gsl_rng_free (world->rng);
  free (world->engines);
  free (world->latencies);
  free (world->live_latencies);
  free (world);
}

static int
compare (const void *a, const void *b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;

  return (first > second) - (first < second);
}

static double
percentile (double *values, size_t n_values, double share)
{
  qsort (values, n_values, sizeof *values, compare);
  return n_values > 0 ? values[(size_t)((double)(n_values - 1) * share)] : 0;
}

static Measures
measure (World *world)
{
  Measures measures = { 0 };
  double tokens = 0;
  double load = 0;
  double prompts = 0;
  double cached = 0;
  double max_tokens = 0;
  double max_load = 0;

  for (int i = 0; i < world->n_engines; i++)
    {
      const BenchEngine *engine = &world->engines[i];

      tokens += engine->tokens;
      load += engine->occupancy;
      prompts += engine->prompt_tokens;
      cached += engine->cached_tokens;
      max_tokens = engine->tokens > max_tokens ? engine->tokens : max_tokens;
      max_load = engine->occupancy > max_load ? engine->occupancy : max_load;
    }
  for (size_t i = 0; i < world->n_latencies; i++)
    measures.latency += world->latencies[i] / (double)world->n_latencies;
  measures.live_p99 = percentile (world->live_latencies, world->n_live_latencies, 0.99);
  measures.all_p99 = percentile (world->latencies, world->n_latencies, 0.99);
  measures.imbalance_tokens = max_tokens * world->n_engines / tokens;
  measures.imbalance_load = max_load * world->n_engines / load;
  measures.hits = cached / prompts;
  measures.queue_seconds = world->queue_seconds / (double)world->n_latencies * (1 - WARM_UP_SHARE);
  measures.decision_micros = (double)world->decision_time / (double)world->decisions;
  return measures;
}

static void
print_row (const char *policy, const double *sums, int seeds)
{
  printf ("%-18s", policy);
  for (size_t i = 0; i < sizeof (Measures) / sizeof (double); i++)
    printf (" %9.3f", sums[i] / seeds);
  printf ("\n");
  fflush (stdout);
}

static void
compare_policies (const Options *options)
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
          World *world = world_new (*policy, options, (uint64_t)seed);

          run (world);

          Measures measures = measure (world);

          for (size_t i = 0; i < sizeof sums / sizeof sums[0]; i++)
            sums[i] += ((const double *)&measures)[i];
          world_free (world);
        }
      print_row (*policy, sums, options->seeds);
    }
}

static void
read_options (int argc, char **argv, Options *options)
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
  /* With a full batch and no prefill, an engine serves 8 requests per second. */
  Options options = { .endpoints = 13,
                      .seconds = 120,
                      .seeds = 5,
                      .rate = 4,
                      .report_lag = 500 * LB_MSEC,
                      .lost_event_share = 0.1,
                      .first_engine_speed = 1 };

  read_options (argc, argv, &options);
  compare_policies (&options);
  return 0;
}
