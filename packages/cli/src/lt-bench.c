#include "lt-local-commands.h"

#include "lt-arguments.h"

#include "lt-command.h"
#include "lt-report.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lx-result.h"

#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_POLICIES 64

typedef struct
{
  const LxSite *site;
  uint64_t seed;
  int64_t n_seeds;
  const char *policy; /* policy to run; NULL: all policies */
  int64_t n_engines;  /* number of simulated engines; 0: as many as the simulated site has */
  int64_t concurrency;
  double duration_seconds;
  double idle_weight; /* weight of trainer idle time against staleness, 0 to 1; < 0: site's value */
  double hedge_budget; /* share of a step's tokens that hedges may waste; < 0: default */
  double hard_share;   /* share of the stragglers that have a hard prompt; < 0: default */
  double train_seconds;
  bool json;
  bool explain;
  const char *report_dir; /* folder of the HTML report; NULL: no report */
} BenchOptions;

/* Baseline run without trainers. Shows the latency of live calls when no training samples compete
 * for the engines. */
#define NO_TRAINERS_POLICY "lentilspindle (no trainers)"

static bool
simulate_routing_policy (const BenchOptions *bench,
                         const char *policy,
                         uint64_t seed,
                         LxResult *result)
{
  LxOptions options;
  bool without_trainers = strcmp (policy, NO_TRAINERS_POLICY) == 0;

  lx_options_init (&options, bench->site, seed);
  if (!lx_options_parse_policy (&options, without_trainers ? "lentilspindle" : policy))
    return false;
  if (without_trainers)
    options.n_trainers = 0;
  options.n_engines = bench->n_engines;
  options.duration = (LbTime)(bench->duration_seconds * LB_SEC);
  options.idle_weight = bench->idle_weight;
  options.explain = bench->explain;
  options.concurrency = bench->concurrency;
  options.train_time = (LbTime)(bench->train_seconds * LB_SEC);
  if (bench->hard_share >= 0)
    options.hard_share = bench->hard_share;
  if (bench->hedge_budget >= 0)
    options.hedge_budget = bench->hedge_budget;

  LxWorld *world = lx_world_new (&options);
  LbTime started_at = lb_clock_monotonic ();
  lx_world_run (world);
  lx_result_fill (result, world, policy, (double)(lb_clock_monotonic () - started_at) / LB_SEC);
  if (lx_audit_count_violations (&world->audit) > 0)
    fprintf (stderr, "%s, seed %" PRIu64 ": %s\n", policy, seed, world->audit.first_violation);
  lx_world_free (world);
  return true;
}

static void
print_benchmark_table_header (void)
{
  printf ("%-36s %5s %6s %9s %6s %6s %4s %8s %8s %8s %6s %5s %5s %5s %7s %7s %6s %9s\n", "policy",
          "seed", "steps", "idle_s", "floor", "stale~", "max", "p50_ms", "p99_ms", "refused",
          "lost", "dbl", "stale", "other", "wasted", "imbal", "prefix", "decis/s");
}

static void
print_benchmark_result_row (const LxResult *result)
{
  printf ("%-36s %5" PRIu64 " %6" PRId64 " %9.2f %6.2f %6.3f %4" PRId64 " %8.1f %8.1f %8" PRId64
          " %6" PRId64 " %5" PRId64 " %5" PRId64 " %5" PRId64 " %7.4f %7.3f %6.3f %9.0f\n",
          result->policy, result->seed, result->steps, result->idle_seconds,
          result->idle_floor_seconds, result->staleness_mean, result->staleness_max,
          result->live_p50_ms, result->live_p99_ms, result->refused, result->lost, result->doubled,
          result->stale, result->other_breaches, result->wasted_tokens_ratio, result->imbalance,
          result->prefix_hits, result->decisions_per_second);
  fflush (stdout);
}

/* Writes the names of all routing policies, of the least-outstanding policy with each single
 * roll-out mechanism, and of the run without trainers. Returns the number of names. */
static size_t
copy_policy_names (char policies[MAX_POLICIES][128])
{
  size_t n = 0;

  for (const char *const *policy = lc_router_policy_names (); *policy && n < MAX_POLICIES; policy++)
    snprintf (policies[n++], 128, "%s", *policy);
  for (const char *const *name = lx_rollout_mechanism_names (); *name && n < MAX_POLICIES - 1;
       name++)
    snprintf (policies[n++], 128, "least-outstanding+%s", *name);
  snprintf (policies[n++], 128, "%s", NO_TRAINERS_POLICY);
  return n;
}

static int
run_benchmark (const BenchOptions *bench)
{
  char policies[MAX_POLICIES][128];
  size_t n_policies = bench->policy ? 1 : copy_policy_names (policies);
  LxResult *results = LB_NEW_ARRAY (LxResult, n_policies * (size_t)bench->n_seeds);
  struct json_object *array = json_object_new_array ();
  size_t n = 0;
  int code = LT_EXIT_USAGE;

  if (bench->policy)
    snprintf (policies[0], 128, "%s", bench->policy);
  if (!bench->json)
    print_benchmark_table_header ();
  for (size_t i = 0; i < n_policies; i++)
    for (int64_t j = 0; j < bench->n_seeds; j++)
      {
        LxResult *result = &results[n];
        if (!simulate_routing_policy (bench, policies[i], bench->seed + (uint64_t)j, result))
          {
            fprintf (stderr, "lentilspindle bench: unknown policy '%s'\n", policies[i]);
            goto out;
          }
        n++;
        json_object_array_add (array, lx_result_to_json (result));
        if (!bench->json)
          print_benchmark_result_row (result);
      }
  if (bench->json)
    puts (json_object_to_json_string_ext (array, JSON_C_TO_STRING_PRETTY));
  code = LT_EXIT_OK;
  if (bench->report_dir
      && !lt_bench_report_write (bench->report_dir, bench->site->name, results, n))
    code = LT_EXIT_FAILED;
out:
  json_object_put (array);
  free (results);
  return code;
}

/* Simulates each policy with the same request arrivals, answer lengths, weight versions and
 * endpoints, and prints a row of results per run. */
int
lt_run_bench_command (int argc, char **argv)
{
  struct arg_str *site = arg_str1 (NULL, "site", "SITE", "kurunegala or hoa-sen");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "first seed (default: 1)");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "number of seeds (default: 1)");
  struct arg_str *policy = arg_str0 (NULL, "policy", "P", "run one policy (default: all)");
  struct arg_int *samplers
      = arg_int0 (NULL, "samplers", "N", "number of engines (default: the site's)");
  struct arg_int *concurrency
      = arg_int0 (NULL, "concurrency", "N", "concurrent requests per engine (default: 32)");
  struct arg_dbl *seconds = arg_dbl0 (NULL, "seconds", "S", "virtual time per run (default: 900)");
  struct arg_dbl *weight
      = arg_dbl0 (NULL, "idle-weight", "W",
                  "weight of idle time against staleness, 0 to 1 (default: the site's preset)");
  struct arg_dbl *budget
      = arg_dbl0 (NULL, "hedge-budget", "B", "share of a step's tokens for hedges (default: 0.1)");
  struct arg_dbl *hard
      = arg_dbl0 (NULL, "hard-share", "H", "share of stragglers from hard prompts (default: 0.5)");
  struct arg_dbl *train
      = arg_dbl0 (NULL, "train", "S", "seconds of training per step (default: 45)");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print a JSON array");
  struct arg_lit *explain
      = arg_lit0 (NULL, "explain", "print what determined the end of each step");
  struct arg_str *report = arg_str0 (NULL, "report", "DIR", "write an HTML report to this folder");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { site,   seed, seeds, policy,  samplers, concurrency, seconds, weight,
                    budget, hard, train, explain, json,     report,      help,    end };
  int errors = arg_parse (argc, argv, table);
  int code = LT_EXIT_USAGE;
  BenchOptions bench = { .n_seeds = seeds->count ? *seeds->ival : 1,
                         .seed = seed->count ? (uint64_t)*seed->ival : 1,
                         .policy = policy->count ? *policy->sval : NULL,
                         .n_engines = samplers->count ? *samplers->ival : 0,
                         .duration_seconds = seconds->count ? *seconds->dval : 900,
                         .idle_weight = weight->count ? *weight->dval : -1,
                         .hedge_budget = budget->count ? *budget->dval : -1,
                         .train_seconds = train->count ? *train->dval : 45,
                         .hard_share = hard->count ? *hard->dval : -1,
                         .explain = explain->count > 0,
                         .concurrency = concurrency->count ? *concurrency->ival : 32,
                         .json = json->count > 0,
                         .report_dir = report->count ? *report->sval : NULL };

  if (help->count > 0)
    {
      lt_print_help (
          table, "bench",
          "Compares policies in simulations with the same requests, weight versions and limits.");
      code = LT_EXIT_OK;
      goto out;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, end, "lentilspindle bench");
      goto out;
    }
  bench.site = lx_site_find (*site->sval);
  if (!bench.site || bench.n_seeds < 1 || bench.n_engines < 0 || bench.concurrency < 1
      || bench.duration_seconds <= 0)
    {
      fprintf (
          stderr, "lentilspindle bench: %s\n",
          bench.site
              ? "--seeds, --concurrency and --seconds must be positive, --samplers not negative"
              : "unknown site; expected kurunegala or hoa-sen");
      goto out;
    }
  lb_log_init (LB_LOG_OFF, 2, NULL);
  code = run_benchmark (&bench);
out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
