#include "lx-soak.h"

#include "lb-alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ALL_FAULT_KINDS ((1u << LX_N_FAULTS) - 1)

/* Outcome of a simulation run. */
typedef struct
{
  LxViolation violation; /* kind that occurred; of several, the last in the order of LxViolation */
  uint64_t event;        /* number of the event that caused the first violation */
  uint64_t n_injections;
  char first_violation[256];
  bool failed;
} RunOutcome;

/* Returns only_fault if set; otherwise a single kind of fault for every fourth seed and all kinds
 * for the other seeds. */
static uint32_t
choose_fault_kinds (const LxSoak *soak)
{
  if (soak->only_fault >= 0)
    return 1u << soak->only_fault;
  if (soak->seed % 4 == 0)
    return 1u << (soak->seed / 4 % LX_N_FAULTS);
  return ALL_FAULT_KINDS;
}

static void
fill_options_from_soak (const LxSoak *soak, LxOptions *options)
{
  lx_options_init (options, soak->site, soak->seed);
  options->duration = LB_TIME_NEVER / 2;
  options->max_events = soak->events;
  options->groups_per_step = 24;
  options->samples_per_group = 4;
  options->min_sample_tokens = 20;
  options->train_time = 3 * LB_SEC;
  options->version_interval = 15 * LB_SEC;
  options->mean_change_interval = 8 * LB_SEC;
  options->hedge_after = 500 * LB_MSEC;
  options->fault_kinds = choose_fault_kinds (soak);
  options->mean_fault_interval = (1 + (LbTime)(soak->seed % 5)) * LB_SEC;
  /* Uses a longer interval if only one kind of fault is injected, because one kind hits the same
   * targets more often. Otherwise no owner of a step would run for as long as the longest sample
   * takes, and no step would complete. */
  if (options->fault_kinds != ALL_FAULT_KINDS)
    options->mean_fault_interval += 3 * LB_SEC;
  options->stop_at_violation = true;
}

static void
get_simulation_outcome (const LxWorld *world, RunOutcome *outcome)
{
  const LxAudit *audit = &world->audit;

  memset (outcome, 0, sizeof *outcome);
  outcome->failed = audit->first_violation[0] != '\0';
  outcome->event = audit->first_event;
  outcome->n_injections = world->faults.n_injections;
  LB_COPY (outcome->first_violation, audit->first_violation);
  for (size_t i = 0; i < LX_N_VIOLATIONS; i++)
    if (audit->violations[i] > 0)
      outcome->violation = (LxViolation)i;
}

static void
print_run_totals (const LxSoak *soak, const LxWorld *world, FILE *out)
{
  int64_t steps = 0;
  int64_t samples = 0;

  for (size_t i = 0; i < world->options.n_trainers; i++)
    {
      steps += world->trainers[i].steps;
      samples += world->trainers[i].samples;
    }
  fprintf (out,
           "%s seed %" PRIu64 ": %" PRIu64 " events, %.1f s, %" PRIu64 " fault injections, %" PRId64
           " decisions, %" PRId64 " steps, %" PRId64 " samples, %" PRId64
           " calls answered, %" PRId64 " refused, %" PRId64 " failed, %" PRId64
           " revisions, %" PRId64 " conflicts\n",
           soak->site->name, soak->seed, lx_world_get_event_number (world),
           (double)lx_world_now (world) / LB_SEC, world->faults.n_injections, world->decisions,
           steps, samples, world->callers.answered, world->callers.refused, world->callers.failed,
           world->registry.n_accepted, world->registry.n_conflicts);
}

static void
print_ring_buffer (const char *title,
                   const char ring[LX_MAX_HISTORY_LINES][128],
                   uint64_t n,
                   FILE *out)
{
  fprintf (out, "%s:\n", title);
  for (uint64_t i = n > LX_MAX_HISTORY_LINES ? n - LX_MAX_HISTORY_LINES : 0; i < n; i++)
    fprintf (out, "  %s\n", ring[i % LX_MAX_HISTORY_LINES]);
}

static void
print_recent_faults_and_decisions (const LxWorld *world, FILE *out)
{
  print_ring_buffer ("last faults", world->recent_faults, world->n_recorded_faults, out);
  print_ring_buffer ("last decisions", world->recent_decisions, world->n_recorded_decisions, out);
}

static void
run_soak_without_skipped_injections (
    const LxSoak *soak, const uint8_t *skipped, size_t n, RunOutcome *outcome, FILE *out)
{
  LxOptions options;

  fill_options_from_soak (soak, &options);
  options.skipped_injections = skipped;
  options.n_skipped_injections = n;
  LxWorld *world = lx_world_new (&options);
  lx_world_run (world);
  get_simulation_outcome (world, outcome);
  if (out)
    {
      print_run_totals (soak, world, out);
      if (outcome->failed)
        {
          fprintf (out, "FAILED: %s\n", outcome->first_violation);
          print_recent_faults_and_decisions (world, out);
        }
    }
  lx_world_free (world);
}

/* Reduces the fault injections of a failing run. Repeats the run without one range of injections
 * after the other, from halves down to single injections, and drops a range for good if the run
 * still fails with the same kind of violation. */
static void
shrink_failing_run (const LxSoak *soak, const RunOutcome *failure, FILE *out)
{
  size_t n = failure->n_injections;
  uint8_t *skipped = LB_NEW_ARRAY (uint8_t, n + 1);
  uint8_t *candidate = LB_NEW_ARRAY (uint8_t, n + 1);
  LxSoak shorter = *soak;
  RunOutcome outcome;
  size_t n_kept = 0;

  shorter.events = failure->event + 1;
  for (size_t range_length = (n + 1) / 2; range_length > 0;
       range_length = range_length > 1 ? (range_length + 1) / 2 : 0)
    for (size_t first = 0; first < n; first += range_length)
      {
        memcpy (candidate, skipped, n);
        memset (candidate + first, 1, first + range_length <= n ? range_length : n - first);
        run_soak_without_skipped_injections (&shorter, candidate, n, &outcome, NULL);
        if (!outcome.failed || outcome.violation != failure->violation)
          continue;
        memcpy (skipped, candidate, n);
        if (outcome.event + 1 < shorter.events)
          shorter.events = outcome.event + 1;
      }
  for (size_t i = 0; i < n; i++)
    n_kept += !skipped[i];
  fprintf (out, "shrunk to %zu of %zu fault injections, %" PRIu64 " events:\n", n_kept, n,
           shorter.events);
  run_soak_without_skipped_injections (&shorter, skipped, n, &outcome, out);
  free (skipped);
  free (candidate);
}

bool
lx_soak_run (const LxSoak *soak, bool shrink, FILE *out)
{
  RunOutcome outcome;

  run_soak_without_skipped_injections (soak, NULL, 0, &outcome, out);
  if (outcome.failed && shrink)
    shrink_failing_run (soak, &outcome, out);
  return !outcome.failed;
}
