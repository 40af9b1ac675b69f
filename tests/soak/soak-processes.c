#include "sk-callers.h"
#include "sk-chunked-caller.h"
#include "sk-crasher.h"
#include "sk-faults.h"
#include "sk-handover.h"
#include "sk-odd-endpoint.h"
#include "sk-one-shot.h"
#include "sk-renewals.h"
#include "sk-trainer.h"
#include "sk-watchdog.h"

#include "lb-clock.h"
#include "si-arguments.h"

#include <stdio.h>
#include <string.h>

#define INSTANCE_START_TIMEOUT (20 * LB_SEC)
#define LAST_STEP_TIMEOUT (60 * LB_SEC)
#define REREAD_TIMEOUT (60 * LB_SEC)
#define ALL_INSTANCES_STOP_TIMEOUT (25 * LB_SEC)
/* time for setup and cleanup, added to the timeouts of all phases to get the time limit of a run */
#define TIME_LIMIT_MARGIN (15 * LB_SEC)

#define MAX_FAULT_SECONDS 3600
#define MAX_TIME_LIMIT_SECONDS 7200

typedef struct
{
  int seconds;
  int instances;
  int engines;
  int fault_kinds;             /* faults are drawn from the first kinds of sk_faults */
  int time_limit_seconds;      /* limit of the run of one seed; 0: the timeouts of all phases */
  const char *only_fault_kind; /* name of the only kind of fault to inject; NULL: all kinds */
  bool verbose;
  bool keep_logs;
} Options;

typedef struct
{
  SkWorld world;
  SkCallers *callers;
  SkTrainer *trainer;
  SkOneShotTrainers *one_shot_trainers;
  SkCrasher *crasher;
  SkOddEndpoint *odd_endpoint;
  SkChunkedCaller *chunked_caller; /* NULL: the run has only the kinds of faults of older seeds */
  bool is_ending;                  /* faults are over */
  SkHandovers *handovers;
  SkRenewals *renewals;
} SoakRun;

static bool
are_all_instances_running (const SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    if (!sk_instance_is_running (&world->instances[i]) || world->instances[i].stopping)
      return false;
  return true;
}

static void
send_due_calls_and_run_event_loop_once (SoakRun *run)
{
  LbTime now = lb_clock_monotonic ();

  sk_callers_start_due_calls (run->callers, now);
  sk_trainer_start_due_call (run->trainer, now);
  sk_one_shot_trainers_submit_batch_if_due (run->one_shot_trainers, now);
  sk_crasher_send_fatal_request_if_due (run->crasher, now);
  sk_odd_endpoint_tick (run->odd_endpoint, run->is_ending, now);
  if (run->chunked_caller && !run->is_ending)
    sk_chunked_caller_tick (run->chunked_caller, now);
  sk_world_run_event_loop_once (&run->world);
  now = lb_clock_monotonic ();
  sk_handovers_check (run->handovers, now);
  sk_renewals_check (run->renewals, now);
}

static void
wait_until_instances_run (SoakRun *run)
{
  LbTime end = lb_clock_monotonic () + INSTANCE_START_TIMEOUT;

  sk_watchdog_set_phase ("the start of all instances");
  while (!are_all_instances_running (&run->world) && lb_clock_monotonic () < end)
    sk_world_run_event_loop_once (&run->world);
  if (!are_all_instances_running (&run->world))
    sk_report_violation (&run->world, "instances start in time",
                         "expected an address file of every instance within the timeout");
}

/* Returns the only kind of fault for every fourth seed, and NULL (all kinds) for the others. Some
 * invariants have a time limit that is checked only while no other kind of fault is active. */
static const char *
choose_only_fault_kind_for_seed (uint64_t seed, size_t n_fault_kinds)
{
  return seed % 4 == 3 ? sk_faults[seed / 4 % n_fault_kinds].name : NULL;
}

static void
run_traffic_with_faults (SoakRun *run, const Options *options)
{
  const char *only_fault_kind
      = options->only_fault_kind
            ? options->only_fault_kind
            : choose_only_fault_kind_for_seed (run->world.seed, run->world.n_fault_kinds);
  LbTime end = lb_clock_monotonic () + options->seconds * LB_SEC;
  LbTime next = lb_clock_monotonic () + LB_SEC;

  sk_watchdog_set_phase ("the end of the faults");
  for (LbTime now = 0; (now = lb_clock_monotonic ()) < end;)
    {
      sk_faults_inject_next_if_due (&run->world, only_fault_kind, &next, now);
      send_due_calls_and_run_event_loop_once (run);
    }
}

/* Checks that every instance returns the same results of the trainer's last step. */
static void
reread_results_at_all_instances (SoakRun *run)
{
  SkWorld *world = &run->world;
  LbTime end = lb_clock_monotonic () + REREAD_TIMEOUT;

  sk_watchdog_set_phase ("the results of the last step from every instance");
  for (size_t i = 0; i < world->n_instances; i++)
    {
      sk_trainer_reread_results (run->trainer, &world->instances[i]);
      while (sk_trainer_has_call_in_progress (run->trainer) && lb_clock_monotonic () < end)
        send_due_calls_and_run_event_loop_once (run);
      if (lb_clock_monotonic () < end)
        continue;
      sk_report_violation (world, "every instance returns the results",
                           "%zu of %zu instances were read within %.0f s", i, world->n_instances,
                           (double)REREAD_TIMEOUT / LB_SEC);
      return;
    }
}

/* Ends all faults. Then checks that the trainer gets all results of its last step, and that every
 * instance returns the same results. */
static void
end_faults_and_check_results (SoakRun *run)
{
  SkWorld *world = &run->world;
  LbTime end = lb_clock_monotonic () + LAST_STEP_TIMEOUT;

  sk_watchdog_set_phase ("the results of the last step");
  sk_faults_end_all (world);
  run->is_ending = true;
  sk_trainer_stop_after_step (run->trainer);
  while ((!sk_trainer_has_completed_last_step (run->trainer) || !are_all_instances_running (world))
         && lb_clock_monotonic () < end)
    send_due_calls_and_run_event_loop_once (run);
  sk_callers_stop_new_calls (run->callers);
  sk_one_shot_trainers_stop_new_batches (run->one_shot_trainers);
  sk_crasher_stop_new_requests (run->crasher);
  if (sk_trainer_has_completed_last_step (run->trainer))
    reread_results_at_all_instances (run);
  else
    sk_report_violation (world, "every sample is delivered",
                         "the last step is incomplete after %.0f s",
                         (double)LAST_STEP_TIMEOUT / LB_SEC);
}

/* Stops all instances and checks that each completes a graceful shutdown. */
static void
stop_all_instances (SoakRun *run)
{
  SkWorld *world = &run->world;
  LbTime end = lb_clock_monotonic () + ALL_INSTANCES_STOP_TIMEOUT;
  size_t n_running = world->n_instances;

  sk_watchdog_set_phase ("the exit of all instances");
  for (size_t i = 0; i < world->n_instances; i++)
    sk_instance_stop (&world->instances[i]);
  while (n_running > 0 && lb_clock_monotonic () < end)
    {
      send_due_calls_and_run_event_loop_once (run);
      n_running = 0;
      for (size_t i = 0; i < world->n_instances; i++)
        {
          n_running += world->instances[i].process.pid > 0;
          world->instances[i].restart_at = LB_TIME_NEVER;
        }
    }
  if (n_running > 0)
    sk_report_violation (world, "shutdown completes in time", "%zu instances still run", n_running);
}

static LbTime
get_time_limit (const Options *options)
{
  if (options->time_limit_seconds > 0)
    return options->time_limit_seconds * LB_SEC;
  return INSTANCE_START_TIMEOUT + options->seconds * LB_SEC + LAST_STEP_TIMEOUT + REREAD_TIMEOUT
         + ALL_INSTANCES_STOP_TIMEOUT + TIME_LIMIT_MARGIN;
}

static int
run_soak_with_seed (const Options *options, uint64_t seed)
{
  SoakRun run = { 0 };
  SkWorld *world = &run.world;
  int n_violations = 0;

  sk_watchdog_start (world, seed, get_time_limit (options));
  sk_world_init (world, seed, (size_t)options->instances, (size_t)options->engines);
  world->verbose = options->verbose;
  world->n_fault_kinds = (size_t)options->fault_kinds;
  run.callers = sk_callers_new (world);
  run.trainer = sk_trainer_new (world);
  run.one_shot_trainers = sk_one_shot_trainers_new (world);
  world->one_shot_trainers = run.one_shot_trainers;
  run.crasher = sk_crasher_new (world);
  world->crasher = run.crasher;
  run.odd_endpoint = sk_odd_endpoint_new (world);
  world->odd_endpoint = run.odd_endpoint;
  if (world->n_fault_kinds == sk_faults_count_kinds ())
    run.chunked_caller = sk_chunked_caller_new (world);
  run.handovers = sk_handovers_new (world);
  run.renewals = sk_renewals_new (world);
  wait_until_instances_run (&run);
  run_traffic_with_faults (&run, options);
  end_faults_and_check_results (&run);
  stop_all_instances (&run);
  n_violations = world->n_violations;
  printf ("seed %llu: %s, %lld faults, %lld calls (%lld served, %lld refused, %lld failed),"
          " %lld batches, %lld results, %.1f s\n",
          (unsigned long long)seed, n_violations ? "BROKEN" : "held", (long long)world->n_faults,
          (long long)world->n_calls, (long long)world->n_served, (long long)world->n_refused,
          (long long)world->n_failed, (long long)world->n_batches, (long long)world->n_results,
          (double)(lb_clock_monotonic () - world->started_at) / LB_SEC);
  fflush (stdout);
  sk_callers_free (run.callers);
  sk_trainer_free (run.trainer);
  sk_one_shot_trainers_free (run.one_shot_trainers);
  sk_crasher_free (run.crasher);
  sk_odd_endpoint_free (run.odd_endpoint);
  sk_chunked_caller_free (run.chunked_caller);
  sk_handovers_free (run.handovers);
  sk_renewals_free (run.renewals);
  sk_world_clear (world, n_violations > 0 || options->keep_logs);
  sk_watchdog_stop ();
  return n_violations;
}

static bool
is_known_fault_kind (const char *name)
{
  for (const SkFault *fault = sk_faults; fault->name; fault++)
    if (strcmp (fault->name, name) == 0)
      return true;
  fprintf (stderr, "soak-processes: --only: unknown fault \"%s\"\n", name);
  return false;
}

static bool
is_option_in_range (const char *option, int value, int min, int max)
{
  if (value >= min && value <= max)
    return true;
  fprintf (stderr, "soak-processes: --%s: expected %d to %d\n", option, min, max);
  return false;
}

static bool
are_options_valid (const Options *options)
{
  return is_option_in_range ("instances", options->instances, 1, SK_MAX_INSTANCES)
         && is_option_in_range ("engines", options->engines, 2, SK_MAX_ENGINES)
         && is_option_in_range ("seconds", options->seconds, 1, MAX_FAULT_SECONDS)
         && is_option_in_range ("fault-kinds", options->fault_kinds, 1,
                                (int)sk_faults_count_kinds ())
         && is_option_in_range ("time-limit", options->time_limit_seconds, 0,
                                MAX_TIME_LIMIT_SECONDS);
}

int
main (int argc, char **argv)
{
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "first seed; 1 by default");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "number of seeds to run; 1 by default");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "N",
                  "duration of fault injection per seed, 1 to 3600; 12 by default");
  struct arg_int *instances
      = arg_int0 (NULL, "instances", "N", "number of instances, 1 to 200; 4 by default");
  struct arg_int *engines
      = arg_int0 (NULL, "engines", "N", "number of engines, 2 to 64; 5 by default");
  struct arg_int *fault_kinds
      = arg_int0 (NULL, "fault-kinds", "N",
                  "draw the faults from the first N kinds only, as a seed did before kinds were"
                  " added; all kinds by default");
  struct arg_int *time_limit
      = arg_int0 (NULL, "time-limit", "N",
                  "seconds after which the run of a seed ends as failed, 1 to 7200;"
                  " by default the timeouts of all its phases");
  struct arg_str *only_fault_kind
      = arg_str0 (NULL, "only", "FAULT", "inject only this kind of fault");
  struct arg_lit *verbose = arg_lit0 (NULL, "verbose", "log faults and events to standard error");
  struct arg_lit *keep
      = arg_lit0 (NULL, "keep-logs", "keep the logs also of seeds without violations");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (4);
  void *table[] = { seed,       seeds,           seconds, instances, engines, fault_kinds,
                    time_limit, only_fault_kind, verbose, keep,      help,    end };
  Options options = { 0 };
  int status = 0;

  seed->ival[0] = 1;
  seeds->ival[0] = 1;
  seconds->ival[0] = 12;
  instances->ival[0] = 4;
  engines->ival[0] = 5;
  fault_kinds->ival[0] = (int)sk_faults_count_kinds ();
  time_limit->ival[0] = 0;
  if (!si_arguments_parse (argc, argv, table, sizeof table / sizeof table[0], "soak-processes",
                           &status))
    goto out;
  options
      = (Options){ .seconds = seconds->ival[0],
                   .instances = instances->ival[0],
                   .engines = engines->ival[0],
                   .fault_kinds = fault_kinds->ival[0],
                   .time_limit_seconds = time_limit->ival[0],
                   .only_fault_kind = only_fault_kind->count > 0 ? only_fault_kind->sval[0] : NULL,
                   .verbose = verbose->count > 0,
                   .keep_logs = keep->count > 0 };
  status = 2;
  if (!are_options_valid (&options)
      || (options.only_fault_kind && !is_known_fault_kind (options.only_fault_kind)))
    goto out;
  status = 0;
  for (int i = 0; i < seeds->ival[0]; i++)
    status |= run_soak_with_seed (&options, (uint64_t)seed->ival[0] + (uint64_t)i) > 0;

out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
