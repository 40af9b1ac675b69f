#include "lx-soak.h"

#include "lb-alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ALL_FAULTS ((1u << LX_N_FAULTS) - 1)

/* How a run ended. */
typedef struct
{
  LxViolation breach;
  uint64_t event;
  uint64_t n_strikes;
  char words[256];
  bool failed;
} Outcome;

/* Every fourth seed has one kind of fault alone, all others have them all, together and twice. */
static uint32_t
kinds_of (const LxSoak *soak)
{
  if (soak->only_fault >= 0)
    return 1u << soak->only_fault;
  if (soak->seed % 4 == 0)
    return 1u << (soak->seed / 4 % LX_N_FAULTS);
  return ALL_FAULTS;
}

static void
fill_options (const LxSoak *soak, LxOptions *options)
{
  lx_options_init (options, soak->site, soak->seed);
  options->duration = LB_TIME_NEVER / 2;
  options->max_events = soak->events;
  options->groups = 24;
  options->samples = 4;
  options->shortest = 20;
  options->train_time = 3 * LB_SEC;
  options->version_every = 15 * LB_SEC;
  options->change_every = 8 * LB_SEC;
  options->hedge_after = 500 * LB_MSEC;
  options->faults = kinds_of (soak);
  options->fault_pause = (1 + (LbTime)(soak->seed % 5)) * LB_SEC;
  /* One kind alone strikes its victims more often: an owner that never lives for as long as the
   * longest sample takes would end no step. */
  if (options->faults != ALL_FAULTS)
    options->fault_pause += 3 * LB_SEC;
  options->stop_at_breach = true;
}

static void
note_outcome (const LxWorld *world, Outcome *outcome)
{
  const LxAudit *audit = &world->audit;

  memset (outcome, 0, sizeof *outcome);
  outcome->failed = audit->first_violation[0] != '\0';
  outcome->event = audit->first_event;
  outcome->n_strikes = world->faults.n_strikes;
  LB_COPY (outcome->words, audit->first_violation);
  for (size_t i = 0; i < LX_N_VIOLATIONS; i++)
    if (audit->violations[i] > 0)
      outcome->breach = (LxViolation)i;
}

static void
print_totals (const LxSoak *soak, const LxWorld *world, FILE *out)
{
  int64_t steps = 0;
  int64_t samples = 0;

  for (size_t i = 0; i < world->options.n_trainers; i++)
    {
      steps += world->trainers[i].steps;
      samples += world->trainers[i].samples;
    }
  fprintf (out,
           "%s seed %" PRIu64 ": %" PRIu64 " events, %.1f s, %" PRIu64 " strikes, %" PRId64
           " decisions, %" PRId64 " steps, %" PRId64 " samples, %" PRId64
           " calls answered, %" PRId64 " refused, %" PRId64 " failed, %" PRId64
           " revisions, %" PRId64 " conflicts\n",
           soak->site->name, soak->seed, lx_world_event_number (world),
           (double)lx_world_now (world) / LB_SEC, world->faults.n_strikes, world->decisions, steps,
           samples, world->callers.answered, world->callers.refused, world->callers.failed,
           world->registry.n_accepted, world->registry.n_conflicts);
}

static void
print_ring (const char *title, const char ring[LX_HISTORY_LENGTH][128], uint64_t n, FILE *out)
{
  fprintf (out, "%s:\n", title);
  for (uint64_t i = n > LX_HISTORY_LENGTH ? n - LX_HISTORY_LENGTH : 0; i < n; i++)
    fprintf (out, "  %s\n", ring[i % LX_HISTORY_LENGTH]);
}

static void
print_history (const LxWorld *world, FILE *out)
{
  print_ring ("last strikes", world->strikes, world->n_strikes, out);
  print_ring ("last decisions", world->history, world->n_history, out);
}

static void
run_once (const LxSoak *soak, const uint8_t *left_out, size_t n, Outcome *outcome, FILE *out)
{
  LxOptions options;

  fill_options (soak, &options);
  options.left_out = left_out;
  options.n_left_out = n;
  LxWorld *world = lx_world_new (&options);
  lx_world_run (world);
  note_outcome (world, outcome);
  if (out)
    {
      print_totals (soak, world, out);
      if (outcome->failed)
        {
          fprintf (out, "FAILED: %s\n", outcome->words);
          print_history (world, out);
        }
    }
  lx_world_free (world);
}

/* Leaves out one part of the strikes after another, halves first, single ones last, and keeps out
 * what the failure does not need. */
static void
shrink_run (const LxSoak *soak, const Outcome *failure, FILE *out)
{
  size_t n = failure->n_strikes;
  uint8_t *left_out = LB_NEW_ARRAY (uint8_t, n + 1);
  uint8_t *trial = LB_NEW_ARRAY (uint8_t, n + 1);
  LxSoak shorter = *soak;
  Outcome outcome;
  size_t kept = 0;

  shorter.events = failure->event + 1;
  for (size_t part = (n + 1) / 2; part > 0; part = part > 1 ? (part + 1) / 2 : 0)
    for (size_t first = 0; first < n; first += part)
      {
        memcpy (trial, left_out, n);
        memset (trial + first, 1, first + part <= n ? part : n - first);
        run_once (&shorter, trial, n, &outcome, NULL);
        if (!outcome.failed || outcome.breach != failure->breach)
          continue;
        memcpy (left_out, trial, n);
        if (outcome.event + 1 < shorter.events)
          shorter.events = outcome.event + 1;
      }
  for (size_t i = 0; i < n; i++)
    kept += !left_out[i];
  fprintf (out, "shrunk to %zu of %zu strikes, %" PRIu64 " events:\n", kept, n, shorter.events);
  run_once (&shorter, left_out, n, &outcome, out);
  free (left_out);
  free (trial);
}

bool
lx_soak_run (const LxSoak *soak, bool shrink, FILE *out)
{
  Outcome outcome;

  run_once (soak, NULL, 0, &outcome, out);
  if (outcome.failed && shrink)
    shrink_run (soak, &outcome, out);
  return !outcome.failed;
}
